//! Starts a node, delivers messages to it and stops it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{mpsc, oneshot, watch};

use super::group::Group;
use super::handle::{GroupHandle, ProposalLimits, call};
use super::task::{NodeTask, StopRequest, TaskState};
use super::{NodeConfig, NodeError, StateMachine, Transport};
use crate::{
    FolderId, GroupId, IdentityError, PeerIdentities, PeerMessage, ReplicaId, Storage, StoredGroup,
};

/// Builder of a [`Node`].
pub struct NodeBuilder {
    replica: ReplicaId,
    storage: Box<dyn Storage>,
    transport: Arc<dyn Transport>,
    peers: PeerIdentities,
    cfg: NodeConfig,
    groups: Vec<(GroupId, Box<dyn StateMachine>)>,
}

impl NodeBuilder {
    /// Sets the recorded folder identities of the peers. By default, they are kept in memory only.
    pub fn peers(mut self, peers: PeerIdentities) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the parameters of the node.
    pub fn config(mut self, cfg: NodeConfig) -> Self {
        self.cfg = cfg;
        self
    }

    /// Adds a group. A later call for the same group replaces its state machine.
    pub fn group(mut self, id: GroupId, machine: Box<dyn StateMachine>) -> Self {
        match self.groups.binary_search_by_key(&id, |(g, _)| *g) {
            Ok(i) => self.groups[i].1 = machine,
            Err(i) => self.groups.insert(i, (id, machine)),
        }
        self
    }

    /// Loads the store, restores the state machines and starts the node's task.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read or a state machine cannot be restored.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime, or if `queue_capacity` is 0.
    pub async fn start(self) -> Result<Node, NodeError> {
        let mut stored = self.storage.load().await?;
        let cfg = Arc::new(self.cfg);
        let (request_tx, requests) = mpsc::channel(cfg.queue_capacity);
        let (message_tx, messages) = mpsc::channel(cfg.queue_capacity);
        let (stop_tx, stop) = mpsc::channel(1);
        let (failed, failure) = watch::channel(None);
        let (mut groups, mut handles) = (Vec::new(), Vec::new());
        for (id, machine) in self.groups {
            let found = stored.binary_search_by_key(&id, |(g, _)| *g);
            let stored = found.map_or_else(|_| StoredGroup::default(), |i| stored.remove(i).1);
            let transport = Arc::clone(&self.transport);
            let (group, leadership) =
                Group::new(id, self.replica, machine, stored, transport, Arc::clone(&cfg))?;
            groups.push(group);
            let limits = Arc::new(ProposalLimits::new(&cfg));
            handles.push(GroupHandle { group: id, tx: request_tx.clone(), limits, leadership });
        }
        let (storage, state) = (self.storage, TaskState::default());
        let task = NodeTask { groups, storage, cfg, messages, requests, stop, failed, state };
        tokio::spawn(task.run());
        Ok(Node {
            replica: self.replica,
            handles,
            inbox: Inbox::new(self.peers, message_tx),
            peer_rules: Mutex::default(),
            stop: stop_tx,
            failure,
        })
    }
}

/// The replicas of all groups of a process. Dropping it stops them without transferring leadership.
pub struct Node {
    replica: ReplicaId,
    /// Sorted by group.
    handles: Vec<GroupHandle>,
    inbox: Arc<Inbox>,
    /// Versions of the rules for commands that peers last announced, sorted by peer.
    peer_rules: Mutex<Vec<(ReplicaId, u32)>>,
    stop: mpsc::Sender<StopRequest>,
    failure: watch::Receiver<Option<NodeError>>,
}

impl Node {
    /// Returns a builder for a node with the given replica number.
    pub fn builder(
        replica: ReplicaId,
        storage: Box<dyn Storage>,
        transport: Arc<dyn Transport>,
    ) -> NodeBuilder {
        let (peers, cfg) = (PeerIdentities::in_memory(), NodeConfig::default());
        NodeBuilder { replica, storage, transport, peers, cfg, groups: Vec::new() }
    }

    /// Returns the number of this replica.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns a handle to a group, or `None` if the node does not run it.
    pub fn group(&self, id: GroupId) -> Option<GroupHandle> {
        let i = self.handles.binary_search_by_key(&id, |h| h.group).ok()?;
        Some(self.handles[i].clone())
    }

    /// Delivers a message from a peer, given the peer's authenticated number and the identity of
    /// its data folder. Never blocks. The message is dropped if the queue is full, if the folder is
    /// not the recorded one, or while a new peer is being recorded.
    pub fn deliver(&self, from: ReplicaId, from_folder: FolderId, message: PeerMessage) {
        self.inbox.deliver(from, from_folder, message);
    }

    /// Records the highest version of the rules for commands that a peer's build knows.
    pub fn record_rules(&self, from: ReplicaId, rules: u32) {
        let mut known = lock(&self.peer_rules);
        match known.binary_search_by_key(&from, |(id, _)| *id) {
            Ok(i) => known[i].1 = rules,
            Err(i) => known.insert(i, (from, rules)),
        }
    }

    /// Returns the version that `record_rules` last recorded for a peer, or `None` if the peer has
    /// not been heard of since the start.
    pub fn rules_of(&self, id: ReplicaId) -> Option<u32> {
        let known = lock(&self.peer_rules);
        known.binary_search_by_key(&id, |(peer, _)| *peer).ok().map(|i| known[i].1)
    }

    /// Waits until the node has failed or stopped.
    pub async fn failed(&self) -> NodeError {
        let mut failure = self.failure.clone();
        // The sender is dropped when the node's task ends, also by a panic.
        match failure.wait_for(Option::is_some).await {
            Ok(e) => e.clone().unwrap_or(NodeError::Ended),
            Err(_) => NodeError::Ended,
        }
    }

    /// Transfers the leadership of all groups, then stops the node and closes the store. Returns
    /// immediately if the node has already stopped.
    pub async fn shutdown(&self) {
        let (reply, stopped) = oneshot::channel();
        // Without a reply the node has stopped already.
        let _ = call(&self.stop, StopRequest::Shutdown(reply), stopped).await;
    }

    /// Stops the node without transferring leadership, then closes the store.
    pub async fn abort(&self) {
        let (reply, stopped) = oneshot::channel();
        let _ = call(&self.stop, StopRequest::Abort(reply), stopped).await;
    }
}

/// Checks the folder identity of each message's sender before queueing the message.
struct Inbox {
    peers: PeerIdentities,
    tx: mpsc::Sender<(ReplicaId, PeerMessage)>,
    /// Peers whose folder is being recorded.
    recording: Mutex<Vec<ReplicaId>>,
    /// Peers with the folders that were refused, so that each is logged only once.
    refused: Mutex<Vec<(ReplicaId, FolderId)>>,
}

impl Inbox {
    fn new(peers: PeerIdentities, tx: mpsc::Sender<(ReplicaId, PeerMessage)>) -> Arc<Self> {
        Arc::new(Self { peers, tx, recording: Mutex::default(), refused: Mutex::default() })
    }

    fn deliver(self: &Arc<Self>, from: ReplicaId, folder: FolderId, message: PeerMessage) {
        match self.peers.get(from) {
            Some(known) if known == folder => {
                if self.tx.try_send((from, message)).is_err() {
                    count_dropped("queue_full");
                }
            }
            Some(_) => self.refuse(from, folder),
            None => {
                count_dropped("first_contact");
                self.record(from, folder);
            }
        }
    }

    /// Records the folder of a new peer on a blocking thread, because it syncs a file.
    fn record(self: &Arc<Self>, from: ReplicaId, folder: FolderId) {
        let mut recording = lock(&self.recording);
        if recording.contains(&from) {
            return;
        }
        recording.push(from);
        let inbox = Arc::clone(self);
        tokio::task::spawn_blocking(move || {
            match inbox.peers.check(from, folder) {
                Ok(()) => log::info!("recorded data folder of replica {}", from.0),
                Err(IdentityError::ForeignFolder(_)) => inbox.refuse(from, folder),
                Err(e) => log::error!("cannot record data folder of replica {}: {e}", from.0),
            }
            lock(&inbox.recording).retain(|id| *id != from);
        });
    }

    fn refuse(&self, from: ReplicaId, folder: FolderId) {
        count_dropped("foreign_folder");
        let mut refused = lock(&self.refused);
        if !refused.contains(&(from, folder)) {
            refused.push((from, folder));
            log::error!("{}; its messages are dropped", IdentityError::ForeignFolder(from));
        }
    }
}

fn count_dropped(reason: &'static str) {
    metrics::counter!("poplarspan_agreement_dropped_messages_total", "reason" => reason)
        .increment(1);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
