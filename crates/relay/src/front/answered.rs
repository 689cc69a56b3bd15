//! Requests that a front has answered a short time ago.
//!
//! Owner: each front for itself; a new one starts with none.

use std::time::Duration;

use poplarspan_policy::containment::Fingerprint;
use tokio::time::Instant;

/// A generation of requests lasts this long, or until it is full. Two are remembered.
const GENERATION: Duration = Duration::from_secs(15);
const MAX_REQUESTS: usize = 4_096;

#[derive(Default)]
pub(crate) struct Answered {
    // Sorted.
    young: Vec<Fingerprint>,
    // Sorted.
    old: Vec<Fingerprint>,
    young_since: Option<Instant>,
}

impl Answered {
    pub(crate) fn insert(&mut self, request: Fingerprint, now: Instant) {
        self.age(now);
        if let Err(at) = self.young.binary_search(&request) {
            self.young.insert(at, request);
        }
    }

    pub(crate) fn contains(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.age(now);
        [&self.young, &self.old].iter().any(|list| list.binary_search(&request).is_ok())
    }

    /// Begins a new generation when it is time.
    fn age(&mut self, now: Instant) {
        let age = self.young_since.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age < GENERATION && self.young.len() < MAX_REQUESTS {
            return;
        }
        self.old = std::mem::take(&mut self.young);
        if age >= 2 * GENERATION {
            self.old.clear();
        }
        self.young_since = Some(now);
    }
}
