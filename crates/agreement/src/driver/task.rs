//! The task that owns all groups of a node.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::group::{Group, StorageWork};
use super::handle::Request;
use super::{NodeConfig, NodeError};
use crate::storage::DISK_FULL_RETRY_DELAY;
use crate::{
    GroupId, PeerMessage, ReplicaId, Snapshot, Storage, StoreError, SyncFiles, is_disk_full,
};

/// Maximum number of messages or requests handled before the resulting state goes to storage.
const MAX_INPUTS_PER_BATCH: usize = 256;

/// Request to end the task, with the channel for its completion.
pub(crate) enum StopRequest {
    /// Stop after transferring leadership.
    Shutdown(oneshot::Sender<()>),
    /// Stop immediately.
    Abort(oneshot::Sender<()>),
}

type Synced = Result<Vec<(GroupId, u64)>, StoreError>;
type Saved = Result<(GroupId, Snapshot), StoreError>;

/// Fields are dropped in this order: groups answer their open requests before `requests` closes,
/// and `stop`, the last one, closes when nothing of the node is left. `handle::call` relies on this.
pub(crate) struct NodeTask {
    /// Sorted by group.
    pub(crate) groups: Vec<Group>,
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) cfg: Arc<NodeConfig>,
    pub(crate) messages: mpsc::Receiver<(ReplicaId, PeerMessage)>,
    pub(crate) requests: mpsc::Receiver<(GroupId, Request)>,
    pub(crate) failed: watch::Sender<Option<NodeError>>,
    pub(crate) state: TaskState,
    pub(crate) stop: mpsc::Receiver<StopRequest>,
}

/// Storage work and shutdown in progress.
pub(crate) struct TaskState {
    work: StorageWork,
    /// The batch that storage is making durable. `work` collects the next one in the meantime.
    syncing: Option<BoxFuture<'static, Synced>>,
    /// When that batch was submitted to storage.
    syncing_since: Instant,
    saving: FuturesUnordered<BoxFuture<'static, Saved>>,
    /// Deadline of a shutdown, after which the task ends even if it still leads, and the channel
    /// for its completion.
    stopping: Option<(Instant, oneshot::Sender<()>)>,
}

impl Default for TaskState {
    fn default() -> Self {
        Self {
            work: StorageWork::default(),
            syncing: None,
            syncing_since: Instant::now(),
            saving: FuturesUnordered::new(),
            stopping: None,
        }
    }
}

impl NodeTask {
    pub(crate) async fn run(mut self) {
        let stopped = match self.serve().await {
            Ok(reply) => reply,
            Err(e) => {
                log::error!("node stopped after an error: {e}");
                self.failed.send_replace(Some(e));
                None
            }
        };
        // No further request is handled. Queued ones are refused when the channels are dropped.
        for group in &mut self.groups {
            group.stop();
        }
        // Fails only if the store is already closed.
        let _ = self.storage.close().await;
        drop(self);
        if let Some(reply) = stopped {
            let _ = reply.send(());
        }
    }

    /// Runs until the node is stopped. Returns the channel for the completion, if there is one.
    async fn serve(&mut self) -> Result<Option<oneshot::Sender<()>>, NodeError> {
        let mut ticks = interval(self.cfg.tick_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut messages, mut requests) = (Vec::new(), Vec::new());
        loop {
            self.start_storage_work();
            if self.can_stop() {
                return Ok(self.state.stopping.take().map(|(_, reply)| reply));
            }
            tokio::select! {
                synced = next_synced(&mut self.state.syncing) => self.synced(synced?)?,
                Some(saved) = self.state.saving.next() => self.saved(saved?)?,
                _ = ticks.tick() => self.tick()?,
                _ = self.messages.recv_many(&mut messages, MAX_INPUTS_PER_BATCH) => {
                    self.handle_messages(&mut messages)?;
                }
                _ = self.requests.recv_many(&mut requests, MAX_INPUTS_PER_BATCH) => {
                    self.handle_requests(&mut requests)?;
                }
                stop = self.stop.recv() => match stop {
                    Some(StopRequest::Shutdown(reply)) => self.begin_shutdown(reply)?,
                    Some(StopRequest::Abort(reply)) => return Ok(Some(reply)),
                    None => return Ok(None),
                },
            }
        }
    }

    fn now(&self) -> Duration {
        self.cfg.clock.now()
    }

    fn find(&mut self, id: GroupId) -> Option<usize> {
        self.groups.binary_search_by_key(&id, Group::id).ok()
    }

    fn start_storage_work(&mut self) {
        let state = &mut self.state;
        if state.syncing.is_none() && !state.work.persists.is_empty() {
            let batch = std::mem::take(&mut state.work.persists);
            let sequences = batch.iter().map(|(id, p)| (*id, p.sequence)).collect();
            let syncs = std::mem::take(&mut state.work.syncs);
            let persisted = self.storage.persist(batch);
            state.syncing_since = Instant::now();
            state.syncing = Some(Box::pin(async move {
                for sync in syncs {
                    sync_files(sync).await?;
                }
                persisted.await.map(|()| sequences)
            }));
        }
        for (id, snapshot, sync) in state.work.snapshots.drain(..) {
            let saved = self.storage.save_snapshot(id, snapshot.clone());
            state.saving.push(Box::pin(async move {
                if let Some(sync) = sync {
                    sync_files(sync).await?;
                }
                saved.await.map(|()| (id, snapshot))
            }));
        }
    }

    fn synced(&mut self, sequences: Vec<(GroupId, u64)>) -> Result<(), NodeError> {
        for (id, sequence) in sequences {
            if let Some(i) = self.find(id) {
                let now = self.now();
                self.groups[i].synced(now, sequence, &mut self.state.work)?;
            }
        }
        Ok(())
    }

    fn saved(&mut self, (id, snapshot): (GroupId, Snapshot)) -> Result<(), NodeError> {
        let Some(i) = self.find(id) else {
            return Ok(());
        };
        let now = self.now();
        self.groups[i].snapshot_saved(now, snapshot, &mut self.state.work)
    }

    /// Returns whether the batch in flight has taken at least the shortest election timeout.
    fn is_disk_stalled(&self) -> bool {
        self.state.syncing.is_some()
            && self.state.syncing_since.elapsed() >= self.cfg.election_timeout_min
    }

    fn tick(&mut self) -> Result<(), NodeError> {
        let is_disk_stalled = self.is_disk_stalled();
        for i in 0..self.groups.len() {
            let now = self.now();
            self.groups[i].tick(now, &mut self.state.work)?;
            if self.state.stopping.is_some() {
                self.groups[i].transfer_to_most_complete(now, &mut self.state.work)?;
            } else if is_disk_stalled {
                self.groups[i].transfer_off_stalled_disk(now, &mut self.state.work)?;
            }
        }
        Ok(())
    }

    fn handle_messages(
        &mut self,
        messages: &mut Vec<(ReplicaId, PeerMessage)>,
    ) -> Result<(), NodeError> {
        for (from, PeerMessage { group, message }) in messages.drain(..) {
            if let Some(i) = self.find(group) {
                let now = self.now();
                self.groups[i].message(now, from, message, &mut self.state.work)?;
            }
        }
        Ok(())
    }

    fn handle_requests(&mut self, requests: &mut Vec<(GroupId, Request)>) -> Result<(), NodeError> {
        for (id, request) in requests.drain(..) {
            let refused = self.state.stopping.is_some()
                && matches!(request, Request::Propose(..) | Request::Change(..));
            if let Some(i) = self.find(id).filter(|_| !refused) {
                let now = self.now();
                self.groups[i].request(now, request, &mut self.state.work)?;
            }
        }
        Ok(())
    }

    fn begin_shutdown(&mut self, reply: oneshot::Sender<()>) -> Result<(), NodeError> {
        let deadline = Instant::now() + 2 * self.cfg.election_timeout_max;
        self.state.stopping = Some((deadline, reply));
        self.tick()
    }

    /// Returns whether a shutdown may complete: the node leads no group that has pending proposals
    /// or another voter, or the deadline has passed.
    fn can_stop(&mut self) -> bool {
        let Some((deadline, _)) = self.state.stopping else {
            return false;
        };
        let done = |g: &Group| !(g.leads() && (g.has_pending_proposals() || g.has_other_voters()));
        Instant::now() >= deadline || self.groups.iter().all(done)
    }
}

/// Syncs the files of a state machine on a blocking thread; waits while the disk is full.
async fn sync_files(sync: SyncFiles) -> Result<(), StoreError> {
    loop {
        let sync = Arc::clone(&sync);
        let synced = tokio::task::spawn_blocking(move || sync());
        match synced.await.unwrap_or_else(|e| Err(std::io::Error::other(e))) {
            Ok(()) => return Ok(()),
            Err(e) if is_disk_full(&e) => sleep(DISK_FULL_RETRY_DELAY).await,
            Err(e) => return Err(StoreError::io("sync", "files of a state machine", e)),
        }
    }
}

/// Waits for the batch in flight, or forever if there is none.
async fn next_synced(syncing: &mut Option<BoxFuture<'static, Synced>>) -> Synced {
    let Some(batch) = syncing else {
        return pending().await;
    };
    let result = batch.await;
    *syncing = None;
    result
}
