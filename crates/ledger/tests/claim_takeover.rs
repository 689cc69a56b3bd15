//! Guards against two claimants of one call after the loss of an instance, and against calls that
//! stay open forever.

mod common;

use common::{Reply, TestLedger, answer, answered, call, from_instance, keyed, unknown};
use poplarspan_proto::ledger::{Begin, Fenced, Stale};

const FENCED: Reply = Reply::Fenced(Fenced {});
const STALE: Reply = Reply::Stale(Stale {});

#[test]
fn gone_instance_loses_its_claims() {
    let mut m = TestLedger::new();
    let begin = call("p", Some(1), "a");
    let first = m.granted(&begin);
    let other = m.granted(&from_instance("j", 1, call("q", None, "a")));
    let swept = m.gone("i", 1);
    assert_eq!((swept.calls_claimable, swept.calls_unknown), (1, 0));
    let second = m.granted(&from_instance("j", 1, begin.clone()));
    assert!(second.claim > first.claim && second.turn == 1);
    assert_eq!(m.end(&begin, first, answered(1)), STALE);
    assert_eq!(m.end(&begin, first, common::not_run()), STALE);
    assert_eq!(m.begin(&call("x", None, "a")), FENCED, "a gone incarnation must not begin calls");
    m.end(&begin, second, answered(2));
    assert_eq!(m.begin(&from_instance("j", 1, begin)), Reply::Replay(answer(2)));
    assert!(matches!(m.end(&call("q", None, "a"), other, answered(1)), Reply::Recorded(_)));
}

#[test]
fn newer_incarnation_replaces_the_older() {
    let mut m = TestLedger::new();
    let begin = call("p", None, "a");
    let first = m.granted(&begin);
    m.granted(&from_instance("i", 2, call("q", None, "b")));
    assert_eq!(m.end(&begin, first, answered(1)), STALE);
    assert_eq!(m.begin(&begin), FENCED);
    assert_eq!(m.gone("i", 1).calls_claimable, 0, "the newer incarnation must keep its claims");
    assert!(m.granted(&from_instance("i", 2, begin)).claim > first.claim);
}

#[test]
fn abandoned_call_is_replaced() {
    let mut m = TestLedger::new();
    let first = m.granted(&call("p", Some(1), "a"));
    m.gone("i", 1);
    let swapped =
        Begin { body_digest: common::digest("x"), ..from_instance("j", 1, call("p", None, "a")) };
    assert!(matches!(m.begin(&swapped), Reply::BodyMismatch(_)), "same key with another body");
    let changed = from_instance("j", 1, common::non_idempotent("p", None, "a"));
    assert!(
        matches!(m.begin(&changed), Reply::BodyMismatch(_)),
        "the idempotent run may have taken effect"
    );
    let other = m.granted(&from_instance("j", 1, call("p", Some(1), "b")));
    assert!(other.claim > first.claim && other.turn == 1);
    assert_eq!(m.ledger.status("t", "p").expect("status").turns_used, 1);
}

#[test]
fn claim_numbers_survive_freed_keys() {
    let mut m = TestLedger::new();
    let first = m.granted(&keyed("k"));
    m.end(&keyed("k"), first, common::not_run());
    let second = m.granted(&keyed("k"));
    assert!(second.claim > first.claim);
    assert_eq!(m.end(&keyed("k"), first, answered(1)), STALE);
}

#[test]
fn timed_out_claims_are_lost() {
    let mut m = TestLedger::new();
    let begin = Begin { timeout_ms: 50, ..call("p", None, "a") };
    let first = m.granted(&begin);
    assert_eq!(m.expire_after(49).calls_claimable, 0);
    assert_eq!(m.expire_after(1).calls_claimable, 1);
    assert_eq!(m.end(&begin, first, answered(1)), STALE);
    let second = m.granted(&begin);
    assert!(matches!(m.end(&begin, second, unknown()), Reply::Recorded(_)));
    assert!(m.granted(&begin).claim > second.claim);
}
