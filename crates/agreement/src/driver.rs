//! Runs the groups of a process: connects the cores with storage, transport, clock and state
//! machines.
//!
//! One task owns the cores and state machines of all groups. When the task ends, because the store
//! failed or the node was shut down, pending requests are answered and later ones are refused.

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
    GroupId, LogPosition, Membership, PeerMessage, PersistRequest, ReplicaId, SavedState, Snapshot,
    Storage, StoreError,
};

/// Sends messages to other replicas. It may lose, duplicate and reorder messages.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message to a replica. Must not block.
    fn send(&self, to: ReplicaId, message: PeerMessage);
}

/// The state that a group replicates.
///
/// All replicas apply the same commands in the same order and must reach the same state, so `apply`
/// must be deterministic.
pub trait StateMachine: Any + Send {
    /// Applies the command at a log index and returns its result.
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes;

    /// Like [`apply`](Self::apply), with the buffer of the log entry, of which the state may keep
    /// slices without copying them.
    fn apply_shared(&mut self, index: u64, data: &Bytes) -> Bytes {
        self.apply(index, data)
    }

    /// Encodes the complete state.
    fn snapshot(&self) -> Bytes;

    /// Replaces the state with one encoded by `snapshot`.
    ///
    /// # Errors
    ///
    /// Fails if the state cannot be decoded. The node then stops.
    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()>;

    /// Like [`restore`](Self::restore), with the buffer of the snapshot, of which the state may
    /// keep slices without copying them.
    ///
    /// # Errors
    ///
    /// As for [`restore`](Self::restore).
    fn restore_shared(&mut self, snapshot: &Bytes) -> anyhow::Result<()> {
        self.restore(snapshot)
    }

    /// Takes a snapshot at a log index for this replica's store. A state machine may keep a part of
    /// its state in files and only refer to it, see [`SavedState::sync`].
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be written. The node tries again later; after the installation of
    /// a leader's snapshot it stops instead.
    fn save(&mut self, _index: u64) -> anyhow::Result<SavedState> {
        let data = self.snapshot();
        Ok(SavedState { source: Arc::new(data.clone()), data, sync: None })
    }

    /// Returns whether a snapshot now would free space, so that it should not wait for the log to
    /// grow.
    fn wants_snapshot(&self) -> bool {
        false
    }

    /// Called when the snapshot taken at a log index is durable: files to which only earlier ones
    /// refer may be removed.
    fn saved(&mut self, _index: u64) {}

    /// Replaces the state with the one that `save` returned at a log index.
    ///
    /// # Errors
    ///
    /// As for [`restore`](Self::restore).
    fn load(&mut self, _index: u64, data: &Bytes) -> anyhow::Result<()> {
        self.restore_shared(data)
    }

    /// Returns whether a leader's snapshot is received in parts, with `receive_part` and
    /// `install_parts`, instead of being collected in memory for `restore_shared`.
    fn receives_parts(&self) -> bool {
        false
    }

    /// Receives the next part of a leader's snapshot. Offset 0 begins a new one and drops the parts
    /// of an unfinished one.
    ///
    /// # Errors
    ///
    /// Fails if the part cannot be decoded or stored. The node then stops.
    fn receive_part(&mut self, _offset: u64, _part: &Bytes) -> anyhow::Result<()> {
        anyhow::bail!("the state machine receives no parts of snapshots")
    }

    /// Replaces the state with the received parts.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is incomplete. The node then stops.
    fn install_parts(&mut self) -> anyhow::Result<()> {
        anyhow::bail!("the state machine receives no parts of snapshots")
    }
}

/// The clock that measures leases and election timeouts.
pub trait Clock: std::fmt::Debug + Send + Sync {
    /// Returns the time since an arbitrary start. Must be monotonic.
    fn now(&self) -> Duration;
}

/// The clock of the Tokio runtime.
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
    /// Clock for leases and election timeouts. If machines may be suspended, the clock must include
    /// that time: a leader that resumes must not rely on a lease from before.
    pub clock: Arc<dyn Clock>,
    /// Time between two ticks of the cores. Should be several times shorter than
    /// `heartbeat_interval`.
    pub tick_interval: Duration,
    /// Time between two heartbeat rounds of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Bound on the drift between two clocks within an election timeout.
    pub drift_margin: Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is taken. Neither limit triggers a snapshot
    /// before the log has grown by the size of the last one.
    pub snapshot_bytes: u64,
    /// Number of entries before the last snapshot that stay in memory for slow followers.
    pub trailing_entries: u64,
    /// Maximum bytes of the entries before the last snapshot that stay in memory.
    pub trailing_bytes: usize,
    /// Maximum number of pending proposals per group; further ones are refused.
    pub max_proposals: usize,
    /// Maximum bytes of pending proposals per group, in units of 1 KiB. A larger proposal is
    /// accepted only while no other one with data is pending.
    pub max_proposal_bytes: usize,
    /// Maximum bytes of a command; larger ones are refused. The transport must carry a message with
    /// one command of this size: one that it drops each time would hold up the group until another
    /// replica leads.
    pub max_command_bytes: usize,
    /// Capacity of the node task's message queue and of its request queue. When the former is full,
    /// messages are dropped; when the latter is full, callers wait.
    pub queue_capacity: usize,
    /// Seed of the random election timeouts; random by default.
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
            trailing_bytes: 64 << 20,
            max_proposals: 4096,
            max_proposal_bytes: 64 << 20,
            max_command_bytes: 15 << 20,
            queue_capacity: 4096,
            seed: rand::random(),
        }
    }
}

/// Why a node cannot start or has stopped.
#[derive(Clone, Debug, thiserror::Error)]
pub enum NodeError {
    /// The store has failed.
    #[error("storage failed: {0}")]
    Store(#[from] StoreError),
    /// A state machine could not be restored from a snapshot.
    #[error("cannot restore group {} from its snapshot: {source}", group.0)]
    Restore {
        /// Group whose state machine failed.
        group: GroupId,
        /// Error that the state machine returned.
        source: Arc<anyhow::Error>,
    },
    /// The node's task has ended, because it was shut down or a state machine panicked.
    #[error("the replicated log's task has ended")]
    Ended,
}

/// Why a store cannot be initialised.
#[derive(Clone, Debug, thiserror::Error)]
pub enum InitError {
    /// The store has failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store already has groups.
    #[error("the store already holds groups")]
    NotEmpty,
}

/// Writes the initial voters of new groups to an empty store. All initial voters must write the
/// same list. A replica that joins later must not write any.
///
/// # Errors
///
/// Fails if the store is not empty or cannot be read or written.
pub async fn init_voters(
    storage: &dyn Storage,
    groups: &[GroupId],
    voters: &[ReplicaId],
) -> Result<(), InitError> {
    init_groups(storage, groups.iter().map(|id| (*id, voters.to_vec())).collect()).await
}

/// Like [`init_voters`], but with a separate list of initial voters for each group.
///
/// # Errors
///
/// Fails if the store is not empty or cannot be read or written.
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
