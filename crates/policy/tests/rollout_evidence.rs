//! Tests of verdicts from given counts.

mod common;

use common::ms;
use poplarspan_policy::rollout::{
    Cause, Decision, Evidence, FleetState, FrontReport, Rollout, RolloutConfig,
};

const FLEET: FleetState =
    FleetState { is_view_full: true, target_slots: 24, old_slots: 24, old_versions_left: true };

/// Counts of one route: answers, milliseconds for each, and failures.
type Results = (u64, u64, u64);

fn rollout() -> Rollout {
    let over = ms(600_000);
    Rollout::new(RolloutConfig { exposure_share: 0.1, exposure_slack: 50, over }, ms(0))
}

/// Evidence of calls to other versions, and of those to the target at two endpoints.
fn rows(route: &str, others: Results, target: Results) -> Vec<Evidence> {
    let row = |endpoint: Option<&str>, (answered, each, failed): Results| Evidence {
        route: route.into(),
        endpoint: endpoint.map(Into::into),
        answered,
        duration: ms(answered * each),
        failed,
    };
    vec![row(None, others), row(Some("x"), target), row(Some("y"), target)]
}

/// Reports the sums of all evidence so far.
fn report(rollout: &mut Rollout, evidence: &[Evidence], now: u64) -> Decision {
    let mut sums: Vec<Evidence> = Vec::new();
    for e in evidence {
        match sums.iter_mut().find(|s| s.route == e.route && s.endpoint == e.endpoint) {
            Some(sum) => {
                sum.answered += e.answered;
                sum.duration += e.duration;
                sum.failed += e.failed;
            }
            None => sums.push(e.clone()),
        }
    }
    let ended = |is_target: bool| -> u64 {
        let rows = sums.iter().filter(|s| s.endpoint.is_some() == is_target);
        rows.map(|s| s.answered + s.failed).sum()
    };
    let (sent, sent_target) = (ended(false) + ended(true), ended(true));
    let report =
        FrontReport { share: 0.05, sent, sent_target, evidence: sums, ..FrontReport::default() };
    rollout.report(&"f".into(), report, ms(now));
    rollout.decide(&FLEET, ms(now))
}

/// Guards against a version that turns slow after many good answers, which hide it in the sum.
#[test]
fn slow_after_many_good_answers() {
    let mut rollout = rollout();
    let mut evidence = rows("a", (100_000, 100, 0), (2_500, 100, 0));
    for now in [50_000, 50_250, 55_000] {
        assert!(matches!(report(&mut rollout, &evidence, now), Decision::Share(_)));
    }
    evidence.extend(rows("a", (800, 100, 0), (20, 500, 0)));
    let decision = report(&mut rollout, &evidence, 56_500);
    let Decision::Revert(verdict) = decision else { panic!("{decision:?}") };
    assert_eq!((verdict.cause, verdict.target.timed), (Cause::Slowness, 40));
    assert!(verdict.window < ms(4_250));
}

/// Guards against failures of one route that vanish in those that both versions have on another.
#[test]
fn one_route_among_failing_ones() {
    let mut rollout = rollout();
    let mut evidence = rows("a", (50_000, 100, 50_000), (1_300, 100, 1_300));
    assert!(matches!(report(&mut rollout, &evidence, 50_000), Decision::Share(_)));
    evidence.extend(rows("b", (200, 100, 0), (3, 100, 3)));
    let decision = report(&mut rollout, &evidence, 50_250);
    let Decision::Revert(verdict) = decision else { panic!("{decision:?}") };
    assert_eq!((&*verdict.route, verdict.cause, verdict.target.failed), ("b", Cause::Failures, 6));
    assert_eq!(verdict.others.answered, 200);
}

/// Guards against a version that fails a little on every route, too little on each of them.
#[test]
fn a_little_on_every_route() {
    let mut rollout = rollout();
    let mut evidence = Vec::new();
    for route in ["a", "b", "c", "d"] {
        evidence.extend(rows(route, (200, 100, 0), (4, 100, 1)));
    }
    let one = report(&mut self::rollout(), &evidence[..3], 5_000);
    assert!(matches!(one, Decision::Share(_)), "{one:?}");
    let decision = report(&mut rollout, &evidence, 5_000);
    let Decision::Revert(verdict) = decision else { panic!("{decision:?}") };
    assert_eq!((&*verdict.route, verdict.target.failed), ("", 8));
}

/// Guards against different mixes of routes being taken for a difference between the versions: the
/// target happens to get the route on which half of all calls fail.
#[test]
fn different_mix_of_routes() {
    let mut evidence = rows("failing", (100, 100, 100), (50, 100, 50));
    evidence.extend(rows("good", (4_000, 100, 0), (10, 100, 0)));
    assert!(matches!(report(&mut rollout(), &evidence, 5_000), Decision::Share(_)));
}

/// Guards against answers of a cold endpoint, which add no duration, being taken for fast ones.
#[test]
fn cold_answers() {
    let mut rollout = rollout();
    let mut evidence = rows("a", (1_000, 100, 0), (100, 0, 0));
    assert!(matches!(report(&mut rollout, &evidence, 3_000), Decision::Share(_)));
    evidence.extend(rows("a", (300, 100, 0), (10, 500, 0)));
    let decision = report(&mut rollout, &evidence, 3_500);
    let Decision::Revert(verdict) = decision else { panic!("{decision:?}") };
    assert_eq!((verdict.cause, verdict.target.timed), (Cause::Slowness, 20));
}
