//! Format of the segments of the write-ahead log.
//!
//! A segment is a header followed by frames. A frame holds the records of one batch, which one sync
//! makes durable, under one checksum. A crash can therefore damage only the last frame, regardless
//! of the order in which the disk wrote its blocks. An invalid frame that is followed by a valid
//! one was corrupted after it had been synced.

use bytes::Bytes;
use poplarspan_proto::agreement as pb;
use prost::Message;

use super::checksummed::to_array;

const MAGIC: [u8; 8] = *b"PSPNWAL1";
/// Magic, segment number, number of the first frame, salt, checksum.
pub(crate) const SEGMENT_HEADER_LEN: usize = 8 + 8 + 8 + 8 + 4;
/// Marker, body length, frame number, checksum.
pub(crate) const FRAME_HEADER_LEN: usize = 4 + 4 + 8 + 4;

/// Header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// Number of the segment.
    pub(crate) number: u64,
    /// Number of the first frame; frames are numbered across segments.
    pub(crate) first_frame: u64,
    /// Random value that is part of all frame checksums of the segment, so that the bytes of a
    /// command cannot be mistaken for a frame.
    pub(crate) salt: u64,
}

impl SegmentHeader {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(SEGMENT_HEADER_LEN);
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&self.number.to_be_bytes());
        buf.extend_from_slice(&self.first_frame.to_be_bytes());
        buf.extend_from_slice(&self.salt.to_be_bytes());
        let crc = crc32c::crc32c(&buf);
        buf.extend_from_slice(&crc.to_be_bytes());
        buf
    }

    pub(crate) fn decode(file: &[u8]) -> Option<Self> {
        let buf = file.get(..SEGMENT_HEADER_LEN)?;
        let is_valid = buf[..8] == MAGIC
            && u32::from_be_bytes(to_array(&buf[32..36])) == crc32c::crc32c(&buf[..32]);
        is_valid.then(|| Self {
            number: u64::from_be_bytes(to_array(&buf[8..16])),
            first_frame: u64::from_be_bytes(to_array(&buf[16..24])),
            salt: u64::from_be_bytes(to_array(&buf[24..32])),
        })
    }

    /// Returns the first bytes of each frame of the segment.
    fn marker(&self) -> [u8; 4] {
        to_array(&self.salt.to_be_bytes()[..4])
    }

    fn checksum(&self, header: &[u8], body: &[u8]) -> u32 {
        let crc = crc32c::crc32c(&self.salt.to_be_bytes());
        crc32c::crc32c_append(crc32c::crc32c_append(crc, header), body)
    }

    /// Encodes `batch` as the frame `number` and appends it to `buf`.
    ///
    /// # Panics
    ///
    /// Panics if the encoded batch is 4 GiB or larger.
    pub(crate) fn encode_frame(&self, number: u64, batch: &pb::Batch, buf: &mut Vec<u8>) {
        let start = buf.len();
        buf.extend_from_slice(&self.marker());
        buf.extend_from_slice(&[0; FRAME_HEADER_LEN - 4]);
        batch.encode(buf).expect("encoding into a Vec cannot fail");
        let body = start + FRAME_HEADER_LEN;
        let len = u32::try_from(buf.len() - body).expect("a batch is smaller than 4 GiB");
        buf[start + 4..start + 8].copy_from_slice(&len.to_be_bytes());
        buf[start + 8..start + 16].copy_from_slice(&number.to_be_bytes());
        let crc = self.checksum(&buf[start..start + 16], &buf[body..]);
        buf[start + 16..start + 20].copy_from_slice(&crc.to_be_bytes());
    }

    /// Returns the number and the body of the frame at the start of `buf`, if there is a valid one.
    pub(crate) fn frame_at<'a>(&self, buf: &'a [u8]) -> Option<(u64, &'a [u8])> {
        let header = buf.get(..FRAME_HEADER_LEN)?;
        if header[..4] != self.marker() {
            return None;
        }
        let len = u32::from_be_bytes(to_array(&header[4..8])) as usize;
        let body = buf.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN.checked_add(len)?)?;
        let crc = u32::from_be_bytes(to_array(&header[16..20]));
        (crc == self.checksum(&header[..16], body))
            .then(|| (u64::from_be_bytes(to_array(&header[8..16])), body))
    }

    /// Returns whether a valid frame starts anywhere in `buf`.
    pub(crate) fn contains_frame(&self, buf: &[u8]) -> bool {
        let marker = self.marker();
        (0..buf.len()).any(|i| buf[i..].starts_with(&marker) && self.frame_at(&buf[i..]).is_some())
    }
}

/// Decodes a frame's body.
pub(crate) fn decode_batch(body: &[u8]) -> Option<pb::Batch> {
    // Copied because the decoded entries share the buffer and would keep the whole segment in
    // memory.
    pb::Batch::decode(Bytes::copy_from_slice(body)).ok()
}

/// Returns the file name of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("wal-{number:016x}.log")
}

/// Parses a segment's number from its file name; `None` for other files.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("wal-")?.strip_suffix(".log")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok())?
}
