//! Tests of rollouts while leaders and fronts change.

mod common;
#[path = "common/rollout_load.rs"]
mod rollout_load;

use std::time::Duration;

use common::ms;
use poplarspan_policy::rollout::{
    Decision, Evidence, FleetState, FrontReport, Rollout, RolloutConfig,
};
use rollout_load::{EXPOSURE_SHARE, EXPOSURE_SLACK, Load, OVER_MS, play};

const FLEET: FleetState =
    FleetState { is_view_full: true, target_slots: 24, old_slots: 24, old_versions_left: true };

fn rollout() -> Rollout {
    let (exposure_share, exposure_slack) = (EXPOSURE_SHARE, EXPOSURE_SLACK);
    Rollout::new(RolloutConfig { exposure_share, exposure_slack, over: ms(OVER_MS) }, ms(0))
}

fn report(share: f64, sent: u64, sent_target: u64) -> FrontReport {
    FrontReport { share, sent, sent_target, ..FrontReport::default() }
}

fn failing(sent: u64, sent_target: u64) -> FrontReport {
    let row = |endpoint: Option<&str>, answered, failed| Evidence {
        route: "a".into(),
        endpoint: endpoint.map(Into::into),
        answered,
        duration: ms(100 * answered),
        failed,
    };
    let failed = sent_target / 2;
    let evidence = vec![
        row(None, sent - sent_target, 0),
        row(Some("x"), 0, failed),
        row(Some("y"), 0, failed),
    ];
    FrontReport { share: 0.05, sent, sent_target, evidence, ..FrontReport::default() }
}

/// Guards against a leader that starts the rollout over or loses evidence: one stops during the
/// canary, or in the middle of the shift.
#[test]
fn two_leaders() {
    for stops in [vec![3_000], vec![2_000, 8_500]] {
        let bad = |a: &rollout_load::Attempt| (if a.is_target { 0.3 } else { 0.0 }, 1.0);
        let load = Load { leader_stops_ms: stops.clone(), ..Load::new(16, 200.0, bad) };
        let outcome = play(&load, 1);
        assert!(outcome.keeps_exposure(), "{} of {}", outcome.sent_target, outcome.sent);
        assert!(matches!(outcome.end, Some(Decision::Revert(_))), "{stops:?}: {:?}", outcome.end);
    }
    let load = Load { leader_stops_ms: vec![2_000], ..Load::new(16, 200.0, |_| (0.0, 1.0)) };
    let outcome = play(&load, 1);
    assert!(outcome.is_completed(), "{:?} at {} ms", outcome.end, outcome.end_ms);
}

/// Guards against a rollout that waits for a front that serves nothing.
#[test]
fn front_without_lease() {
    let load = Load { cut_off: Some(3), ..Load::new(8, 200.0, |_| (0.0, 1.0)) };
    let outcome = play(&load, 1);
    assert!(outcome.is_completed(), "{:?} at {} ms", outcome.end, outcome.end_ms);
}

/// Guards against a new leader that sends calls back to the old version, or on to the target,
/// before it has heard from every front.
#[test]
fn share_of_new_leader() {
    let mut rollout = rollout();
    rollout.report(&"a".into(), report(0.4, 100, 10), ms(9_000));
    let partial = FleetState { is_view_full: false, ..FLEET };
    for now in [9_000, 10_000, 11_000] {
        rollout.report(&"a".into(), report(0.4, 100, 10), ms(now));
        assert_eq!(rollout.decide(&partial, ms(now)), Decision::Share(0.4));
    }
    rollout.report(&"b".into(), report(0.15, 100, 10), ms(11_100));
    assert_eq!(rollout.decide(&FLEET, ms(11_100)), Decision::Share(0.4));
    assert_eq!(rollout.decide(&FLEET, ms(13_000)), Decision::Share(0.4), "b still has 0.15");
}

/// Guards against calls to old endpoints after the completion: a front that still holds a lower
/// share, or has an open call, holds it up until its report or the end of its lease.
#[test]
fn completion_waits_for_fronts() {
    let mut rollout = rollout();
    rollout.report(&"a".into(), report(1.0, 100, 10), ms(9_000));
    rollout.report(&"b".into(), report(0.4, 100, 10), ms(9_000));
    assert_eq!(rollout.decide(&FLEET, ms(9_000)), Decision::Share(1.0));
    let open = FrontReport { old_in_flight: 1, ..report(1.0, 100, 20) };
    rollout.report(&"b".into(), open, ms(9_500));
    assert_eq!(rollout.decide(&FLEET, ms(9_500)), Decision::Share(1.0));
    rollout.remove_front(&"b".into());
    assert_eq!(rollout.decide(&FLEET, ms(12_000)), Decision::Complete);
}

/// Guards against a completion that cuts off streams: calls may still be open at old endpoints that
/// have left the list.
#[test]
fn open_calls_at_unlisted_endpoints() {
    let mut rollout = rollout();
    let unlisted = FleetState { old_versions_left: false, old_slots: 0, ..FLEET };
    let open = FrontReport { old_in_flight: 1, ..report(1.0, 100, 10) };
    rollout.report(&"a".into(), open, ms(9_000));
    assert_eq!(rollout.decide(&unlisted, ms(9_000)), Decision::Share(1.0));
    rollout.report(&"a".into(), report(1.0, 100, 10), ms(9_500));
    assert_eq!(rollout.decide(&unlisted, ms(9_500)), Decision::Complete);
}

/// Guards against an order for the version that already runs everywhere that is never completed:
/// without other endpoints there is nothing to compare with.
#[test]
fn version_runs_everywhere() {
    let (mut rollout, a) = (rollout(), "a".into());
    let everywhere = FleetState { old_versions_left: false, old_slots: 0, ..FLEET };
    rollout.report(&a, report(0.0, 0, 0), ms(500));
    assert_eq!(rollout.decide(&everywhere, ms(500)), Decision::Share(1.0));
    rollout.report(&a, report(1.0, 500, 500), ms(1_000));
    assert_eq!(rollout.decide(&everywhere, ms(1_000)), Decision::Complete);
}

/// Guards against a canary that gets all calls because the other endpoints have left the list.
#[test]
fn others_leave_list() {
    let (mut rollout, a) = (rollout(), "a".into());
    let unlisted = FleetState { old_versions_left: false, old_slots: 0, ..FLEET };
    rollout.report(&a, report(0.0, 0, 0), ms(500));
    assert_eq!(rollout.decide(&FLEET, ms(500)), Decision::Share(0.05));
    rollout.report(&a, report(0.05, 0, 0), ms(1_000));
    assert_eq!(rollout.decide(&unlisted, ms(1_000)), Decision::Share(0.05));
}

/// Guards against results counted twice: a report that leaves a row out, or a row that arrives with
/// lower counts than before, does not lower what is known of it.
#[test]
fn older_rows() {
    let (mut rollout, a) = (rollout(), "a".into());
    for failed in [1, 0, 1, 0, 1, 0, 1, 0, 1] {
        let row = |endpoint: Option<&str>, answered, failed| Evidence {
            route: "a".into(),
            endpoint: endpoint.map(Into::into),
            answered,
            duration: ms(100 * answered),
            failed,
        };
        let evidence =
            vec![row(None, 190, 0), row(Some("x"), 4, failed), row(Some("y"), 4, failed)];
        rollout.report(&a, FrontReport { evidence, ..report(0.05, 200, 10) }, ms(2_000));
    }
    assert_eq!(rollout.decide(&FLEET, ms(2_000)), Decision::Share(0.05));
}

/// Guards against evidence lost or counted twice when a front restarts, or returns after its lease
/// has expired.
#[test]
fn cumulative_counts() {
    let (mut rollout, a) = (rollout(), "a".into());
    rollout.report(&a, report(0.05, 100, 5), ms(1_000));
    rollout.report(&a, report(0.0, 10, 1), ms(2_000));
    assert_eq!(rollout.sent(), (110, 6), "restarted");
    rollout.remove_front(&a);
    rollout.report(&a, report(0.05, 20, 2), ms(6_000));
    assert_eq!(rollout.sent(), (120, 7), "returned");
}

/// Guards against a share above 0 while there is no endpoint of the target, and against a shift to
/// fewer slots than the service had.
#[test]
fn missing_endpoints() {
    let (mut rollout, a) = (rollout(), "a".into());
    let none = FleetState { target_slots: 0, ..FLEET };
    rollout.report(&a, report(0.0, 1_000, 0), ms(1_000));
    assert_eq!(rollout.decide(&none, ms(1_000)), Decision::Share(0.0));
    assert_eq!(rollout.decide(&none, ms(20_000)), Decision::Share(0.0));
    let few = FleetState { target_slots: 20, ..FLEET };
    rollout.decide(&few, ms(21_000));
    for now in (22_000..30_000).step_by(250) {
        rollout.report(&a, report(0.05, 1_000, 0), ms(now));
        assert_eq!(rollout.decide(&few, ms(now)), Decision::Share(0.05));
    }
    assert!(matches!(rollout.decide(&FLEET, ms(30_000)), Decision::Share(s) if s > 0.1));
}

/// Guards against a verdict that is taken back by later results.
#[test]
fn revert_is_final() {
    let mut rollout = rollout();
    rollout.report(&"a".into(), failing(200, 10), ms(2_000));
    let verdict = rollout.decide(&FLEET, ms(2_000));
    assert!(matches!(verdict, Decision::Revert(_)));
    rollout.report(&"a".into(), failing(100_000, 10), Duration::from_secs(8));
    assert_eq!(rollout.decide(&FLEET, Duration::from_secs(12)), verdict);
}
