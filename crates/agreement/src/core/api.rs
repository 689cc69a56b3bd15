//! Configuration, inputs and outputs of the core.

use std::time::Duration;

use bytes::Bytes;

use crate::message::Message;
use crate::types::{
    Entry, HardState, LogPosition, Membership, PersistRequest, ReplicaId, Snapshot,
};

/// Configuration of one replica of a group.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Number of this replica.
    pub id: ReplicaId,
    /// Seed of the random election timeouts; should differ between replicas.
    pub seed: u64,
    /// Time between two heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout. A replica that heard from a leader refuses votes for this long,
    /// and a leader's lease lasts this long minus `drift_margin`.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Bound on the drift between two clocks within an election timeout. A value of
    /// `election_timeout_min` or more disables lease reads.
    pub drift_margin: Duration,
    /// Maximum size of the entries in an append message. A single entry may be larger.
    pub max_append_bytes: usize,
    /// Maximum number of unanswered appends per peer.
    pub max_inflight_appends: usize,
    /// Maximum bytes of snapshot data in a message.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries before the last snapshot that stay in memory for slow followers.
    pub trailing_entries: u64,
    /// Maximum bytes of the entries before the last snapshot that stay in memory.
    pub trailing_bytes: usize,
    /// Whether received snapshots are passed on in parts, in `Output::snapshot_parts`, instead of
    /// being collected in memory.
    pub passes_snapshot_parts: bool,
    /// Maximum number of entries by which a learner may trail the commit index when it is promoted.
    pub promote_lag: u64,
}

impl CoreConfig {
    /// Returns the default configuration for replica `id`.
    pub fn new(id: ReplicaId, seed: u64) -> Self {
        Self {
            id,
            seed,
            heartbeat_interval: Duration::from_millis(50),
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            drift_margin: Duration::from_millis(50),
            max_append_bytes: 256 * 1024,
            max_inflight_appends: 16,
            snapshot_chunk_bytes: 256 * 1024,
            trailing_entries: 1024,
            trailing_bytes: 64 << 20,
            passes_snapshot_parts: false,
            promote_lag: 64,
        }
    }
}

/// Durable state with which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialState {
    /// Last synced term and vote.
    pub hard_state: HardState,
    /// Position of the last snapshot; the default if there is none.
    pub snapshot: LogPosition,
    /// Membership at `snapshot`. For a new group, the initial voters, identical on each of them.
    /// Empty for a replica that is to join an existing group.
    pub membership: Membership,
    /// Entries after `snapshot`; earlier ones are ignored.
    pub entries: Vec<Entry>,
}

/// An event for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. The driver sends several ticks per heartbeat interval.
    Tick,
    /// A message arrived.
    Message {
        /// Replica that sent the message.
        from: ReplicaId,
        /// Received message.
        message: Message,
    },
    /// Storage has made a `PersistRequest` durable.
    Synced {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Proposes a command.
    Propose {
        /// Encoded command.
        data: Bytes,
        /// Identifies the proposal in `Output::proposals`.
        request_id: u64,
    },
    /// Asks for the index that the state machine must have applied for a linearizable read.
    Read {
        /// Identifies the read in `Output::reads`.
        request_id: u64,
    },
    /// Proposes a change of the membership.
    ChangeMembership {
        /// Requested change.
        change: MembershipChange,
        /// Identifies the change in `Output::proposals`.
        request_id: u64,
    },
    /// Transfers leadership. Ignored unless this replica leads and `to` is another voter.
    TransferLeadership {
        /// Voter that is to lead.
        to: ReplicaId,
    },
    /// Compacts the log up to a snapshot of the state machine at an applied index. The core fills
    /// in the snapshot's term and membership.
    Compact {
        /// Snapshot; only `last.index` and `data` are used.
        snapshot: Snapshot,
    },
}

/// A membership change of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not vote.
    AddLearner(ReplicaId),
    /// Turns a learner that has caught up into a voter.
    PromoteLearner(ReplicaId),
    /// Removes a voter or a learner. The leader cannot be removed.
    RemoveVoter(ReplicaId),
    /// Makes a learner that has caught up a voter in place of one whose disk is lost, in one step.
    ///
    /// This is safe only if `old` has lost its disk before `new` was first proposed as a learner. Two
    /// majorities of the memberships before and after the change may have only `old` in common, so
    /// it must never vote or acknowledge again. What it did before precedes the entry that added
    /// `new`, which a majority without it has acknowledged.
    ReplaceVoter {
        /// Voter whose disk is lost.
        old: ReplicaId,
        /// Learner that takes its place.
        new: ReplicaId,
    },
}

/// Actions for the driver after a step, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Messages to send. None of them depends on unsynced state.
    pub messages: Vec<(ReplicaId, Message)>,
    /// State to make durable. The core emits no other request until this one is reported as synced.
    ///
    /// If the request has a snapshot, storage keeps the entries after the snapshot's position only
    /// if its entry at that position has the same term. Otherwise it discards its whole log,
    /// because the entries do not follow from the snapshot.
    pub persist: Option<PersistRequest>,
    /// Received parts of a snapshot with their offsets, in order. Offset 0 begins a new snapshot.
    pub snapshot_parts: Vec<(u64, Bytes)>,
    /// Snapshot from which to restore the state machine. It is also part of a `PersistRequest`. It
    /// has no data if its parts were passed on.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub apply: Vec<Entry>,
    /// Results of proposals, by request id.
    pub proposals: Vec<(u64, ProposalResult)>,
    /// Results of reads, by request id.
    pub reads: Vec<(u64, ReadResult)>,
    /// New role, term or leader, if one of them changed.
    pub role: Option<RoleChange>,
    /// Whether a peer needs a snapshot and none is in memory. The driver then takes one and passes
    /// it to `Input::Compact`. Set repeatedly until it does.
    pub snapshot_wanted: bool,
}

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The proposal is in the leader's log. It is committed once an entry with this index and term
    /// is applied.
    Appended(LogPosition),
    /// This replica does not lead or is transferring leadership; the proposal was not appended.
    NotLeader {
        /// Leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The membership change is not possible now; it was not appended.
    Refused(MembershipChangeError),
    /// Another entry was committed at the index; the proposal will never be applied.
    Overwritten,
    /// An installed snapshot covers the index, so it is unknown whether the proposal was committed.
    Unknown,
}

/// Why a membership change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipChangeError {
    /// An earlier change is not yet committed.
    #[error("an earlier change of voters is not committed")]
    Pending,
    /// The leader has not yet committed an entry of its term, so that an earlier leader's change
    /// may still be in flight.
    #[error("the leader has not committed an entry of its term")]
    TermNotCommitted,
    /// The replica is already a voter, or already a learner.
    #[error("the replica is a member already")]
    AlreadyMember,
    /// The replica is not a member, or is to be promoted but is not a learner.
    #[error("the replica is not a member of that kind")]
    NotMember,
    /// The learner's log trails by more than `promote_lag`, or it has not answered recently.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The replica to remove is the leader; leadership must be transferred first.
    #[error("the replica leads the group; transfer leadership first")]
    IsLeader,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The read is linearizable once the state machine has applied `index`.
    Ready {
        /// Index to wait for.
        index: u64,
    },
    /// This replica does not lead.
    NotLeader {
        /// Leader, if known.
        leader: Option<ReplicaId>,
    },
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Sends pre-vote requests.
    PreCandidate,
    /// Sends vote requests.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Role, term and leader after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// State of a replica, for diagnostics and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Number of this replica.
    pub id: ReplicaId,
    /// Role, term and leader.
    pub role: RoleChange,
    /// Commit index known to this replica.
    pub commit: u64,
    /// Last entry of the log.
    pub last: LogPosition,
    /// Last index whose entry is synced.
    pub stable: u64,
    /// Position of the last snapshot.
    pub snapshot: LogPosition,
    /// Membership in force; possibly not yet committed.
    pub membership: Membership,
    /// Whether the membership is committed.
    pub membership_committed: bool,
    /// Peers with the last index up to which their logs are known to match; empty unless this
    /// replica leads.
    pub peers: Vec<(ReplicaId, u64)>,
    /// Peers with the time since their last answer; empty unless this replica leads.
    pub last_contact: Vec<(ReplicaId, Duration)>,
    /// Target of the leadership transfer in progress.
    pub transfer: Option<ReplicaId>,
    /// Number of violated invariants since the start.
    pub violations: u64,
}
