//! In-memory state of one group in the write-ahead log.

use std::collections::VecDeque;

use pb::record::Kind;
use poplarspan_proto::agreement as pb;

use crate::{Entry, GroupId, HardState, LogPosition, Membership, Payload};

/// Estimated size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// An entry with the number of the segment that holds its latest copy.
#[derive(Clone, Debug)]
pub(crate) struct SegmentEntry {
    pub(crate) entry: Entry,
    pub(crate) segment: u64,
}

/// State of a group after the last record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) hard_state: HardState,
    /// Position and membership of the last snapshot.
    pub(crate) snapshot: Option<(LogPosition, Membership)>,
    /// Position before the first entry.
    pub(crate) base: LogPosition,
    pub(crate) log: VecDeque<SegmentEntry>,
    /// Estimated size of all entries in `log`.
    pub(crate) bytes: usize,
}

impl Group {
    pub(crate) fn last_index(&self) -> u64 {
        self.log.back().map_or(self.base.index, |l| l.entry.position.index)
    }

    /// Returns the term at `index`, or `None` if the log does not have that entry.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let first = self.log.front()?.entry.position.index;
        let i = usize::try_from(index.checked_sub(first)?).ok()?;
        self.log.get(i).map(|l| l.entry.position.term)
    }

    /// Drops the log from the first new entry's index on, then appends the consecutive `entries`.
    ///
    /// During replay, entries may be missing whose segment was removed because a later record drops
    /// them. The gap in the log is closed by dropping the entries before it. `has_gap` reports a
    /// gap that remains after replay.
    pub(crate) fn append(&mut self, entries: Vec<Entry>, segment: u64) -> Result<(), &'static str> {
        let Some(first) = entries.first().map(|e| e.position.index) else {
            return Ok(());
        };
        if first <= self.base.index {
            return Err("entry before the start of the log");
        }
        while self.log.back().is_some_and(|l| l.entry.position.index >= first) {
            self.pop_back();
        }
        if self.log.back().is_some_and(|l| l.entry.position.index + 1 != first) {
            self.clear();
        }
        for (i, entry) in entries.into_iter().enumerate() {
            if entry.position.index != first.saturating_add(i as u64) {
                return Err("entries of a record are not consecutive");
            }
            self.bytes += entry_bytes(&entry);
            self.log.push_back(SegmentEntry { entry, segment });
        }
        Ok(())
    }

    /// Drops the log up to `base`, or all of it with `clear`, and sets the base.
    pub(crate) fn start_after(&mut self, base: LogPosition, clear: bool) {
        if clear {
            self.clear();
        }
        while self.log.front().is_some_and(|l| l.entry.position.index <= base.index) {
            if let Some(l) = self.log.pop_front() {
                self.bytes -= entry_bytes(&l.entry);
            }
        }
        self.base = base;
    }

    /// Returns whether entries are missing between the snapshot and the first entry.
    pub(crate) fn has_gap(&self) -> bool {
        let first = self.log.front().map_or(self.base.index + 1, |l| l.entry.position.index);
        let snapshot = self.snapshot.as_ref().map_or(0, |(last, _)| last.index);
        first != self.base.index + 1 || self.base.index != snapshot
    }

    /// Returns the segment of the first entry.
    pub(crate) fn oldest_segment(&self) -> Option<u64> {
        self.log.front().map(|l| l.segment)
    }

    /// Applies a record that was read from `segment`.
    pub(crate) fn apply(&mut self, kind: Kind, segment: u64) -> Result<(), &'static str> {
        match kind {
            Kind::HardState(state) => self.hard_state = state.into(),
            Kind::Entries(list) => {
                let entries: Result<Vec<Entry>, _> =
                    list.entries.into_iter().map(Entry::try_from).collect();
                self.append(entries.map_err(|_| "cannot decode entry")?, segment)?;
            }
            Kind::Snapshot(meta) => {
                let last = meta.last.ok_or("snapshot without position")?.into();
                let membership = meta.membership.ok_or("snapshot without membership")?.into();
                self.snapshot = Some((last, membership));
            }
            Kind::LogStart(start) => {
                let base: LogPosition = start.before.ok_or("log start without position")?.into();
                if base.index >= u64::MAX - 1 {
                    return Err("log start out of range");
                }
                self.start_after(base, start.clear);
            }
        }
        Ok(())
    }

    /// Returns the records that restore everything except the entries.
    pub(crate) fn checkpoint(&self, group: GroupId) -> Vec<pb::Record> {
        let mut kinds = vec![Kind::HardState(self.hard_state.into())];
        kinds.extend(self.snapshot.as_ref().map(|(last, m)| snapshot_kind(*last, m)));
        kinds.push(log_start_kind(self.base, false));
        kinds.into_iter().map(|kind| record(group, kind)).collect()
    }

    /// Returns a record with all entries.
    pub(crate) fn log_record(&self, group: GroupId) -> pb::Record {
        let entries = self.log.iter().map(|l| (&l.entry).into()).collect();
        record(group, Kind::Entries(pb::Entries { entries }))
    }

    fn clear(&mut self) {
        self.log.clear();
        self.bytes = 0;
    }

    fn pop_back(&mut self) {
        if let Some(l) = self.log.pop_back() {
            self.bytes -= entry_bytes(&l.entry);
        }
    }
}

pub(crate) fn record(group: GroupId, kind: Kind) -> pb::Record {
    pb::Record { group: group.0, kind: Some(kind) }
}

pub(crate) fn snapshot_kind(last: LogPosition, membership: &Membership) -> Kind {
    Kind::Snapshot(pb::SnapshotMeta {
        last: Some(last.into()),
        membership: Some(membership.into()),
    })
}

pub(crate) fn log_start_kind(base: LogPosition, clear: bool) -> Kind {
    Kind::LogStart(pb::LogStart { before: Some(base.into()), clear })
}

fn entry_bytes(entry: &Entry) -> usize {
    ENTRY_OVERHEAD_BYTES
        + match &entry.payload {
            Payload::Empty => 0,
            Payload::Command(data) => data.len(),
            Payload::Membership(m) => 8 * (m.voters.len() + m.learners.len()),
        }
}

/// All groups, sorted by number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups(pub(crate) Vec<(GroupId, Group)>);

impl Groups {
    pub(crate) fn entry(&mut self, id: GroupId) -> &mut Group {
        let i = self.0.binary_search_by_key(&id, |(g, _)| *g).unwrap_or_else(|i| {
            self.0.insert(i, (id, Group::default()));
            i
        });
        &mut self.0[i].1
    }

    /// Applies the records of one frame.
    pub(crate) fn apply(&mut self, batch: pb::Batch, segment: u64) -> Result<(), &'static str> {
        for record in batch.records {
            let kind = record.kind.ok_or("record of unknown kind")?;
            self.entry(GroupId(record.group)).apply(kind, segment)?;
        }
        Ok(())
    }
}
