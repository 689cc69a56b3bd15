//! Guards against turns that run out of order, twice, or concurrently.

mod common;

use common::{Reply, TestLedger, answer, call, claimant, from_instance, non_idempotent, not_run};
use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{Begin, OutOfOrder, Running};

#[test]
fn explicit_turns_run_in_order() {
    let mut m = TestLedger::new();
    let expect = |expected| Reply::OutOfOrder(OutOfOrder { expected });
    assert_eq!(m.begin(&call("p", Some(2), "k2")), expect(1));
    assert!(m.ledger.status("t", "p").is_none(), "a refused call must not create a program");
    let first = m.granted(&call("p", Some(1), "k1"));
    assert_eq!(m.begin(&call("p", Some(2), "k2")), expect(1), "turn 1 is still open");
    m.end(&call("p", Some(1), "k1"), first, common::answered(1));
    assert_eq!(m.begin(&call("p", Some(3), "k3")), expect(2));
    assert_eq!(m.run(&call("p", Some(2), "k2"), 1).turn, 2);
}

#[test]
fn calls_without_turn_take_the_next_one() {
    let mut m = TestLedger::new();
    let first = m.granted(&call("p", None, "a"));
    let other = from_instance("j", 1, call("p", None, "b"));
    let running = Running { claimant: Some(claimant("i", 1)), turn: 1 };
    assert_eq!(m.begin(&other), Reply::Running(running));
    m.end(&call("p", None, "a"), first, common::answered(1));
    assert_eq!(m.granted(&other).turn, 2);
}

#[test]
fn not_run_frees_the_turn() {
    let mut m = TestLedger::new();
    let begin = non_idempotent("p", Some(1), "a");
    let first = m.granted(&begin);
    m.end(&begin, first, not_run());
    assert_eq!(m.ledger.status("t", "p").expect("status").turns_used, 0);
    let again = m.granted(&non_idempotent("p", Some(1), "other"));
    assert!(again.claim > first.claim && again.turn == 1);
}

#[test]
fn resends_after_the_end_are_replayed() {
    let mut m = TestLedger::new();
    m.run(&call("p", Some(1), "a"), 1);
    m.finish("p");
    assert_eq!(m.begin(&call("p", Some(1), "a")), Reply::Replay(answer(1)));
    assert!(matches!(m.begin(&call("p", Some(2), "b")), Reply::Ended(_)));
    assert!(matches!(m.begin(&call("p/child", None, "b")), Reply::Ended(_)));
}

#[test]
fn malformed_calls_change_nothing() {
    let mut m = TestLedger::new();
    let (level, part) = ("a/".repeat(8) + "a", "a".repeat(65));
    let mut other = Ledger::new();
    other.apply(1, b"");
    let paths = ["", "a//b", "/a", "a b", &level, &part].map(|path| call(path, None, "a"));
    let others = [
        call("p", Some(0), "a"),
        call("p", None, ""),
        Begin { claimant: None, ..call("p", None, "a") },
        Begin { kind: 7, ..call("p", None, "a") },
        Begin { body_digest: "short".into(), ..call("p", None, "a") },
    ];
    for begin in paths.into_iter().chain(others) {
        m.index = 0;
        m.now_ms += 1;
        assert!(matches!(m.begin(&begin), Reply::Invalid(_)), "{begin:?}");
        assert!(m.ledger == other, "{begin:?} changed the state");
    }
}
