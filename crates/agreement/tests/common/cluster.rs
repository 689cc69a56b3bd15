//! A cluster of nodes in one process, with an in-memory network and stores in a temporary folder.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use poplarspan_agreement::{
    DataDir, FileStore, FolderId, GroupHandle, GroupId, Leadership, Membership, Node, NodeConfig,
    PeerMessage, ProposeError, ReplicaId, Role, StateMachine, Storage, StoreOptions, Transport,
    init_voters,
};
use tempfile::TempDir;

pub const GROUP: GroupId = GroupId(1);

/// State machine that records all commands in order.
#[derive(Debug, Default)]
pub struct Journal(pub Vec<Bytes>);

impl StateMachine for Journal {
    fn apply(&mut self, _: u64, data: &[u8]) -> Bytes {
        self.0.push(Bytes::copy_from_slice(data));
        Bytes::from(self.0.len().to_string())
    }

    fn snapshot(&self) -> Bytes {
        let lines: Vec<_> = self.0.iter().map(|b| String::from_utf8_lossy(b)).collect();
        Bytes::from(lines.join("\n"))
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        let text = std::str::from_utf8(snapshot)?;
        self.0 = text.split('\n').map(|line| Bytes::copy_from_slice(line.as_bytes())).collect();
        Ok(())
    }
}

#[derive(Default)]
struct Links {
    nodes: Vec<(ReplicaId, Weak<Node>)>,
    /// Replicas that neither send nor receive messages.
    isolated: Vec<ReplicaId>,
}

/// In-memory network that encodes and decodes each message.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Links>>);

impl Network {
    pub fn connect(&self, node: &Arc<Node>) {
        let mut links = self.0.lock().expect("no panic");
        links.nodes.retain(|(id, _)| *id != node.replica());
        links.nodes.push((node.replica(), Arc::downgrade(node)));
    }

    pub fn isolate(&self, id: ReplicaId, isolated: bool) {
        let mut links = self.0.lock().expect("no panic");
        links.isolated.retain(|other| *other != id);
        if isolated {
            links.isolated.push(id);
        }
    }

    pub fn transport(&self, from: ReplicaId, folder: FolderId) -> Arc<dyn Transport> {
        Arc::new(LocalTransport { network: self.clone(), from, folder })
    }
}

/// Transport of one replica on a `Network`.
struct LocalTransport {
    network: Network,
    from: ReplicaId,
    folder: FolderId,
}

impl Transport for LocalTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let links = self.network.0.lock().expect("no panic");
        if links.isolated.contains(&to) || links.isolated.contains(&self.from) {
            return;
        }
        let node = links.nodes.iter().find(|(id, _)| *id == to).and_then(|(_, n)| n.upgrade());
        drop(links);
        if let Some(node) = node {
            let message = PeerMessage::decode(message.encode()).expect("decodable message");
            node.deliver(self.from, self.folder, message);
        }
    }
}

pub struct Cluster {
    pub network: Network,
    pub cfg: NodeConfig,
    nodes: Vec<(ReplicaId, Arc<Node>)>,
    folder: TempDir,
}

impl Cluster {
    /// Initialises and starts `voters` replicas, numbered from 1.
    pub async fn start(voters: u64, cfg: NodeConfig) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let mut cluster = Self { network: Network::default(), cfg, nodes: Vec::new(), folder };
        let voters: Vec<_> = (1..=voters).map(ReplicaId).collect();
        for &id in &voters {
            cluster.init(id, &voters).await;
            cluster.start_node(id).await;
        }
        cluster
    }

    pub fn path(&self, id: ReplicaId) -> PathBuf {
        self.folder.path().join(id.0.to_string())
    }

    /// Initialises a replica's data folder. `voters` is empty for a replica that joins later.
    pub async fn init(&self, id: ReplicaId, voters: &[ReplicaId]) {
        let dir = DataDir::init(&self.path(id), id).expect("initialised");
        FileStore::create(&dir.log_folder()).expect("created");
        let store = open(&dir);
        if !voters.is_empty() {
            init_voters(store.as_ref(), &[GROUP], voters).await.expect("voters");
        }
        store.close().await.expect("closed");
    }

    pub async fn start_node(&mut self, id: ReplicaId) {
        let dir = DataDir::open(&self.path(id)).expect("data folder");
        let transport = self.network.transport(id, dir.folder());
        let node = Node::builder(id, open(&dir), transport)
            .peers(dir.peers().expect("peers"))
            .config(NodeConfig { seed: id.0, ..self.cfg.clone() })
            .group(GROUP, Box::<Journal>::default())
            .start()
            .await
            .expect("started");
        let node = Arc::new(node);
        self.network.connect(&node);
        self.nodes.push((id, node));
    }

    pub fn node(&self, id: ReplicaId) -> &Arc<Node> {
        &self.nodes.iter().find(|(n, _)| *n == id).expect("running node").1
    }

    pub fn group(&self, id: ReplicaId) -> GroupHandle {
        self.node(id).group(GROUP).expect("group")
    }

    pub fn running(&self) -> Vec<ReplicaId> {
        self.nodes.iter().map(|(id, _)| *id).collect()
    }

    /// Stops a node without a leadership transfer, like a process crash.
    pub async fn kill(&mut self, id: ReplicaId) {
        self.node(id).abort().await;
        self.nodes.retain(|(n, _)| *n != id);
    }

    pub async fn shutdown(&mut self, id: ReplicaId) {
        self.node(id).shutdown().await;
        self.nodes.retain(|(n, _)| *n != id);
    }

    /// Waits for a leader with a lease.
    pub async fn leader(&self) -> ReplicaId {
        loop {
            for (id, node) in &self.nodes {
                let view: Leadership = *node.group(GROUP).expect("group").watch().borrow();
                if view.role == Role::Leader && view.lease {
                    return *id;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Proposes to the current leader until it succeeds. The command may be executed more than
    /// once.
    pub async fn propose(&self, data: &str) -> Bytes {
        loop {
            let leader = self.leader().await;
            if let Ok(result) = self.group(leader).propose(Bytes::from(data.to_owned())).await {
                return result;
            }
        }
    }

    /// Proposes commands concurrently until each is executed, also if the leader changes meanwhile.
    /// Their order is arbitrary.
    pub async fn propose_all(&self, commands: &[String]) {
        let mut open = commands.to_vec();
        while !open.is_empty() {
            let group = self.group(self.leader().await);
            let proposals = open.iter().map(|c| group.propose(Bytes::from(c.clone())));
            let results = futures::future::join_all(proposals).await;
            if results.iter().all(Result::is_ok) {
                return;
            }
            // A leader answers `Unknown` after it has stepped down. A read is then answered in a
            // later term, in which no command that it does not show can be executed any more.
            let mut journal = self.journal().await;
            journal.sort();
            for (command, result) in open.iter().zip(&results) {
                let executed = journal.binary_search(command).is_ok();
                assert!(executed || result.is_err(), "an acknowledged command is lost");
                assert!(
                    !executed || matches!(result, Ok(_) | Err(ProposeError::Unknown)),
                    "a refused command was executed: {result:?}"
                );
            }
            open.retain(|command| journal.binary_search(command).is_err());
        }
    }

    /// Reads all commands from the leader and returns them in their order. Panics unless they are
    /// `commands`, each exactly once.
    pub async fn journal_of(&self, commands: &[String]) -> Vec<String> {
        let journal = self.journal().await;
        let sorted = |list: &[String]| {
            let mut list = list.to_vec();
            list.sort();
            list
        };
        assert!(
            sorted(&journal) == sorted(commands),
            "commands were lost or executed twice: {journal:?}"
        );
        journal
    }

    /// Reads all commands from the leader.
    pub async fn journal(&self) -> Vec<String> {
        loop {
            let group = self.group(self.leader().await);
            if let Ok(journal) = group.query(|j: &Journal| text(&j.0)).await {
                return journal;
            }
        }
    }

    /// Has the leader change the membership until it is as `is_made` tells, also if the leader
    /// changes meanwhile.
    pub async fn change_members<F>(
        &self,
        change: impl Fn(GroupHandle) -> F,
        is_made: impl Fn(&Membership) -> bool,
    ) where
        F: Future<Output = Result<(), ProposeError>>,
    {
        loop {
            until_accepted(|| async {
                match change(self.group(self.leader().await)).await {
                    Err(ProposeError::Unknown) => Ok(()),
                    result => result,
                }
            })
            .await;
            // After an answered read, the leader's membership holds every change that was made.
            let mut group = self.group(self.leader().await);
            while group.read_barrier().await.is_err() {
                group = self.group(self.leader().await);
            }
            let status = group.status().await.expect("running");
            if is_made(&status.core.membership) {
                return;
            }
        }
    }

    pub async fn wait_applied(&self, id: ReplicaId, index: u64) {
        while self.group(id).status().await.expect("running").applied < index {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn applied(&self, id: ReplicaId) -> u64 {
        self.group(id).status().await.expect("running").applied
    }
}

fn open(dir: &DataDir) -> Box<FileStore> {
    Box::new(FileStore::open(&dir.log_folder(), StoreOptions::default()).expect("store"))
}

pub fn text(commands: &[Bytes]) -> Vec<String> {
    commands.iter().map(|b| String::from_utf8_lossy(b).into_owned()).collect()
}

pub fn numbered(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("command {i}")).collect()
}

/// Retries a membership change until the group accepts it.
pub async fn until_accepted<F>(mut change: impl FnMut() -> F)
where
    F: Future<Output = Result<(), ProposeError>>,
{
    while let Err(e) = change().await {
        assert!(matches!(e, ProposeError::Refused(_) | ProposeError::NotLeader { .. }), "{e}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
