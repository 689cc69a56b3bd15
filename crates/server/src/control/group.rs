//! Interface of the control plane to the replicated log.

use bytes::Bytes;
use futures::future::BoxFuture;

/// Why a proposal failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProposeError {
    /// The replica is not the leader; the command was not proposed.
    #[error("this replica does not lead the group")]
    NotLeader,
    /// The log rejected the command; it was not proposed.
    #[error("{0}")]
    Refused(String),
    /// The command was proposed and may still be committed.
    #[error("the outcome of the proposal is unknown: {0}")]
    Unknown(String),
    /// The replica is stopping; the command was not proposed.
    #[error("the replica is stopping")]
    Stopped,
}

/// Leadership of a group, as known locally.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub(crate) is_leader: bool,
    /// Whether the leader lease was valid at the last tick. Call [`Group::read_barrier`] before any
    /// operation that requires the lease.
    pub(crate) lease_valid: bool,
    /// Presumed leader.
    pub(crate) leader: Option<u64>,
    pub(crate) term: u64,
}

/// State of one replica of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaState {
    pub(crate) replica: u64,
    pub(crate) voter: bool,
    pub(crate) commit_index: u64,
}

/// One step of a voter change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoterStep {
    AddLearner(u64),
    Promote(u64),
    Remove(u64),
}

/// One group of the replicated log.
pub(crate) trait Group: Send + Sync {
    /// Commits a command and returns the response of the state machine.
    fn propose(&self, command: Bytes) -> BoxFuture<'_, Result<Bytes, ProposeError>>;

    /// Returns once the local state includes everything that was committed before the call and this
    /// replica has been confirmed as leader after the call.
    fn read_barrier(&self) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Returns the leadership as of the last tick.
    fn leadership(&self) -> Leadership;

    /// Executes one step of a voter change.
    fn change_voters(&self, step: VoterStep) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Transfers the leadership to another voter.
    fn transfer(&self, to: u64) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Returns the voters, followed by the learners.
    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaState>>;
}
