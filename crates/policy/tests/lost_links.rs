//! Plays fleets on endpoints some of which are down, and instances some of which are cut off.

use poplarspan_policy::links::{LinkChange, LinkMonitor, ROUND_ENDPOINTS};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::index};

const SEEDS: std::ops::Range<u64> = 1..6;
const ENDPOINTS: usize = 20;
const ROUNDS: usize = 1_000;

/// Plays rounds with `down` unreachable endpoints and returns in how many the links were cut.
fn rounds_cut(down: usize, rng: &mut StdRng) -> usize {
    let mut monitor = LinkMonitor::default();
    let mut cut = 0;
    for _ in 0..ROUNDS {
        let tried = index::sample(rng, ENDPOINTS, ROUND_ENDPOINTS);
        let reached = tried.iter().filter(|endpoint| *endpoint >= down).count();
        monitor.record_round(tried.len(), reached);
        cut += usize::from(monitor.is_cut());
    }
    cut
}

/// An instance that reaches no endpoint knows after one round. A fifth of the endpoints that are
/// down are rarely taken for cut links, although the caller does not know which are down.
#[test]
fn cut_links_and_crashed_endpoints() {
    for seed in SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        assert_eq!(rounds_cut(ENDPOINTS, &mut rng), ROUNDS, "seed {seed}");
        let mistaken = rounds_cut(ENDPOINTS / 5, &mut rng);
        assert!(mistaken < ROUNDS / 50, "seed {seed}: {mistaken} of {ROUNDS} rounds");
        assert_eq!(rounds_cut(0, &mut rng), 0, "seed {seed}");
    }
}

#[test]
fn changes_are_told_once() {
    let mut monitor = LinkMonitor::default();
    assert_eq!(monitor.record_round(3, 1), None);
    assert_eq!(monitor.record_round(0, 0), None, "no endpoint is known");
    assert_eq!(monitor.record_round(3, 0), Some(LinkChange::Cut));
    assert_eq!(monitor.record_round(0, 0), None, "no endpoint is known");
    assert_eq!(monitor.record_round(3, 0), None);
    assert!(monitor.is_cut());
    let reached = StdRng::seed_from_u64(1).random_range(1..=ROUND_ENDPOINTS);
    assert_eq!(monitor.record_round(ROUND_ENDPOINTS, reached), Some(LinkChange::Restored));
    assert!(!monitor.is_cut());
}
