//! An in-memory store with fault injection, for tests. It runs the same write-ahead log on a
//! simulated disk. All work is done by the polling task, so that it works with a paused Tokio
//! clock.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::BoxFuture;
use tokio::sync::watch;

use super::disk::{Disk, DiskFile};
use super::wal::{Batch, Counters, SnapshotWriter, Wal, WriteOp};
use super::{DISK_FULL_RETRY_DELAY, Storage, StoreError, StoreOptions, StoreStats, StoredGroup};
use crate::{GroupId, PersistRequest, Snapshot};

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    data: Vec<u8>,
    /// Content that survives a crash.
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct Files {
    files: Vec<MemoryFile>,
    /// Names and indices in `files`, sorted.
    names: Vec<(String, usize)>,
    /// Names that survive a crash.
    synced_names: Vec<(String, usize)>,
    /// Number of crashes. Operations of stores opened before the last one fail.
    crashes: u64,
    fail_next_sync: bool,
    is_full: bool,
}

/// A simulated disk. Its content outlives the stores on it.
#[derive(Clone, Debug)]
pub struct MemoryDisk {
    files: Arc<Mutex<Files>>,
    stalled: watch::Sender<bool>,
}

impl Default for MemoryDisk {
    fn default() -> Self {
        Self { files: Arc::default(), stalled: watch::Sender::new(false) }
    }
}

impl MemoryDisk {
    /// Returns an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a crash: fails all open stores and drops unsynced data, except up to `torn_bytes`
    /// bytes at the end of each file.
    pub fn crash(&self, torn_bytes: usize) {
        let mut files = self.lock();
        files.crashes += 1;
        files.fail_next_sync = false;
        files.names = files.synced_names.clone();
        for f in &mut files.files {
            let unsynced = f.data.get(f.synced.len()..).unwrap_or_default();
            let torn = unsynced[..torn_bytes.min(unsynced.len())].to_vec();
            f.synced.extend_from_slice(&torn);
            f.data.clone_from(&f.synced);
        }
    }

    /// Simulates the loss of the disk: fails all open stores and drops all data.
    pub fn erase(&self) {
        let mut files = self.lock();
        *files = Files { crashes: files.crashes + 1, ..Files::default() };
    }

    /// Makes the next sync of any file fail.
    pub fn fail_next_sync(&self) {
        self.lock().fail_next_sync = true;
    }

    /// While `full` is set, writes fail as on a full disk.
    pub fn set_full(&self, full: bool) {
        self.lock().is_full = full;
    }

    /// While `stalled` is set, requests wait before they start, as on a disk that does not respond.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    fn lock(&self) -> MutexGuard<'_, Files> {
        self.files.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self) -> DiskHandle {
        DiskHandle { disk: self.clone(), crashes: self.lock().crashes }
    }
}

#[derive(Clone)]
struct DiskHandle {
    disk: MemoryDisk,
    crashes: u64,
}

impl DiskHandle {
    fn lock(&self) -> io::Result<MutexGuard<'_, Files>> {
        let files = self.disk.lock();
        if files.crashes != self.crashes {
            return Err(io::Error::other("the simulated machine has crashed"));
        }
        Ok(files)
    }
}

impl Files {
    fn find(&self, name: &str) -> io::Result<usize> {
        let i = self.names.binary_search_by(|(n, _)| n.as_str().cmp(name));
        i.map(|i| self.names[i].1).map_err(|_| io::ErrorKind::NotFound.into())
    }

    fn link(&mut self, name: &str, file: usize) {
        match self.names.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
            Ok(i) => self.names[i].1 = file,
            Err(i) => self.names.insert(i, (name.to_owned(), file)),
        }
    }

    fn check_space(&self) -> io::Result<()> {
        if self.is_full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        if std::mem::take(&mut self.fail_next_sync) {
            return Err(io::Error::other("simulated sync failure"));
        }
        self.files[file].synced = self.files[file].data.clone();
        Ok(())
    }
}

impl Disk for DiskHandle {
    fn path(&self, name: &str) -> String {
        format!("memory:{name}")
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock()?.names.iter().map(|(name, _)| name.clone()).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let files = self.lock()?;
        Ok(files.files[files.find(name)?].data.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut files = self.lock()?;
        files.check_space()?;
        files.files.push(MemoryFile::default());
        let file = files.files.len() - 1;
        files.link(name, file);
        Ok(Box::new(FileHandle { disk: self.clone(), file }))
    }

    fn create_log(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        self.create(name)
    }

    fn reopen(&mut self, name: &str, _: u64, keep: u64) -> io::Result<Box<dyn DiskFile>> {
        let mut files = self.lock()?;
        let file = files.find(name)?;
        files.files[file].data.truncate(usize::try_from(keep).map_err(io::Error::other)?);
        files.sync(file)?;
        Ok(Box::new(FileHandle { disk: self.clone(), file }))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.lock()?;
        let file = files.find(from)?;
        files.names.retain(|(name, _)| name != from);
        files.link(to, file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.lock()?;
        files.find(name)?;
        files.names.retain(|(n, _)| n != name);
        Ok(())
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        let mut files = self.lock()?;
        files.synced_names = files.names.clone();
        Ok(())
    }
}

struct FileHandle {
    disk: DiskHandle,
    file: usize,
}

impl DiskFile for FileHandle {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        let mut files = self.disk.lock()?;
        // As on a real disk, part of the data may still be written.
        let accepted = if files.is_full { &buf[..buf.len() / 2] } else { buf };
        files.files[self.file].data.extend_from_slice(accepted);
        files.check_space()
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.lock()?.sync(self.file)
    }

    fn rewind(&mut self, end: u64) {
        // Fails only after a crash, when this store is no longer in use.
        if let Ok(mut files) = self.disk.lock() {
            files.files[self.file].data.truncate(usize::try_from(end).unwrap_or(usize::MAX));
        }
    }
}

/// A store on a [`MemoryDisk`].
#[derive(Clone)]
pub struct MemoryStore {
    /// Locked by a request until it is complete.
    state: Arc<tokio::sync::Mutex<State>>,
    counters: Arc<Counters>,
    stalled: watch::Sender<bool>,
}

struct State {
    wal: Wal,
    failed: Option<StoreError>,
}

impl MemoryStore {
    /// Creates an empty store on a disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk already contains a log or cannot be written.
    pub fn create(disk: &MemoryDisk) -> Result<(), StoreError> {
        Wal::create(&mut disk.handle())
    }

    /// Opens the store on a disk and reads its log.
    ///
    /// # Errors
    ///
    /// Fails if there is no log or it is corrupt, or if the disk's next sync is set to fail.
    pub fn open(disk: &MemoryDisk, options: StoreOptions) -> Result<Self, StoreError> {
        let wal = Wal::open(Box::new(disk.handle()), options.segment_bytes)?;
        let counters = wal.counters();
        let state = Arc::new(tokio::sync::Mutex::new(State { wal, failed: None }));
        Ok(Self { state, counters, stalled: disk.stalled.clone() })
    }

    fn run<T: Send + 'static>(
        &self,
        mut work: impl FnMut(&mut Wal) -> Result<T, StoreError> + Send + 'static,
    ) -> BoxFuture<'static, Result<T, StoreError>> {
        let state = Arc::clone(&self.state);
        let mut stalled = self.stalled.subscribe();
        Box::pin(async move {
            let _ = stalled.wait_for(|stalled| !stalled).await;
            let mut state = state.lock().await;
            if let Some(e) = &state.failed {
                return Err(e.clone());
            }
            loop {
                match work(&mut state.wal) {
                    Err(e) if e.is_disk_full() => tokio::time::sleep(DISK_FULL_RETRY_DELAY).await,
                    result => {
                        state.failed = result.as_ref().err().cloned();
                        return result;
                    }
                }
            }
        })
    }
}

impl Storage for MemoryStore {
    fn load(&self) -> BoxFuture<'static, Result<Vec<(GroupId, StoredGroup)>, StoreError>> {
        self.run(|wal| wal.load())
    }

    fn persist(
        &self,
        batch: Vec<(GroupId, PersistRequest)>,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        let mut batch = Batch::new(vec![WriteOp::Persist(batch)]);
        self.run(move |wal| wal.commit(&mut batch))
    }

    fn save_snapshot(
        &self,
        group: GroupId,
        snapshot: Snapshot,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        let (last, membership) = (snapshot.last, snapshot.membership.clone());
        let mut batch = Batch::new(vec![WriteOp::Snapshot { group, last, membership }]);
        let mut is_written = false;
        self.run(move |wal| {
            if !is_written {
                SnapshotWriter::new(group, snapshot.clone()).finish(wal)?;
                is_written = true;
            }
            wal.commit(&mut batch)
        })
    }

    fn close(&self) -> BoxFuture<'static, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn stats(&self) -> StoreStats {
        self.counters.read()
    }
}
