//! Comparison of the target version with the other versions.
//!
//! Both tests ask how probable the results of the target are if the versions do not differ. They
//! exclude the worst endpoint of the target if several were used, because one endpoint may fail or
//! be slow for a reason of its own.

use std::time::Duration;

use super::evidence::{Counts, Row};
use crate::Name;

/// Minimum number of failures at the target, outside its worst endpoint.
const MIN_FAILURES: u64 = 2;
/// Minimum number of answers of each side for a comparison of durations, and of ended calls if the
/// target has a single endpoint, which cannot be told from the version.
const MIN_CALLS: u64 = 8;
/// A mean duration this many times that of the other versions is no evidence: prompts are not
/// cached at new endpoints yet.
const TOLERATED_SLOWDOWN: f64 = 1.5;
/// Durations are taken as exponentially distributed. They vary more, as if there were only this
/// part of the calls.
const INDEPENDENT_FRACTION: f64 = 0.5;
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
    /// Calls to the target version, without its worst endpoint if several were used.
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
pub(super) fn judge(rows: &[Row], window: Duration) -> Option<Finding> {
    let mut endpoints: Vec<&Name> = rows.iter().filter_map(|r| r.endpoint.as_ref()).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    let findings = [(Cause::Failures, failures as Test), (Cause::Slowness, slowness as Test)];
    let findings = findings.into_iter().filter_map(|(cause, test)| {
        let worst = match endpoints.len() {
            0 | 1 => None,
            _ => worst_endpoint(rows, &endpoints, cause),
        };
        let pairs = pairs(rows, worst);
        let is_single = endpoints.len() == 1;
        if is_single && pairs.iter().map(|p| p.target.ended()).sum::<u64>() < MIN_CALLS {
            return None;
        }
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

/// Returns the endpoint with the most failures, or with the most time above the mean of the other
/// versions.
fn worst_endpoint<'a>(rows: &[Row], endpoints: &[&'a Name], cause: Cause) -> Option<&'a Name> {
    let badness = |row: &Row| match cause {
        Cause::Failures => row.counts.failed as f64,
        Cause::Slowness => {
            let others = rows.iter().find(|r| r.route == row.route && r.endpoint.is_none());
            let usual = others.map_or(0.0, |r| mean_duration(&r.counts));
            row.counts.duration.as_secs_f64() - usual * row.counts.answered as f64
        }
    };
    let sum = |endpoint: &Name| -> f64 {
        rows.iter().filter(|r| r.endpoint.as_ref() == Some(endpoint)).map(badness).sum()
    };
    let sums = endpoints.iter().map(|e| (sum(e), *e));
    sums.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, endpoint)| endpoint)
}

fn pairs(rows: &[Row], worst: Option<&Name>) -> Vec<Pair> {
    let mut pairs: Vec<Pair> = Vec::new();
    for row in rows {
        if pairs.last().is_none_or(|p| p.route != row.route) {
            let (target, others) = (Counts::default(), Counts::default());
            pairs.push(Pair { route: row.route.clone(), target, others });
        }
        let Some(pair) = pairs.last_mut() else { continue };
        match &row.endpoint {
            None => pair.others += row.counts,
            Some(endpoint) if Some(endpoint) == worst => {}
            Some(_) => pair.target += row.counts,
        }
    }
    pairs
}

fn mean_duration(counts: &Counts) -> f64 {
    counts.duration.as_secs_f64() / counts.answered.max(1) as f64
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
        if others.answered >= MIN_CALLS && !others.duration.is_zero() {
            calls += target.answered;
            duration += target.duration.as_secs_f64();
            usual += target.answered as f64 * mean_duration(others);
        }
    }
    let slowdown = duration / (TOLERATED_SLOWDOWN * usual);
    if calls < MIN_CALLS || slowdown <= 1.0 {
        return 1.0;
    }
    (-INDEPENDENT_FRACTION * calls as f64 * (slowdown - 1.0 - slowdown.ln())).exp()
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
