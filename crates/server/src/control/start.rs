//! Initialisation of data folders and startup of the replicated log.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
};

use anyhow::{Context, Result};
use poplarspan_agreement::{
    DataDir, FileStore, GroupId, Node, ReplicaId, Storage, StoreOptions, init_voters,
};
use poplarspan_ledger::{Catalog, Ledger};
use poplarspan_proto::peer::AgreementBatch;

use super::{Control, LogGroup, ProgramGroup, ReplicaAddresses, SharedState};
use crate::peer::{AgreementSink, AgreementTransport, PeerClient};

/// Number of program groups in a new fleet.
pub(crate) const PROGRAM_GROUPS: u32 = 2;
const CATALOG_GROUP: GroupId = GroupId(0);

fn all_groups() -> Vec<GroupId> {
    (0..=PROGRAM_GROUPS).map(GroupId).collect()
}

/// Initialises the data folder of a control replica. `voters` are the initial voters of a new
/// fleet; it is empty for a replica that joins an existing fleet.
///
/// # Errors
///
/// Fails if the folder is not empty or cannot be written, if `replica` is 0, or if `voters` is not
/// empty and does not contain `replica`.
pub async fn init_data_folder(path: &Path, replica: u64, voters: &[u64]) -> Result<()> {
    anyhow::ensure!(replica > 0, "replica numbers start at 1");
    anyhow::ensure!(
        voters.is_empty() || voters.contains(&replica),
        "replica {replica} is not among the voters"
    );
    let dir = DataDir::init(path, ReplicaId(replica))?;
    FileStore::create(&dir.log_folder())?;
    if voters.is_empty() {
        return Ok(());
    }
    let store = FileStore::open(&dir.log_folder(), StoreOptions::default())?;
    let voters: Vec<ReplicaId> = voters.iter().map(|v| ReplicaId(*v)).collect();
    init_voters(&store, &all_groups(), &voters).await?;
    // Releases the lock on the folder before returning, since `serve` may open it immediately.
    store.close().await?;
    Ok(())
}

/// A control replica with its log running.
pub(crate) struct ControlReplica {
    pub(crate) control: Arc<Control>,
    pub(crate) node: Arc<Node>,
    pub(crate) replica: u64,
    /// Holds the lock on the data folder.
    pub(crate) dir: DataDir,
}

impl ControlReplica {
    /// Returns the receiver for messages of the replicated log.
    pub(crate) fn sink(&self) -> Arc<dyn AgreementSink> {
        let (node, replicas) = (self.node.clone(), self.control.replicas.clone());
        Arc::new(Inbox { node, replicas })
    }
}

/// Receives messages of the replicated log and records the addresses of their senders.
struct Inbox {
    node: Arc<Node>,
    replicas: Arc<ReplicaAddresses>,
}

impl AgreementSink for Inbox {
    fn deliver(&self, batch: AgreementBatch) {
        if let Ok(address) = batch.address.parse() {
            self.replicas.add_sender(batch.from, address);
        }
        AgreementSink::deliver(&*self.node, batch);
    }
}

/// Opens the log in the data folder, replays it and starts all groups.
pub(crate) async fn start(
    dir: DataDir,
    client: PeerClient,
    replicas: Arc<ReplicaAddresses>,
    address: SocketAddr,
) -> Result<ControlReplica> {
    let store = FileStore::open(&dir.log_folder(), StoreOptions::default())
        .context("cannot open the replicated log")?;
    let addresses = replicas.clone();
    let transport = AgreementTransport::new(
        dir.replica(),
        dir.folder(),
        Some(address),
        0,
        client,
        Arc::new(move |replica| addresses.address(replica)),
    );
    let catalog = Arc::new(Mutex::new(Catalog::new()));
    let mut builder = Node::builder(dir.replica(), Box::new(store), transport)
        .peers(dir.peers()?)
        .group(CATALOG_GROUP, Box::new(SharedState(catalog.clone())));
    let mut states = Vec::new();
    for group in 1..=PROGRAM_GROUPS {
        let state = Arc::new(Mutex::new(Ledger::new()));
        builder = builder.group(GroupId(group), Box::new(SharedState(state.clone())));
        states.push((GroupId(group), state));
    }
    let node = Arc::new(builder.start().await.context("cannot start the replicated log")?);
    let log = |group| -> Result<Arc<LogGroup>> {
        let handle = node.group(group).context("group is missing after startup")?;
        Ok(Arc::new(LogGroup::new(handle)))
    };
    let programs = states
        .into_iter()
        .map(|(group, state)| Ok(ProgramGroup { log: log(group)?, state }))
        .collect::<Result<Vec<_>>>()?;
    let control = Control::new(log(CATALOG_GROUP)?, catalog, programs, replicas);
    let replica = dir.replica().0;
    Ok(ControlReplica { control: Arc::new(control), node, replica, dir })
}
