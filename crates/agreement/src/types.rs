//! Types shared by the core, the storage and the driver.

use std::io;
use std::sync::Arc;

use bytes::Bytes;

/// Number of a replica, assigned by the operator or the embedding program. It must not be used
/// again after the replica lost its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// Number of a replicated log. Group 0 holds objects and membership, the others hold programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

/// Random identity of a data folder, assigned when the folder is initialised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FolderId(pub u128);

/// Position of an entry: its index and the term in which it was proposed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Index in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub term: u64,
}

/// Term and vote. They must be synced before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term that this replica has seen.
    pub term: u64,
    /// Candidate that this replica voted for in `term`.
    pub vote: Option<ReplicaId>,
}

/// Voters and learners of a group, each sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Replicas that vote and count towards a quorum.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: Vec<ReplicaId>,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No command. A new leader appends one, because it can commit entries of earlier terms only
    /// together with an entry of its own term.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The membership in force from this entry on, even before the entry is committed.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index and term of the entry.
    pub position: LogPosition,
    /// Content of the entry.
    pub payload: Payload,
}

/// State of a state machine at a position in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub last: LogPosition,
    /// Membership at `last`.
    pub membership: Membership,
    /// State as encoded by the state machine.
    pub data: Bytes,
}

/// Content of a snapshot for other replicas, which is read in parts.
pub trait SnapshotSource: std::fmt::Debug + Send + Sync {
    /// Returns the length in bytes.
    fn len(&self) -> u64;

    /// Returns whether there is no content.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns up to `max` bytes from `offset` on; fewer only at the end.
    ///
    /// # Errors
    ///
    /// Fails if a file that holds a part of the content cannot be read.
    fn read(&self, offset: u64, max: usize) -> io::Result<Bytes>;
}

impl SnapshotSource for Bytes {
    fn len(&self) -> u64 {
        <[u8]>::len(self) as u64
    }

    fn read(&self, offset: u64, max: usize) -> io::Result<Bytes> {
        let len = <[u8]>::len(self);
        let start = usize::try_from(offset).map_or(len, |start| start.min(len));
        Ok(self.slice(start..len.min(start.saturating_add(max))))
    }
}

/// Makes files that a snapshot refers to durable. May be called again after an error.
pub type SyncFiles = Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// A snapshot of a state machine.
#[derive(Clone)]
pub struct SavedState {
    /// State for `StateMachine::load` of this replica. May refer to files of the state machine.
    pub data: Bytes,
    /// State for other replicas.
    pub source: Arc<dyn SnapshotSource>,
    /// Makes the files durable to which `data` refers. Called before `data` is saved.
    pub sync: Option<SyncFiles>,
}

/// State that storage must make durable, in the order of the fields, before it reports the request
/// as synced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Sequence number of the request, returned in `Input::Synced`. Increases by one per request.
    pub sequence: u64,
    /// New term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the log up to its position.
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries to append. If the first index is inside the log, they replace everything
    /// from that index on.
    pub entries: Vec<Entry>,
}
