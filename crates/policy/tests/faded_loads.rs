//! Tests of load reports that arrive only with answers.

use std::time::Duration;

use poplarspan_policy::route::{EndpointSpec, Fleet, LoadReport};

/// Guards against an endpoint that counts as full forever after it was once reported full, because
/// it gets no more calls whose answers would report a lower load.
#[test]
fn full_report_decays() {
    let mut fleet = Fleet::new();
    let id = fleet.upsert(EndpointSpec {
        name: "e1".into(),
        zone: "z1".into(),
        groups: vec!["s".into()],
        capacity: 8,
        prefill_per_second: f64::INFINITY,
        service_s: 0.2,
        leaving: false,
    });
    let (half_life, seen) = (Duration::from_millis(500), Duration::from_secs(1));
    fleet.report(id, &LoadReport { running: 8, queued: 8, measured_at: seen });
    fleet.call_started(id, seen);
    fleet.decay_reports(half_life, seen);
    assert_eq!(fleet.load(id), 17.0);
    fleet.decay_reports(half_life, seen + half_life);
    assert_eq!(fleet.load(id), 9.0, "own calls count in full, those of others half");
    fleet.decay_reports(half_life, seen + 20 * half_life);
    assert!(fleet.load(id) < 1.1);
    fleet.report(id, &LoadReport { running: 8, queued: 0, measured_at: seen + 20 * half_life });
    assert!(fleet.load(id) >= 8.0, "a new report counts in full");
}
