//! Runs the groups of a process: storage, transport, clock and state machines around the cores.
//!
//! One task owns the cores and state machines of all groups. When it ends, because the store has
//! failed or the node was shut down, open requests are answered and later ones are refused.

mod group;
mod handle;
mod node;
mod task;

use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

pub use handle::{GroupHandle, GroupStatus, Leadership, ProposeError, ReadError};
pub use node::{Node, NodeBuilder};

use crate::{
    GroupId, LogPosition, Membership, PeerMessage, PersistRequest, ReplicaId, Snapshot, Storage,
    StoreError,
};

/// Sends messages to other replicas. It may lose, repeat and reorder them; it must not block.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message.
    fn send(&self, to: ReplicaId, message: PeerMessage);
}

/// The state that a group replicates.
///
/// All replicas apply the same commands in the same order, so `apply` must depend on nothing else.
pub trait StateMachine: Any + Send {
    /// Applies the command at an index of the log and returns its result.
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes;

    /// Encodes the whole state.
    fn snapshot(&self) -> Bytes;

    /// Replaces the state by an encoded one.
    ///
    /// # Errors
    ///
    /// Fails when the encoding is unknown. The node then stops.
    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()>;
}

/// The clock that leases and election timeouts are measured with.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Time since an arbitrary start. Never goes back.
    fn now(&self) -> Duration;
}

/// The runtime's clock.
#[derive(Debug)]
pub struct RuntimeClock(tokio::time::Instant);

impl Default for RuntimeClock {
    fn default() -> Self {
        Self(tokio::time::Instant::now())
    }
}

impl Clock for RuntimeClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Parameters of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Clock of leases and election timeouts. Where machines may be suspended, it has to count that
    /// time, because a leader that wakes up must not count on its lease.
    pub clock: Arc<dyn Clock>,
    /// Time between two ticks of the cores.
    pub tick_interval: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Time by which two clocks may drift apart within an election timeout.
    pub drift_margin: Duration,
    /// Entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Entries before a snapshot that stay in memory for followers that lag behind.
    pub trailing_entries: u64,
    /// Proposals of a group that may be open at a time; more are refused.
    pub max_proposals: usize,
    /// Bytes of the open proposals of a group; a single one may be larger, and then has to be alone.
    pub max_proposal_bytes: usize,
    /// Messages and requests that wait for the node's task; more messages are dropped.
    pub queue_capacity: usize,
    /// Seed of the election timeouts; random by default.
    pub seed: u64,
}

impl Default for NodeConfig {
    fn default() -> Self {
        Self {
            clock: Arc::<RuntimeClock>::default(),
            tick_interval: Duration::from_millis(10),
            heartbeat_interval: Duration::from_millis(50),
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            drift_margin: Duration::from_millis(50),
            snapshot_entries: 10_000,
            snapshot_bytes: 64 << 20,
            trailing_entries: 1024,
            max_proposals: 4096,
            max_proposal_bytes: 64 << 20,
            queue_capacity: 4096,
            seed: rand::random(),
        }
    }
}

/// Why a node cannot start or has stopped.
#[derive(Clone, Debug, thiserror::Error)]
pub enum NodeError {
    /// The store has failed.
    #[error("the store has failed: {0}")]
    Store(#[from] StoreError),
    /// A state machine cannot read a snapshot.
    #[error("cannot restore the state of group {}: {source}", group.0)]
    Restore {
        /// The group.
        group: GroupId,
        /// The state machine's error.
        source: Arc<anyhow::Error>,
    },
    /// The node's task has ended: it was shut down, or a state machine panicked.
    #[error("the task of the replicated log has ended")]
    Ended,
}

/// Why a store cannot be initialised.
#[derive(Clone, Debug, thiserror::Error)]
pub enum InitError {
    /// The store has failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store has groups already.
    #[error("the store is in use already")]
    NotEmpty,
}

/// Writes the first voters of new groups into a fresh store. All first voters must be given the
/// same list; a replica that joins later must not be given any.
///
/// # Errors
///
/// Fails when the store holds anything, or cannot be written.
pub async fn init_voters(
    storage: &dyn Storage,
    groups: &[GroupId],
    voters: &[ReplicaId],
) -> Result<(), InitError> {
    init_groups(storage, groups.iter().map(|id| (*id, voters.to_vec())).collect()).await
}

/// Like [`init_voters`], with first voters of its own for each group.
///
/// # Errors
///
/// Fails when the store holds anything, or cannot be written.
pub async fn init_groups(
    storage: &dyn Storage,
    groups: Vec<(GroupId, Vec<ReplicaId>)>,
) -> Result<(), InitError> {
    if !storage.load().await?.is_empty() {
        return Err(InitError::NotEmpty);
    }
    let first = |(id, mut voters): (GroupId, Vec<ReplicaId>)| {
        voters.sort_unstable();
        voters.dedup();
        let snapshot = Snapshot {
            last: LogPosition::default(),
            membership: Membership { voters, learners: Vec::new() },
            data: Bytes::new(),
        };
        (id, PersistRequest { snapshot: Some(snapshot), ..PersistRequest::default() })
    };
    Ok(storage.persist(groups.into_iter().map(first).collect()).await?)
}
