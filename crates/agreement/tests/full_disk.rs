//! Guards against unsynced acknowledgements, stuck leaders and replicas that do not recover when a
//! disk is full or does not respond. Nothing unsynced may be acknowledged, leadership must move to
//! another replica, and the replica must resume once its disk works again.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::cluster::{GROUP, Journal, Network};
use futures::FutureExt;
use poplarspan_agreement::{
    FolderId, GroupHandle, MemoryDisk, MemoryStore, Node, NodeConfig, ReplicaId, Role,
    StoreOptions, init_voters,
};
use tokio::time::{sleep, timeout};

/// Much longer than any timeout of a replica.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Time within which another replica must lead: detection of the stalled disk and the transfer of
/// leadership.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(1);

struct Replica {
    disk: MemoryDisk,
    node: Arc<Node>,
    group: GroupHandle,
}

impl Replica {
    async fn start(id: u64, disk: MemoryDisk, network: &Network) -> Self {
        let store = MemoryStore::open(&disk, StoreOptions::default()).expect("a store");
        let (id, folder) = (ReplicaId(id), FolderId(id.into()));
        let node = Node::builder(id, Box::new(store), network.transport(id, folder))
            .config(NodeConfig { seed: id.0, ..NodeConfig::default() })
            .group(GROUP, Box::<Journal>::default())
            .start()
            .await
            .expect("started");
        let node = Arc::new(node);
        network.connect(&node);
        let group = node.group(GROUP).expect("a group");
        Self { disk, node, group }
    }

    fn leads(&self) -> bool {
        let view = *self.group.watch().borrow();
        view.role == Role::Leader && view.lease
    }

    fn has_failed(&self) -> bool {
        self.node.failed().now_or_never().is_some()
    }

    async fn journal(&self) -> Vec<Bytes> {
        self.group.query(|j: &Journal| j.0.clone()).await.unwrap_or_default()
    }
}

async fn start_all(count: u64) -> Vec<Replica> {
    let voters: Vec<_> = (1..=count).map(ReplicaId).collect();
    let network = Network::default();
    let mut replicas = Vec::new();
    for id in 1..=count {
        let disk = MemoryDisk::new();
        MemoryStore::create(&disk).expect("created");
        let store = MemoryStore::open(&disk, StoreOptions::default()).expect("a store");
        init_voters(&store, &[GROUP], &voters).await.expect("voters");
        replicas.push(Replica::start(id, disk, &network).await);
    }
    leader(&replicas, None).await;
    replicas
}

/// Waits for a leader other than `old` and returns its index.
async fn leader(replicas: &[Replica], old: Option<usize>) -> usize {
    loop {
        let leading = replicas.iter().position(Replica::leads);
        match leading.filter(|at| Some(*at) != old) {
            Some(at) => return at,
            None => sleep(Duration::from_millis(5)).await,
        }
    }
}

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// A proposal waits while the disk is full, and is durable once it is acknowledged.
#[tokio::test(start_paused = true)]
async fn waits_for_room() {
    let replicas = start_all(1).await;
    let replica = &replicas[0];
    replica.group.propose(bytes("before")).await.expect("committed");
    replica.disk.set_full(true);
    let proposal = replica.group.propose(bytes("meanwhile"));
    tokio::pin!(proposal);
    assert!(timeout(LONG_WAIT, &mut proposal).await.is_err(), "acknowledged without a sync");
    assert!(!replica.has_failed());
    replica.disk.set_full(false);
    timeout(MAX_TRANSFER_TIME, proposal).await.expect("in time").expect("committed");
    replica.group.propose(bytes("after")).await.expect("committed");

    replica.disk.crash(0);
    let again = Replica::start(1, replica.disk.clone(), &Network::default()).await;
    let again = [again];
    leader(&again, None).await;
    assert_eq!(again[0].journal().await, ["before", "meanwhile", "after"].map(bytes));
}

/// Guards against a log corrupted by the part of an unacknowledged frame that a full disk accepted.
#[tokio::test(start_paused = true)]
async fn crash_while_full() {
    let replicas = start_all(1).await;
    let replica = &replicas[0];
    replica.group.propose(bytes("before")).await.expect("committed");
    replica.disk.set_full(true);
    assert!(timeout(LONG_WAIT, replica.group.propose(bytes("lost"))).await.is_err());
    replica.disk.crash(usize::MAX);
    replica.disk.set_full(false);
    let again = [Replica::start(1, replica.disk.clone(), &Network::default()).await];
    leader(&again, None).await;
    assert_eq!(again[0].journal().await, ["before"].map(bytes));
}

/// Checks that leadership moves away from a leader while its disk has a fault, and that the replica
/// is a working voter again afterwards.
async fn check_leadership_moves(set_fault: impl Fn(&MemoryDisk, bool)) {
    let replicas = start_all(3).await;
    let old = leader(&replicas, None).await;
    replicas[old].group.propose(bytes("before")).await.expect("committed");
    set_fault(&replicas[old].disk, true);
    // The stalled disk is detected only with a write in progress.
    let first = replicas[old].group.propose(bytes("first"));
    let new =
        timeout(MAX_TRANSFER_TIME, async { tokio::join!(first, leader(&replicas, Some(old))).1 });
    let new = new.await.expect("leadership moves in time");
    replicas[new].group.propose(bytes("second")).await.expect("committed");
    sleep(LONG_WAIT).await;
    assert!(!replicas[old].has_failed());
    set_fault(&replicas[old].disk, false);
    sleep(LONG_WAIT).await;
    // The group tolerates the loss of another replica only if this one votes again.
    let other = (0..3).find(|at| *at != old && *at != new).expect("a third replica");
    replicas[other].node.abort().await;
    let now = leader(&replicas, None).await;
    replicas[now].group.propose(bytes("third")).await.expect("committed");
    let journal = replicas[now].journal().await;
    assert_eq!(journal, ["before", "first", "second", "third"].map(bytes));
}

#[tokio::test(start_paused = true)]
async fn full_leader() {
    check_leadership_moves(MemoryDisk::set_full).await;
}

#[tokio::test(start_paused = true)]
async fn hanging_leader() {
    check_leadership_moves(MemoryDisk::set_stalled).await;
}
