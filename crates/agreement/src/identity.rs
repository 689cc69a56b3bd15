//! Identity of a replica's data folder and of its peers' folders.
//!
//! A replica that lost its disk has lost its votes and must not vote again under the same number.
//! Peers detect such a replica by the random identity of its data folder, which each of them
//! records at first contact.

use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use poplarspan_proto::agreement as pb;
use prost::Message;

use crate::convert::{identity_from_proto, identity_to_proto};
use crate::storage::{checksummed, disk::sync_folder};
use crate::{FolderId, ReplicaId};

const IDENTITY_FILE: &str = "identity";
const PEERS_FILE: &str = "peers";
const LOG_FOLDER: &str = "log";

/// Why a data folder or the recorded peer identities cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// The folder to initialise is not empty.
    #[error("{0} is not empty; only an empty or missing folder can be initialised")]
    NotEmpty(PathBuf),
    /// The folder has no identity file or does not exist.
    #[error("{0} is not a data folder; create one with the init command")]
    Missing(PathBuf),
    /// Another process has locked the folder.
    #[error("data folder {0} is in use by another process")]
    Locked(PathBuf),
    /// A file is corrupt.
    #[error("{path} is corrupt: {reason}")]
    Corrupt {
        /// Path of the file.
        path: PathBuf,
        /// Description of the corruption.
        reason: &'static str,
    },
    /// The operating system reported an error.
    #[error("cannot {op} {path}: {source}")]
    Io {
        /// Operation that failed.
        op: &'static str,
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A peer's folder is not the one that was recorded at first contact.
    #[error(
        "replica {} has another data folder than the recorded one; replace it under a new number",
        .0.0
    )]
    ForeignFolder(ReplicaId),
}

/// An initialised data folder. It stays locked until this value is dropped.
#[derive(Debug)]
pub struct DataDir {
    path: PathBuf,
    replica: ReplicaId,
    folder: FolderId,
    _lock: File,
}

impl DataDir {
    /// Initialises a missing or empty folder as the data folder of `replica`. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not empty or cannot be written.
    pub fn init(path: &Path, replica: ReplicaId) -> Result<Self, IdentityError> {
        if !path.exists() {
            fs::create_dir(path).map_err(io_error("create", path))?;
            let parent = path.parent().filter(|p| !p.as_os_str().is_empty());
            let parent = parent.unwrap_or(Path::new("."));
            sync_folder(parent).map_err(io_error("sync", parent))?;
        }
        if fs::read_dir(path).map_err(io_error("list", path))?.next().is_some() {
            return Err(IdentityError::NotEmpty(path.to_owned()));
        }
        write_synced(path, PEERS_FILE, &pb::Peers::default())?;
        let identity = identity_to_proto(replica, FolderId(rand::random()));
        write_synced(path, IDENTITY_FILE, &identity)?;
        Self::open(path)
    }

    /// Opens a data folder. Never creates anything. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not initialised, is in use, cannot be read or is corrupt.
    pub fn open(path: &Path) -> Result<Self, IdentityError> {
        let file = path.join(IDENTITY_FILE);
        let lock = File::open(&file).map_err(|e| match e.kind() {
            io::ErrorKind::NotFound => IdentityError::Missing(path.to_owned()),
            _ => io_error("read", &file)(e),
        })?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(IdentityError::Locked(path.to_owned())),
            Err(TryLockError::Error(e)) => return Err(io_error("lock", &file)(e)),
        }
        let identity: pb::Identity = read(&file)?;
        let (replica, folder) = identity_from_proto(&identity).map_err(corrupt(&file))?;
        Ok(Self { path: path.to_owned(), replica, folder, _lock: lock })
    }

    /// Returns the number of the replica that owns the folder.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns the random identity of the folder.
    pub fn folder(&self) -> FolderId {
        self.folder
    }

    /// Removes the identity, durably, because a part of the folder is lost. The replica's number is
    /// not used again: whoever opens the folder next initialises it with a new one. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the identity cannot be removed.
    pub fn discard(self) -> Result<(), IdentityError> {
        let file = self.path.join(IDENTITY_FILE);
        fs::remove_file(&file).map_err(io_error("remove", &file))?;
        sync_folder(&self.path).map_err(io_error("sync", &self.path))
    }

    /// Returns the path for the replica's [`FileStore`](crate::FileStore).
    pub fn log_folder(&self) -> PathBuf {
        self.path.join(LOG_FOLDER)
    }

    /// Reads the recorded identities of the peers. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be read or are corrupt.
    pub fn peers(&self) -> Result<PeerIdentities, IdentityError> {
        let file = self.path.join(PEERS_FILE);
        let list: pb::Peers = read(&file)?;
        let known: Result<Vec<_>, _> = list.peers.iter().map(identity_from_proto).collect();
        let mut known = known.map_err(corrupt(&file))?;
        known.sort_unstable();
        Ok(PeerIdentities { path: Some(self.path.clone()), known: Mutex::new(known) })
    }
}

/// Folder identities of the peers, recorded at first contact and never changed.
#[derive(Debug, Default)]
pub struct PeerIdentities {
    /// Data folder; `None` keeps the identities in memory only.
    path: Option<PathBuf>,
    /// Sorted by replica number.
    known: Mutex<Vec<(ReplicaId, FolderId)>>,
}

impl PeerIdentities {
    /// Returns an empty list that is never written to disk, for tests.
    pub fn in_memory() -> Self {
        Self::default()
    }

    /// Returns the recorded folder of a peer, if there is one.
    pub fn get(&self, peer: ReplicaId) -> Option<FolderId> {
        let known = self.lock();
        let i = known.binary_search_by_key(&peer, |(r, _)| *r).ok()?;
        Some(known[i].1)
    }

    /// Checks a peer's folder against the recorded one. At first contact, records it and blocks
    /// until the record is durable.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not the recorded one, or if the record cannot be written. In the
    /// latter case the peer remains unknown.
    pub fn check(&self, peer: ReplicaId, folder: FolderId) -> Result<(), IdentityError> {
        let mut known = self.lock();
        match known.binary_search_by_key(&peer, |(r, _)| *r) {
            Ok(i) if known[i].1 == folder => Ok(()),
            Ok(_) => Err(IdentityError::ForeignFolder(peer)),
            Err(i) => {
                let mut updated = known.clone();
                updated.insert(i, (peer, folder));
                if let Some(path) = &self.path {
                    let peers = updated.iter().map(|(r, f)| identity_to_proto(*r, *f)).collect();
                    write_synced(path, PEERS_FILE, &pb::Peers { peers })?;
                }
                *known = updated;
                Ok(())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(ReplicaId, FolderId)>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Replaces a file atomically; the new content is durable on return.
fn write_synced(folder: &Path, name: &str, message: &impl Message) -> Result<(), IdentityError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.tmp"));
    let mut f = File::create(&temporary).map_err(io_error("create", &temporary))?;
    f.write_all(&checksummed::encode_header(message, &[]))
        .map_err(io_error("write", &temporary))?;
    f.sync_all().map_err(io_error("sync", &temporary))?;
    fs::rename(&temporary, &path).map_err(io_error("replace", &path))?;
    sync_folder(folder).map_err(io_error("sync", folder))
}

fn read<M: Message + Default>(path: &Path) -> Result<M, IdentityError> {
    let buf = fs::read(path).map_err(io_error("read", path))?;
    let (message, data) = checksummed::decode(buf)
        .map_err(|reason| IdentityError::Corrupt { path: path.to_owned(), reason })?;
    if !data.is_empty() {
        return Err(IdentityError::Corrupt { path: path.to_owned(), reason: "trailing data" });
    }
    Ok(message)
}

fn io_error(op: &'static str, path: &Path) -> impl Fn(io::Error) -> IdentityError {
    move |source| IdentityError::Io { op, path: path.to_owned(), source }
}

fn corrupt(path: &Path) -> impl Fn(crate::ConvertError) -> IdentityError {
    move |e| IdentityError::Corrupt { path: path.to_owned(), reason: e.0 }
}
