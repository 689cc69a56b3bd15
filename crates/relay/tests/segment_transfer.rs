//! Guards against replicas that lose kept turns, or hold all their bodies in memory, when a replica
//! joins, restarts, or runs another build: bodies are in segments at some replicas and in memory at
//! others, as in a build without segments.

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use bytes::Bytes;
use poplarspan_agreement::{
    DataDir, FileStore, FolderId, GroupHandle, GroupId, Node, NodeConfig, PeerMessage, ReplicaId,
    Role, Storage, StoreOptions, Transport, init_voters,
};
use poplarspan_proto::relay as pb;
use poplarspan_relay::{TurnState, TurnUsage};
use prost::Message;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

const GROUP: GroupId = GroupId(0);
const BODY_BYTES: usize = 17_000;
const TURNS: usize = 1_000;
const WAIT: Duration = Duration::from_secs(30);

type Nodes = Arc<Mutex<Vec<(ReplicaId, Weak<Node>)>>>;

/// Delivers messages within the process, encoded as on the wire.
struct Links {
    nodes: Nodes,
    from: ReplicaId,
    folder: FolderId,
}

impl Transport for Links {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let nodes = self.nodes.lock().expect("no panic");
        let node = nodes.iter().find(|(id, _)| *id == to).and_then(|(_, n)| n.upgrade());
        drop(nodes);
        if let Some(node) = node {
            let message = PeerMessage::decode(message.encode()).expect("decodable message");
            node.deliver(self.from, self.folder, message);
        }
    }
}

struct Group {
    nodes: Nodes,
    folder: TempDir,
}

struct Replica {
    node: Arc<Node>,
    usage: Arc<TurnUsage>,
}

impl Replica {
    fn handle(&self) -> GroupHandle {
        self.node.group(GROUP).expect("group")
    }

    async fn applied(&self) -> u64 {
        self.handle().status().await.expect("running").applied
    }

    async fn lead(&self) {
        let mut view = self.handle().watch();
        let leads = view.wait_for(|v| v.role == Role::Leader && v.lease);
        timeout(WAIT, leads).await.expect("leads in time").expect("running");
    }

    async fn check(&self) {
        for turn in 0..TURNS {
            let name = format!("t{turn}");
            let read = self.handle().query(move |t: &TurnState| t.history("red", &name)).await;
            let history = read.expect("leads").expect("a kept turn");
            assert!(history.read().expect("readable") == body(turn), "turn {turn} differs");
        }
    }
}

fn body(turn: usize) -> Vec<u8> {
    (0..BODY_BYTES).map(|i| (i * 13 + turn * 101 + i / 255) as u8).collect()
}

impl Group {
    fn new() -> Self {
        Self { nodes: Nodes::default(), folder: tempfile::tempdir().expect("folder") }
    }

    fn path(&self, id: u64) -> PathBuf {
        self.folder.path().join(id.to_string())
    }

    async fn init(&self, id: u64, voters: &[ReplicaId]) {
        let dir = DataDir::init(&self.path(id), ReplicaId(id)).expect("initialised");
        FileStore::create(&dir.log_folder()).expect("created");
        let store = FileStore::open(&dir.log_folder(), StoreOptions::default()).expect("store");
        if !voters.is_empty() {
            init_voters(&store, &[GROUP], voters).await.expect("voters");
        }
        store.close().await.expect("closed");
    }

    async fn start(&self, id: u64, has_segments: bool) -> Replica {
        let replica = ReplicaId(id);
        let dir = DataDir::open(&self.path(id)).expect("data folder");
        let usage = Arc::<TurnUsage>::default();
        let bodies = dir.log_folder().with_file_name("bodies");
        let state = if has_segments {
            TurnState::with_segments(&bodies, GROUP.0, usage.clone()).expect("segments")
        } else {
            TurnState::default()
        };
        let links = Links { nodes: self.nodes.clone(), from: replica, folder: dir.folder() };
        let store = FileStore::open(&dir.log_folder(), StoreOptions::default()).expect("store");
        let cfg = NodeConfig {
            snapshot_bytes: 1 << 20,
            trailing_bytes: 256 << 10,
            ..NodeConfig::default()
        };
        let node = Node::builder(replica, Box::new(store), Arc::new(links))
            .peers(dir.peers().expect("peers"))
            .config(cfg)
            .group(GROUP, Box::new(state))
            .start()
            .await
            .expect("started");
        let node = Arc::new(node);
        let mut nodes = self.nodes.lock().expect("no panic");
        nodes.retain(|(other, _)| *other != replica);
        nodes.push((replica, Arc::downgrade(&node)));
        Replica { node, usage }
    }
}

async fn fill(handle: &GroupHandle) {
    for turn in 0..TURNS {
        let body = body(turn);
        let kept = pb::Turn {
            team: "red".to_owned(),
            turn: format!("t{turn}"),
            input: Bytes::copy_from_slice(&body[..BODY_BYTES / 2]),
            output: Bytes::copy_from_slice(&body[BODY_BYTES / 2..]),
            expires_ms: 1_000_000 + 10 * turn as u64,
            ..Default::default()
        };
        let settle = vec![pb::Settle { kept: Some(kept), ..Default::default() }];
        let command = pb::TurnCommand { now_ms: 1_000, settle, ..Default::default() };
        handle.propose(command.encode_to_vec().into()).await.expect("committed");
    }
}

/// Fills a replica, lets a second one join, and makes it the only one after both have restarted.
async fn joins(first_has_segments: bool, second_has_segments: bool) {
    let group = Group::new();
    group.init(1, &[ReplicaId(1)]).await;
    let first = group.start(1, first_has_segments).await;
    first.lead().await;
    fill(&first.handle()).await;
    group.init(2, &[]).await;
    let second = group.start(2, second_has_segments).await;
    let handle = first.handle();
    handle.add_learner(ReplicaId(2)).await.expect("added");
    let caught_up = async {
        while second.applied().await < first.applied().await
            || handle.promote_learner(ReplicaId(2)).await.is_err()
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT, caught_up).await.expect("the learner has caught up in time");
    handle.transfer_leadership(ReplicaId(2)).await.expect("transferred");
    second.lead().await;
    second.check().await;
    if second_has_segments {
        assert!(second.usage.disk() >= (TURNS * BODY_BYTES) as u64);
    }
    second.handle().remove_member(ReplicaId(1)).await.expect("removed");
    first.node.abort().await;
    second.node.abort().await;
    drop((first, second));
    let second = group.start(2, second_has_segments).await;
    second.lead().await;
    second.check().await;
    second.node.abort().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_with_segments() {
    joins(true, true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn learner_of_earlier_build() {
    joins(true, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_of_earlier_build() {
    joins(false, true).await;
}

/// The log and the segments together take little more than the bodies, however often snapshots are
/// taken, and a restart reads every turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disk_bounded() {
    let group = Group::new();
    group.init(1, &[ReplicaId(1)]).await;
    let only = group.start(1, true).await;
    only.lead().await;
    fill(&only.handle()).await;
    let status = only.handle().status().await.expect("running");
    let since = status.applied - status.core.snapshot.index;
    assert!(since < 200, "{since} entries since the last snapshot");
    only.node.abort().await;
    let log = only.usage.disk();
    assert!(log < (TURNS * BODY_BYTES) as u64 + (1 << 20), "{log} bytes in segments");
    drop(only);
    let only = group.start(1, true).await;
    only.lead().await;
    only.check().await;
    only.node.abort().await;
}

/// Expired turns free their segments although no further turn is kept: a full store would stay full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn freed_while_idle() {
    let group = Group::new();
    group.init(1, &[ReplicaId(1)]).await;
    let only = group.start(1, true).await;
    only.lead().await;
    fill(&only.handle()).await;
    // The last turns have less than a segment.
    for now_ms in [1_018_500, 1_025_000] {
        let command = pb::TurnCommand { now_ms, ..Default::default() };
        only.handle().propose(command.encode_to_vec().into()).await.expect("committed");
        sleep(Duration::from_millis(200)).await;
    }
    let freed = async {
        while only.usage.disk() > 1 << 20 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT, freed).await.expect("the segments are removed in time");
    only.node.abort().await;
}
