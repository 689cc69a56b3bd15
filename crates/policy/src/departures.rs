//! Endpoints that have announced in a response that they are about to stop.
//!
//! During a release, and when endpoints are removed while the control plane is unreachable, that
//! announcement is the only information that an instance has. It is valid until the next start of
//! the endpoint is known. Each instance keeps its own set; after a restart it relies on the list of
//! endpoints again.

use crate::Name;

/// Maximum number of departures; the oldest one is dropped first.
const MAX_DEPARTURES: usize = 4_096;

/// One run of an endpoint's process, as the list of endpoints identifies it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRun<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Start time in milliseconds since the Unix epoch, if the list has it.
    pub started_ms: Option<u64>,
}

#[derive(Debug)]
struct Departure {
    name: Name,
    started_ms: Option<u64>,
    /// Insertion order.
    sequence: u64,
}

/// Set of endpoint runs that are about to end.
#[derive(Debug, Default)]
pub struct Departures {
    /// Sorted by name.
    entries: Vec<Departure>,
    next_sequence: u64,
}

impl Departures {
    /// Records that a run of an endpoint is about to end. Replaces an earlier record of the
    /// endpoint.
    pub fn record(&mut self, name: &Name, started_ms: Option<u64>) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = Departure { name: name.clone(), started_ms, sequence };
        match self.find(name) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => {
                self.entries.insert(at, entry);
                if self.entries.len() > MAX_DEPARTURES
                    && let Some(first) =
                        (0..self.entries.len()).min_by_key(|at| self.entries[*at].sequence)
                {
                    self.entries.remove(first);
                }
            }
        }
    }

    /// Returns whether a run of an endpoint has announced that it is about to end.
    pub fn contains(&self, run: EndpointRun<'_>) -> bool {
        self.find(run.name).is_ok_and(|at| self.entries[at].started_ms == run.started_ms)
    }

    /// Drops the departures of endpoints that have restarted, according to `listed`, which must be
    /// sorted by name. Without start times, an endpoint counts as restarted once it has been absent
    /// from a list.
    pub fn reconcile(&mut self, listed: &[EndpointRun<'_>]) {
        self.entries.retain(|entry| {
            let at = listed.binary_search_by(|s| s.name.cmp(&entry.name));
            match at {
                Ok(at) => listed[at].started_ms == entry.started_ms,
                Err(_) => entry.started_ms.is_some(),
            }
        });
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (*e.name).cmp(name))
    }
}
