//! Guards against a second run of a non-idempotent call that may already have run.

mod common;

use common::{
    Reply, TestLedger, answered, call, from_instance, keyed, non_idempotent, not_run, unknown,
};
use poplarspan_proto::ledger::{Begin, Granted, OutcomeUnknown, Stale};

/// Checks that neither a report of the former claimant nor a retry replaces the unknown outcome.
fn assert_final(m: &mut TestLedger, begin: &Begin, granted: Granted) {
    let unknown_reply = Reply::OutcomeUnknown(OutcomeUnknown { turn: granted.turn });
    let resend = from_instance("j", 1, begin.clone());
    assert_eq!(m.begin(&resend), unknown_reply);
    for outcome in [answered(1), not_run()] {
        assert_eq!(m.end(begin, granted, outcome), Reply::Stale(Stale {}));
    }
    let as_idempotent = Begin { kind: 1, ..resend };
    assert_eq!(m.begin(&as_idempotent), unknown_reply);
}

#[test]
fn lost_instance_leaves_an_unknown_outcome() {
    let mut m = TestLedger::new();
    for begin in [non_idempotent("p", Some(1), "a"), keyed("k")] {
        let granted = m.granted(&begin);
        assert_eq!(m.gone("i", 1).calls_unknown, 1);
        assert_final(&mut m, &begin, granted);
        m = TestLedger::new();
    }
}

#[test]
fn reported_unknown_outcome_is_final() {
    let mut m = TestLedger::new();
    for begin in [non_idempotent("p", Some(1), "a"), keyed("k")] {
        let granted = m.granted(&begin);
        assert!(matches!(m.end(&begin, granted, unknown()), Reply::Recorded(_)));
        assert!(matches!(m.end(&begin, granted, unknown()), Reply::Recorded(_)));
        assert_final(&mut m, &begin, granted);
    }
    assert_eq!(
        m.granted(&call("p", Some(2), "b")).turn,
        2,
        "the program must accept the next turn"
    );
}
