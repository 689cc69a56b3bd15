//! Messages, bytes and processor time of the replicated log, idle and under load.

use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use poplarspan_agreement::{
    FileStore, FolderId, GroupHandle, GroupId, Node, NodeConfig, PeerMessage, ReplicaId, Role,
    StateMachine, StoreOptions, Transport, init_voters,
};
use tempfile::TempDir;

use crate::cpu_all_threads;

const REPLICAS: u64 = 3;
const RUN: Duration = Duration::from_secs(5);

/// State machine without state.
struct NullMachine;

impl StateMachine for NullMachine {
    fn apply(&mut self, _: u64, _: &[u8]) -> Bytes {
        Bytes::new()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::new()
    }

    fn restore(&mut self, _: &[u8]) -> anyhow::Result<()> {
        Ok(())
    }
}

#[derive(Default)]
struct Counts {
    messages: AtomicU64,
    bytes: AtomicU64,
}

type NodeLinks = Arc<Mutex<Vec<Weak<Node>>>>;

/// Delivers messages within the process and counts them.
struct LocalTransport {
    from: ReplicaId,
    nodes: NodeLinks,
    counts: Arc<Counts>,
}

impl Transport for LocalTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        self.counts.messages.fetch_add(1, Ordering::Relaxed);
        self.counts.bytes.fetch_add(message.encode().len() as u64, Ordering::Relaxed);
        let nodes = self.nodes.lock().expect("no panic");
        let node = nodes.iter().filter_map(Weak::upgrade).find(|n| n.replica() == to);
        drop(nodes);
        if let Some(node) = node {
            node.deliver(self.from, FolderId(self.from.0.into()), message);
        }
    }
}

struct Cluster {
    nodes: Vec<Arc<Node>>,
    counts: Arc<Counts>,
    groups: Vec<GroupId>,
    _folder: TempDir,
}

impl Cluster {
    async fn start(groups: u64) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let groups: Vec<_> = (0..groups as u32).map(GroupId).collect();
        let voters: Vec<_> = (1..=REPLICAS).map(ReplicaId).collect();
        let (links, counts) = (NodeLinks::default(), Arc::new(Counts::default()));
        let mut nodes = Vec::new();
        for &id in &voters {
            let path = folder.path().join(id.0.to_string());
            FileStore::create(&path).expect("created");
            let store = FileStore::open(&path, StoreOptions::default()).expect("store");
            init_voters(&store, &groups, &voters).await.expect("voters");
            let transport =
                LocalTransport { from: id, nodes: links.clone(), counts: counts.clone() };
            let cfg = NodeConfig { seed: id.0, ..NodeConfig::default() };
            let mut builder = Node::builder(id, Box::new(store), Arc::new(transport)).config(cfg);
            for group in &groups {
                builder = builder.group(*group, Box::new(NullMachine));
            }
            let node = Arc::new(builder.start().await.expect("started"));
            links.lock().expect("no panic").push(Arc::downgrade(&node));
            nodes.push(node);
        }
        let cluster = Self { nodes, counts, groups, _folder: folder };
        while cluster.groups.iter().any(|g| cluster.leader(*g).is_none()) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        cluster
    }

    fn leader(&self, group: GroupId) -> Option<GroupHandle> {
        let handles = self.nodes.iter().filter_map(|n| n.group(group));
        handles.into_iter().find(|g| {
            let view = *g.watch().borrow();
            view.role == Role::Leader && view.lease
        })
    }

    fn totals(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.counts.messages), load(&self.counts.bytes))
    }
}

fn block_on(f: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("runtime").block_on(f);
}

/// Measures messages, bytes and processor time of three idle replicas of `groups` groups.
pub(crate) fn idle(groups: u64) {
    block_on(async {
        let cluster = Cluster::start(groups).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (before, cpu, start) = (cluster.totals(), cpu_all_threads(), Instant::now());
        tokio::time::sleep(RUN).await;
        let (after, cpu, seconds) =
            (cluster.totals(), cpu_all_threads() - cpu, start.elapsed().as_secs_f64());
        let per = |n: u64| n as f64 / seconds / groups as f64;
        println!(
            "{groups} groups, {REPLICAS} replicas, idle: {:.1} messages/s and {:.0} bytes/s a \
             group, {:.3}% of a core a replica",
            per(after.0 - before.0),
            per(after.1 - before.1),
            100.0 * cpu.as_secs_f64() / seconds / REPLICAS as f64
        );
    });
}

/// Measures messages, bytes and processor time per commit with `writers` concurrent writers.
pub(crate) fn commit(writers: u64, bytes: u64) {
    block_on(async {
        let cluster = Cluster::start(1).await;
        let group = cluster.leader(GroupId(0)).expect("a leader");
        let commits = Arc::new(AtomicU64::new(0));
        let (before, cpu, start) = (cluster.totals(), cpu_all_threads(), Instant::now());
        let tasks = (0..writers).map(|_| {
            let (group, commits) = (group.clone(), commits.clone());
            tokio::spawn(async move {
                while start.elapsed() < RUN {
                    let data = Bytes::from(vec![7; bytes as usize]);
                    group.propose(data).await.expect("committed");
                    commits.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        for task in join_all(tasks).await {
            task.expect("no panic");
        }
        let (after, cpu) = (cluster.totals(), cpu_all_threads() - cpu);
        let commits = commits.load(Ordering::Relaxed);
        let each = |n: u64| n as f64 / commits as f64;
        println!(
            "{writers} writers, {bytes} bytes: {:.0} commits/s, {:.2} messages and {:.0} bytes a \
             commit, {:.1} us of processor time a commit over {REPLICAS} replicas",
            commits as f64 / start.elapsed().as_secs_f64(),
            each(after.0 - before.0),
            each(after.1 - before.1),
            cpu.as_secs_f64() * 1e6 / commits as f64
        );
    });
}
