//! Types shared by the pure core, the storage and the driver.

use bytes::Bytes;

/// Number of a replica. An operator chooses it; it is never used again after a lost disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// Number of a replicated log. Group 0 holds objects and membership, the others hold programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

/// Random identity of a data folder, fixed when the folder is initialised.
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

/// Term and vote, which must be synced before an answer that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that got this replica's vote in `term`.
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

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No command; a new leader commits one to commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The membership that holds from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index and term.
    pub position: LogPosition,
    /// Command or membership.
    pub payload: Payload,
}

/// A state machine's state at a position of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub last: LogPosition,
    /// Membership at `last`.
    pub membership: Membership,
    /// The state machine's own encoding.
    pub data: Bytes,
}

/// What storage must make durable, in this order, before it reports the request as synced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Identifies this request in the report that it was synced. Rises by one each time.
    pub sequence: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Replaces the state machine's state and the whole log up to its position.
    pub snapshot: Option<Snapshot>,
    /// Entries to append. The first one's index may be inside the log: everything from that index
    /// on is then replaced.
    pub entries: Vec<Entry>,
}
