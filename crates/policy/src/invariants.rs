//! Runtime assertions of invariants.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariant violations this process has seen; the server exports it as a counter.
pub fn invariant_violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Panics in debug builds when `holds` is false; counts and logs the violation in release builds.
pub(crate) fn check_invariant(condition: bool, description: &str) {
    if !condition {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        log::error!("invariant violated: {description}");
        debug_assert!(condition, "invariant violated: {description}");
    }
}
