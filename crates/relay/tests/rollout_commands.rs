//! Rollouts in the state of the control group.

use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay::{self as pb, RolloutStage, board_command::Body};
use poplarspan_relay::ControlState;
use prost::Message;

const REPEAT_MS: u64 = 10_000;

/// Applies a command and returns whether it conflicts with a running rollout.
fn apply(state: &mut ControlState, index: u64, body: Body) -> bool {
    let command = pb::BoardCommand { body: Some(body) }.encode_to_vec();
    pb::BoardResult::decode(state.apply(index, &command)).expect("a result").rollout_conflict
}

/// Orders a rollout of service `s` and returns whether it conflicts with a running one.
fn start(state: &mut ControlState, index: u64, target: &str, started_ms: u64) -> bool {
    let (service, target) = ("s".to_owned(), target.to_owned());
    let order =
        pb::StartRollout { service, target, over_ms: 12_000, started_ms, repeat_ms: REPEAT_MS };
    apply(state, index, Body::StartRollout(order))
}

fn end(state: &mut ControlState, id: u64, stage: RolloutStage, retired: &[&str]) {
    let retired = retired.iter().map(|v| (*v).to_owned()).collect();
    let command = pb::AdvanceRollout { id, stage: stage.into(), retired };
    assert!(!apply(state, 1_000 + id, Body::AdvanceRollout(command)));
}

/// Target and stage of the newest rollout of service `s`.
fn newest(state: &ControlState) -> (&str, RolloutStage) {
    let rollout = state.rollout("s").expect("a rollout");
    (&rollout.target, rollout.stage())
}

/// Guards against a resent order that starts a second rollout, and against two at a time.
#[test]
fn repeated_order() {
    let mut state = ControlState::default();
    assert!(!start(&mut state, 1, "v2", 1_000));
    assert!(!start(&mut state, 2, "v2", 60_000));
    assert!(start(&mut state, 3, "v3", 60_000));
    let rollout = state.rollout("s").expect("a rollout");
    assert_eq!((rollout.id, rollout.started_ms), (1, 1_000));
    assert_eq!(state.rollouts().len(), 1);
    let other = pb::StartRollout { service: "t".to_owned(), ..pb::StartRollout::default() };
    assert!(!apply(&mut state, 4, Body::StartRollout(other)));
    assert_eq!(newest(&state), ("v2", RolloutStage::Running));
}

/// Guards against a resent order that reverses its own outcome, and against an operator who cannot
/// try a reverted version again.
#[test]
fn order_after_revert() {
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    end(&mut state, 1, RolloutStage::Reverted, &[]);
    assert!(!start(&mut state, 2, "v2", 1_000 + REPEAT_MS - 1));
    assert_eq!(newest(&state), ("v2", RolloutStage::Reverted));
    assert!(!start(&mut state, 3, "v2", 1_000 + REPEAT_MS));
    assert_eq!(newest(&state), ("v2", RolloutStage::Running));
    assert_eq!(state.rollouts().len(), 1, "the version is still excluded");
}

/// A reverted version stays excluded while another one is rolled out.
#[test]
fn other_target_after_revert() {
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    end(&mut state, 1, RolloutStage::Reverted, &[]);
    assert!(!start(&mut state, 2, "v3", 1_001));
    let stages: Vec<_> = state.rollouts().iter().map(|r| (&*r.target, r.stage())).collect();
    assert_eq!(stages, [("v2", RolloutStage::Reverted), ("v3", RolloutStage::Running)]);
}

/// Guards against a return to an earlier version whose endpoints get no calls, because an earlier
/// rollout retired it.
#[test]
fn return_to_retired() {
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    end(&mut state, 1, RolloutStage::Completed, &["v0", "v1"]);
    assert!(!start(&mut state, 2, "v1", 2_000));
    assert_eq!(state.rollouts()[0].retired, ["v0"]);
}

/// A rollout ends once, and only while it is the running one.
#[test]
fn ends_once() {
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    end(&mut state, 9, RolloutStage::Completed, &["v1"]);
    end(&mut state, 1, RolloutStage::Running, &["v1"]);
    assert_eq!(newest(&state), ("v2", RolloutStage::Running));
    end(&mut state, 1, RolloutStage::Reverted, &[]);
    end(&mut state, 1, RolloutStage::Completed, &["v1"]);
    let rollout = state.rollout("s").expect("a rollout");
    assert_eq!((rollout.stage(), rollout.retired.len()), (RolloutStage::Reverted, 0));
}

/// The number of kept rollouts of a service is bounded, and the newest are kept.
#[test]
fn bounded_history() {
    let mut state = ControlState::default();
    for n in 1..=40 {
        assert!(!start(&mut state, n, &format!("v{n}"), n));
        end(&mut state, n, RolloutStage::Reverted, &[]);
    }
    let kept: Vec<u64> = state.rollouts().iter().map(|r| r.id).collect();
    assert_eq!(kept, (33..=40).collect::<Vec<_>>());
}

#[test]
fn survives_snapshots() {
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    end(&mut state, 1, RolloutStage::Completed, &["v1"]);
    start(&mut state, 2, "v3", 30_000);
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(restored, state);
    // A copy of the order has the same outcome at the restored replica.
    assert!(!start(&mut restored, 3, "v3", 30_001));
    assert_eq!(restored, state);
}

/// A snapshot of a build without rollouts has none, and replaces those of the replica.
#[test]
fn older_snapshot() {
    let mut older = pb::BoardSnapshot::decode(ControlState::default().snapshot()).expect("valid");
    older.version = 5;
    assert!(older.rollouts.is_empty());
    let mut state = ControlState::default();
    start(&mut state, 1, "v2", 1_000);
    state.restore(&older.encode_to_vec()).expect("a valid snapshot");
    assert_eq!((state.version(), state.rollouts().len()), (5, 0));
    assert!(!start(&mut state, 2, "v3", 1_000));
}
