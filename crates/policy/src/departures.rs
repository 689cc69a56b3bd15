//! Endpoints that have said in an answer that they are about to stop.
//!
//! It answers releases and endpoints that are taken away while control cannot be reached: the answer
//! is then the only word of it. What an endpoint has said holds until its next start is known. Each
//! front remembers it for itself; after a restart it relies on the list of endpoints again.

use crate::Name;

/// Departures that are remembered; beyond, the first one noted is forgotten.
const MAX_DEPARTURES: usize = 4_096;

/// One start of an endpoint, as a list names it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRun<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Time of the start in milliseconds since 1970, if the list says it.
    pub started_ms: Option<u64>,
}

#[derive(Debug)]
struct Departure {
    name: Name,
    started_ms: Option<u64>,
    /// Counts up, to find the first one.
    sequence: u64,
}

/// What endpoints have said of their departure.
#[derive(Debug, Default)]
pub struct Departures {
    // Sorted by name.
    entries: Vec<Departure>,
    next_sequence: u64,
}

impl Departures {
    /// Takes note that a start of an endpoint is about to end.
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

    /// Whether a start of an endpoint has said that it is about to end.
    pub fn contains(&self, start: EndpointRun<'_>) -> bool {
        self.find(start.name).is_ok_and(|at| self.entries[at].started_ms == start.started_ms)
    }

    /// Follows a list, sorted by name: forgets the departures of endpoints that have started again.
    /// Where starts have no time, an endpoint that was absent from a list has started again when it
    /// is back.
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
