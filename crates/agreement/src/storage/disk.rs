//! The file operations of the store, and their implementation on the file system.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::StoreError;

/// A flat folder. Created, renamed and removed names are durable after `sync_dir`.
pub(crate) trait Disk: Send {
    /// Returns the path of a file, for messages.
    fn path(&self, name: &str) -> String;
    /// Returns the names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Creates a log file, which may have preallocated zeros after its end.
    fn create_log(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Truncates a log file to `keep` bytes, rewrites the bytes from `dirty_from` on and syncs
    /// them.
    ///
    /// After a failed sync, the kernel's page cache may hold pages that are marked clean but are
    /// not on disk. Rewriting the same bytes makes the next sync write them.
    fn reopen(&mut self, name: &str, dirty_from: u64, keep: u64) -> io::Result<Box<dyn DiskFile>>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_dir(&mut self) -> io::Result<()>;
}

/// A file open for appending. Its content is durable after `sync`.
pub(crate) trait DiskFile: Send {
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
    /// Makes the next append write at offset `end`, after an append or its sync has failed.
    fn rewind(&mut self, end: u64);
}

/// Name of the file whose lock prevents use by a second process.
pub(crate) const LOCK_FILE: &str = "lock";

/// A folder in the file system, locked while it is in use.
pub(crate) struct FolderDisk {
    folder: PathBuf,
    preallocate_bytes: usize,
    _lock: File,
}

impl FolderDisk {
    pub(crate) fn open(folder: &Path, preallocate_bytes: usize) -> Result<Self, StoreError> {
        let path = folder.join(LOCK_FILE);
        let name = || path.display().to_string();
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(|e| StoreError::io("open", name(), e))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { folder: folder.to_owned(), preallocate_bytes, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path: name() }),
            Err(TryLockError::Error(e)) => Err(StoreError::io("lock", name(), e)),
        }
    }
}

impl Disk for FolderDisk {
    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.folder)? {
            if let Ok(name) = item?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(File::create(self.folder.join(name))?))
    }

    fn create_log(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let f = File::create(self.folder.join(name))?;
        Ok(Box::new(LogFile::new(f, 0, self.preallocate_bytes)))
    }

    fn reopen(&mut self, name: &str, dirty_from: u64, keep: u64) -> io::Result<Box<dyn DiskFile>> {
        let mut f = OpenOptions::new().read(true).write(true).open(self.folder.join(name))?;
        f.set_len(keep)?;
        let mut buf = Vec::new();
        f.seek(SeekFrom::Start(dirty_from))?;
        f.read_to_end(&mut buf)?;
        f.seek(SeekFrom::Start(dirty_from))?;
        f.write_all(&buf)?;
        f.sync_all()?;
        Ok(Box::new(LogFile::new(f, keep, self.preallocate_bytes)))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_dir(&mut self) -> io::Result<()> {
        sync_folder(&self.folder)
    }
}

impl DiskFile for File {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        self.write_all(buf)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn rewind(&mut self, end: u64) {
        // Only snapshots use a plain file, and a failed snapshot is rewritten in a new one.
        debug_assert_eq!(end, 0, "only log files are written to after a failure");
    }
}

/// A file with preallocated zeros after its end, so that a sync rarely has to write metadata.
struct LogFile {
    file: File,
    end: u64,
    allocated: u64,
    preallocate_bytes: usize,
}

impl LogFile {
    fn new(file: File, end: u64, preallocate_bytes: usize) -> Self {
        Self { file, end, allocated: end, preallocate_bytes }
    }

    /// Writes and syncs zeros after `end`.
    fn allocate(&mut self, end: u64) -> io::Result<()> {
        let zeros = vec![0; self.preallocate_bytes];
        self.file.write_all_at(&zeros, end)?;
        self.file.sync_data()?;
        self.allocated = end + zeros.len() as u64;
        Ok(())
    }
}

impl DiskFile for LogFile {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        let end = self.end + buf.len() as u64;
        // On a full disk, there may still be space for the data itself.
        if end > self.allocated
            && self.preallocate_bytes > 0
            && let Err(e) = self.allocate(end)
            && !is_disk_full(&e)
        {
            return Err(e);
        }
        self.file.write_all_at(buf, self.end)?;
        self.end = end;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn rewind(&mut self, end: u64) {
        self.end = end;
    }
}

/// Returns whether an error means that the disk is full, a quota is exceeded, or the file has
/// reached its size limit.
pub fn is_disk_full(e: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(e.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}

/// Syncs a folder, which makes its created, renamed and removed names durable.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
