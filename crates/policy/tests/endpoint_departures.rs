//! Tests that an announced departure is valid until the next start of the endpoint is known.

use poplarspan_policy::{
    Name,
    departures::{Departures, EndpointRun},
};

fn start(name: &str, started_ms: Option<u64>) -> EndpointRun<'_> {
    EndpointRun { name, started_ms }
}

#[test]
fn until_next_start() {
    let mut departures = Departures::default();
    let name: Name = "engine-1".into();
    assert!(!departures.contains(start("engine-1", Some(7))));
    departures.record(&name, Some(7));
    assert!(departures.contains(start("engine-1", Some(7))));
    assert!(!departures.contains(start("engine-2", Some(7))));

    // The same run, listed again or missing for a while, is still the one that leaves.
    departures.reconcile(&[start("engine-1", Some(7)), start("engine-2", Some(7))]);
    departures.reconcile(&[start("engine-2", Some(7))]);
    departures.reconcile(&[start("engine-1", Some(7))]);
    assert!(departures.contains(start("engine-1", Some(7))));

    // A later run under the same name has not announced anything.
    assert!(!departures.contains(start("engine-1", Some(9))));
    departures.reconcile(&[start("engine-1", Some(9))]);
    assert!(!departures.contains(start("engine-1", Some(7))));
}

#[test]
fn without_start_times() {
    let mut departures = Departures::default();
    departures.record(&"engine-1".into(), None);
    departures.reconcile(&[start("engine-1", None)]);
    assert!(departures.contains(start("engine-1", None)));
    departures.reconcile(&[]);
    departures.reconcile(&[start("engine-1", None)]);
    assert!(!departures.contains(start("engine-1", None)));
}

#[test]
fn bounded_memory() {
    let mut departures = Departures::default();
    for n in 0..10_000 {
        departures.record(&format!("engine-{n}").into(), Some(n));
    }
    assert!(!departures.contains(start("engine-0", Some(0))));
    assert!(departures.contains(start("engine-9999", Some(9_999))));
}
