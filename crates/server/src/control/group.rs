//! The replicated log as control duties see it.

use bytes::Bytes;
use futures::future::BoxFuture;

/// Why a proposal has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProposeError {
    /// Nothing was proposed.
    #[error("this replica does not lead the group")]
    NotLeader,
    /// Nothing was proposed.
    #[error("{0}")]
    Refused(String),
    /// The proposal may be committed.
    #[error("the outcome of the proposal is unknown: {0}")]
    Unknown(String),
    /// Nothing was proposed.
    #[error("the replica is stopping")]
    Stopped,
}

/// Who leads a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub(crate) is_leader: bool,
    /// The leader's lease held at the last tick. Before anything that must not be done without the
    /// lease, [`Group::read_barrier`] checks it again.
    pub(crate) lease_valid: bool,
    /// Replica that is believed to lead.
    pub(crate) leader: Option<u64>,
    pub(crate) term: u64,
}

/// A replica of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaState {
    pub(crate) replica: u64,
    pub(crate) voter: bool,
    pub(crate) commit_index: u64,
}

/// One step of a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoterStep {
    AddLearner(u64),
    Promote(u64),
    Remove(u64),
}

/// One group of the replicated log.
pub(crate) trait Group: Send + Sync {
    /// Commits a command and returns the state machine's answer.
    fn propose(&self, command: Bytes) -> BoxFuture<'_, Result<Bytes, ProposeError>>;

    /// Returns once the local state covers everything that was committed before the call, and this
    /// replica has led the group after the call.
    fn read_barrier(&self) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Who leads, as this replica knew it at the last tick.
    fn leadership(&self) -> Leadership;

    /// Changes the voters by one step.
    fn change_voters(&self, step: VoterStep) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Passes the leadership to another voter.
    fn transfer(&self, to: u64) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Voters and learners.
    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaState>>;
}
