//! Guards against wrong answers of a node when its store fails, its limits are exceeded, its leader
//! changes or its state machine fails.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::cluster::{GROUP, Journal, Network};
use poplarspan_agreement::{
    FolderId, GroupHandle, GroupId, InitError, MemoryDisk, MemoryStore, Node, NodeConfig,
    NodeError, ProposeError, ReadError, ReplicaId, Role, StateMachine, StoreOptions, init_voters,
};

const ID: ReplicaId = ReplicaId(1);

/// Rounds of `requests_during_abort_are_answered`, and nodes that are aborted at once in each.
const ABORT_ROUNDS: usize = 40;
const NODES_PER_ROUND: usize = 16;

/// Tasks that use a node while it is aborted.
const CALLERS: usize = 24;

/// Longest time to the answer of a request to a stopped node, in which nothing is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn store(disk: &MemoryDisk) -> MemoryStore {
    MemoryStore::open(disk, StoreOptions::default()).expect("store")
}

async fn new_disk(voters: &[ReplicaId]) -> MemoryDisk {
    let disk = MemoryDisk::new();
    MemoryStore::create(&disk).expect("created");
    init_voters(&store(&disk), &[GROUP], voters).await.expect("voters");
    disk
}

async fn start(id: ReplicaId, disk: &MemoryDisk, network: &Network, cfg: &NodeConfig) -> Arc<Node> {
    let transport = network.transport(id, FolderId(id.0.into()));
    let node = Node::builder(id, Box::new(store(disk)), transport)
        .config(NodeConfig { seed: id.0, ..cfg.clone() })
        .group(GROUP, Box::<Journal>::default())
        .start()
        .await
        .expect("started");
    let node = Arc::new(node);
    network.connect(&node);
    node
}

/// Starts a group with a single replica and waits until it leads.
async fn start_single(cfg: &NodeConfig) -> (MemoryDisk, Arc<Node>, GroupHandle) {
    let disk = new_disk(&[ID]).await;
    let node = start(ID, &disk, &Network::default(), cfg).await;
    let group = node.group(GROUP).expect("group");
    group.watch().wait_for(|v| v.role == Role::Leader && v.lease).await.expect("leads");
    (disk, node, group)
}

#[tokio::test(start_paused = true)]
async fn failed_sync_stops_the_node() {
    let (disk, node, group) = start_single(&NodeConfig::default()).await;
    assert_eq!(group.propose(Bytes::from("a")).await, Ok(Bytes::from("1")));
    disk.fail_next_sync();
    assert_eq!(group.propose(Bytes::from("b")).await, Err(ProposeError::Unknown));
    assert!(matches!(node.failed().await, NodeError::Store(_)));
    assert_eq!(group.propose(Bytes::from("c")).await, Err(ProposeError::Stopped));
    assert_eq!(group.read_barrier().await, Err(ReadError::Stopped));
    assert_eq!(group.status().await, None);
    node.shutdown().await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_acknowledged_before_it_is_synced() {
    let (disk, node, group) = start_single(&NodeConfig::default()).await;
    disk.set_stalled(true);
    let proposal = tokio::spawn({
        let group = group.clone();
        async move { group.propose(Bytes::from("a")).await }
    });
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert!(!proposal.is_finished());
    assert_eq!(group.query(|j: &Journal| j.0.len()).await, Ok(0));
    disk.set_stalled(false);
    assert_eq!(proposal.await.expect("no panic"), Ok(Bytes::from("1")));
    node.shutdown().await;
}

#[tokio::test(start_paused = true)]
async fn proposals_beyond_the_limit_are_refused() {
    let cfg = NodeConfig { max_proposals: 2, ..NodeConfig::default() };
    let (disk, _node, group) = start_single(&cfg).await;
    disk.set_stalled(true);
    let open = |data: &'static str| {
        let group = group.clone();
        tokio::spawn(async move { group.propose(Bytes::from(data)).await })
    };
    let first = [open("a"), open("b")];
    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    assert_eq!(group.propose(Bytes::from("c")).await, Err(ProposeError::Overloaded));
    disk.set_stalled(false);
    for proposal in first {
        proposal.await.expect("no panic").expect("committed");
    }
    assert_eq!(group.propose(Bytes::from("d")).await, Ok(Bytes::from("3")));
}

#[tokio::test(start_paused = true)]
async fn bytes_beyond_the_limit_are_refused() {
    let cfg = NodeConfig { max_proposal_bytes: 10 << 10, ..NodeConfig::default() };
    let (disk, _node, group) = start_single(&cfg).await;
    let large = Bytes::from(vec![b'a'; 50 << 10]);
    assert_eq!(group.propose(large.clone()).await, Ok(Bytes::from("1")));
    disk.set_stalled(true);
    let open = tokio::spawn({
        let (group, large) = (group.clone(), large.clone());
        async move { group.propose(large).await }
    });
    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    assert_eq!(group.propose(Bytes::from("b")).await, Err(ProposeError::Overloaded));
    disk.set_stalled(false);
    assert_eq!(open.await.expect("no panic"), Ok(Bytes::from("2")));
    assert_eq!(group.propose(Bytes::from("b")).await, Ok(Bytes::from("3")));
}

#[tokio::test(start_paused = true)]
async fn follower_names_the_leader() {
    let three = ThreeReplicas::start().await;
    let leader = Some(three.leader);
    let groups: Vec<_> = three.nodes.iter().map(|n| n.group(GROUP).expect("group")).collect();
    for group in &groups {
        group.watch().wait_for(|v| v.leader.is_some()).await.expect("running");
    }
    let follower = groups.iter().find(|g| g.watch().borrow().role == Role::Follower);
    let follower = follower.expect("follower");
    let not_leader = ProposeError::NotLeader { leader };
    assert_eq!(follower.propose(Bytes::new()).await, Err(not_leader));
    assert_eq!(follower.read_barrier().await, Err(ReadError::NotLeader { leader }));
    assert_eq!(follower.add_learner(ReplicaId(9)).await, Err(not_leader));
}

/// Three connected replicas with a leader.
struct ThreeReplicas {
    network: Network,
    nodes: Vec<Arc<Node>>,
    leader: ReplicaId,
}

impl ThreeReplicas {
    async fn start() -> Self {
        let voters = [1, 2, 3].map(ReplicaId);
        let (network, mut nodes) = (Network::default(), Vec::new());
        for id in voters {
            let disk = new_disk(&voters).await;
            nodes.push(start(id, &disk, &network, &NodeConfig::default()).await);
        }
        let mut three = Self { network, nodes, leader: ID };
        three.leader = three.wait_for_leader(ID, None).await;
        three.group(three.leader).watch().wait_for(|v| v.lease).await.expect("running");
        three
    }

    fn group(&self, id: ReplicaId) -> GroupHandle {
        let node = self.nodes.iter().find(|n| n.replica() == id).expect("node");
        node.group(GROUP).expect("group")
    }

    /// Waits until the replica `at` knows a leader other than `old`, and returns it.
    async fn wait_for_leader(&self, at: ReplicaId, old: Option<ReplicaId>) -> ReplicaId {
        let mut view = self.group(at).watch();
        let view = view.wait_for(|v| v.leader.is_some() && v.leader != old).await;
        view.expect("running").leader.expect("leader")
    }

    /// Isolates the leader and waits for its successor.
    async fn isolate_leader(&self) -> ReplicaId {
        self.network.isolate(self.leader, true);
        let other = self.nodes.iter().map(|n| n.replica()).find(|id| *id != self.leader);
        self.wait_for_leader(other.expect("other"), Some(self.leader)).await
    }
}

#[tokio::test(start_paused = true)]
async fn isolated_leader_steps_down_and_answers_its_proposals() {
    let three = ThreeReplicas::start().await;
    let old = three.group(three.leader);
    three.network.isolate(three.leader, true);
    assert_eq!(old.propose(Bytes::from("lost")).await, Err(ProposeError::Unknown));
    let view = *old.watch().borrow();
    assert!(view.role != Role::Leader && !view.lease, "{view:?}");
    let new = three.isolate_leader().await;
    assert_eq!(three.group(new).propose(Bytes::from("kept")).await, Ok(Bytes::from("1")));
    three.network.isolate(three.leader, false);
    assert_eq!(three.wait_for_leader(three.leader, Some(three.leader)).await, new);
    let journal = three.group(new).query(|j: &Journal| j.0.clone()).await;
    assert_eq!(journal, Ok(vec![Bytes::from("kept")]));
}

#[tokio::test(start_paused = true)]
async fn overwritten_proposal_is_reported_as_not_executed() {
    let three = ThreeReplicas::start().await;
    let old = three.group(three.leader);
    three.network.isolate(three.leader, true);
    let lost = tokio::spawn(async move { old.propose(Bytes::from("lost")).await });
    let new = three.isolate_leader().await;
    three.network.isolate(three.leader, false);
    let result = lost.await.expect("no panic");
    assert_eq!(result, Err(ProposeError::NotLeader { leader: Some(new) }));
}

/// Guards against a caller that waits forever because its request reached the node's queue just
/// as the node's task ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 32)]
async fn requests_during_abort_are_answered() {
    for round in 0..ABORT_ROUNDS {
        let nodes = (0..NODES_PER_ROUND).map(|_| tokio::spawn(abort_while_in_use()));
        for ended in futures::future::join_all(nodes).await {
            assert!(ended.expect("no panic"), "round {round}: a request was not answered");
        }
    }
}

/// Aborts a node while many tasks use it. Returns whether each of them was told so.
async fn abort_while_in_use() -> bool {
    let (_disk, node, group) = start_single(&NodeConfig::default()).await;
    let callers = (0..CALLERS).map(|i| {
        let group = group.clone();
        tokio::spawn(async move {
            match i % 3 {
                0 => while group.propose(Bytes::new()).await != Err(ProposeError::Stopped) {},
                1 => while group.read_barrier().await != Err(ReadError::Stopped) {},
                _ => while group.status().await.is_some() {},
            }
        })
    });
    let callers = futures::future::join_all(callers.collect::<Vec<_>>());
    tokio::task::yield_now().await;
    node.abort().await;
    let ended = tokio::time::timeout(ANSWER_TIMEOUT, callers).await;
    ended.is_ok_and(|callers| callers.iter().all(Result::is_ok))
}

/// State machine that panics on every command and cannot restore a snapshot.
struct FaultyStateMachine;

impl StateMachine for FaultyStateMachine {
    fn apply(&mut self, _: u64, _: &[u8]) -> Bytes {
        panic!("simulated failure of the state machine")
    }

    fn snapshot(&self) -> Bytes {
        Bytes::new()
    }

    fn restore(&mut self, _: &[u8]) -> anyhow::Result<()> {
        anyhow::bail!("unknown encoding")
    }
}

#[tokio::test(start_paused = true)]
async fn panic_of_a_state_machine_leaves_the_outcome_unknown() {
    let disk = new_disk(&[ID]).await;
    let transport = Network::default().transport(ID, FolderId(1));
    let builder = Node::builder(ID, Box::new(store(&disk)), transport);
    let node = builder.group(GROUP, Box::new(FaultyStateMachine)).start().await.expect("started");
    let group = node.group(GROUP).expect("group");
    group.watch().wait_for(|v| v.lease).await.expect("leads");
    assert_eq!(group.query(|_: &Journal| ()).await, Err(ReadError::WrongType));
    assert_eq!(group.propose(Bytes::new()).await, Err(ProposeError::Unknown));
    // The embedding process must be notified, so that a dead log does not go unnoticed.
    assert!(matches!(node.failed().await, NodeError::Ended));
}

#[tokio::test(start_paused = true)]
async fn unreadable_snapshot_is_reported_at_start() {
    let cfg = NodeConfig { snapshot_entries: 5, ..NodeConfig::default() };
    let (disk, node, group) = start_single(&cfg).await;
    for _ in 0..10 {
        group.propose(Bytes::from("a")).await.expect("committed");
    }
    while group.status().await.expect("running").core.snapshot.index == 0 {
        tokio::time::sleep(cfg.tick_interval).await;
    }
    node.shutdown().await;
    let transport = Network::default().transport(ID, FolderId(1));
    let builder = Node::builder(ID, Box::new(store(&disk)), transport);
    let result = builder.group(GROUP, Box::new(FaultyStateMachine)).start().await;
    assert!(matches!(result.map(|_| ()), Err(NodeError::Restore { group: GROUP, .. })));
}

#[tokio::test(start_paused = true)]
async fn init_refuses_store_in_use() {
    let disk = new_disk(&[ID]).await;
    let result = init_voters(&store(&disk), &[GroupId(7)], &[ID]).await;
    assert!(matches!(result, Err(InitError::NotEmpty)));
}

#[tokio::test(start_paused = true)]
async fn snapshots_wait_until_the_log_has_grown_by_the_last_one() {
    let cfg = NodeConfig { snapshot_entries: 1, ..NodeConfig::default() };
    let (disk, node, group) = start_single(&cfg).await;
    for i in 0..1000 {
        group.propose(Bytes::from(format!("{i:0100}"))).await.expect("committed");
    }
    node.shutdown().await;
    let store = store(&disk);
    let loaded = poplarspan_agreement::Storage::load(&store).await.expect("loaded");
    let size = loaded[0].1.snapshot.as_ref().expect("snapshot").data.len();
    // The state grows as fast as the log, so each snapshot is about twice as large as the previous
    // one.
    assert!(size >= 1000 * 101 / 4, "{size}");
    assert!(loaded[0].1.entries.len() < 750, "{}", loaded[0].1.entries.len());
}
