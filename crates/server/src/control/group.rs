//! The replicated log as control duties see it.

use bytes::Bytes;
use futures::future::BoxFuture;

/// Why a proposal has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProposeError {
    /// Nothing was proposed.
    #[error("this replica does not lead the group")]
    NotLeader,
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
    /// The leader's lease holds, so that no other replica can have become leader.
    pub(crate) lease_valid: bool,
    /// Replica that is believed to lead.
    pub(crate) leader: Option<u64>,
    pub(crate) term: u64,
    pub(crate) commit_index: u64,
}

/// One group of the replicated log.
pub(crate) trait Group: Send + Sync {
    /// Commits a command and returns the state machine's answer.
    fn propose(&self, command: Bytes) -> BoxFuture<'_, Result<Bytes, ProposeError>>;

    /// Returns once the local state covers everything that was committed before the call.
    fn read_barrier(&self) -> BoxFuture<'_, Result<(), ProposeError>>;

    /// Who leads, as this replica knows it now.
    fn leadership(&self) -> Leadership;

    /// Voters and learners: number and whether it votes.
    fn replicas(&self) -> Vec<(u64, bool)>;
}

/// A state machine that a log drives.
pub(crate) trait StateMachine: Send {
    /// Applies the entry at `index`.
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes;
}

impl StateMachine for poplarspan_ledger::Catalog {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        Self::apply(self, index, data)
    }
}

impl StateMachine for poplarspan_ledger::Ledger {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        Self::apply(self, index, data)
    }
}
