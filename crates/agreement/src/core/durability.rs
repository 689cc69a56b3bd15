//! Tracks which state has been submitted to storage and which of it is synced.

use std::mem;

use crate::message::Message;
use crate::types::{HardState, PersistRequest, ReplicaId, Snapshot};

use super::memory_log::MemoryLog;

/// A request that has been submitted to storage and is not yet synced.
#[derive(Debug)]
struct InFlight {
    sequence: u64,
    /// Last index that is durable and equals the log in memory once the request is synced.
    last: u64,
}

/// Tracks unsynced state. Only one request is in flight at a time. Changes in the meantime go into
/// the next request, so that one sync covers all waiting proposals (group commit).
#[derive(Debug)]
pub(super) struct Durability {
    in_flight: Option<InFlight>,
    next_sequence: u64,
    /// Last synced sequence number.
    synced: u64,
    hard_state_changed: bool,
    /// Sequence number of the request that makes the current hard state durable.
    hard_state_sequence: u64,
    snapshot: Option<Snapshot>,
    /// Last index that has been part of a request.
    submitted: u64,
    /// Last index whose entry is synced.
    stable: u64,
    /// Messages of the current term, each with the sequence number that must be synced before it
    /// may be sent.
    deferred: Vec<(u64, ReplicaId, Message)>,
}

impl Durability {
    pub(super) fn new(last: u64) -> Self {
        Self {
            in_flight: None,
            next_sequence: 1,
            synced: 0,
            hard_state_changed: false,
            hard_state_sequence: 0,
            snapshot: None,
            submitted: last,
            stable: last,
            deferred: Vec::new(),
        }
    }

    pub(super) fn stable(&self) -> u64 {
        self.stable
    }

    pub(super) fn hard_state_synced(&self) -> bool {
        self.hard_state_sequence <= self.synced
    }

    /// Returns the sequence number of the request that makes the current hard state durable.
    pub(super) fn hard_state_sequence(&self) -> u64 {
        self.hard_state_sequence
    }

    /// Returns the sequence number of the request that makes everything in memory durable.
    pub(super) fn full_sequence(&self, log: &MemoryLog) -> u64 {
        if self.is_dirty(log) { self.next_sequence } else { self.next_sequence - 1 }
    }

    pub(super) fn is_synced(&self, sequence: u64) -> bool {
        sequence <= self.synced
    }

    pub(super) fn defer(&mut self, sequence: u64, to: ReplicaId, message: Message) {
        self.deferred.push((sequence, to, message));
    }

    /// Marks the hard state as changed. A new term drops the deferred messages of the earlier one:
    /// the entries that an append answer acknowledges may be replaced before they are synced.
    pub(super) fn hard_state_changed(&mut self, new_term: bool) {
        self.hard_state_changed = true;
        self.hard_state_sequence = self.next_sequence;
        if new_term {
            self.deferred.clear();
        }
    }

    /// Records that the entries from `index` on were removed from the log in memory.
    pub(super) fn truncated_from(&mut self, index: u64) {
        let last = index.saturating_sub(1);
        self.submitted = self.submitted.min(last);
        self.stable = self.stable.min(last);
        if let Some(p) = &mut self.in_flight {
            p.last = p.last.min(last);
        }
    }

    /// Schedules a snapshot at a position in the log for the next request.
    pub(super) fn snapshot_taken(&mut self, snapshot: Snapshot) {
        self.submitted = self.submitted.max(snapshot.last.index);
        self.snapshot = Some(snapshot);
    }

    /// Schedules a leader's snapshot, which replaces the log after `commit`, for the next request.
    pub(super) fn snapshot_installed(&mut self, snapshot: Snapshot, commit: u64) {
        self.truncated_from(commit + 1);
        self.snapshot_taken(snapshot);
    }

    /// Returns the next request if there is unsynced state and no request is in flight.
    pub(super) fn next_persist(
        &mut self,
        hard_state: HardState,
        log: &MemoryLog,
    ) -> Option<PersistRequest> {
        if self.in_flight.is_some() || !self.is_dirty(log) {
            return None;
        }
        let last = log.last().index;
        let persist = PersistRequest {
            sequence: self.next_sequence,
            hard_state: self.hard_state_changed.then_some(hard_state),
            snapshot: self.snapshot.take(),
            entries: log.range(self.submitted + 1, last),
        };
        self.in_flight = Some(InFlight { sequence: self.next_sequence, last });
        self.next_sequence += 1;
        self.hard_state_changed = false;
        self.submitted = last;
        Some(persist)
    }

    /// Records that a request is synced and returns the messages that may be sent now. Returns
    /// `None` if that request is not in flight.
    pub(super) fn synced(&mut self, sequence: u64) -> Option<Vec<(ReplicaId, Message)>> {
        let p = self.in_flight.take_if(|p| p.sequence == sequence)?;
        self.synced = sequence;
        self.stable = self.stable.max(p.last);
        let (ready, deferred) =
            mem::take(&mut self.deferred).into_iter().partition(|h| h.0 <= sequence);
        self.deferred = deferred;
        Some(Vec::into_iter(ready).map(|(_, to, message)| (to, message)).collect())
    }

    fn is_dirty(&self, log: &MemoryLog) -> bool {
        self.hard_state_changed || self.snapshot.is_some() || self.submitted < log.last().index
    }
}
