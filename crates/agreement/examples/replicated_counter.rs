//! Replicates a counter over three nodes in one process. The nodes exchange messages in memory and
//! keep their logs in a temporary folder. Shows proposals, the loss of a replica, a restart of all
//! replicas, and a linearizable read.

use std::path::Path;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use poplarspan_agreement::{
    DataDir, FileStore, FolderId, GroupHandle, GroupId, Node, PeerMessage, ReplicaId, StateMachine,
    Storage, StoreOptions, Transport, init_voters,
};

const GROUP: GroupId = GroupId(1);
const VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _index: u64, _data: &[u8]) -> Bytes {
        self.0 += 1;
        self.snapshot()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_be_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.0 = u64::from_be_bytes(snapshot.try_into()?);
        Ok(())
    }
}

type Nodes = Arc<Mutex<Vec<Weak<Node>>>>;

/// Delivers messages to the nodes of this process.
struct LocalTransport {
    from: (ReplicaId, FolderId),
    nodes: Nodes,
}

impl Transport for LocalTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let nodes = self.nodes.lock().expect("no thread panics");
        // If the node is not running, the message is lost, which the protocol tolerates.
        if let Some(node) = nodes.iter().filter_map(Weak::upgrade).find(|n| n.replica() == to) {
            node.deliver(self.from.0, self.from.1, message);
        }
    }
}

async fn start(folder: &Path, nodes: &Nodes) -> anyhow::Result<Vec<Arc<Node>>> {
    let mut running = Vec::new();
    for id in VOTERS {
        let dir = DataDir::open(&folder.join(id.0.to_string()))?;
        let store = FileStore::open(&dir.log_folder(), StoreOptions::default())?;
        let transport = LocalTransport { from: (id, dir.folder()), nodes: nodes.clone() };
        let node = Node::builder(id, Box::new(store), Arc::new(transport))
            .peers(dir.peers()?)
            .group(GROUP, Box::<Counter>::default());
        let node = Arc::new(node.start().await?);
        nodes.lock().expect("no thread panics").push(Arc::downgrade(&node));
        running.push(node);
    }
    Ok(running)
}

/// Waits for a leader and returns its handle to the group.
async fn leader(running: &[Arc<Node>]) -> GroupHandle {
    loop {
        for group in running.iter().filter_map(|node| node.group(GROUP)) {
            if group.read_barrier().await.is_ok() {
                return group;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    // Initialise each replica once. Starting a node never creates a data folder.
    for id in VOTERS {
        let dir = DataDir::init(&folder.path().join(id.0.to_string()), id)?;
        FileStore::create(&dir.log_folder())?;
        let store = FileStore::open(&dir.log_folder(), StoreOptions::default())?;
        init_voters(&store, &[GROUP], &VOTERS).await?;
        store.close().await?;
    }
    let nodes = Nodes::default();
    let mut running = start(folder.path(), &nodes).await?;
    // After `ProposeError::Unknown`, the command may have been executed. A command that must not be
    // executed twice needs an id that lets the state machine detect a retry.
    for _ in 0..3 {
        println!("committed: {:?}", leader(&running).await.propose(Bytes::new()).await?);
    }

    running.remove(0).abort().await;
    println!("one replica stopped; the other two continue");
    println!("committed: {:?}", leader(&running).await.propose(Bytes::new()).await?);

    for node in running.drain(..) {
        node.abort().await;
    }
    println!("all replicas stopped; restarting them from their folders");
    let running = start(folder.path(), &nodes).await?;
    println!("read: {}", leader(&running).await.query(|counter: &Counter| counter.0).await?);
    for node in running {
        node.shutdown().await;
    }
    Ok(())
}
