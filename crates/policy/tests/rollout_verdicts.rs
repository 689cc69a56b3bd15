//! Tests of rollouts of good and bad versions under load, at 8 and 64 fronts whose views are 250
//! to 500 ms late.

#[path = "common/rollout_load.rs"]
mod rollout_load;

use poplarspan_policy::rollout::{Cause, Decision};
use rollout_load::{Attempt, Behaviour, Load, Outcome, play};

const SEEDS: u64 = 6;
const LOADS: [(usize, f64); 2] = [(8, 100.0), (64, 400.0)];

fn of_target(attempt: &Attempt, is_affected: bool, behaviour: (f64, f64)) -> (f64, f64) {
    if attempt.is_target && is_affected { behaviour } else { (0.0, 1.0) }
}

fn outcomes(loads: &[(usize, f64)], behaviour: Behaviour) -> Vec<Outcome> {
    let seeds = |load: Load| (0..SEEDS).map(move |seed| play(&load, seed));
    loads.iter().flat_map(|(n, rate)| seeds(Load::new(*n, *rate, behaviour))).collect()
}

/// Asserts that a bad version is reverted for the right reason, within the exposure limit.
fn assert_reverted(loads: &[(usize, f64)], cause: Cause, behaviour: Behaviour) {
    for outcome in outcomes(loads, behaviour) {
        let (sent, sent_target, end) = (outcome.sent, outcome.sent_target, &outcome.end);
        assert!(outcome.keeps_exposure(), "{sent_target} of {sent} calls, {end:?}");
        assert!(outcome.is_reverted(), "{end:?} at {} ms", outcome.end_ms);
        let Some(Decision::Revert(verdict)) = end else { unreachable!() };
        assert_eq!(verdict.cause, cause);
    }
}

fn assert_completed(loads: &[(usize, f64)], behaviour: Behaviour) {
    for outcome in outcomes(loads, behaviour) {
        assert!(outcome.is_completed(), "{:?} at {} ms", outcome.end, outcome.end_ms);
    }
}

/// Guards against a good version that misses its time limit, also on a route with one call in two
/// hundred, and against calls at the old version when it is stopped.
#[test]
fn good_version() {
    assert_completed(&LOADS, |_| (0.0, 1.0));
}

/// Guards against failures that both versions share being counted against the target.
#[test]
fn failures_of_both_versions() {
    assert_completed(&LOADS, |_| (0.02, 1.0));
}

/// Guards against exposure to a version that fails from the start, little or always.
#[test]
fn bad_at_once() {
    assert_reverted(&LOADS, Cause::Failures, |a| of_target(a, true, (1.0, 1.0)));
    assert_reverted(&LOADS, Cause::Failures, |a| of_target(a, true, (0.3, 1.0)));
}

/// Guards against early good results that hide a version that turns bad.
#[test]
fn bad_later() {
    assert_reverted(&LOADS, Cause::Failures, |a| of_target(a, a.at_ms > 5_000, (0.5, 1.0)));
}

/// Guards against a shift that is over before a version that turned bad during it is noticed.
#[test]
fn bad_during_shift() {
    assert_reverted(&LOADS, Cause::Failures, |a| of_target(a, a.at_ms > 8_000, (0.5, 1.0)));
}

/// Guards against a version that only fails under more load than a canary gives.
#[test]
fn bad_under_load() {
    for outcome in outcomes(&LOADS, |a| of_target(a, a.load > 0.8, (0.5, 1.0))) {
        assert!(outcome.keeps_exposure(), "{} of {}", outcome.sent_target, outcome.sent);
        assert!(!outcome.is_completed());
    }
}

/// Guards against a version whose failures on one route vanish among the good results of others.
#[test]
fn bad_on_one_route() {
    assert_reverted(&LOADS[1..], Cause::Failures, |a| of_target(a, a.route == "d", (0.5, 1.0)));
    assert_reverted(&LOADS[..1], Cause::Failures, |a| of_target(a, a.route == "d", (1.0, 1.0)));
}

/// Guards against a slow version, whose answers arrive only after the shift could have started.
#[test]
fn five_times_slower() {
    assert_reverted(&LOADS, Cause::Slowness, |a| of_target(a, true, (0.0, 5.0)));
}

/// Guards against an endpoint of the target that fails, is down or is slow for reasons of its own.
#[test]
fn one_bad_endpoint_of_target() {
    assert_completed(&LOADS, |a| of_target(a, a.endpoint == 1, (0.5, 1.0)));
    assert_completed(&LOADS, |a| of_target(a, a.endpoint == 1, (1.0, 0.1)));
    let slow = outcomes(&LOADS, |a| of_target(a, a.endpoint == 1, (0.0, 4.0)));
    assert!(slow.iter().all(|o| !matches!(o.end, Some(Decision::Revert(_)))));
}

/// Guards against an endpoint of the old version that fails, is down or is slow. Calls that it
/// answers slowly may be open after the time limit, but the version is not reverted.
#[test]
fn one_bad_endpoint_of_old_version() {
    let fails: Behaviour =
        |a| if !a.is_target && a.endpoint == 1 { (0.5, 1.0) } else { (0.0, 1.0) };
    let is_down: Behaviour =
        |a| if !a.is_target && a.endpoint == 1 { (1.0, 0.1) } else { (0.0, 1.0) };
    let is_slow: Behaviour =
        |a| if !a.is_target && a.endpoint == 1 { (0.0, 4.0) } else { (0.0, 1.0) };
    assert_completed(&LOADS, fails);
    assert_completed(&LOADS, is_down);
    let slow = outcomes(&LOADS, is_slow);
    assert!(slow.iter().all(|o| !matches!(o.end, Some(Decision::Revert(_)))));
}

/// The baseline: shares that grow by time alone expose callers to a bad version. Shows that the
/// checks above fail without verdicts.
#[test]
fn without_verdicts() {
    let bad: Behaviour = |a| of_target(a, true, (0.3, 1.0));
    let load = Load { is_blind: true, ..Load::new(8, 100.0, bad) };
    let outcome = play(&load, 0);
    assert!(!outcome.is_reverted() && !outcome.keeps_exposure());
}
