//! Tests of the limit on calls that start at a cold endpoint, over all instances.

use std::time::Duration;

use poplarspan_policy::cold_start::{InstanceRank, StartLimiter};
use proptest::{prelude::*, test_runner::RngSeed};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// All instances together start at most `per_second` calls in any second, even if there are
    /// more instances than calls.
    #[test]
    fn bound_over_instances(
        instances in 1u32..100,
        per_second in 0.0f64..60.0,
        offset in any::<u32>(),
        steps in proptest::collection::vec((any::<u32>(), 0u64..10), 100..600),
    ) {
        let mut limiters = vec![StartLimiter::default(); instances as usize];
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
        for from in &starts {
            let end = *from + Duration::from_secs(1);
            let count = starts.iter().filter(|at| **at >= *from && **at < end).count();
            prop_assert!(count as f64 <= per_second, "{count} starts in a second");
        }
    }
}

/// Guards against a cold endpoint that no instance may use: with 40 instances and a limit of 3,
/// three may.
#[test]
fn some_instances_may_start() {
    for offset in 0..50 {
        let open = (0..40).filter(|rank| {
            let rank = InstanceRank { rank: *rank, count: 40 };
            StartLimiter::default().allows(3.0, rank, offset, Duration::ZERO)
        });
        assert_eq!(open.count(), 3);
    }
}
