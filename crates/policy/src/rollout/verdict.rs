//! Comparison of the target version with the other versions.
//!
//! Both tests ask how probable the results of the target are if the versions do not differ. One
//! endpoint may fail or be slow for a reason of its own, so the worst endpoint of the target counts
//! as if it were as bad as the second worst. Leaving it out would lose a third of the little
//! evidence that a canary with three endpoints gives.

use std::time::Duration;

use super::evidence::{Counts, Row};
use crate::Name;

/// Minimum number of failures at the target.
const MIN_FAILURES: u64 = 2;
/// Minimum number of answers of each side for a comparison of durations.
const MIN_TIMED: u64 = 6;
/// A mean duration this many times that of the other versions is no evidence: prompts are not
/// cached at new endpoints yet.
const TOLERATED_SLOWDOWN: f64 = 1.5;
/// Durations are taken as exponentially distributed. Those of a program's calls resemble each other,
/// as if there were only this part of the calls.
const INDEPENDENT_FRACTION: f64 = 0.75;
/// Number of failures above which the tail is estimated by its Chernoff bound instead of a sum.
const MAX_SUMMED: u64 = 1_000;

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// More of its calls fail.
    Failures,
    /// Its answers take several times as long.
    Slowness,
}

/// Why a rollout is reverted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Empty for all routes together.
    pub route: Name,
    /// What is wrong with the target version.
    pub cause: Cause,
    /// Calls to the target version, where its worst endpoint counts as the second worst.
    pub target: Counts,
    /// Calls to other versions.
    pub others: Counts,
    /// How far back the calls were counted.
    pub window: Duration,
}

/// Evidence against the target version.
#[derive(Debug)]
pub(super) struct Finding {
    /// Upper bound of the probability of the evidence, if the versions do not differ.
    pub(super) probability: f64,
    pub(super) verdict: Verdict,
}

/// Results of one route.
#[derive(Debug)]
struct Pair {
    route: Name,
    target: Counts,
    others: Counts,
}

/// Returns the strongest evidence against the target version in `rows`, which are sorted by route.
/// `is_single` tells whether the target has had calls at one endpoint only, also before the window.
pub(super) fn judge(rows: &[Row], is_single: bool, window: Duration) -> Option<Finding> {
    let mut endpoints: Vec<&Name> = rows.iter().filter_map(|r| r.endpoint.as_ref()).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    let findings = [(Cause::Failures, failures as Test), (Cause::Slowness, slowness as Test)];
    let findings = findings.into_iter().filter_map(|(cause, test)| {
        let outlier = if is_single { None } else { outlier(rows, &endpoints, cause) };
        let pairs = pairs(rows, outlier.as_ref(), cause);
        strongest(&pairs, cause, test, window)
    });
    findings.min_by(|a, b| a.probability.total_cmp(&b.probability))
}

type Test = fn(&[Pair]) -> f64;

fn strongest(pairs: &[Pair], cause: Cause, test: Test, window: Duration) -> Option<Finding> {
    let single = pairs.iter().map(std::slice::from_ref);
    let (probability, pairs) = single
        .chain(std::iter::once(pairs))
        .map(|pairs| (test(pairs), pairs))
        .min_by(|a, b| a.0.total_cmp(&b.0))?;
    if probability >= 1.0 {
        return None;
    }
    let (mut target, mut others) = (Counts::default(), Counts::default());
    for pair in pairs {
        target += pair.target;
        others += pair.others;
    }
    let route = match pairs {
        [pair] => pair.route.clone(),
        _ => Name::from(""),
    };
    let verdict = Verdict { route, cause, target, others, window };
    Some(Finding { probability, verdict })
}

/// The worst endpoint of the target.
#[derive(Debug)]
struct Outlier<'a> {
    endpoint: &'a Name,
    /// Part of its failures, or of its time above the usual, that counts: as much as those of the
    /// second worst endpoint.
    counted: f64,
}

/// Returns the endpoint with the most failures or the most time above the mean of the other
/// versions.
fn outlier<'a>(rows: &[Row], endpoints: &[&'a Name], cause: Cause) -> Option<Outlier<'a>> {
    let badness = |row: &Row| match cause {
        Cause::Failures => row.counts.failed as f64,
        Cause::Slowness => row.counts.duration.as_secs_f64() - usual_duration(rows, row),
    };
    let sum = |endpoint: &Name| -> f64 {
        rows.iter().filter(|r| r.endpoint.as_ref() == Some(endpoint)).map(badness).sum()
    };
    let mut sums: Vec<_> = endpoints.iter().map(|e| (sum(e).max(0.0), *e)).collect();
    sums.sort_by(|a, b| b.0.total_cmp(&a.0));
    let (worst, endpoint) = *sums.first()?;
    let second = sums.get(1).map_or(0.0, |(second, _)| *second);
    (worst > 0.0).then(|| Outlier { endpoint, counted: second / worst })
}

/// Time in seconds that the timed calls of the row would have taken at other versions.
fn usual_duration(rows: &[Row], row: &Row) -> f64 {
    let others = rows.iter().find(|r| r.route == row.route && r.endpoint.is_none());
    others.map_or(0.0, |r| mean_duration(&r.counts)) * row.counts.timed as f64
}

fn pairs(rows: &[Row], outlier: Option<&Outlier<'_>>, cause: Cause) -> Vec<Pair> {
    let mut pairs: Vec<Pair> = Vec::new();
    for row in rows {
        if pairs.last().is_none_or(|p| p.route != row.route) {
            let (target, others) = (Counts::default(), Counts::default());
            pairs.push(Pair { route: row.route.clone(), target, others });
        }
        let Some(pair) = pairs.last_mut() else { continue };
        let Some(endpoint) = &row.endpoint else {
            pair.others += row.counts;
            continue;
        };
        let mut counts = row.counts;
        if let Some(outlier) = outlier.filter(|o| o.endpoint == endpoint) {
            match cause {
                Cause::Failures => {
                    counts.failed = (counts.failed as f64 * outlier.counted).floor() as u64;
                }
                Cause::Slowness => {
                    let (usual, took) = (usual_duration(rows, row), counts.duration.as_secs_f64());
                    let counted = usual + (took - usual).max(0.0) * outlier.counted;
                    counts.duration = Duration::from_secs_f64(counted.min(took));
                }
            }
        }
        pair.target += counts;
    }
    pairs
}

fn mean_duration(counts: &Counts) -> f64 {
    counts.duration.as_secs_f64() / counts.timed.max(1) as f64
}

/// Returns the probability that so many of all failures are the target's.
///
/// If the versions do not differ, a failure is the target's with the probability that a call of
/// its route is. For several routes, the number of the target's failures is then a sum of
/// independent trials, whose tail is at most that of a binomial distribution with the same mean
/// (Hoeffding, "On the Distribution of the Number of Successes in Independent Trials", 1956).
fn failures(pairs: &[Pair]) -> f64 {
    let (mut failed, mut of_target, mut expected) = (0, 0, 0.0);
    for Pair { target, others, .. } in pairs {
        let ended = target.ended() + others.ended();
        if ended > 0 {
            let route_failed = target.failed + others.failed;
            failed += route_failed;
            of_target += target.failed;
            expected += route_failed as f64 * target.ended() as f64 / ended as f64;
        }
    }
    // The bound holds one above the mean.
    if of_target < MIN_FAILURES || (of_target as f64) < expected + 1.0 {
        return 1.0;
    }
    binomial_tail(failed, expected / failed as f64, of_target)
}

/// Returns a bound of the probability that the answers of the target take that long in total.
fn slowness(pairs: &[Pair]) -> f64 {
    let (mut calls, mut duration, mut usual) = (0, 0.0, 0.0);
    for Pair { target, others, .. } in pairs {
        if others.timed >= MIN_TIMED {
            calls += target.timed;
            duration += target.duration.as_secs_f64();
            usual += target.timed as f64 * mean_duration(others);
        }
    }
    let slowdown = duration / (TOLERATED_SLOWDOWN * usual);
    if calls < MIN_TIMED || slowdown <= 1.0 {
        return 1.0;
    }
    (-INDEPENDENT_FRACTION * calls as f64 * (slowdown - 1.0 - slowdown.ln())).exp()
}

/// Whether `count` events are improbable where `usual` are, also if each takes as much longer as is
/// tolerated.
pub(super) fn is_more_than_usual(count: u64, usual: f64, probability: f64) -> bool {
    let mean = TOLERATED_SLOWDOWN * usual.max(1.0);
    let (mut term, mut below) = ((-mean).exp(), 0.0);
    for n in 0..count.min(MAX_SUMMED) {
        below += term;
        term *= mean / (n + 1) as f64;
    }
    count as f64 > mean && 1.0 - below < probability
}

/// Returns the probability of at least `least` successes in `trials` with probability `p` each.
fn binomial_tail(trials: u64, p: f64, least: u64) -> f64 {
    if p >= 1.0 {
        return 1.0;
    }
    let (n, k) = (trials as f64, least as f64);
    if trials > MAX_SUMMED {
        let rest = if least == trials { 0.0 } else { (n - k) * ((n - k) / (n * (1.0 - p))).ln() };
        return (-(k * (k / (n * p)).ln() + rest)).exp();
    }
    let ways: f64 = (0..least).map(|i| ((trials - i) as f64 / (i + 1) as f64).ln()).sum();
    let mut term = (ways + k * p.ln() + (n - k) * (-p).ln_1p()).exp();
    let mut sum = 0.0;
    for successes in least..=trials {
        sum += term;
        term *= (trials - successes) as f64 / (successes + 1) as f64 * p / (1.0 - p);
    }
    sum.min(1.0)
}
