//! Measures commit latency, syncs per commit and restart time of nodes in one process with stores
//! on disk.
#![allow(missing_docs, reason = "criterion_group! generates a function without documentation")]

use std::path::Path;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use futures::future::{BoxFuture, join_all};
use poplarspan_agreement::{
    Entry, FileStore, FolderId, GroupHandle, GroupId, LogPosition, Node, NodeConfig, Payload,
    PeerMessage, PersistRequest, ReplicaId, Role, Snapshot, StateMachine, Storage, StoreError,
    StoreOptions, StoreStats, StoredGroup, Transport, init_voters,
};
use tempfile::TempDir;
use tokio::runtime::Runtime;

const GROUP: GroupId = GroupId(0);
const COMMAND_BYTES: usize = 256;
const RESTART_ENTRIES: usize = 10_000;

/// State machine that counts the commands.
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _: u64, _: &[u8]) -> Bytes {
        self.0 += 1;
        Bytes::new()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_be_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.0 = u64::from_be_bytes(snapshot.try_into()?);
        Ok(())
    }
}

/// Nodes of a cluster, which own the transports that refer back to them.
type Nodes = Arc<Mutex<Vec<Weak<Node>>>>;

/// Delivers messages to the nodes of this process.
struct LocalTransport {
    from: ReplicaId,
    nodes: Nodes,
}

impl Transport for LocalTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let nodes = self.nodes.lock().expect("no panic");
        let node = nodes.iter().filter_map(Weak::upgrade).find(|n| n.replica() == to);
        drop(nodes);
        if let Some(node) = node {
            node.deliver(self.from, FolderId(self.from.0.into()), message);
        }
    }
}

/// Shares a store with the benchmark, which reads its counters while a node owns it.
struct SharedStore(Arc<FileStore>);

impl Storage for SharedStore {
    fn load(&self) -> BoxFuture<'static, Result<Vec<(GroupId, StoredGroup)>, StoreError>> {
        self.0.load()
    }

    fn persist(
        &self,
        batch: Vec<(GroupId, PersistRequest)>,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        self.0.persist(batch)
    }

    fn save_snapshot(
        &self,
        group: GroupId,
        snapshot: Snapshot,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        self.0.save_snapshot(group, snapshot)
    }

    fn close(&self) -> BoxFuture<'static, Result<(), StoreError>> {
        self.0.close()
    }

    fn stats(&self) -> StoreStats {
        self.0.stats()
    }
}

struct Cluster {
    nodes: Vec<Arc<Node>>,
    stores: Vec<Arc<FileStore>>,
    leader: usize,
    _folder: TempDir,
}

impl Cluster {
    async fn start(replicas: u64) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let voters: Vec<_> = (1..=replicas).map(ReplicaId).collect();
        let (links, mut nodes, mut stores) = (Nodes::default(), Vec::new(), Vec::new());
        for &id in &voters {
            let path = folder.path().join(id.0.to_string());
            FileStore::create(&path).expect("created");
            let store = Arc::new(open(&path));
            init_voters(store.as_ref(), &[GROUP], &voters).await.expect("voters");
            let node = start(id, Arc::clone(&store), Arc::clone(&links)).await;
            links.lock().expect("no panic").push(Arc::downgrade(&node));
            nodes.push(node);
            stores.push(store);
        }
        let leader = wait_for_leader(&nodes).await;
        Self { nodes, stores, leader, _folder: folder }
    }

    fn group(&self) -> GroupHandle {
        self.nodes[self.leader].group(GROUP).expect("group")
    }

    fn syncs(&self) -> u64 {
        self.stores[self.leader].stats().syncs
    }

    async fn stop(self) {
        for node in &self.nodes {
            node.abort().await;
        }
    }
}

fn open(path: &Path) -> FileStore {
    FileStore::open(path, StoreOptions::default()).expect("store")
}

async fn start(id: ReplicaId, store: Arc<FileStore>, nodes: Nodes) -> Arc<Node> {
    let transport = Arc::new(LocalTransport { from: id, nodes });
    let builder = Node::builder(id, Box::new(SharedStore(store)), transport)
        .config(NodeConfig { seed: id.0, ..NodeConfig::default() })
        .group(GROUP, Box::new(Counter(0)));
    Arc::new(builder.start().await.expect("started"))
}

async fn wait_for_leader(nodes: &[Arc<Node>]) -> usize {
    loop {
        let leads = |n: &Arc<Node>| {
            let view = *n.group(GROUP).expect("group").watch().borrow();
            view.role == Role::Leader && view.lease
        };
        if let Some(i) = nodes.iter().position(leads) {
            return i;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Runs `writers` tasks, each of which commits `commits` commands one after the other.
async fn write(group: &GroupHandle, writers: u64, commits: u64) {
    let tasks = (0..writers).map(|_| {
        let group = group.clone();
        tokio::spawn(async move {
            for _ in 0..commits {
                let data = Bytes::from(vec![7; COMMAND_BYTES]);
                group.propose(data).await.expect("committed");
            }
        })
    });
    for result in join_all(tasks).await {
        result.expect("no panic");
    }
}

/// Measures the commit latency that a writer observes.
fn commit(c: &mut Criterion) {
    let runtime = Runtime::new().expect("runtime");
    let mut benches = c.benchmark_group("commit_latency");
    benches.sample_size(10).warm_up_time(Duration::from_secs(1));
    benches.measurement_time(Duration::from_secs(2));
    for replicas in [1, 3] {
        let cluster = runtime.block_on(Cluster::start(replicas));
        let group = cluster.group();
        for writers in [1, 16, 256] {
            let (mut syncs, mut commits) = (0, 0);
            let id = BenchmarkId::new(format!("{replicas}_replicas"), format!("{writers}_writers"));
            benches.bench_function(id, |b| {
                b.iter_custom(|rounds| {
                    let before = cluster.syncs();
                    let start = Instant::now();
                    runtime.block_on(write(&group, writers, rounds));
                    let elapsed = start.elapsed();
                    syncs += cluster.syncs() - before;
                    commits += writers * rounds;
                    elapsed
                });
            });
            let per_commit = syncs as f64 / commits as f64;
            println!("{replicas} replicas, {writers} writers: {per_commit:.4} syncs per commit");
        }
        runtime.block_on(cluster.stop());
    }
    benches.finish();
}

/// Measures the time to open and load a store whose entries were written one per batch.
fn restart(c: &mut Criterion) {
    let runtime = Runtime::new().expect("runtime");
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("log");
    runtime.block_on(async {
        FileStore::create(&path).expect("created");
        let store = Arc::new(open(&path));
        let entries = (1..=RESTART_ENTRIES as u64).map(|index| Entry {
            position: LogPosition { index, term: 1 },
            payload: Payload::Command(Bytes::from(vec![7; COMMAND_BYTES])),
        });
        init_voters(store.as_ref(), &[GROUP], &[ReplicaId(1)]).await.expect("voters");
        for entry in entries {
            let persist = PersistRequest { entries: vec![entry], ..PersistRequest::default() };
            store.persist(vec![(GROUP, persist)]).await.expect("persisted");
        }
        store.close().await.expect("closed");
    });
    let mut benches = c.benchmark_group("restart");
    benches.sample_size(10);
    benches.bench_function(format!("open_store_{RESTART_ENTRIES}_entries"), |b| {
        b.iter_custom(|rounds| {
            let mut elapsed = Duration::ZERO;
            for _ in 0..rounds {
                let start = Instant::now();
                let store = open(&path);
                let loaded = runtime.block_on(store.load()).expect("loaded");
                elapsed += start.elapsed();
                assert_eq!(loaded[0].1.entries.len(), RESTART_ENTRIES);
                runtime.block_on(store.close()).expect("closed");
            }
            elapsed
        });
    });
    benches.finish();
}

criterion_group!(benches, commit, restart);
criterion_main!(benches);
