//! The operations on files that the store needs, and their implementation on a folder.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::StoreError;

/// A flat folder. Changes of its list of names are durable after `sync_dir`.
pub(crate) trait Disk: Send {
    /// Path of a file, for messages.
    fn path(&self, name: &str) -> String;
    /// Names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file; an existing one is replaced.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn DiskFile>>;
    /// Cuts a file to `keep` bytes, writes the bytes from `dirty_from` again and syncs them.
    ///
    /// A failed sync may have left pages in the kernel's cache that look written but are not on
    /// disk. Writing the same bytes again makes the next sync write them.
    fn reopen(&mut self, name: &str, dirty_from: u64, keep: u64) -> io::Result<Box<dyn DiskFile>>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_dir(&mut self) -> io::Result<()>;
}

/// A file that is open for appending. Its content is durable after `sync`.
pub(crate) trait DiskFile: Send {
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
}

/// Name of the file whose lock keeps a second process away.
pub(crate) const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked while it is in use.
pub(crate) struct FolderDisk {
    folder: PathBuf,
    _lock: File,
}

impl FolderDisk {
    pub(crate) fn open(folder: &Path) -> Result<Self, StoreError> {
        let path = folder.join(LOCK_FILE);
        let name = || path.display().to_string();
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(|e| StoreError::io("open", name(), e))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { folder: folder.to_owned(), _lock: lock }),
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

    fn reopen(&mut self, name: &str, dirty_from: u64, keep: u64) -> io::Result<Box<dyn DiskFile>> {
        let mut f = OpenOptions::new().read(true).write(true).open(self.folder.join(name))?;
        f.set_len(keep)?;
        let mut buf = Vec::new();
        f.seek(SeekFrom::Start(dirty_from))?;
        f.read_to_end(&mut buf)?;
        f.seek(SeekFrom::Start(dirty_from))?;
        f.write_all(&buf)?;
        f.sync_all()?;
        Ok(Box::new(f))
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
}

/// Makes a folder's list of names durable.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
