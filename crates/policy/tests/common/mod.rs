//! Helpers for the tests.

use std::time::Duration;

use proptest::test_runner::{Config, RngSeed};

/// Returns a time or duration of `n` milliseconds.
#[allow(dead_code)]
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a proptest configuration with `cases` cases from a fixed seed.
#[allow(dead_code)]
pub fn fixed_seed(cases: u32, seed: u64) -> Config {
    println!("proptest seed {seed}");
    Config { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(seed), ..Config::default() }
}
