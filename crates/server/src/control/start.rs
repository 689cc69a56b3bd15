//! Opens a data folder and starts the replicated log on it.

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

/// Program groups of a fleet.
pub(crate) const PROGRAM_GROUPS: u32 = 2;
const CATALOG_GROUP: GroupId = GroupId(0);

fn all_groups() -> Vec<GroupId> {
    (0..=PROGRAM_GROUPS).map(GroupId).collect()
}

/// Makes a data folder for a control replica. `voters` are the first voters of a new fleet; a
/// replica that joins an existing fleet is given none.
///
/// # Errors
///
/// Fails when the folder is not empty, when it cannot be written, or when `replica` is not among
/// the voters.
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
    // The folder stays locked until the store is closed, and `serve` may come right after.
    store.close().await?;
    Ok(())
}

/// An opened control replica.
pub(crate) struct ControlReplica {
    pub(crate) control: Arc<Control>,
    pub(crate) node: Arc<Node>,
    pub(crate) replica: u64,
    /// Keeps the folder locked.
    pub(crate) dir: DataDir,
}

impl ControlReplica {
    /// Where messages of the replicated log go.
    pub(crate) fn sink(&self) -> Arc<dyn AgreementSink> {
        let (node, replicas) = (self.node.clone(), self.control.replicas.clone());
        Arc::new(Inbox { node, replicas })
    }
}

/// Takes messages of the replicated log, and learns where their senders are.
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

/// Opens the data folder, replays the log and starts all groups.
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
        let handle = node.group(group).context("a group that was just added")?;
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
