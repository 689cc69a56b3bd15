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
    /// This replica.
    pub id: ReplicaId,
    /// Seed of the election timeouts; should differ between replicas.
    pub seed: u64,
    /// Time between two heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; also the time for which a replica that heard from a leader
    /// refuses votes, and the length of a leader's lease before `drift_margin` is taken off.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Time by which two clocks may drift apart within an election timeout. A margin of the
    /// shortest election timeout or more disables lease reads.
    pub drift_margin: Duration,
    /// Most command bytes in an append message, unless its first entry alone is larger.
    pub max_append_bytes: usize,
    /// Most appends to a peer that are not yet answered.
    pub max_inflight_appends: usize,
    /// Most bytes of a snapshot in a message.
    pub snapshot_chunk_bytes: usize,
    /// Entries before a snapshot's position that stay in memory for followers that lag behind.
    pub trailing_entries: u64,
    /// Entries by which a learner may be behind the commit index when it is promoted.
    pub promote_lag: u64,
}

impl CoreConfig {
    /// Returns the default configuration.
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
            promote_lag: 64,
        }
    }
}

/// Durable state with which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialState {
    /// Last synced term and vote.
    pub hard_state: HardState,
    /// Position of the last snapshot; the default for a group without one.
    pub snapshot: LogPosition,
    /// Membership at `snapshot`. For a new group: its first voters, the same on each of them. For
    /// a replica that is to join a group: empty.
    pub membership: Membership,
    /// Entries after `snapshot`; earlier ones are ignored.
    pub entries: Vec<Entry>,
}

/// What happened to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Expected several times per heartbeat interval.
    Tick,
    /// A message arrived.
    Message {
        /// Sender.
        from: ReplicaId,
        /// Message.
        message: Message,
    },
    /// Storage has made the `PersistRequest` with this sequence number durable.
    Synced {
        /// Sequence number of the `PersistRequest`.
        sequence: u64,
    },
    /// Proposes a command.
    Propose {
        /// Command.
        data: Bytes,
        /// Identifies the proposal in `Output::proposals`.
        request_id: u64,
    },
    /// Asks for an index at which a local read is linearizable.
    Read {
        /// Identifies the read in `Output::reads`.
        request_id: u64,
    },
    /// Proposes a change of the membership.
    ChangeMembership {
        /// Change.
        change: MembershipChange,
        /// Identifies the change in `Output::proposals`.
        request_id: u64,
    },
    /// Transfers leadership. Ignored unless this replica leads and `to` is another voter.
    TransferLeadership {
        /// Next leader.
        to: ReplicaId,
    },
    /// The state machine's snapshot at an applied index. The core sets its term and membership.
    Compact {
        /// Snapshot; only `last.index` and `data` are used.
        snapshot: Snapshot,
    },
}

/// A change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not vote.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    PromoteLearner(ReplicaId),
    /// Removes a voter or a learner, but neither the leader nor the last voter.
    RemoveVoter(ReplicaId),
}

/// What the driver has to do after a step, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Messages to send; none depends on state that is not yet synced.
    pub messages: Vec<(ReplicaId, Message)>,
    /// State to make durable. No other one follows until this one is reported as synced.
    ///
    /// If it has a snapshot, storage keeps its entries after the snapshot's position only if it has
    /// the entry at that position with the same term; otherwise it discards its whole log, because
    /// entries of another history would follow the snapshot.
    pub persist: Option<PersistRequest>,
    /// Snapshot that replaces the state machine's state. It is also part of a `PersistRequest`.
    pub install: Option<Snapshot>,
    /// Committed entries to apply in order.
    pub apply: Vec<Entry>,
    /// Results of proposals, by request id.
    pub proposals: Vec<(u64, ProposalResult)>,
    /// Results of reads, by request id.
    pub reads: Vec<(u64, ReadResult)>,
    /// New role, term or leader, if one of them changed.
    pub role: Option<RoleChange>,
    /// Whether a peer needs a snapshot that is not in memory. The driver then takes one and passes
    /// it to `Input::Compact`; asked again until then.
    pub snapshot_wanted: bool,
}

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command is in the leader's log. It is committed when an entry with this index and term
    /// is applied.
    Appended(LogPosition),
    /// This replica does not accept proposals; the command was not appended.
    NotLeader {
        /// Leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The change of voters is not possible now; it was not appended.
    Refused(MembershipChangeError),
    /// Another entry was committed at the index; the command will never be applied.
    Overwritten,
    /// A snapshot covers the index, so it is not known whether the command was applied.
    Unknown,
}

/// Why a change of voters is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipChangeError {
    /// An earlier change is not committed.
    #[error("an earlier change of voters is not committed")]
    Pending,
    /// The leader has not committed an entry of its term.
    #[error("the leader has not committed an entry of its term")]
    TermNotCommitted,
    /// The replica is a member already.
    #[error("the replica is a member already")]
    AlreadyMember,
    /// The replica is not a member, or not a learner.
    #[error("the replica is not a member of that kind")]
    NotMember,
    /// The learner has not caught up.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The replica leads; leadership must be transferred first.
    #[error("the replica leads the group; transfer leadership first")]
    IsLeader,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The read is linearizable once the state machine has applied this index.
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
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
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

/// State of a replica, for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: ReplicaId,
    /// Role, term and leader.
    pub role: RoleChange,
    /// Last committed index known to this replica.
    pub commit: u64,
    /// Last entry of the log.
    pub last: LogPosition,
    /// Last index that is synced.
    pub stable: u64,
    /// Position of the last snapshot.
    pub snapshot: LogPosition,
    /// Membership in force, which may not be committed.
    pub membership: Membership,
    /// Whether the membership is committed.
    pub membership_committed: bool,
    /// Peers and the index up to which their logs match; empty unless this replica leads.
    pub peers: Vec<(ReplicaId, u64)>,
    /// Time since each peer last answered; empty unless this replica leads.
    pub last_contact: Vec<(ReplicaId, Duration)>,
    /// Target of a leadership transfer under way.
    pub transfer: Option<ReplicaId>,
    /// Violated invariants since the start.
    pub violations: u64,
}
