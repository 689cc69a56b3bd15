//! What has been handed to storage and what storage has synced.

use std::mem;

use crate::message::Message;
use crate::types::{HardState, Persist, ReplicaId, Snapshot};

use super::log_view::LogView;

/// A `Persist` that has been handed to storage and is not yet synced.
#[derive(Debug)]
struct InFlight {
    ticket: u64,
    /// Last index that is durable and equal to the log in memory once the `Persist` is synced.
    last: u64,
}

/// Tracks unsynced state. One `Persist` is in flight at a time; what changes meanwhile goes into
/// the next one, so that one sync covers all proposals that are waiting.
#[derive(Debug)]
pub(super) struct Durability {
    in_flight: Option<InFlight>,
    next_ticket: u64,
    synced: u64,
    hard_state_changed: bool,
    /// Ticket that makes the current hard state durable.
    hard_state_ticket: u64,
    snapshot: Option<Snapshot>,
    /// Last index that is part of a `Persist`.
    handed: u64,
    stable: u64,
    /// Messages with the tickets that must be synced before they may be sent; all of the current
    /// term.
    held: Vec<(u64, ReplicaId, Message)>,
}

impl Durability {
    pub(super) fn new(last: u64) -> Self {
        Self {
            in_flight: None,
            next_ticket: 1,
            synced: 0,
            hard_state_changed: false,
            hard_state_ticket: 0,
            snapshot: None,
            handed: last,
            stable: last,
            held: Vec::new(),
        }
    }

    pub(super) fn stable(&self) -> u64 {
        self.stable
    }

    pub(super) fn hard_state_synced(&self) -> bool {
        self.hard_state_ticket <= self.synced
    }

    /// Ticket that makes the current hard state durable.
    pub(super) fn hard_state_ticket(&self) -> u64 {
        self.hard_state_ticket
    }

    /// Ticket that makes everything in memory durable.
    pub(super) fn full_ticket(&self, log: &LogView) -> u64 {
        if self.is_dirty(log) { self.next_ticket } else { self.next_ticket - 1 }
    }

    pub(super) fn is_synced(&self, ticket: u64) -> bool {
        ticket <= self.synced
    }

    pub(super) fn hold(&mut self, ticket: u64, to: ReplicaId, message: Message) {
        self.held.push((ticket, to, message));
    }

    /// Marks the hard state as changed. Messages of an earlier term are dropped: entries that an
    /// append answer acknowledges may be replaced before they are synced.
    pub(super) fn hard_state_changed(&mut self, new_term: bool) {
        self.hard_state_changed = true;
        self.hard_state_ticket = self.next_ticket;
        if new_term {
            self.held.clear();
        }
    }

    /// Notes that the entries from `index` on were removed from the log in memory.
    pub(super) fn truncated_from(&mut self, index: u64) {
        let last = index.saturating_sub(1);
        self.handed = self.handed.min(last);
        self.stable = self.stable.min(last);
        if let Some(p) = &mut self.in_flight {
            p.last = p.last.min(last);
        }
    }

    /// Schedules a snapshot at a position of the log.
    pub(super) fn snapshot_taken(&mut self, snapshot: Snapshot) {
        self.handed = self.handed.max(snapshot.last.index);
        self.snapshot = Some(snapshot);
    }

    /// Schedules a snapshot that replaces the log after `commit`.
    pub(super) fn snapshot_installed(&mut self, snapshot: Snapshot, commit: u64) {
        self.truncated_from(commit + 1);
        self.snapshot_taken(snapshot);
    }

    /// Returns the next `Persist`, if there is something to sync and none is in flight.
    pub(super) fn next_persist(&mut self, hard_state: HardState, log: &LogView) -> Option<Persist> {
        if self.in_flight.is_some() || !self.is_dirty(log) {
            return None;
        }
        let last = log.last().index;
        let persist = Persist {
            ticket: self.next_ticket,
            hard_state: self.hard_state_changed.then_some(hard_state),
            snapshot: self.snapshot.take(),
            entries: log.range(self.handed + 1, last),
        };
        self.in_flight = Some(InFlight { ticket: self.next_ticket, last });
        self.next_ticket += 1;
        self.hard_state_changed = false;
        self.handed = last;
        Some(persist)
    }

    /// Notes that a `Persist` is synced, and returns the messages that may be sent now. Returns
    /// `None` for a ticket that is not in flight.
    pub(super) fn synced(&mut self, ticket: u64) -> Option<Vec<(ReplicaId, Message)>> {
        let p = self.in_flight.take_if(|p| p.ticket == ticket)?;
        self.synced = ticket;
        self.stable = self.stable.max(p.last);
        let (ready, held) = mem::take(&mut self.held).into_iter().partition(|h| h.0 <= ticket);
        self.held = held;
        Some(Vec::into_iter(ready).map(|(_, to, message)| (to, message)).collect())
    }

    fn is_dirty(&self, log: &LogView) -> bool {
        self.hard_state_changed || self.snapshot.is_some() || self.handed < log.last().index
    }
}
