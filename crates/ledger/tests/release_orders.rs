//! Guards against engine memory that is never released after a program ended or its claimant was
//! lost.

mod common;

use common::{Reply, TestLedger, answered, call, keyed};
use poplarspan_proto::ledger::{
    Begin, Dispatch, EndpointGone, Granted, ReleaseAcknowledged, ledger_command::Command,
};

fn dispatch(m: &mut TestLedger, begin: &Begin, granted: Granted, endpoint: &str) -> Reply {
    let call = common::end(begin, granted, answered(0)).call;
    let dispatch = Dispatch { call, claim: granted.claim, endpoint: endpoint.into() };
    m.apply(Command::Dispatch(dispatch))
}

#[test]
fn end_orders_release_at_each_endpoint() {
    let mut m = TestLedger::new();
    m.run(&call("p", None, "a"), 1);
    let begin = Begin { endpoint: String::new(), ..call("p/c", None, "b") };
    let granted = m.granted(&begin);
    assert!(matches!(dispatch(&mut m, &begin, granted, "f"), Reply::Recorded(_)));
    assert!(m.orders().is_empty());
    m.finish("p");
    assert_eq!(m.orders(), [("e".into(), None), ("f".into(), None)]);
    m.finish("p");
    assert_eq!(m.orders().len(), 2, "a second finish must not add orders");
    assert!(matches!(dispatch(&mut m, &begin, granted, "g"), Reply::Ended(_)));
    let last = m.ledger.orders(0).map(|order| order.number).max();
    m.end(&begin, granted, answered(1));
    assert!(
        m.ledger.orders(0).map(|o| o.number).max() > last,
        "a call that ends late must be released too"
    );
}

#[test]
fn lost_claims_are_released_alone() {
    let mut m = TestLedger::new();
    let begin = call("p", None, "a");
    let granted = m.granted(&begin);
    dispatch(&mut m, &begin, granted, "f");
    let single = m.granted(&keyed("k"));
    m.gone("i", 1);
    let expected = [("e", granted), ("f", granted), ("e", single)];
    assert_eq!(m.orders(), expected.map(|(e, granted)| (e.into(), Some(granted.claim))));
    assert!(matches!(dispatch(&mut m, &begin, granted, "g"), Reply::Stale(_)));
}

#[test]
fn orders_stay_until_acknowledged() {
    let mut m = TestLedger::new();
    for (program, endpoint) in [("p", "e"), ("q", "f"), ("r", "f")] {
        m.run(&Begin { endpoint: endpoint.into(), ..call(program, None, "a") }, 1);
        m.finish(program);
    }
    let numbers = m.ledger.orders(0).map(|order| order.number).collect::<Vec<_>>();
    assert!(numbers.is_sorted() && numbers[0] > 0);
    m.expire_after(48 * 3_600_000);
    assert_eq!((m.ledger.program_count(), m.orders().len()), (0, 3));
    m.apply(Command::ReleaseAcknowledged(ReleaseAcknowledged { numbers: vec![numbers[1]] }));
    assert_eq!(m.ledger.orders(0).map(|o| o.number).collect::<Vec<_>>(), [numbers[0], numbers[2]]);
    m.apply(Command::EndpointGone(EndpointGone { endpoint: "f".into() }));
    assert_eq!(m.orders(), [("e".into(), None)]);
}
