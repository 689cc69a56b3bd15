//! The part of the log that is in memory.

use std::collections::VecDeque;

use crate::types::{Entry, LogPosition, Membership, Payload, ReplicaId};

/// Estimated size of an entry in a message, without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Entries after a base position and the memberships that they define.
#[derive(Debug)]
pub(super) struct MemoryLog {
    /// Position before the first entry in memory.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Position of the last snapshot; at or after `base`.
    snapshot: LogPosition,
    /// Memberships with the indices from which they are in force; sorted by index, never empty.
    memberships: Vec<(u64, Membership)>,
}

impl MemoryLog {
    pub(super) fn new(snapshot: LogPosition, membership: Membership) -> Self {
        Self {
            base: snapshot,
            entries: VecDeque::new(),
            snapshot,
            memberships: vec![(snapshot.index, membership)],
        }
    }

    pub(super) fn base(&self) -> LogPosition {
        self.base
    }

    pub(super) fn snapshot(&self) -> LogPosition {
        self.snapshot
    }

    pub(super) fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |e| e.position)
    }

    /// Returns the term at `index`, or `None` if it is not in memory.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize).map(|e| e.position.term)
    }

    pub(super) fn matches(&self, position: LogPosition) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Returns the last position at or before `index` whose term is at most `term`.
    pub(super) fn last_at_most(&self, index: u64, term: u64) -> LogPosition {
        let mut index = index.min(self.last().index);
        while index > self.base.index {
            match self.term_at(index) {
                Some(t) if t > term => index -= 1,
                Some(t) => return LogPosition { index, term: t },
                None => break,
            }
        }
        self.base
    }

    /// Returns the entries with indices `from..=to` that are in memory.
    pub(super) fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        let len = (to + 1).saturating_sub(from) as usize;
        self.entries.iter().skip(skip).take(len).cloned().collect()
    }

    /// Returns entries from `from` on with a total size of at most `max_bytes`, but at least one if
    /// there is any.
    pub(super) fn batch(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base.index + 1) as usize;
        let mut bytes = 0;
        let mut batch = Vec::new();
        for e in self.entries.iter().skip(skip) {
            bytes += ENTRY_OVERHEAD_BYTES + payload_bytes(&e.payload);
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(e.clone());
        }
        batch
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Membership(m) = &entry.payload {
            self.memberships.push((entry.position.index, m.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        self.entries.truncate(index.saturating_sub(self.base.index + 1) as usize);
        while self.memberships.len() > 1 && self.memberships.last().is_some_and(|m| m.0 >= index) {
            self.memberships.pop();
        }
    }

    /// Returns the lowest index such that the entries after it, up to `index`, are in memory, are at
    /// most `max_entries` and have at most `max_bytes` in total.
    pub(super) fn tail_start(&self, index: u64, max_entries: u64, max_bytes: usize) -> u64 {
        let lowest = index.saturating_sub(max_entries).max(self.base.index);
        let covered = index.saturating_sub(self.base.index) as usize;
        let mut bytes = 0;
        for e in self.entries.range(..covered.min(self.entries.len())).rev() {
            bytes += ENTRY_OVERHEAD_BYTES + payload_bytes(&e.payload);
            if e.position.index <= lowest || bytes > max_bytes {
                return e.position.index;
            }
        }
        lowest
    }

    /// Records a snapshot at a position of this log and drops the entries up to `keep_after`.
    pub(super) fn compact(&mut self, position: LogPosition, keep_after: u64) {
        self.snapshot = position;
        while self.memberships.get(1).is_some_and(|m| m.0 <= position.index) {
            self.memberships.remove(0);
        }
        while self.base.index < keep_after {
            let Some(e) = self.entries.pop_front() else { break };
            self.base = e.position;
        }
    }

    pub(super) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index of the entry that defines the membership in force.
    pub(super) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns whether `id` is a voter in the membership at `index` or in any later one.
    pub(super) fn is_voter_at_or_after(&self, index: u64, id: ReplicaId) -> bool {
        let after = self.memberships.partition_point(|m| m.0 <= index);
        self.memberships[after.saturating_sub(1)..].iter().any(|m| m.1.voters.contains(&id))
    }

    /// Returns the membership at an index at or after the last snapshot.
    pub(super) fn membership_at(&self, index: u64) -> &Membership {
        let after = self.memberships.partition_point(|m| m.0 <= index);
        &self.memberships[after.saturating_sub(1)].1
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Empty => 0,
        Payload::Command(data) => data.len(),
        Payload::Membership(m) => (m.voters.len() + m.learners.len()) * size_of::<u64>(),
    }
}
