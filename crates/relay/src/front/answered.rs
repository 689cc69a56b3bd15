//! Requests that were recently answered through this front.
//!
//! Each front has its own list, which starts empty.

use std::time::Duration;

use poplarspan_policy::containment::Fingerprint;
use tokio::time::Instant;

/// Lifetime of a generation, unless it fills up earlier. The current and the previous one are kept.
const GENERATION_TIME: Duration = Duration::from_secs(15);
const MAX_REQUESTS: usize = 4_096;

#[derive(Default)]
pub(crate) struct AnsweredRequests {
    // Sorted.
    current: Vec<Fingerprint>,
    // Sorted.
    previous: Vec<Fingerprint>,
    current_since: Option<Instant>,
}

impl AnsweredRequests {
    pub(crate) fn insert(&mut self, request: Fingerprint, now: Instant) {
        self.rotate(now);
        if let Err(at) = self.current.binary_search(&request) {
            self.current.insert(at, request);
        }
    }

    pub(crate) fn contains(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.rotate(now);
        [&self.current, &self.previous].iter().any(|list| list.binary_search(&request).is_ok())
    }

    /// Forgets a request. Returns whether it was in the list.
    pub(crate) fn remove(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.rotate(now);
        let mut was_listed = false;
        for list in [&mut self.current, &mut self.previous] {
            if let Ok(at) = list.binary_search(&request) {
                list.remove(at);
                was_listed = true;
            }
        }
        was_listed
    }

    /// Starts a new generation when the current one is old or full.
    fn rotate(&mut self, now: Instant) {
        let age = self.current_since.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age < GENERATION_TIME && self.current.len() < MAX_REQUESTS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * GENERATION_TIME {
            self.previous.clear();
        }
        self.current_since = Some(now);
    }
}
