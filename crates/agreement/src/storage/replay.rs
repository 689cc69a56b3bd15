//! Reads the segments when a store is opened.

use super::StoreError;
use super::disk::{Disk, DiskFile};
use super::frame::{
    FRAME_HEADER_LEN, SEGMENT_HEADER_LEN, SegmentHeader, decode_batch, segment_name, segment_number,
};
use super::group::Groups;

/// State read from the segments.
pub(crate) struct ReplayResult {
    pub(crate) groups: Groups,
    /// Number and length in bytes of each segment, oldest first.
    pub(crate) segments: Vec<(u64, u64)>,
    /// Header of the last segment.
    pub(crate) header: SegmentHeader,
    /// The last segment.
    pub(crate) file: Box<dyn DiskFile>,
    pub(crate) next_frame: u64,
}

/// Extent of a segment's valid frames.
struct SegmentExtent {
    header: SegmentHeader,
    next_frame: u64,
    /// Offset of the last valid frame, or 0 if there are fewer than two.
    last_frame_at: usize,
    /// Offset of the end of the last valid frame.
    end: usize,
}

/// Reads all segments, truncates a torn write at the end and makes what was read durable.
pub(crate) fn replay(disk: &mut dyn Disk) -> Result<ReplayResult, StoreError> {
    let mut numbers = segment_numbers(disk)?;
    remove_unfinished_segment(disk, &mut numbers)?;
    let Some(&last) = numbers.last() else {
        return Err(StoreError::Missing { path: disk.path("") });
    };
    let mut groups = Groups::default();
    let mut segments = Vec::with_capacity(numbers.len());
    let mut previous: Option<SegmentExtent> = None;
    for &number in &numbers {
        let name = segment_name(number);
        let buf = read(disk, &name)?;
        let extent = replay_segment(disk, &buf, number, previous.as_ref(), &mut groups)?;
        // Trailing zeros are preallocated space. If frames were overwritten with zeros, the header
        // of the next segment reveals the missing frames. In the last segment they look like a torn
        // write.
        if buf[extent.end..].iter().any(|b| *b != 0) {
            check_torn_write(disk, &buf, &extent, number == last)?;
            log::warn!(path = disk.path(&name), offset = extent.end, bytes = buf.len() - extent.end;
                "truncating a torn write at the end of the log");
        }
        segments.push((number, extent.end as u64));
        previous = Some(extent);
    }
    let name = segment_name(last);
    let extent = previous.ok_or_else(|| StoreError::Missing { path: disk.path("") })?;
    let file = disk
        .reopen(&name, extent.last_frame_at as u64, extent.end as u64)
        .and_then(|file| disk.sync_dir().map(|()| file))
        .map_err(|e| StoreError::io("sync", disk.path(&name), e))?;
    if groups.0.iter().any(|(_, g)| g.has_gap()) {
        return Err(StoreError::corrupt(disk.path(&name), extent.end, "log entries are missing"));
    }
    Ok(ReplayResult {
        groups,
        segments,
        header: extent.header,
        file,
        next_frame: extent.next_frame,
    })
}

/// Returns the numbers of the segments on the disk, sorted. Fails if one is missing in between.
pub(crate) fn segment_numbers(disk: &dyn Disk) -> Result<Vec<u64>, StoreError> {
    let names = disk.list().map_err(|e| StoreError::io("list", disk.path(""), e))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
    numbers.sort_unstable();
    if let Some(pair) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        let name = segment_name(pair[0] + 1);
        return Err(StoreError::corrupt(disk.path(&name), 0, "segment is missing"));
    }
    Ok(numbers)
}

/// Removes the last segment if its header was never synced. Frames are written only after that
/// sync.
fn remove_unfinished_segment(
    disk: &mut dyn Disk,
    numbers: &mut Vec<u64>,
) -> Result<(), StoreError> {
    let [.., _, last] = numbers[..] else {
        return Ok(());
    };
    let name = segment_name(last);
    let buf = read(disk, &name)?;
    let frames = buf.get(SEGMENT_HEADER_LEN..).unwrap_or_default();
    if SegmentHeader::decode(&buf).is_none() && frames.iter().all(|b| *b == 0) {
        disk.remove(&name)
            .and_then(|()| disk.sync_dir())
            .map_err(|e| StoreError::io("remove", disk.path(&name), e))?;
        numbers.pop();
    }
    Ok(())
}

fn read(disk: &dyn Disk, name: &str) -> Result<Vec<u8>, StoreError> {
    disk.read(name).map_err(|e| StoreError::io("read", disk.path(name), e))
}

fn replay_segment(
    disk: &dyn Disk,
    buf: &[u8],
    number: u64,
    previous: Option<&SegmentExtent>,
    groups: &mut Groups,
) -> Result<SegmentExtent, StoreError> {
    let corrupt = |at, reason| StoreError::corrupt(disk.path(&segment_name(number)), at, reason);
    let header = SegmentHeader::decode(buf).ok_or_else(|| corrupt(0, "invalid segment header"))?;
    if header.number != number {
        return Err(corrupt(0, "segment number does not match the file name"));
    }
    if previous.is_some_and(|p| p.next_frame != header.first_frame) {
        return Err(corrupt(0, "frames before this segment are missing"));
    }
    let mut extent = SegmentExtent {
        header,
        next_frame: header.first_frame,
        last_frame_at: 0,
        end: SEGMENT_HEADER_LEN,
    };
    while let Some((frame, body)) = header.frame_at(&buf[extent.end..]) {
        if frame != extent.next_frame {
            return Err(corrupt(extent.end, "frame is out of order"));
        }
        let batch = decode_batch(body).ok_or_else(|| corrupt(extent.end, "cannot decode frame"))?;
        groups.apply(batch, number).map_err(|reason| corrupt(extent.end, reason))?;
        // While the segment has only one frame, reopening it also rewrites the header.
        extent.last_frame_at = if frame == header.first_frame { 0 } else { extent.end };
        extent.end += FRAME_HEADER_LEN + body.len();
        extent.next_frame = frame.saturating_add(1);
    }
    Ok(extent)
}

/// Fails if the bytes after the last valid frame cannot be the result of a torn write.
fn check_torn_write(
    disk: &dyn Disk,
    buf: &[u8],
    extent: &SegmentExtent,
    is_last: bool,
) -> Result<(), StoreError> {
    let reason = if !is_last {
        "invalid frame in a segment that is not the last"
    } else if extent.header.contains_frame(&buf[extent.end + 1..]) {
        "invalid frame followed by a valid one"
    } else {
        return Ok(());
    };
    let path = disk.path(&segment_name(extent.header.number));
    Err(StoreError::corrupt(path, extent.end, reason))
}
