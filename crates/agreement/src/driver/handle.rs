//! Access to one group from other tasks.

use std::any::Any;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};

use super::StateMachine;
use crate::{GroupId, MembershipChange, MembershipChangeError, ReplicaId, Role, Status};

/// Why a proposal failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead the group. The command was not executed and never will be.
    #[error("this replica does not lead the group")]
    NotLeader {
        /// Leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Too many proposals are pending. The command was not executed and never will be.
    #[error("too many proposals are open")]
    Overloaded,
    /// The command is larger than [`NodeConfig::max_command_bytes`](crate::NodeConfig::max_command_bytes). It was not
    /// executed and never will be.
    #[error("the command is larger than the replicated log carries")]
    TooLarge,
    /// The membership change is not possible now and was not made.
    #[error(transparent)]
    Refused(#[from] MembershipChangeError),
    /// The outcome is unknown: the command may have been executed, may still be executed, or
    /// neither.
    #[error("the outcome is not known")]
    Unknown,
    /// The node has stopped. The command was not executed and never will be.
    #[error("the node has stopped")]
    Stopped,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// This replica does not lead the group.
    #[error("this replica does not lead the group")]
    NotLeader {
        /// Leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The group's state machine is not of the requested type.
    #[error("the group's state machine is not of the requested type")]
    WrongType,
    /// The node has stopped.
    #[error("the node has stopped")]
    Stopped,
}

/// Leadership of a group as known to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// Current term.
    pub term: u64,
    /// Role of this replica.
    pub role: Role,
    /// Whether this replica leads and held the leader lease at the last tick.
    pub lease: bool,
}

/// State of a replica of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupStatus {
    /// State of the consensus core.
    pub core: Status,
    /// Last applied index.
    pub applied: u64,
    /// Whether this replica leads and holds the leader lease.
    pub lease: bool,
}

pub(crate) type Reply<T, E> = oneshot::Sender<Result<T, E>>;
/// Callback of a read, run with the state machine once the read is linearizable, or with an error.
pub(crate) type Query = Box<dyn FnOnce(Result<&dyn StateMachine, ReadError>) + Send>;

/// Returns a proposal's result to its caller.
///
/// Dropping it without a result answers `Unknown` if the proposal had been submitted to the core,
/// and `Stopped` otherwise. This covers panics of a state machine.
pub(crate) struct Responder {
    reply: Option<Reply<Bytes, ProposeError>>,
    /// Whether the proposal has been submitted to the core.
    pub(crate) submitted: bool,
    /// Permits from `ProposalLimits`, released on drop.
    _permits: [OwnedSemaphorePermit; 2],
}

impl Responder {
    pub(crate) fn send(mut self, result: Result<Bytes, ProposeError>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(result);
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(reply) = self.reply.take() {
            let e = if self.submitted { ProposeError::Unknown } else { ProposeError::Stopped };
            let _ = reply.send(Err(e));
        }
    }
}

pub(crate) enum Request {
    Propose(Bytes, Responder),
    Change(MembershipChange, Responder),
    Read(Query),
    Status(oneshot::Sender<GroupStatus>),
    Transfer(ReplicaId, Reply<(), ProposeError>),
}

/// Limits the number and the bytes of a group's pending proposals.
#[derive(Debug)]
pub(crate) struct ProposalLimits {
    count: Arc<Semaphore>,
    /// One permit per `PERMIT_BYTES`, because `acquire_many` takes a 32-bit count.
    bytes: Arc<Semaphore>,
    max_byte_permits: u32,
    max_command_bytes: usize,
}

const PERMIT_BYTES: usize = 1024;

impl ProposalLimits {
    pub(crate) fn new(cfg: &crate::NodeConfig) -> Self {
        let max_bytes = cfg.max_proposal_bytes;
        let max_byte_permits = u32::try_from(max_bytes / PERMIT_BYTES).unwrap_or(u32::MAX).max(1);
        Self {
            count: Arc::new(Semaphore::new(cfg.max_proposals)),
            bytes: Arc::new(Semaphore::new(max_byte_permits as usize)),
            max_byte_permits,
            max_command_bytes: cfg.max_command_bytes,
        }
    }

    fn acquire(&self, bytes: usize) -> Result<[OwnedSemaphorePermit; 2], ProposeError> {
        if bytes > self.max_command_bytes {
            return Err(ProposeError::TooLarge);
        }
        let overloaded = |_| ProposeError::Overloaded;
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let permits = permits.min(self.max_byte_permits);
        let count = Arc::clone(&self.count).try_acquire_owned().map_err(overloaded)?;
        let bytes = Arc::clone(&self.bytes).try_acquire_many_owned(permits).map_err(overloaded)?;
        Ok([count, bytes])
    }
}

/// Sends a request to a node's task and waits for the reply. Returns `None` if the task ended
/// without handling the request.
pub(crate) async fn call<R, T>(
    tx: &mpsc::Sender<R>,
    request: R,
    mut reply: oneshot::Receiver<T>,
) -> Option<T> {
    tx.send(request).await.ok()?;
    // A message that is enqueued while the receiver is dropped stays in the channel, with its reply
    // channel open, until the last sender is dropped. That may be this one.
    tokio::select! {
        biased;
        reply = &mut reply => reply.ok(),
        () = tx.closed() => reply.try_recv().ok(),
    }
}

/// Access to one group of a node.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    pub(crate) group: GroupId,
    pub(crate) tx: mpsc::Sender<(GroupId, Request)>,
    pub(crate) limits: Arc<ProposalLimits>,
    pub(crate) leadership: watch::Receiver<Leadership>,
}

impl GroupHandle {
    /// Returns the number of the group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Proposes a command and returns the state machine's result once it is committed and applied.
    ///
    /// # Errors
    ///
    /// Every error except [`ProposeError::Unknown`] guarantees that the command is never executed.
    pub async fn propose(&self, data: Bytes) -> Result<Bytes, ProposeError> {
        self.submit(data.len(), |responder| Request::Propose(data, responder)).await
    }

    /// Adds a replica that receives the log but does not vote.
    ///
    /// # Errors
    ///
    /// As for [`propose`](Self::propose); also fails with [`ProposeError::Refused`].
    pub async fn add_learner(&self, id: ReplicaId) -> Result<(), ProposeError> {
        self.change(MembershipChange::AddLearner(id)).await
    }

    /// Turns a learner that has caught up into a voter.
    ///
    /// # Errors
    ///
    /// As for [`propose`](Self::propose); also fails with [`ProposeError::Refused`].
    pub async fn promote_learner(&self, id: ReplicaId) -> Result<(), ProposeError> {
        self.change(MembershipChange::PromoteLearner(id)).await
    }

    /// Removes a voter or learner other than the leader.
    ///
    /// # Errors
    ///
    /// As for [`propose`](Self::propose); also fails with [`ProposeError::Refused`].
    pub async fn remove_member(&self, id: ReplicaId) -> Result<(), ProposeError> {
        self.change(MembershipChange::RemoveVoter(id)).await
    }

    /// Makes a learner a voter in place of one whose disk is lost. See
    /// [`MembershipChange::ReplaceVoter`] for when this is safe.
    ///
    /// # Errors
    ///
    /// As for [`propose`](Self::propose); also fails with [`ProposeError::Refused`].
    pub async fn replace_voter(&self, old: ReplicaId, new: ReplicaId) -> Result<(), ProposeError> {
        self.change(MembershipChange::ReplaceVoter { old, new }).await
    }

    async fn change(&self, change: MembershipChange) -> Result<(), ProposeError> {
        self.submit(0, |responder| Request::Change(change, responder)).await.map(|_| ())
    }

    async fn submit(
        &self,
        bytes: usize,
        request: impl FnOnce(Responder) -> Request,
    ) -> Result<Bytes, ProposeError> {
        let permits = self.limits.acquire(bytes)?;
        let (reply, result) = oneshot::channel();
        let request =
            request(Responder { reply: Some(reply), submitted: false, _permits: permits });
        // A request that the task handled is answered before the channel closes, by `Responder` if
        // by nothing else.
        call(&self.tx, (self.group, request), result).await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Waits until the state machine has applied everything that was acknowledged before the call,
    /// and confirms that this replica led the group at some time during the call.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead the group or the node has stopped.
    pub async fn read_barrier(&self) -> Result<(), ReadError> {
        self.read(|_| Ok(())).await
    }

    /// Runs a linearizable read of the group's state machine of type `M`. The closure runs in the
    /// node's task and must return quickly.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead the group, the state machine is not an `M`, or the node
    /// has stopped.
    pub async fn query<M, R>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Result<R, ReadError>
    where
        M: StateMachine,
        R: Send + 'static,
    {
        self.read(|machine| {
            let machine: &dyn Any = machine;
            machine.downcast_ref().map(f).ok_or(ReadError::WrongType)
        })
        .await
    }

    async fn read<R: Send + 'static>(
        &self,
        f: impl FnOnce(&dyn StateMachine) -> Result<R, ReadError> + Send + 'static,
    ) -> Result<R, ReadError> {
        let (reply, result) = oneshot::channel();
        let query: Query = Box::new(move |machine| {
            let _ = reply.send(machine.and_then(f));
        });
        let request = (self.group, Request::Read(query));
        call(&self.tx, request, result).await.unwrap_or(Err(ReadError::Stopped))
    }

    /// Returns the state of this replica, or `None` if the node has stopped.
    pub async fn status(&self) -> Option<GroupStatus> {
        let (reply, result) = oneshot::channel();
        call(&self.tx, (self.group, Request::Status(reply)), result).await
    }

    /// Returns a channel with the leadership of the group. Its lease is as of the last tick; use
    /// [`read_barrier`](Self::read_barrier) before an action that requires the lease.
    ///
    /// A borrowed value blocks the node's task, so copy it immediately.
    pub fn watch(&self) -> watch::Receiver<Leadership> {
        self.leadership.clone()
    }

    /// Transfers leadership to another voter and returns once that voter leads.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, if another transfer is in progress, if the node has
    /// stopped, or with [`ProposeError::Unknown`] if the transfer was not completed in time.
    pub async fn transfer_leadership(&self, to: ReplicaId) -> Result<(), ProposeError> {
        let (reply, result) = oneshot::channel();
        let request = (self.group, Request::Transfer(to, reply));
        call(&self.tx, request, result).await.unwrap_or(Err(ProposeError::Stopped))
    }
}
