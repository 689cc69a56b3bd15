//! Tests of the limits that endpoints name.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    call_limit::{LIMIT_TTL, LIMIT_WINDOW, NamedLimits},
    cold_start::{InstanceRank, StartLimiter},
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Limits in force, without the names' type.
fn limits(named: &NamedLimits, now: Duration) -> Vec<(String, f64)> {
    named.limits(now).map(|(name, limit)| (name.to_string(), limit)).collect()
}

#[test]
fn named_and_ended() {
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let mut named = NamedLimits::default();
    let at = Duration::from_secs;
    assert!(named.record(&b, Some(5.0), at(0)));
    assert!(named.record(&a, Some(2.5), at(1)));
    assert!(!named.record(&b, Some(4.0), at(1)), "a change of the rate is no new limit");
    assert_eq!(limits(&named, at(1)), [("a".to_owned(), 2.5), ("b".to_owned(), 4.0)]);
    assert!(named.record(&a, None, at(2)));
    assert!(!named.record(&a, None, at(2)));
    assert_eq!(limits(&named, at(2)), [("b".to_owned(), 4.0)]);
    assert_eq!(limits(&named, at(1) + LIMIT_TTL), [], "nobody has reported it again");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// All instances together keep to the limit in any window, whatever their number and the
    /// demand at each.
    #[test]
    fn kept_by_all(
        instances in 1u32..100,
        per_second in 0.0f64..60.0,
        offset in any::<u32>(),
        steps in proptest::collection::vec((any::<u32>(), 0u64..20), 100..600),
    ) {
        let mut limiters = vec![StartLimiter::new(LIMIT_WINDOW); instances as usize];
        let (mut now, mut starts) = (Duration::ZERO, Vec::new());
        for (index, pause) in steps {
            now += Duration::from_millis(pause);
            let rank = index % instances;
            let limiter = &mut limiters[rank as usize];
            if limiter.allows(per_second, InstanceRank { rank, count: instances }, offset, now) {
                limiter.record_start(now);
                starts.push(now);
            }
        }
        let allowed = per_second * LIMIT_WINDOW.as_secs_f64();
        for from in &starts {
            let end = *from + LIMIT_WINDOW;
            let count = starts.iter().filter(|at| **at >= *from && **at < end).count();
            prop_assert!(count as f64 <= allowed, "{count} starts, {allowed} allowed");
        }
    }
}

/// Guards against a limit that is hardly used: as many instances may start a call in a window as
/// the limit allows calls.
#[test]
fn limit_is_used() {
    for offset in 0..50 {
        let open = (0..40).filter(|rank| {
            let rank = InstanceRank { rank: *rank, count: 40 };
            StartLimiter::new(LIMIT_WINDOW).allows(4.5, rank, offset, Duration::ZERO)
        });
        assert_eq!(open.count(), 9);
    }
}

/// The next calls may start when the calls before them leave the window.
#[test]
fn next_starts() {
    let only = InstanceRank { rank: 0, count: 1 };
    let ms = Duration::from_millis;
    let mut limiter = StartLimiter::new(ms(2_000));
    limiter.record_start(ms(100));
    limiter.record_start(ms(300));
    let starts: Vec<_> = limiter.next_starts(1.5, only, 0, ms(500)).collect();
    assert_eq!(starts, [ms(500), ms(2_100), ms(2_300)]);
    assert_eq!(limiter.next_starts(0.0, only, 0, ms(500)).count(), 0);
}
