//! Messages between the replicas of one group.

use bytes::Bytes;

use crate::types::{Entry, LogPosition, Membership};

/// A message from one replica of a group to another.
///
/// Every message carries the sender's current term, except that a pre-vote request and a granted
/// pre-vote answer carry the term in which the candidate would campaign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`. Changes no state.
    PreVote {
        /// Term in which the sender would campaign.
        term: u64,
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answers a pre-vote request.
    PreVoteAnswer {
        /// Requested term if granted, the sender's own term otherwise.
        term: u64,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for the receiver's vote.
    Vote {
        /// Term of the election.
        term: u64,
        /// Last entry of the sender's log.
        last: LogPosition,
        /// Whether the sender campaigns because of a leadership transfer. The receiver then may
        /// vote although it has just heard from the leader, which has released its lease.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// Sender's term.
        term: u64,
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Replicates entries of the leader's log.
    Append {
        /// Leader's term.
        term: u64,
        /// Position of the entry before the first one in `entries`.
        previous: LogPosition,
        /// Consecutive entries; may be empty.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
    },
    /// Answers an append, or the last chunk of a snapshot.
    AppendAnswer {
        /// Sender's term.
        term: u64,
        /// Index up to which the logs match, or where they differ.
        result: AppendResult,
    },
    /// Keeps followers from campaigning. A round acknowledged by a quorum confirms leadership.
    Heartbeat {
        /// Leader's term.
        term: u64,
        /// Number of the heartbeat round; increases with each round of a term.
        round: u64,
        /// Commit index, at most the index up to which the receiver's log is known to match.
        commit: u64,
    },
    /// Answers a heartbeat.
    HeartbeatAnswer {
        /// Sender's term.
        term: u64,
        /// Acknowledged round; 0 when the sender only reports its later term.
        round: u64,
    },
    /// Transfers a part of a snapshot.
    SnapshotChunk {
        /// Leader's term.
        term: u64,
        /// Last entry that the snapshot covers.
        last: LogPosition,
        /// Membership at `last`.
        membership: Membership,
        /// Offset of `data` in the snapshot.
        offset: u64,
        /// Bytes of the snapshot from `offset` on.
        data: Bytes,
        /// Whether this is the last chunk.
        done: bool,
    },
    /// Answers a chunk that did not complete a snapshot.
    SnapshotAnswer {
        /// Sender's term.
        term: u64,
        /// Last entry that the snapshot covers.
        last: LogPosition,
        /// Offset of the next chunk that the sender needs.
        received: u64,
    },
    /// Tells the receiver to campaign immediately, to complete a leadership transfer.
    TimeoutNow {
        /// Leader's term.
        term: u64,
    },
}

impl Message {
    /// Returns the term that the message carries.
    pub fn term(&self) -> u64 {
        match *self {
            Self::PreVote { term, .. }
            | Self::PreVoteAnswer { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteAnswer { term, .. }
            | Self::Append { term, .. }
            | Self::AppendAnswer { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatAnswer { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotAnswer { term, .. }
            | Self::TimeoutNow { term } => term,
        }
    }
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The sender's log is durable and equals the leader's up to this index.
    Matched(u64),
    /// The sender has no entry at `previous`, or one of another term.
    Mismatch {
        /// Index of the `previous` position that did not match.
        rejected: u64,
        /// Last position of the sender's log that may match: the last one with an index of at most
        /// `rejected` and a term of at most that of the rejected position.
        hint: LogPosition,
    },
}
