//! Replays the calls of programs at fleets of fronts during a rollout. Without the division, the
//! calls spread over all listed endpoints, and the target gets the share of its endpoints.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    version_split::{
        CallResult, FULL_SHARE_PPM, MAX_REPORTED_ROWS, Rule, Side, Sides, SplitCall, Stage,
        VersionSplits,
    },
};

const FRONTS: [usize; 3] = [8, 57, 300];
const SERVICE: &str = "s";
const PROGRAMS: usize = 6_000;
const TURNS: usize = 3;
/// Equal numbers of endpoints of both versions, as at the start of a rollout.
const ENDPOINTS: usize = 16;

fn name(text: impl AsRef<str>) -> Name {
    text.as_ref().into()
}

fn rule(id: u64, target: &str, stage: Stage) -> Rule {
    Rule { id, service: name(SERVICE), target: name(target), stage }
}

fn running(share_ppm: u32) -> Rule {
    rule(1, "new", Stage::Running { share_ppm })
}

fn reverted() -> Rule {
    rule(1, "new", Stage::Reverted)
}

fn splits(rules: Vec<Rule>) -> VersionSplits {
    let mut splits = VersionSplits::default();
    splits.update(rules);
    splits.note_versions(SERVICE, [Some(&name("old")), Some(&name("new"))].into_iter());
    splits
}

fn call(key: &str) -> SplitCall<'_> {
    SplitCall { service: SERVICE, key, software: None, has_failed: false }
}

fn resumed(software: &Name) -> SplitCall<'_> {
    SplitCall { software: Some(software), ..call("any") }
}

/// Numbers of calls to both sides, while the fronts learn of each share one after another.
fn replay(fronts: usize, shares: &[u32], moved_back: &mut usize) -> (usize, usize) {
    let mut fleet: Vec<_> = (0..fronts).map(|_| splits(vec![running(shares[0])])).collect();
    let mut last = vec![None; PROGRAMS];
    let (mut target, mut all) = (0, 0);
    for share in shares {
        for turn in 0..TURNS {
            for (program, last) in last.iter_mut().enumerate() {
                let front = (program * 7 + turn * 3) % fronts;
                // Views are stale: the share arrives during the first turn.
                if turn > 0 || program % 2 == 0 {
                    fleet[front].update(vec![running(*share)]);
                }
                let key = format!("program-{program}");
                let Sides::Of(side, _) = fleet[front].sides(&call(&key)) else {
                    panic!("service has a rollout")
                };
                let is_settled = turn > 0;
                *moved_back +=
                    usize::from(is_settled && *last == Some(Side::Target) && side == Side::Others);
                if is_settled {
                    *last = Some(side);
                }
                target += usize::from(side == Side::Target);
                all += 1;
            }
        }
    }
    (target, all)
}

/// Guards against fronts that send the target more than its share, or that divide programs
/// differently, so that turns of one program run on both versions.
#[test]
fn share_kept() {
    // The baseline sends half of the calls to the target, whose endpoints are half of all.
    let baseline = ENDPOINTS as f64 / (2 * ENDPOINTS) as f64;
    for fronts in FRONTS {
        let mut moved_back = 0;
        let (target, all) = replay(fronts, &[50_000], &mut moved_back);
        let share = target as f64 / all as f64;
        assert!((0.045..0.055).contains(&share), "{share} of the calls at {fronts} fronts");
        assert!(share < baseline / 5.0);
        assert_eq!(moved_back, 0, "programs that left the target, at {fronts} fronts");
        replay(fronts, &[50_000, 150_000, 400_000, FULL_SHARE_PPM], &mut moved_back);
        assert_eq!(moved_back, 0, "programs that left the target, at {fronts} fronts");
    }
}

/// Guards against an outage of the old version that sends the target all calls.
#[test]
fn no_fallback_to_target() {
    let splits = splits(vec![running(300_000)]);
    for n in 0..1_000 {
        let key = format!("program-{n}");
        match splits.sides(&call(&key)) {
            Sides::Of(Side::Others, second) => assert_eq!(second, None),
            Sides::Of(Side::Target, second) => assert_eq!(second, Some(Side::Others)),
            other => panic!("unexpected {other:?}"),
        }
        // A call that the target has failed is not sent there again.
        let failed = SplitCall { has_failed: true, ..call(&key) };
        assert_eq!(splits.sides(&failed), Sides::Of(Side::Others, None));
    }
}

/// Guards against a late heartbeat answer that takes a rollout back to a stage before its end.
#[test]
fn late_answers() {
    let mut splits = splits(vec![running(500_000)]);
    splits.update(vec![reverted()]);
    splits.update(vec![running(500_000)]);
    assert_eq!(splits.side(SERVICE, Some(&name("new"))), None);
    assert_eq!(splits.sides(&resumed(&name("new"))), Sides::Gone);
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Others, None));
    assert!(splits.reports().is_empty(), "the rollout has ended");
}

/// Guards against a call that is sent to an old endpoint after the front has reported that it has
/// no more calls there: the endpoint may stop at any time.
#[test]
fn binding_report() {
    let (old, service) = (name("old"), name(SERVICE));
    let mut splits = splits(vec![running(FULL_SHARE_PPM)]);
    splits.call_opened(&service, Some(&old));
    assert_eq!(splits.reports()[0].old_in_flight, 1);
    assert_eq!(splits.sides(&resumed(&old)), Sides::Of(Side::Others, None));
    splits.call_closed(&service, Some(&old));
    assert_eq!(splits.sides(&resumed(&old)), Sides::Of(Side::Others, None), "not reported yet");
    assert_eq!(splits.reports()[0].old_in_flight, 0);
    for late in [FULL_SHARE_PPM, 400_000] {
        splits.update(vec![running(late)]);
        assert_eq!(splits.sides(&resumed(&old)), Sides::Gone);
        assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Target, None));
        assert_eq!(splits.reports()[0].share_ppm, FULL_SHARE_PPM);
    }
    splits.update(vec![reverted()]);
    assert_eq!(splits.sides(&resumed(&old)), Sides::Of(Side::Others, None));
}

/// Guards against a rollout that completes while calls are open at retired versions, and against a
/// new leader that takes the rollout for running and lets calls go back to these, or waits for
/// reports that never come.
#[test]
fn completed_before_record() {
    let (old, service) = (name("old"), name(SERVICE));
    let retired = vec![name(""), old.clone()];
    let completed = rule(1, "new", Stage::Completed { retired });
    let mut splits = splits(vec![running(FULL_SHARE_PPM)]);
    splits.call_opened(&service, Some(&old));
    splits.call_opened(&service, Some(&name("new")));
    splits.update(vec![completed.clone()]);
    assert_eq!(splits.side(SERVICE, None), None, "endpoints without a version are retired");
    assert_eq!(splits.sides(&resumed(&old)), Sides::Gone);
    assert_eq!(splits.reports()[0].old_in_flight, 1);
    splits.call_closed(&service, Some(&old));
    assert!(splits.reports().is_empty());
    splits.update(vec![running(0)]);
    assert_eq!(splits.sides(&resumed(&old)), Sides::Gone);
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Target, None));
    let report = &splits.reports()[0];
    assert_eq!((report.share_ppm, report.old_in_flight), (FULL_SHARE_PPM, 0));
    splits.update(vec![reverted()]);
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Others, None));
    assert_eq!(splits.side(SERVICE, Some(&name("new"))), None);
}

/// Guards against open calls that are not counted because they began before the rollout, at an
/// endpoint without a version, or at the target of an earlier one.
#[test]
fn open_calls() {
    let mut splits = VersionSplits::default();
    let (service, other) = (name(SERVICE), name("other"));
    for software in [None, Some(name("old")), Some(name("older")), Some(name("new"))] {
        splits.call_opened(&service, software.as_ref());
        splits.call_opened(&other, software.as_ref());
    }
    splits.update(vec![running(0)]);
    assert_eq!(splits.reports()[0].old_in_flight, 3);
    splits.call_closed(&service, None);
    splits.call_closed(&service, Some(&name("new")));
    assert_eq!(splits.reports()[0].old_in_flight, 2);
}

/// Guards against retired or reverted versions that get calls, and against a version that stays
/// excluded once a later rollout brings it back.
#[test]
fn ended_rollouts() {
    let retired = vec![name("v1")];
    let completed = rule(1, "v2", Stage::Completed { retired });
    let mut splits = VersionSplits::default();
    splits.update(vec![completed.clone(), rule(2, "v3", Stage::Reverted)]);
    let side = |splits: &VersionSplits, version| splits.side(SERVICE, Some(&name(version)));
    assert_eq!(side(&splits, "v1"), None);
    assert_eq!(side(&splits, "v2"), Some(Side::Others));
    assert_eq!(side(&splits, "v3"), None);
    assert_eq!(side(&splits, "v4"), Some(Side::Others));
    splits.update(vec![completed, rule(3, "v1", Stage::Running { share_ppm: 0 })]);
    assert_eq!(side(&splits, "v1"), Some(Side::Target));
    assert_eq!(splits.sides(&SplitCall { service: "other", ..call("a") }), Sides::Any);
}

/// Guards against an outage between the order and the first share if all endpoints have the target
/// version already.
#[test]
fn nothing_to_divide() {
    let mut splits = VersionSplits::default();
    splits.update(vec![running(0)]);
    splits.note_versions(SERVICE, [Some(&name("new"))].into_iter());
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Target, None));
    splits.note_versions(SERVICE, [Some(&name("new")), Some(&name("old"))].into_iter());
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Others, None));
    // Once there was something to divide, the loss of the old endpoints frees nothing.
    splits.note_versions(SERVICE, [Some(&name("new"))].into_iter());
    assert_eq!(splits.sides(&call("a")), Sides::Of(Side::Others, None));
}

/// Guards against a canary at so many endpoints that none of them is under load, or at so few that
/// one failing endpoint looks like a bad version.
#[test]
fn used_endpoints() {
    let names: Vec<_> = (0..40).map(|n| name(format!("i-{n}"))).collect();
    let mut before = Vec::new();
    for (share_ppm, count) in [(0, 3), (50_000, 3), (150_000, 6), (400_001, 17), (1_000_000, 40)] {
        let splits = splits(vec![running(share_ppm)]);
        let used = splits.used_endpoints(SERVICE, names.iter().collect());
        assert_eq!(used.len(), count, "at a share of {share_ppm}");
        let reversed = splits.used_endpoints(SERVICE, names.iter().rev().collect());
        assert_eq!(used, reversed, "fronts differ");
        assert!(before.iter().all(|name| used.contains(name)), "an endpoint is no longer used");
        before = used;
    }
    let two = splits(vec![running(0)]).used_endpoints(SERVICE, names[..2].iter().collect());
    assert_eq!(two.len(), 2);
}

/// Guards against reports that grow with the fleet, or that lack the routes of the old version,
/// without which the target cannot be judged.
#[test]
fn bounded_reports() {
    let (old, new) = (name("old"), name("new"));
    let mut splits = splits(vec![running(FULL_SHARE_PPM / 2)]);
    let took = CallResult::Answered(Some(Duration::from_millis(10)));
    for route in 0..10 {
        let route = name(format!("route-{route}"));
        for endpoint in 0..200 {
            let endpoint = name(format!("i-{endpoint}"));
            for result in [CallResult::Failed, took, took] {
                splits.call_ended(SERVICE, &route, &endpoint, Some(&new), result);
            }
            splits.call_ended(SERVICE, &route, &endpoint, Some(&old), took);
        }
    }
    let worst = name("i-7");
    splits.call_ended(SERVICE, &name("route-3"), &worst, Some(&new), CallResult::Failed);
    let evidence = &splits.reports()[0].evidence;
    assert_eq!(evidence.len(), MAX_REPORTED_ROWS);
    let old_rows: Vec<_> = evidence.iter().filter(|row| row.endpoint.is_none()).collect();
    assert_eq!(old_rows.len(), 10);
    assert!(old_rows.iter().all(|row| row.answered == 200 && row.duration.as_secs() == 2));
    let row = evidence.iter().find(|row| row.endpoint.is_some()).expect("rows of the target");
    assert_eq!((&*row.route, row.endpoint.as_ref()), ("route-3", Some(&worst)));
    assert_eq!((row.failed, row.answered), (2, 2));
}

/// Guards against evidence against a good version because its endpoints are cold.
#[test]
fn cold_endpoints() {
    let (route, endpoint) = (name("r"), name("i-1"));
    let mut splits = splits(vec![running(FULL_SHARE_PPM / 2)]);
    for version in ["old", "new"] {
        let cold = CallResult::Answered(None);
        splits.call_ended(SERVICE, &route, &endpoint, Some(&name(version)), cold);
    }
    let report = &splits.reports()[0];
    let [row] = &report.evidence[..] else { panic!("unexpected {report:?}") };
    assert_eq!((row.answered, row.duration, row.failed), (1, Duration::ZERO, 0));
    assert_eq!(row.endpoint.as_ref(), Some(&endpoint));
}
