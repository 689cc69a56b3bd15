//! [`Group`] on top of the replicated log.

use std::sync::{Arc, Mutex};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_agreement::{
    GroupHandle, ProposeError as LogError, ReadError, ReplicaId, Role, StateMachine,
};
use poplarspan_ledger::{Catalog, Ledger};

use super::group::{Group, Leadership, ProposeError, ReplicaState, VoterStep};

/// Adapter from a group handle of the replicated log to [`Group`].
pub(crate) struct LogGroup {
    handle: GroupHandle,
}

impl LogGroup {
    pub(crate) fn new(handle: GroupHandle) -> Self {
        Self { handle }
    }
}

fn propose_error(error: LogError) -> ProposeError {
    match error {
        LogError::NotLeader { .. } => ProposeError::NotLeader,
        LogError::Unknown => ProposeError::Unknown("the leader has changed".to_owned()),
        LogError::Stopped => ProposeError::Stopped,
        LogError::Overloaded | LogError::TooLarge | LogError::Refused(_) => {
            ProposeError::Refused(error.to_string())
        }
    }
}

impl Group for LogGroup {
    fn propose(&self, command: Bytes) -> BoxFuture<'_, Result<Bytes, ProposeError>> {
        Box::pin(async move { self.handle.propose(command).await.map_err(propose_error) })
    }

    fn read_barrier(&self) -> BoxFuture<'_, Result<(), ProposeError>> {
        Box::pin(async move {
            self.handle.read_barrier().await.map_err(|e| match e {
                ReadError::Stopped => ProposeError::Stopped,
                ReadError::NotLeader { .. } | ReadError::WrongType => ProposeError::NotLeader,
            })
        })
    }

    fn leadership(&self) -> Leadership {
        let view = *self.handle.watch().borrow();
        Leadership {
            is_leader: view.role == Role::Leader,
            lease_valid: view.lease,
            leader: view.leader.map(|r| r.0),
            term: view.term,
        }
    }

    fn change_voters(&self, step: VoterStep) -> BoxFuture<'_, Result<(), ProposeError>> {
        Box::pin(async move {
            let changed = match step {
                VoterStep::AddLearner(id) => self.handle.add_learner(ReplicaId(id)).await,
                VoterStep::Promote(id) => self.handle.promote_learner(ReplicaId(id)).await,
                VoterStep::Remove(id) => self.handle.remove_member(ReplicaId(id)).await,
            };
            changed.map_err(propose_error)
        })
    }

    fn transfer(&self, to: u64) -> BoxFuture<'_, Result<(), ProposeError>> {
        Box::pin(async move {
            self.handle.transfer_leadership(ReplicaId(to)).await.map_err(propose_error)
        })
    }

    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaState>> {
        Box::pin(async move {
            let Some(status) = self.handle.status().await else { return Vec::new() };
            let core = status.core;
            let state = |id: &ReplicaId, voter: bool| ReplicaState {
                replica: id.0,
                voter,
                commit_index: core.commit,
            };
            let voters = core.membership.voters.iter().map(|id| state(id, true));
            let learners = core.membership.learners.iter().map(|id| state(id, false));
            voters.chain(learners).collect()
        })
    }
}

/// A state machine that the log updates and other tasks read.
pub(crate) struct SharedState<T>(pub(crate) Arc<Mutex<T>>);

impl StateMachine for SharedState<Catalog> {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        self.0.lock().expect("no panic while locked").apply(index, data)
    }

    fn snapshot(&self) -> Bytes {
        self.0.lock().expect("no panic while locked").snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        Ok(self.0.lock().expect("no panic while locked").restore(snapshot)?)
    }
}

impl StateMachine for SharedState<Ledger> {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        self.0.lock().expect("no panic while locked").apply(index, data)
    }

    fn snapshot(&self) -> Bytes {
        self.0.lock().expect("no panic while locked").snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        Ok(self.0.lock().expect("no panic while locked").restore(snapshot)?)
    }
}
