//! Data folder of a process's replicas: its identity, the replicated logs and the bodies of kept
//! turns.

use std::{
    fs,
    io::Write,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, Result};
use poplarspan_agreement::{
    DataDir, FileStore, IdentityError, ReplicaId, Storage, StoreError, StoreOptions, init_groups,
    is_disk_full,
};
use tokio::time::sleep;

use super::{group_ids, replica_id};

/// Pause before the next attempt to start while the disk is full.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of zeros written ahead of the log. Kept small because the disks of control replicas are
/// small.
const PREALLOCATE_BYTES: usize = 256 * 1024;
const SEGMENT_BYTES: u64 = 8 << 20;
/// Marker file that exists once the log has been completely created.
const READY_FILE: &str = "ready";
/// File with the number of groups in the log.
const GROUPS_FILE: &str = "groups";

/// Folder with the bodies of kept turns.
const BODIES_FOLDER: &str = "bodies";

/// A data folder that is ready for a replica.
pub(crate) struct ReplicaFolder {
    pub(super) dir: DataDir,
}

impl ReplicaFolder {
    /// Opens the folder. A folder without an identity has never voted: it is cleared and gets the
    /// id of a bootstrap member or a new random one. Blocks.
    pub(crate) fn open(path: &Path, ip: Ipv4Addr, is_bootstrap_member: bool) -> Result<Self> {
        let dir = match DataDir::open(path) {
            Err(IdentityError::Missing(_)) => {
                let nonce = if is_bootstrap_member { 0 } else { rand::random_range(1..=u32::MAX) };
                clear(path).with_context(|| format!("cannot clear {}", path.display()))?;
                DataDir::init(path, replica_id(ip, nonce))
            }
            opened => opened,
        };
        Ok(Self { dir: dir.context("cannot open the data folder")? })
    }

    /// Like [`ReplicaFolder::open`], but waits while the disk is full.
    pub(crate) async fn open_when_space(
        path: &Path,
        ip: Ipv4Addr,
        is_bootstrap_member: bool,
    ) -> Result<Self> {
        loop {
            match Self::open(path, ip, is_bootstrap_member) {
                Err(e) if is_disk_full_error(&e) => wait_for_disk_space(&e).await,
                opened => return opened,
            }
        }
    }

    pub(crate) fn replica(&self) -> ReplicaId {
        self.dir.replica()
    }

    /// Whether the replica has never been a member of a group.
    pub(crate) fn is_new(&self) -> bool {
        !self.ready_file().exists()
    }

    fn groups_file(&self) -> PathBuf {
        self.dir.log_folder().with_file_name(GROUPS_FILE)
    }

    /// Folder of the bodies of kept turns.
    pub(crate) fn bodies_folder(&self) -> PathBuf {
        self.dir.log_folder().with_file_name(BODIES_FOLDER)
    }

    fn ready_file(&self) -> PathBuf {
        self.dir.log_folder().with_file_name(READY_FILE)
    }

    /// Number of groups whose logs the folder holds, or `None` if it is new.
    pub(crate) fn groups(&self) -> Result<Option<u32>> {
        if self.is_new() {
            return Ok(None);
        }
        let path = self.groups_file();
        let text = fs::read_to_string(&path);
        let text = text.with_context(|| format!("cannot read {}", path.display()))?;
        let groups = text.trim().parse();
        groups.map(Some).with_context(|| format!("{} does not contain a number", path.display()))
    }

    /// Like [`ReplicaFolder::open_log`], but waits while the disk is full.
    pub(super) async fn open_log_when_space(
        &self,
        initial_voters: &[Vec<ReplicaId>],
    ) -> Result<FileStore> {
        loop {
            match self.open_log(initial_voters).await {
                Err(e) if is_disk_full_error(&e) => wait_for_disk_space(&e).await,
                opened => return opened,
            }
        }
    }

    /// Opens the log. A new one is initialized with the initial voters of each group.
    async fn open_log(&self, initial_voters: &[Vec<ReplicaId>]) -> Result<FileStore> {
        let folder = self.dir.log_folder();
        let options =
            StoreOptions { segment_bytes: SEGMENT_BYTES, preallocate_bytes: PREALLOCATE_BYTES };
        if self.is_new() {
            clear(&folder)?;
            FileStore::create(&folder).context("cannot create the log")?;
        }
        let store = FileStore::open(&folder, options).context("cannot open the log")?;
        if self.is_new() {
            let new_groups: Vec<_> = group_ids()
                .zip(initial_voters.iter().cloned())
                .filter(|(_, voters)| voters.contains(&self.replica()))
                .collect();
            if !new_groups.is_empty() && store.load().await?.is_empty() {
                init_groups(&store, new_groups).await?;
            }
            // The groups file is synced before the ready file is created, so it is complete
            // whenever the latter exists.
            let mut f = fs::File::create(self.groups_file())?;
            write!(f, "{}", initial_voters.len())?;
            f.sync_all()?;
            let ready = self.ready_file();
            fs::File::create(&ready)?.sync_all()?;
            fs::File::open(ready.parent().context("ready file has no parent folder")?)?
                .sync_all()?;
        }
        Ok(store)
    }
}

/// Whether an error was caused by a full disk.
fn is_disk_full_error(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| {
        cause.downcast_ref().is_some_and(is_disk_full)
            || cause.downcast_ref().is_some_and(StoreError::is_disk_full)
    })
}

async fn wait_for_disk_space(e: &anyhow::Error) {
    let error = format!("{e:#}");
    log::error!(error = error.as_str(); "disk is full; waiting to start");
    metrics::gauge!("poplarspan_store_disk_refuses").set(1.0);
    sleep(DISK_FULL_PAUSE).await;
}

/// Removes the contents of a folder, if it exists.
fn clear(path: &Path) -> Result<()> {
    let Ok(items) = fs::read_dir(path) else { return Ok(()) };
    for item in items {
        let path = item?.path();
        if path.is_dir() {
            fs::remove_dir_all(&path)?;
        } else {
            fs::remove_file(&path)?;
        }
    }
    Ok(())
}
