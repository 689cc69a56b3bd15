//! The write-ahead log and the snapshots of a store, as synchronous code.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use poplarspan_proto::agreement as pb;

use super::disk::{Disk, DiskFile};
use super::frame::{SEGMENT_HEADER_LEN, SegmentHeader, segment_name};
use super::group::{Groups, log_start_kind, record, snapshot_kind};
use super::replay::{ReplayResult, replay, segment_numbers};
use super::{StoreError, StoreStats, StoredGroup, checksummed};
use crate::{Entry, GroupId, LogPosition, Membership, PersistRequest, Snapshot};
use pb::record::Kind;

/// Live entries are rewritten when the log is more than this many times larger than they are.
const MAX_LOG_TO_LIVE_RATIO: u64 = 4;
/// Number of sealed segments up to which live entries are never rewritten.
const MIN_SEALED_SEGMENTS: usize = 2;
/// Bytes of a snapshot that are written and synced at a time, so that log writes can be
/// interleaved.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;

const SNAPSHOT_PREFIX: &str = "snap-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Counters of a store, readable from other threads.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    syncs: AtomicU64,
    log_bytes: AtomicU64,
    snapshot_bytes: AtomicU64,
    segments: AtomicU64,
}

impl Counters {
    pub(crate) fn read(&self) -> StoreStats {
        StoreStats {
            syncs: self.syncs.load(Ordering::Relaxed),
            log_bytes: self.log_bytes.load(Ordering::Relaxed),
            snapshot_bytes: self.snapshot_bytes.load(Ordering::Relaxed),
            segments: self.segments.load(Ordering::Relaxed),
        }
    }
}

/// A request to make state durable.
pub(crate) enum WriteOp {
    Persist(Vec<(GroupId, PersistRequest)>),
    /// A snapshot whose file has already been written by `SnapshotWriter`.
    Snapshot {
        group: GroupId,
        last: LogPosition,
        membership: Membership,
    },
}

/// Requests that become durable with one sync.
pub(crate) struct Batch {
    ops: Vec<WriteOp>,
    /// Number of snapshots in `ops` whose files have been written.
    written_snapshots: usize,
    /// Encoded records of the batch. Once set, `ops` have been applied to the groups in memory.
    frame: Option<Vec<u8>>,
    replaces_snapshot: bool,
}

impl Batch {
    pub(crate) fn new(ops: Vec<WriteOp>) -> Self {
        Self { ops, written_snapshots: 0, frame: None, replaces_snapshot: false }
    }
}

pub(crate) struct Wal {
    disk: Box<dyn Disk>,
    groups: Groups,
    /// Number and length in bytes of each segment, oldest first. The last one is being written.
    segments: VecDeque<(u64, u64)>,
    segment_bytes: u64,
    /// Header of the last segment.
    header: SegmentHeader,
    /// The last segment.
    file: Box<dyn DiskFile>,
    next_frame: u64,
    counters: Arc<Counters>,
}

impl Wal {
    /// Creates the first segment on a disk without segments.
    pub(crate) fn create(disk: &mut dyn Disk) -> Result<(), StoreError> {
        if !segment_numbers(disk)?.is_empty() {
            return Err(StoreError::Exists { path: disk.path("") });
        }
        create_segment(disk, 1, 0).map(|_| ())
    }

    pub(crate) fn open(mut disk: Box<dyn Disk>, segment_bytes: u64) -> Result<Self, StoreError> {
        let ReplayResult { groups, segments, header, file, next_frame } = replay(disk.as_mut())?;
        let counters = Arc::new(Counters::default());
        counters.segments.store(segments.len() as u64, Ordering::Relaxed);
        let segments = segments.into();
        let mut wal =
            Self { disk, groups, segments, segment_bytes, header, file, next_frame, counters };
        wal.remove_old_snapshots(true)?;
        Ok(wal)
    }

    pub(crate) fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    pub(crate) fn load(&self) -> Result<Vec<(GroupId, StoredGroup)>, StoreError> {
        let load = |(id, g): &(GroupId, super::group::Group)| {
            let snapshot = match &g.snapshot {
                Some((last, membership)) => Some(self.read_snapshot(*id, *last, membership)?),
                None => None,
            };
            let entries = g.log.iter().map(|l| l.entry.clone()).collect();
            Ok((*id, StoredGroup { hard_state: g.hard_state, snapshot, entries }))
        };
        self.groups.0.iter().map(load).collect()
    }

    fn read_snapshot(
        &self,
        group: GroupId,
        last: LogPosition,
        membership: &Membership,
    ) -> Result<Snapshot, StoreError> {
        let path = self.disk.path(&snapshot_name(group, last));
        let file = self.disk.read(&snapshot_name(group, last));
        let file = file.map_err(|e| StoreError::io("read", path.as_str(), e))?;
        let (meta, data) = checksummed::decode::<pb::SnapshotMeta>(file)
            .map_err(|reason| StoreError::corrupt(path.as_str(), 0, reason))?;
        if meta.last != Some(last.into()) || meta.membership != Some(membership.into()) {
            return Err(StoreError::corrupt(
                path,
                0,
                "snapshot does not match its record in the log",
            ));
        }
        Ok(Snapshot { last, membership: membership.clone(), data })
    }

    /// Makes a batch durable with one sync. After an error with [`StoreError::is_disk_full`], the
    /// same batch may be retried, and no other one may be committed before it.
    pub(crate) fn commit(&mut self, batch: &mut Batch) -> Result<(), StoreError> {
        if batch.frame.is_none() {
            self.write_snapshots(batch)?;
            let mut records = Vec::new();
            if self.segments.back().is_some_and(|(_, len)| *len >= self.segment_bytes) {
                records = self.rotate()?;
            }
            for op in batch.ops.drain(..) {
                match op {
                    WriteOp::Persist(persists) => {
                        for (group, persist) in persists {
                            self.stage_persist(group, persist, &mut records)?;
                        }
                    }
                    WriteOp::Snapshot { group, last, membership } => {
                        self.stage_snapshot(group, last, membership, &mut records)?;
                    }
                }
            }
            if records.is_empty() {
                return Ok(());
            }
            batch.replaces_snapshot =
                records.iter().any(|r| matches!(r.kind, Some(Kind::Snapshot(_))));
            let mut frame = Vec::new();
            self.header.encode_frame(self.next_frame, &pb::Batch { records }, &mut frame);
            batch.frame = Some(frame);
        }
        if let Some(frame) = &batch.frame {
            self.write_frame(frame)?;
            batch.frame = None;
        }
        // Files that could not be removed only take space. Their removal is retried later.
        if batch.replaces_snapshot
            && let Err(e) = self.remove_old_snapshots(false)
        {
            log::warn!("cannot remove old snapshots: {e}");
        }
        if let Err(e) = self.remove_old_segments() {
            log::warn!("cannot remove old segments: {e}");
        }
        Ok(())
    }

    /// Writes the files of the snapshots that a batch installs; skips those already written.
    fn write_snapshots(&mut self, batch: &mut Batch) -> Result<(), StoreError> {
        let persists = batch.ops.iter().filter_map(|op| match op {
            WriteOp::Persist(persists) => Some(persists),
            WriteOp::Snapshot { .. } => None,
        });
        let installed = persists.flatten().filter_map(|(id, p)| Some((*id, p.snapshot.as_ref()?)));
        for (group, snapshot) in installed.skip(batch.written_snapshots) {
            SnapshotWriter::new(group, snapshot.clone()).finish(self)?;
            batch.written_snapshots += 1;
        }
        Ok(())
    }

    fn write_frame(&mut self, frame: &[u8]) -> Result<(), StoreError> {
        let name = segment_name(self.header.number);
        let end = self.segments.back().map_or(0, |(_, len)| *len);
        let written = self.file.append(frame).map_err(|e| ("write", e));
        let synced = written.and_then(|()| self.file.sync().map_err(|e| ("sync", e)));
        if let Err((op, e)) = synced {
            // A retry overwrites any part of the frame that was written.
            self.file.rewind(end);
            return Err(StoreError::io(op, self.disk.path(&name), e));
        }
        self.next_frame += 1;
        if let Some((_, len)) = self.segments.back_mut() {
            *len += frame.len() as u64;
        }
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
        self.counters.log_bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        metrics::counter!("poplarspan_store_syncs_total").increment(1);
        metrics::counter!("poplarspan_store_log_bytes_total").increment(frame.len() as u64);
        Ok(())
    }

    fn stage_persist(
        &mut self,
        id: GroupId,
        persist: PersistRequest,
        records: &mut Vec<pb::Record>,
    ) -> Result<(), StoreError> {
        if let Some(state) = persist.hard_state {
            records.push(record(id, Kind::HardState(state.into())));
            self.groups.entry(id).hard_state = state;
        }
        if let Some(snapshot) = persist.snapshot {
            self.stage_snapshot(id, snapshot.last, snapshot.membership, records)?;
        }
        self.stage_entries(id, persist.entries, records)
    }

    fn stage_entries(
        &mut self,
        id: GroupId,
        mut entries: Vec<Entry>,
        records: &mut Vec<pb::Record>,
    ) -> Result<(), StoreError> {
        let segment = self.header.number;
        let group = self.groups.entry(id);
        // Entries covered by a snapshot are committed and cannot change.
        entries.retain(|e| e.position.index > group.base.index);
        let Some(first) = entries.first().map(|e| e.position.index) else {
            return Ok(());
        };
        if first > group.last_index() + 1 {
            return Err(invalid(id, "entries do not follow the last stored one"));
        }
        let list = pb::Entries { entries: entries.iter().map(Into::into).collect() };
        group.append(entries, segment).map_err(|reason| invalid(id, reason))?;
        records.push(record(id, Kind::Entries(list)));
        Ok(())
    }

    /// Replaces the log up to a snapshot whose file has been written. A snapshot older than the
    /// stored one is ignored.
    fn stage_snapshot(
        &mut self,
        id: GroupId,
        last: LogPosition,
        membership: Membership,
        records: &mut Vec<pb::Record>,
    ) -> Result<(), StoreError> {
        let group = self.groups.entry(id);
        if last.index < group.base.index {
            return Ok(());
        }
        if last.index >= u64::MAX - 1 {
            return Err(invalid(id, "snapshot position out of range"));
        }
        // The entries after the snapshot follow from it only if the log has the snapshot's last
        // entry.
        let clear = group.term_at(last.index) != Some(last.term);
        group.start_after(last, clear);
        records.push(record(id, snapshot_kind(last, &membership)));
        records.push(record(id, log_start_kind(last, clear)));
        group.snapshot = Some((last, membership));
        Ok(())
    }

    /// Starts a new segment. Returns the records that supersede older segments: the state of all
    /// groups without their entries and, if little of the log is live, also the live entries.
    fn rotate(&mut self) -> Result<Vec<pb::Record>, StoreError> {
        let number = self.header.number + 1;
        let (header, file) = create_segment(self.disk.as_mut(), number, self.next_frame)?;
        self.header = header;
        self.file = file;
        self.segments.push_back((number, SEGMENT_HEADER_LEN as u64));
        self.counters.segments.store(self.segments.len() as u64, Ordering::Relaxed);
        let mut records = Vec::new();
        for (id, group) in &self.groups.0 {
            records.extend(group.checkpoint(*id));
        }
        let written: u64 = self.segments.iter().map(|(_, len)| len).sum();
        let live: usize = self.groups.0.iter().map(|(_, g)| g.bytes).sum();
        if self.segments.len() > MIN_SEALED_SEGMENTS + 1
            && written > MAX_LOG_TO_LIVE_RATIO * (live as u64)
        {
            for (id, group) in &mut self.groups.0 {
                if !group.log.is_empty() {
                    records.push(group.log_record(*id));
                    group.log.iter_mut().for_each(|l| l.segment = number);
                }
            }
        }
        Ok(records)
    }

    /// Removes the oldest segments up to the first one with a live entry. Later segments must stay
    /// even without live entries, because they may hold records that drop entries of older
    /// segments.
    fn remove_old_segments(&mut self) -> Result<(), StoreError> {
        let oldest = self.groups.0.iter().filter_map(|(_, g)| g.oldest_segment()).min();
        let keep = oldest.unwrap_or(self.header.number).min(self.header.number);
        let mut removed = false;
        while let Some(&(number, _)) = self.segments.front().filter(|(number, _)| *number < keep) {
            let name = segment_name(number);
            self.disk
                .remove(&name)
                .map_err(|e| StoreError::io("remove", self.disk.path(&name), e))?;
            self.segments.pop_front();
            removed = true;
        }
        if removed {
            self.counters.segments.store(self.segments.len() as u64, Ordering::Relaxed);
            self.sync_dir()?;
        }
        Ok(())
    }

    /// Removes snapshot files that are not referenced by the log. Temporary files are removed only
    /// with `include_unfinished`, after a restart; before, they are still being written.
    fn remove_old_snapshots(&mut self, include_unfinished: bool) -> Result<(), StoreError> {
        let names = self.disk.list().map_err(|e| StoreError::io("list", self.disk.path(""), e))?;
        let mut live = Vec::new();
        for (id, group) in &self.groups.0 {
            live.extend(group.snapshot.as_ref().map(|(last, _)| snapshot_name(*id, *last)));
        }
        let old = |name: &&String| {
            name.starts_with(SNAPSHOT_PREFIX)
                && !live.contains(name)
                && (include_unfinished || !name.ends_with(TEMPORARY_SUFFIX))
        };
        for name in names.iter().filter(old) {
            self.disk
                .remove(name)
                .map_err(|e| StoreError::io("remove", self.disk.path(name), e))?;
        }
        Ok(())
    }

    fn sync_dir(&mut self) -> Result<(), StoreError> {
        self.disk.sync_dir().map_err(|e| StoreError::io("sync", self.disk.path(""), e))
    }
}

fn invalid(id: GroupId, reason: &'static str) -> StoreError {
    StoreError::Invalid { group: id.0, reason }
}

fn create_segment(
    disk: &mut dyn Disk,
    number: u64,
    first_frame: u64,
) -> Result<(SegmentHeader, Box<dyn DiskFile>), StoreError> {
    let name = segment_name(number);
    let header = SegmentHeader { number, first_frame, salt: rand::random() };
    let created = disk.create_log(&name).and_then(|mut file| {
        file.append(&header.encode())?;
        file.sync()?;
        disk.sync_dir()?;
        Ok(file)
    });
    Ok((header, created.map_err(|e| StoreError::io("create", disk.path(&name), e))?))
}

fn snapshot_name(group: GroupId, last: LogPosition) -> String {
    format!("{SNAPSHOT_PREFIX}{:08x}-{:016x}-{:016x}", group.0, last.index, last.term)
}

/// Writes a snapshot's file in chunks, so that log writes can be interleaved.
pub(crate) struct SnapshotWriter {
    name: String,
    /// Encoded header and metadata, which precede `data` in the file.
    header: Vec<u8>,
    data: Bytes,
    /// Number of bytes of `data` that are durable.
    written: usize,
    file: Option<Box<dyn DiskFile>>,
}

impl SnapshotWriter {
    pub(crate) fn new(group: GroupId, snapshot: Snapshot) -> Self {
        let meta = pb::SnapshotMeta {
            last: Some(snapshot.last.into()),
            membership: Some((&snapshot.membership).into()),
        };
        let header = checksummed::encode_header(&meta, &snapshot.data);
        let name = snapshot_name(group, snapshot.last);
        Self { name, header, data: snapshot.data, written: 0, file: None }
    }

    /// Writes the next chunk. Returns whether the snapshot is complete and durable. After an error,
    /// the next call starts over.
    pub(crate) fn write_chunk(&mut self, wal: &mut Wal) -> Result<bool, StoreError> {
        let temporary = format!("{}{TEMPORARY_SUFFIX}", self.name);
        match self.try_write_chunk(wal, &temporary) {
            Ok((done, written)) => {
                wal.counters.snapshot_bytes.fetch_add(written, Ordering::Relaxed);
                metrics::counter!("poplarspan_store_snapshot_bytes_total").increment(written);
                Ok(done)
            }
            Err(e) => {
                (self.written, self.file) = (0, None);
                Err(StoreError::io("write", wal.disk.path(&temporary), e))
            }
        }
    }

    fn try_write_chunk(&mut self, wal: &mut Wal, temporary: &str) -> std::io::Result<(bool, u64)> {
        let mut bytes = 0;
        let file = match &mut self.file {
            Some(file) => file,
            None => {
                let file = self.file.insert(wal.disk.create(temporary)?);
                file.append(&self.header)?;
                bytes += self.header.len();
                file
            }
        };
        let end = self.data.len().min(self.written + SNAPSHOT_CHUNK_BYTES);
        let chunk = &self.data[self.written..end];
        file.append(chunk)?;
        file.sync()?;
        bytes += chunk.len();
        self.written = end;
        let done = end == self.data.len();
        if done {
            wal.disk.rename(temporary, &self.name)?;
            wal.disk.sync_dir()?;
        }
        Ok((done, bytes as u64))
    }

    /// Writes all remaining chunks.
    pub(crate) fn finish(mut self, wal: &mut Wal) -> Result<(), StoreError> {
        while !self.write_chunk(wal)? {}
        Ok(())
    }
}
