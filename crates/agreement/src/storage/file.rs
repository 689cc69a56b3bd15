//! A store in a folder. One thread owns the files. Callers reach it through a bounded channel, so
//! that syncs never block an async task. The thread ends when the store is closed or dropped.

use std::collections::VecDeque;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use futures::future::BoxFuture;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, oneshot};

use super::disk::{FolderDisk, sync_folder};
use super::wal::{Batch, Counters, SnapshotWriter, Wal, WriteOp};
use super::{DISK_FULL_RETRY_DELAY, Storage, StoreError, StoreStats, StoredGroup};
use crate::{GroupId, PersistRequest, Snapshot};

/// Capacity of the request queue. Callers wait while it is full.
const QUEUE_REQUESTS: usize = 1024;
/// Maximum number of requests per sync, which bounds the size of a batch.
const MAX_BATCH_REQUESTS: usize = 1024;

/// Parameters of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreOptions {
    /// Length in bytes from which on a segment of the write-ahead log is followed by a new one.
    pub segment_bytes: u64,
    /// Bytes of zeros to preallocate after the end of the log. A sync of data written into this
    /// space changes no file metadata. The zeros are truncated when the store is opened. A
    /// [`MemoryStore`] ignores this value.
    ///
    /// [`MemoryStore`]: crate::MemoryStore
    pub preallocate_bytes: usize,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self { segment_bytes: 64 << 20, preallocate_bytes: 1 << 20 }
    }
}

type Reply<T> = oneshot::Sender<Result<T, StoreError>>;

enum Request {
    Load(Reply<Vec<(GroupId, StoredGroup)>>),
    Persist(Vec<(GroupId, PersistRequest)>, Reply<()>),
    SaveSnapshot(GroupId, Snapshot, Reply<()>),
    Close(Reply<()>),
}

/// A store in a folder of the file system.
#[derive(Debug)]
pub struct FileStore {
    tx: mpsc::Sender<Request>,
    counters: Arc<Counters>,
    /// Set when the store is closed, so that no request keeps waiting for disk space.
    closing: Arc<AtomicBool>,
}

impl FileStore {
    /// Creates an empty store, and its folder if that is missing. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the folder already contains a log, is in use, or cannot be written.
    pub fn create(folder: &Path) -> Result<(), StoreError> {
        let io = |op| move |e| StoreError::io(op, folder.display().to_string(), e);
        if !folder.exists() {
            fs::create_dir(folder).map_err(io("create"))?;
            let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
            sync_folder(parent.unwrap_or(Path::new("."))).map_err(io("sync"))?;
        }
        Wal::create(&mut FolderDisk::open(folder, 0)?)
    }

    /// Opens a store and reads its log. Blocks; never creates a log.
    ///
    /// # Errors
    ///
    /// Fails if there is no log, if it is corrupt, if another process uses the folder, or on an I/O
    /// error.
    pub fn open(folder: &Path, options: StoreOptions) -> Result<Self, StoreError> {
        if !folder.is_dir() {
            return Err(StoreError::Missing { path: folder.display().to_string() });
        }
        let disk = FolderDisk::open(folder, options.preallocate_bytes)?;
        let wal = Wal::open(Box::new(disk), options.segment_bytes)?;
        let counters = wal.counters();
        let (tx, rx) = mpsc::channel(QUEUE_REQUESTS);
        let closing = Arc::new(AtomicBool::new(false));
        let (snapshots, disk_full) = (VecDeque::new(), DiskFullReport::default());
        let worker =
            Worker { wal, rx, closing: closing.clone(), failed: None, snapshots, disk_full };
        thread::Builder::new()
            .name("store".to_owned())
            .spawn(move || worker.run())
            .map_err(|e| StoreError::io("start a thread for", folder.display().to_string(), e))?;
        Ok(Self { tx, counters, closing })
    }

    fn call<T: Send + 'static>(
        &self,
        request: impl FnOnce(Reply<T>) -> Request + Send + 'static,
    ) -> BoxFuture<'static, Result<T, StoreError>> {
        let tx = self.tx.clone();
        Box::pin(async move {
            let (reply, result) = oneshot::channel();
            tx.send(request(reply)).await.map_err(|_| StoreError::Closed)?;
            result.await.unwrap_or(Err(StoreError::Closed))
        })
    }
}

impl Storage for FileStore {
    fn load(&self) -> BoxFuture<'static, Result<Vec<(GroupId, StoredGroup)>, StoreError>> {
        self.call(Request::Load)
    }

    fn persist(
        &self,
        batch: Vec<(GroupId, PersistRequest)>,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        self.call(|reply| Request::Persist(batch, reply))
    }

    fn save_snapshot(
        &self,
        group: GroupId,
        snapshot: Snapshot,
    ) -> BoxFuture<'static, Result<(), StoreError>> {
        self.call(move |reply| Request::SaveSnapshot(group, snapshot, reply))
    }

    fn close(&self) -> BoxFuture<'static, Result<(), StoreError>> {
        self.closing.store(true, Ordering::Relaxed);
        self.call(Request::Close)
    }

    fn stats(&self) -> StoreStats {
        self.counters.read()
    }
}

/// A snapshot of a local state machine that is being written.
struct PendingSnapshot {
    writer: SnapshotWriter,
    op: WriteOp,
    reply: Reply<()>,
}

/// State of the store's thread.
struct Worker {
    wal: Wal,
    rx: mpsc::Receiver<Request>,
    closing: Arc<AtomicBool>,
    /// First fatal error; every later request fails with it.
    failed: Option<StoreError>,
    /// Snapshots being written, one chunk per round.
    snapshots: VecDeque<PendingSnapshot>,
    disk_full: DiskFullReport,
}

/// Reports through the log and metrics whether the disk is full. Logs only changes.
#[derive(Default)]
struct DiskFullReport(bool);

impl DiskFullReport {
    fn raise(&mut self, e: &StoreError) {
        metrics::counter!("poplarspan_store_refused_writes_total").increment(1);
        metrics::gauge!("poplarspan_store_disk_refuses").set(1.0);
        if !std::mem::replace(&mut self.0, true) {
            let error = e.to_string();
            log::error!(error = error.as_str(); "disk is full; writes wait for free space");
        }
    }

    fn clear(&mut self) {
        if std::mem::take(&mut self.0) {
            metrics::gauge!("poplarspan_store_disk_refuses").set(0.0);
            log::info!("disk accepts writes again");
        }
    }
}

impl Worker {
    fn run(mut self) {
        while let Some(requests) = self.next_requests() {
            let mut ops = Vec::new();
            let mut replies = Vec::new();
            for request in requests {
                match request {
                    Request::Load(reply) => {
                        let _ = reply.send(self.check().and_then(|()| self.wal.load()));
                    }
                    Request::Persist(batch, reply) => {
                        ops.push(WriteOp::Persist(batch));
                        replies.push(reply);
                    }
                    Request::SaveSnapshot(group, snapshot, reply) => {
                        self.queue_snapshot(group, snapshot, reply);
                    }
                    Request::Close(reply) => {
                        self.commit(ops, replies);
                        drop(self);
                        let _ = reply.send(Ok(()));
                        return;
                    }
                }
            }
            self.write_snapshot_chunk(&mut ops, &mut replies);
            self.commit(ops, replies);
        }
    }

    /// Returns the queued requests, and waits for one unless a snapshot is being written. Returns
    /// `None` once the store has been dropped.
    fn next_requests(&mut self) -> Option<Vec<Request>> {
        let mut requests = Vec::new();
        if self.snapshots.is_empty() {
            requests.push(self.rx.blocking_recv()?);
        }
        while requests.len() < MAX_BATCH_REQUESTS
            && !matches!(requests.last(), Some(Request::Close(_)))
        {
            match self.rx.try_recv() {
                Ok(request) => requests.push(request),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) if requests.is_empty() => return None,
                Err(TryRecvError::Disconnected) => break,
            }
        }
        Some(requests)
    }

    fn queue_snapshot(&mut self, group: GroupId, snapshot: Snapshot, reply: Reply<()>) {
        let (last, membership) = (snapshot.last, snapshot.membership.clone());
        let op = WriteOp::Snapshot { group, last, membership };
        let writer = SnapshotWriter::new(group, snapshot);
        self.snapshots.push_back(PendingSnapshot { writer, op, reply });
    }

    /// Writes a chunk of the first pending snapshot, and adds the snapshot to the batch when it is
    /// complete.
    fn write_snapshot_chunk(&mut self, ops: &mut Vec<WriteOp>, replies: &mut Vec<Reply<()>>) {
        let Some(mut pending) = self.snapshots.pop_front() else {
            return;
        };
        let result = self.check().and_then(|()| pending.writer.write_chunk(&mut self.wal));
        match result {
            Ok(false) => self.snapshots.push_front(pending),
            Ok(true) => {
                ops.push(pending.op);
                replies.push(pending.reply);
            }
            Err(e) if e.is_disk_full() && !self.closing.load(Ordering::Relaxed) => {
                // Meanwhile the log continues as long as there is space for it.
                self.disk_full.raise(&e);
                self.snapshots.push_back(pending);
                thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            Err(e) => {
                self.fail(&e);
                let _ = pending.reply.send(Err(e));
            }
        }
    }

    fn commit(&mut self, ops: Vec<WriteOp>, replies: Vec<Reply<()>>) {
        if replies.is_empty() {
            return;
        }
        let result = self.check().and_then(|()| self.commit_when_space(ops));
        if let Err(e) = &result {
            self.fail(e);
        }
        for reply in replies {
            let _ = reply.send(result.clone());
        }
    }

    /// Commits a batch; waits and retries while the disk is full.
    fn commit_when_space(&mut self, ops: Vec<WriteOp>) -> Result<(), StoreError> {
        let mut batch = Batch::new(ops);
        loop {
            match self.wal.commit(&mut batch) {
                Err(e) if e.is_disk_full() && !self.closing.load(Ordering::Relaxed) => {
                    self.disk_full.raise(&e);
                    thread::sleep(DISK_FULL_RETRY_DELAY);
                }
                Ok(()) => {
                    if self.snapshots.is_empty() {
                        self.disk_full.clear();
                    }
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
    }

    fn check(&self) -> Result<(), StoreError> {
        self.failed.clone().map_or(Ok(()), Err)
    }

    fn fail(&mut self, e: &StoreError) {
        if self.failed.is_none() {
            log::error!("storage failed; no further writes are accepted: {e}");
            self.failed = Some(e.clone());
        }
    }
}
