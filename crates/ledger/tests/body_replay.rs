//! Guards against a retry that runs a call again, and against one key that identifies two calls.

mod common;

use common::{Reply, TestLedger, answer, call, digest, from_instance, keyed};
use poplarspan_proto::ledger::{Begin, BodyMismatch, Granted};

const MISMATCH: Reply = Reply::BodyMismatch(BodyMismatch {});

#[test]
fn same_key_and_body_replay_the_answer() {
    let mut m = TestLedger::new();
    m.run(&call("p", Some(1), "a"), 3);
    m.run(&call("p", None, "b"), 4);
    assert_eq!(m.begin(&call("p", Some(1), "a")), Reply::Replay(answer(3)));
    assert_eq!(m.begin(&call("p", None, "a")), Reply::Replay(answer(3)));
    assert_eq!(m.begin(&call("p", Some(2), "b")), Reply::Replay(answer(4)));
    m.run(&keyed("k"), 0);
    assert_eq!(m.begin(&keyed("k")), Reply::Replay(answer(0)));
}

#[test]
fn other_body_or_turn_is_refused() {
    let mut m = TestLedger::new();
    m.run(&call("p", Some(1), "a"), 1);
    m.run(&keyed("a"), 1);
    let other = |begin| Begin { body_digest: digest("other"), ..begin };
    assert_eq!(m.begin(&other(call("p", Some(1), "a"))), MISMATCH);
    assert_eq!(m.begin(&other(call("p", None, "a"))), MISMATCH);
    assert_eq!(m.begin(&other(keyed("a"))), MISMATCH);
    assert_eq!(m.begin(&call("p", Some(2), "a")), MISMATCH, "the key belongs to turn 1");
    assert_eq!(m.begin(&call("p", Some(1), "b")), MISMATCH, "the turn belongs to another key");
}

#[test]
fn turn_identifies_calls_without_own_key() {
    let mut m = TestLedger::new();
    let generated =
        |key| Begin { key_generated: true, body_digest: digest("same"), ..call("p", Some(1), key) };
    m.run(&generated("random-1"), 1);
    assert_eq!(m.begin(&generated("random-2")), Reply::Replay(answer(1)));
    let other = Begin { body_digest: digest("other"), ..generated("random-3") };
    assert_eq!(m.begin(&other), MISMATCH);
}

/// A claimant proposes a begin again when its answer was lost. It must get its own claim, not the
/// answer that the call is already running.
#[test]
fn resent_proposal_gets_the_same_claim() {
    let mut m = TestLedger::new();
    let begin = Begin { attempt: 7, ..call("p", None, "a") };
    let first = m.granted(&begin);
    assert_eq!(m.granted(&begin), first);
    assert!(matches!(m.begin(&Begin { attempt: 8, ..begin.clone() }), Reply::Running(_)));
    assert!(matches!(m.begin(&Begin { kind: 2, ..begin.clone() }), Reply::Running(_)));
    assert!(matches!(m.begin(&from_instance("j", 1, begin.clone())), Reply::Running(_)));
    let recorded = Reply::Recorded(Default::default());
    assert_eq!(m.end(&begin, first, common::answered(1)), recorded);
    assert_eq!(m.end(&begin, first, common::answered(1)), recorded);
    let stale = Reply::Stale(Default::default());
    assert_eq!(m.end(&begin, first, common::answered(2)), stale);
    assert_eq!(m.end(&begin, first, common::not_run()), stale);
    assert_eq!(m.end(&begin, Granted { turn: 2, ..first }, common::answered(1)), stale);
}
