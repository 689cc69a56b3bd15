//! Durable state of all groups of a process.
//!
//! A store owns the write-ahead log and the snapshots under one data directory. Nothing else writes
//! there. While the disk takes no more bytes, because it or its owner's share of it is full, requests
//! wait, and go on by themselves when there is room. When a write or a sync fails otherwise, the store
//! fails for good: what the disk holds is then unknown until the log has been read again, so every
//! later call returns the same error and the process has to stop.

pub(crate) mod checksummed;
pub(crate) mod disk;
mod file;
mod frame;
mod group;
mod memory;
mod replay;
mod wal;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;

pub use disk::is_disk_full;
pub use file::{FileStore, StoreOptions};
pub use memory::{MemoryDisk, MemoryStore};

use crate::{Entry, GroupId, HardState, PersistRequest, Snapshot};

/// Pause before a write that the disk has refused is tried again.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a store holds of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredGroup {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The log after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Counters of a store since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Syncs of the write-ahead log; each makes one batch durable.
    pub syncs: u64,
    /// Bytes written to the write-ahead log.
    pub log_bytes: u64,
    /// Bytes written to snapshot files.
    pub snapshot_bytes: u64,
    /// Segments of the write-ahead log at present.
    pub segments: u64,
}

/// Durable storage of several groups.
///
/// The futures do their work when they are polled. Calls whose futures are polled in one order are
/// carried out in this order; several of them may share one sync.
pub trait Storage: Send + Sync + 'static {
    /// Reads everything, sorted by group.
    ///
    /// # Errors
    ///
    /// Fails when a snapshot cannot be read or its checksum is wrong, or when the store has failed.
    fn load(&self) -> BoxFuture<'static, Result<Vec<(GroupId, StoredGroup)>, StoreError>>;

    /// Makes a batch durable as one unit: after a crash either all of it is there or none. Entries
    /// that the stored snapshot covers are left out.
    ///
    /// # Errors
    ///
    /// Fails when a write or a sync fails. The store has then failed for good.
    fn persist(
        &self,
        batch: Vec<(GroupId, PersistRequest)>,
    ) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Makes a snapshot of the group's own state machine durable, then drops the log that it covers.
    /// Unlike a snapshot in a `PersistRequest`, it does not delay later batches while it is written.
    ///
    /// # Errors
    ///
    /// Fails when a write or a sync fails. The store has then failed for good.
    fn save_snapshot(
        &self,
        group: GroupId,
        snapshot: Snapshot,
    ) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Finishes the requests before this one, unless the disk takes no more bytes, then gives up the
    /// files and their lock.
    ///
    /// # Errors
    ///
    /// Fails when the store is closed already.
    fn close(&self) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Returns the counters.
    fn stats(&self) -> StoreStats;
}

/// Why a store cannot be opened or has failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The operating system reported an error.
    #[error("cannot {op} {path}: {source}")]
    Io {
        /// What was tried.
        op: &'static str,
        /// The file or folder.
        path: String,
        /// The operating system's error.
        source: Arc<io::Error>,
    },
    /// A file's content is not what was written.
    #[error("{path} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// The file.
        path: String,
        /// Offset in the file.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// Another process uses the folder.
    #[error("{path} is in use by another process")]
    Locked {
        /// The lock file.
        path: String,
    },
    /// There is no log in the folder.
    #[error("{path} holds no log; a data folder is created by the init command only")]
    Missing {
        /// The folder.
        path: String,
    },
    /// There is a log in the folder that was to be created.
    #[error("{path} already holds a log")]
    Exists {
        /// The folder.
        path: String,
    },
    /// The caller's request contradicts what is stored.
    #[error("request for group {group} contradicts the stored log: {reason}")]
    Invalid {
        /// The group.
        group: u32,
        /// The contradiction.
        reason: &'static str,
    },
    /// The store's thread has ended.
    #[error("the store is closed")]
    Closed,
}

impl StoreError {
    /// Whether the disk took no more bytes. The store waits until it does again.
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if disk::is_disk_full(source))
    }

    pub(crate) fn io(op: &'static str, path: impl Into<String>, source: io::Error) -> Self {
        Self::Io { op, path: path.into(), source: Arc::new(source) }
    }

    pub(crate) fn corrupt(path: impl Into<String>, offset: usize, reason: &'static str) -> Self {
        Self::Corrupt { path: path.into(), offset: offset as u64, reason }
    }
}
