//! Runtime assertions of invariants.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant violations that this process has logged.
pub fn invariant_violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts and logs a violation if `condition` is false; panics in debug builds.
pub(crate) fn check_invariant(condition: bool, description: &str) {
    if !condition {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        log::error!("invariant violated: {description}");
        debug_assert!(condition, "invariant violated: {description}");
    }
}
