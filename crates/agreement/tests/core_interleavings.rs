//! Guards against lost, reordered or conflicting committed entries, stale reads, and groups that do
//! not recover, under random interleavings of faults.

mod harness;

use harness::faults::{self, Mix};

const RUNS: u64 = 4_000;
const STEPS: usize = 300;

fn run_seeds(first: u64, mix: Mix) {
    for seed in first..first + RUNS {
        faults::run(seed, mix, STEPS);
    }
}

#[test]
fn mixed_faults() {
    run_seeds(0, faults::MIXED);
}

#[test]
fn crashes_before_sync() {
    run_seeds(1_000_000, faults::CRASHES);
}

#[test]
fn unstable_leaders() {
    run_seeds(5_000_000, faults::ELECTIONS);
}

#[test]
fn reads_of_old_leaders() {
    run_seeds(2_000_000, faults::READS);
}

#[test]
fn voter_changes() {
    run_seeds(3_000_000, faults::CHANGES);
}

#[test]
fn lost_disks() {
    run_seeds(6_000_000, faults::LOSSES);
}

/// Longer runs of all fault mixes. `POPLARSPAN_SOAK_SEED` sets the first seed and
/// `POPLARSPAN_SOAK_RUNS` the number of runs.
#[test]
fn soak() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let first = number("POPLARSPAN_SOAK_SEED").unwrap_or(4_000_000);
    let mixes = [
        faults::MIXED,
        faults::CRASHES,
        faults::ELECTIONS,
        faults::READS,
        faults::CHANGES,
        faults::LOSSES,
    ];
    for seed in first..first + number("POPLARSPAN_SOAK_RUNS").unwrap_or(40) {
        faults::run(seed, mixes[(seed / 8 % 6) as usize], 2_000);
    }
}
