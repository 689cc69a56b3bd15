//! Durable state of all groups of a process.
//!
//! A store owns the write-ahead log and the snapshots in one folder; nothing else writes there.
//! While the disk is full or a quota is exceeded, requests wait and resume once there is space.
//! When a write or sync fails otherwise, the store fails permanently, because the content of the
//! disk is unknown until the log is read again: every later call returns the same error, and the
//! process has to exit.

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

/// Delay before a write that failed because of a full disk is retried.
pub(crate) const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stored state of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredGroup {
    /// Last stored term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Counters of a store since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Syncs of the write-ahead log, each of which makes a batch durable.
    pub syncs: u64,
    /// Bytes written to the write-ahead log.
    pub log_bytes: u64,
    /// Bytes written to snapshot files.
    pub snapshot_bytes: u64,
    /// Current number of segments of the write-ahead log.
    pub segments: u64,
}

/// Durable storage of several groups.
///
/// The futures do nothing until they are polled. Requests are executed in the order in which their
/// futures are first polled; several of them may share a sync.
pub trait Storage: Send + Sync + 'static {
    /// Reads the state of all groups, sorted by group.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be read or is corrupt, or if the store has failed.
    fn load(&self) -> BoxFuture<'static, Result<Vec<(GroupId, StoredGroup)>, StoreError>>;

    /// Makes a batch durable atomically: after a crash, either all of it is stored or none. Entries
    /// covered by the stored snapshot are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the request is inconsistent with the stored log, or if a write or sync fails. A
    /// full disk is an error only once the store is being closed. The store has then failed
    /// permanently.
    fn persist(
        &self,
        batch: Vec<(GroupId, PersistRequest)>,
    ) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Makes a snapshot of the local state machine durable, then drops the log that it covers.
    /// Unlike a snapshot in a [`PersistRequest`], it does not delay other batches while it is
    /// written.
    ///
    /// # Errors
    ///
    /// Fails if the request is inconsistent with the stored log, or if a write or sync fails. A
    /// full disk is an error only once the store is being closed. The store has then failed
    /// permanently.
    fn save_snapshot(
        &self,
        group: GroupId,
        snapshot: Snapshot,
    ) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Completes the earlier batches, except those that wait for space on a full disk, abandons
    /// unfinished snapshots, then releases the files and their lock.
    ///
    /// # Errors
    ///
    /// Fails if the store is already closed.
    fn close(&self) -> BoxFuture<'static, Result<(), StoreError>>;

    /// Returns the counters since the store was opened.
    fn stats(&self) -> StoreStats;
}

/// Why a store cannot be opened or has failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The operating system reported an error.
    #[error("cannot {op} {path}: {source}")]
    Io {
        /// Operation that failed.
        op: &'static str,
        /// Path of the file or folder.
        path: String,
        /// Error of the operating system.
        source: Arc<io::Error>,
    },
    /// A file's content is invalid.
    #[error("{path} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// Path of the file.
        path: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Description of the corruption.
        reason: &'static str,
    },
    /// Another process has locked the folder.
    #[error("{path} is in use by another process")]
    Locked {
        /// Path of the lock file.
        path: String,
    },
    /// The folder contains no log.
    #[error("{path} contains no log; create a data folder with the init command")]
    Missing {
        /// Path of the folder.
        path: String,
    },
    /// The folder in which to create a log already contains one.
    #[error("{path} already contains a log")]
    Exists {
        /// Path of the folder.
        path: String,
    },
    /// The request is inconsistent with the stored log.
    #[error("request for group {group} is inconsistent with the stored log: {reason}")]
    Invalid {
        /// Number of the group.
        group: u32,
        /// Description of the inconsistency.
        reason: &'static str,
    },
    /// The store has been closed.
    #[error("the store is closed")]
    Closed,
}

impl StoreError {
    /// Returns whether the error was caused by a full disk, an exceeded quota or a file size
    /// limit. A store that is already open waits for space and retries.
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
