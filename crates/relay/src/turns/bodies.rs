//! Bodies of kept turns in segment files.
//!
//! The files belong to one replica of one group. Bodies are appended to the last segment. A segment
//! is removed once neither a turn, nor a snapshot in the store, nor a read in progress refers to
//! it, which is counted by its reference count. Segments are durable only once a snapshot that
//! refers to them is saved; later bodies are rebuilt from the log after a restart.

use std::{
    fs::{self, File, OpenOptions},
    io,
    ops::Range,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::{Bytes, BytesMut};
use poplarspan_agreement::SyncFiles;

/// Length in bytes from which on a segment is followed by a new one. Space is freed by the segment,
/// and a small disk should hold many of them.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Bytes that are read at a time to verify a body.
const VERIFY_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that a group's state takes at this store.
#[derive(Debug, Default)]
pub struct TurnUsage {
    disk: AtomicU64,
    memory: AtomicU64,
}

impl TurnUsage {
    /// Returns the bytes in segment files.
    pub fn disk(&self) -> u64 {
        self.disk.load(Ordering::Relaxed)
    }

    /// Returns the estimated bytes of the state in memory, without the segments.
    pub fn memory(&self) -> u64 {
        self.memory.load(Ordering::Relaxed)
    }
}

/// A segment file, open for reading.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    file: File,
}

/// A body in a segment: the input, followed by the output.
#[derive(Clone, Debug)]
pub(super) struct StoredBody {
    pub(super) segment: Arc<Segment>,
    pub(super) offset: u64,
    pub(super) input: u32,
    pub(super) output: u32,
    pub(super) crc: u32,
}

impl StoredBody {
    fn len(&self) -> usize {
        self.input as usize + self.output as usize
    }

    /// Reads a part of the body, without a check of its content.
    pub(super) fn read_part(&self, at: u64, buf: &mut [u8]) -> io::Result<()> {
        self.segment.file.read_exact_at(buf, self.offset + at)
    }

    /// Fails if the body is not complete in the file.
    fn verify(&self) -> io::Result<()> {
        let mut buf = vec![0; VERIFY_BUFFER_BYTES.min(self.len())];
        let (mut at, mut crc) = (0, 0);
        while at < self.len() {
            let len = buf.len().min(self.len() - at);
            self.read_part(at as u64, &mut buf[..len])?;
            crc = crc32c::crc32c_append(crc, &buf[..len]);
            at += len;
        }
        self.check(crc)
    }

    fn check(&self, crc: u32) -> io::Result<()> {
        if crc == self.crc {
            return Ok(());
        }
        let (number, offset) = (self.segment.number, self.offset);
        Err(io::Error::other(format!("segment {number} is corrupt at offset {offset}")))
    }
}

/// Input and output of a turn.
#[derive(Clone, Debug)]
pub(super) enum Body {
    Memory { input: Bytes, output: Bytes },
    Stored(StoredBody),
}

impl Body {
    pub(super) fn input_len(&self) -> usize {
        match self {
            Self::Memory { input, .. } => input.len(),
            Self::Stored(stored) => stored.input as usize,
        }
    }

    pub(super) fn len(&self) -> usize {
        match self {
            Self::Memory { input, output } => input.len() + output.len(),
            Self::Stored(stored) => stored.len(),
        }
    }

    fn checksum(&self) -> u32 {
        match self {
            Self::Memory { input, output } => crc32c::crc32c_append(crc32c::crc32c(input), output),
            Self::Stored(stored) => stored.crc,
        }
    }

    /// Appends the bytes of a range, without a check of their content.
    fn append_range(&self, range: Range<usize>, buf: &mut BytesMut) -> io::Result<()> {
        match self {
            Self::Memory { input, output } => {
                let split = |at: usize| (at.min(input.len()), at.saturating_sub(input.len()));
                let ((in_start, out_start), (in_end, out_end)) =
                    (split(range.start), split(range.end));
                buf.extend_from_slice(&input[in_start..in_end]);
                buf.extend_from_slice(&output[out_start..out_end]);
                Ok(())
            }
            Self::Stored(stored) => {
                let filled = buf.len();
                buf.resize(filled + range.len(), 0);
                stored.read_part(range.start as u64, &mut buf[filled..])
            }
        }
    }

    fn append_to(&self, buf: &mut BytesMut) -> io::Result<()> {
        match self {
            Self::Memory { input, output } => {
                buf.extend_from_slice(input);
                buf.extend_from_slice(output);
                Ok(())
            }
            Self::Stored(stored) => {
                let start = buf.len();
                buf.resize(start + stored.len(), 0);
                stored.read_part(0, &mut buf[start..])?;
                stored.check(crc32c::crc32c(&buf[start..]))
            }
        }
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Memory { input, output }, Self::Memory { input: i, output: o }) => {
                input == i && output == o
            }
            (Self::Stored(a), Self::Stored(b)) => {
                Arc::ptr_eq(&a.segment, &b.segment) && a.offset == b.offset
            }
            _ => false,
        }
    }
}

impl Eq for Body {}

/// The bodies of a turn and of the turns before it, oldest first.
#[derive(Debug)]
pub struct History(pub(super) Vec<Body>);

impl History {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.0.iter().map(Body::len).sum()
    }

    /// Returns whether all bodies are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reads the bodies. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if a segment cannot be read or is corrupt.
    pub fn read(&self) -> io::Result<Bytes> {
        let mut buf = BytesMut::with_capacity(self.len());
        for body in &self.0 {
            body.append_to(&mut buf)?;
        }
        Ok(buf.freeze())
    }

    /// Reads up to `max` bytes from `offset` on; fewer at the end. Blocks. The content is not
    /// checked: a reader of all parts compares their checksum with [`History::checksum`].
    ///
    /// # Errors
    ///
    /// Fails if a segment cannot be read.
    pub fn read_part(&self, offset: u64, max: usize) -> io::Result<Bytes> {
        let len = self.len();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(len);
        let end = start.saturating_add(max).min(len);
        let mut buf = BytesMut::with_capacity(end - start);
        let mut body_start = 0;
        for body in &self.0 {
            let body_end = body_start + body.len();
            let (from, to) = (start.max(body_start), end.min(body_end));
            if from < to {
                body.append_range(from - body_start..to - body_start, &mut buf)?;
            }
            body_start = body_end;
        }
        Ok(buf.freeze())
    }

    /// Returns the CRC-32C of all bodies together. Reads no file.
    pub fn checksum(&self) -> u32 {
        let append = |crc, body: &Body| crc32c::crc32c_combine(crc, body.checksum(), body.len());
        self.0.iter().fold(0, append)
    }
}

/// The segment files of a replica.
#[derive(Debug)]
pub(super) struct Bodies {
    folder: PathBuf,
    group: u32,
    usage: Arc<TurnUsage>,
    /// Segments that are in use with their lengths, oldest first. The last one is written to if it
    /// was created since the start.
    segments: Vec<(Arc<Segment>, u64)>,
    next_number: u64,
    /// Whether the last segment was created since the start.
    is_open: bool,
    /// Segments that may not be durable, with the index of the first snapshot after the last write
    /// to them.
    unsynced: Vec<(Arc<Segment>, Option<u64>)>,
    /// Segments of the latest snapshots with their log indices: the one in the store and those that
    /// may replace it.
    snapshots: Vec<(u64, Vec<Arc<Segment>>)>,
    /// Files from before the start that are not attached.
    leftovers: Vec<u64>,
    /// Whether the last body could not be stored.
    is_failing: bool,
}

impl Bodies {
    /// Opens the files of a group in a folder, which is created if it is missing.
    pub(super) fn open(folder: &Path, group: u32, usage: Arc<TurnUsage>) -> io::Result<Self> {
        if !folder.exists() {
            fs::create_dir(folder)?;
            // Segments in a folder whose name is not durable would be lost with it.
            let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
        }
        let mut leftovers = Vec::new();
        for item in fs::read_dir(folder)? {
            let name = item?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(&prefix(group)));
            leftovers.extend(number.and_then(|n| u64::from_str_radix(n, 16).ok()));
        }
        let next_number = leftovers.iter().max().map_or(1, |n| n + 1);
        Ok(Self {
            folder: folder.to_owned(),
            group,
            usage,
            segments: Vec::new(),
            next_number,
            is_open: false,
            unsynced: Vec::new(),
            snapshots: Vec::new(),
            leftovers,
            is_failing: false,
        })
    }

    /// Sets the bytes in memory of the state to which the bodies belong.
    pub(super) fn set_memory(&self, bytes: u64) {
        self.usage.memory.store(bytes, Ordering::Relaxed);
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{}{number:016x}", prefix(self.group)))
    }

    /// Returns a segment to which the snapshot in the store refers.
    pub(super) fn attach(&mut self, number: u64) -> io::Result<Arc<Segment>> {
        if let Ok(i) = self.segments.binary_search_by_key(&number, |(s, _)| s.number) {
            return Ok(self.segments[i].0.clone());
        }
        let file = File::open(self.path(number))?;
        let len = file.metadata()?.len();
        let segment = Arc::new(Segment { number, file });
        let i = self.segments.partition_point(|(s, _)| s.number < number);
        self.segments.insert(i, (segment.clone(), len));
        self.usage.disk.fetch_add(len, Ordering::Relaxed);
        self.leftovers.retain(|n| *n != number);
        Ok(segment)
    }

    /// Returns a body that the snapshot in the store refers to, after a check of its content.
    pub(super) fn restore(
        &mut self,
        number: u64,
        offset: u64,
        [input, output, crc]: [u32; 3],
    ) -> io::Result<StoredBody> {
        let stored = StoredBody { segment: self.attach(number)?, offset, input, output, crc };
        stored.verify()?;
        Ok(stored)
    }

    /// Stores a body. If that fails, usually because the disk is full, the body stays in memory
    /// until the next snapshot.
    pub(super) fn store(&mut self, input: Bytes, output: Bytes) -> Body {
        match self.append(&input, &output) {
            Ok(stored) => {
                self.is_failing = false;
                Body::Stored(stored)
            }
            Err(e) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    let (group, error) = (self.group, e.to_string());
                    log::warn!(group, error = error.as_str(); "bodies of turns stay in memory");
                }
                Body::Memory { input, output }
            }
        }
    }

    pub(super) fn append(&mut self, input: &[u8], output: &[u8]) -> io::Result<StoredBody> {
        self.remove_leftovers();
        if !self.is_open || self.segments.last().is_none_or(|(_, len)| *len >= SEGMENT_BYTES) {
            self.create()?;
        }
        let lens = (u32::try_from(input.len()), u32::try_from(output.len()));
        let (Ok(input_len), Ok(output_len)) = lens else {
            return Err(io::Error::other("a body has over 4 GB"));
        };
        let Some((segment, len)) = self.segments.last_mut() else {
            return Err(io::Error::other("there is no segment"));
        };
        // A part that was written before an error is overwritten, because `len` stays.
        segment.file.write_all_at(input, *len)?;
        segment.file.write_all_at(output, *len + input.len() as u64)?;
        let crc = crc32c::crc32c_append(crc32c::crc32c(input), output);
        let (segment, offset) = (segment.clone(), *len);
        let written = (input.len() + output.len()) as u64;
        *len += written;
        self.usage.disk.fetch_add(written, Ordering::Relaxed);
        self.unsynced.retain(|(other, _)| other.number != segment.number);
        self.unsynced.push((segment.clone(), None));
        Ok(StoredBody { segment, offset, input: input_len, output: output_len, crc })
    }

    fn create(&mut self) -> io::Result<()> {
        let number = self.next_number;
        let path = self.path(number);
        let options = OpenOptions::new().read(true).write(true).create(true).truncate(true).clone();
        let file = options.open(path)?;
        self.next_number += 1;
        self.segments.push((Arc::new(Segment { number, file }), 0));
        self.is_open = true;
        Ok(())
    }

    /// Records a snapshot at a log index that refers to `segments`, and returns what makes them
    /// durable.
    pub(super) fn snapshot(&mut self, index: u64, segments: Vec<Arc<Segment>>) -> SyncFiles {
        for (_, snapshot) in &mut self.unsynced {
            snapshot.get_or_insert(index);
        }
        let unsynced: Vec<_> = self.unsynced.iter().map(|(s, _)| s.clone()).collect();
        self.snapshots.push((index, segments));
        let folder = self.folder.clone();
        Arc::new(move || {
            for segment in &unsynced {
                segment.file.sync_data()?;
            }
            if unsynced.is_empty() { Ok(()) } else { File::open(&folder)?.sync_all() }
        })
    }

    /// Returns whether only saved snapshots refer to a segment, so that another snapshot frees it.
    pub(super) fn has_expired_segment(&self) -> bool {
        let open = self.segments.last().filter(|_| self.is_open).map(|(s, _)| s.number);
        self.segments.iter().any(|(segment, _)| {
            let is_same = |other: &Arc<Segment>| Arc::ptr_eq(other, segment);
            let snapshots = self.snapshots.iter().flat_map(|(_, segments)| segments);
            let own = 1
                + snapshots.filter(|s| is_same(s)).count()
                + self.unsynced.iter().filter(|(s, _)| is_same(s)).count();
            Some(segment.number) != open && Arc::strong_count(segment) == own
        })
    }

    /// Records that the snapshot at a log index is in the store, and removes the files that nothing
    /// refers to.
    pub(super) fn saved(&mut self, index: u64) {
        self.snapshots.retain(|(other, _)| *other >= index);
        let open = self.segments.last().filter(|_| self.is_open).map(|(s, _)| s.number);
        self.unsynced.retain(|(_, snapshot)| snapshot.is_none_or(|other| other > index));
        let (mut removed, folder, group) = (Vec::new(), &self.folder, self.group);
        self.segments.retain(|(segment, len)| {
            let is_used = Some(segment.number) == open || Arc::strong_count(segment) > 1;
            if !is_used {
                removed.push((segment.number, *len));
            }
            is_used
        });
        for (number, len) in removed {
            self.usage.disk.fetch_sub(len, Ordering::Relaxed);
            remove(&folder.join(format!("{}{number:016x}", prefix(group))));
        }
    }

    /// Removes the files from before the start that the snapshot in the store does not refer to.
    fn remove_leftovers(&mut self) {
        for number in std::mem::take(&mut self.leftovers) {
            remove(&self.path(number));
        }
    }
}

/// Removes a file. One that cannot be removed only takes space until the next start.
fn remove(path: &Path) {
    if let Err(e) = fs::remove_file(path) {
        let (path, error) = (path.display().to_string(), e.to_string());
        log::warn!(path = path.as_str(), error = error.as_str(); "cannot remove a segment");
    }
}

fn prefix(group: u32) -> String {
    format!("{group:08x}-")
}
