//! Log of cache events, published with a delay and with random gaps.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::time::Instant;

use crate::load::millis;

/// Events that are kept. Older ones are discarded, and readers that have not seen them find a gap.
const MAX_EVENTS: usize = 4096;
/// Maximum number of events in one response.
const MAX_EVENTS_PER_RESPONSE: usize = 512;

/// What happened to the blocks of an event. `Cleared` means that the cache is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EventKind {
    Stored,
    Removed,
    Cleared,
}

#[derive(Debug)]
struct Event {
    sequence: u64,
    recorded_at: Instant,
    kind: EventKind,
    blocks: Vec<u64>,
}

/// An event in the response of `GET /events`.
#[derive(Debug, Serialize)]
struct EventEntry<'a> {
    sequence: u64,
    age_ms: u64,
    kind: EventKind,
    blocks: &'a [u64],
}

/// Response of `GET /events`.
#[derive(Debug, Serialize)]
pub(super) struct EventsResponse<'a> {
    run: u64,
    events: Vec<EventEntry<'a>>,
}

/// Events of one run, numbered from 1. The first one is `Cleared`, as a run begins with an empty
/// cache.
#[derive(Debug)]
pub(super) struct EventLog {
    events: VecDeque<Event>,
    last_sequence: u64,
    gap_rate: f64,
    rng: StdRng,
}

impl EventLog {
    pub(super) fn new(gap_rate: f64, seed: u64, now: Instant) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let first =
            Event { sequence: 1, recorded_at: now, kind: EventKind::Cleared, blocks: Vec::new() };
        Self { events: VecDeque::from([first]), last_sequence: 1, gap_rate, rng }
    }

    /// Appends an event, or loses it with probability `gap_rate`. A lost event takes a sequence
    /// number too, so that readers can detect the gap.
    pub(super) fn push(&mut self, kind: EventKind, blocks: Vec<u64>, now: Instant) {
        if blocks.is_empty() && kind != EventKind::Cleared {
            return;
        }
        self.last_sequence += 1;
        if self.rng.random_bool(self.gap_rate) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            sequence: self.last_sequence,
            recorded_at: now,
            kind,
            blocks,
        });
    }

    /// Returns the events after the sequence number `after` that are at least `delay` old. A number
    /// beyond the last one comes from a reader of an earlier run, which gets all events.
    pub(super) fn events_after(
        &self,
        after: u64,
        run: u64,
        delay: Duration,
        now: Instant,
    ) -> EventsResponse<'_> {
        let after = if after > self.last_sequence { 0 } else { after };
        let first = self.events.partition_point(|e| e.sequence <= after);
        let events = self
            .events
            .range(first..)
            .take_while(|e| now.duration_since(e.recorded_at) >= delay)
            .take(MAX_EVENTS_PER_RESPONSE)
            .map(|e| EventEntry {
                sequence: e.sequence,
                age_ms: millis(now.duration_since(e.recorded_at)),
                kind: e.kind,
                blocks: &e.blocks,
            })
            .collect();
        EventsResponse { run, events }
    }
}
