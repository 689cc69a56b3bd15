//! Format of files that are written once: a header with a checksum, a protobuf message and raw
//! data.

use bytes::Bytes;
use prost::Message;

const MAGIC: [u8; 8] = *b"PSPNFIL1";
/// Magic, message length, data length, checksum.
const HEADER_LEN: usize = 8 + 4 + 8 + 4;

/// Encodes the header and the message. The caller writes `data` after them.
pub(crate) fn encode_header(message: &impl Message, data: &[u8]) -> Vec<u8> {
    let meta = message.encode_to_vec();
    let mut buf = Vec::with_capacity(HEADER_LEN + meta.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(meta.len() as u32).to_be_bytes());
    buf.extend_from_slice(&(data.len() as u64).to_be_bytes());
    let crc = checksum(&buf, &meta, data);
    buf.extend_from_slice(&crc.to_be_bytes());
    buf.extend_from_slice(&meta);
    buf
}

/// Decodes a complete file into its message and its data.
pub(crate) fn decode<M: Message + Default>(file: Vec<u8>) -> Result<(M, Bytes), &'static str> {
    let file = Bytes::from(file);
    if file.len() < HEADER_LEN {
        return Err("file is shorter than its header");
    }
    if file[..8] != MAGIC {
        return Err("unknown file type or version");
    }
    let meta_len = u32::from_be_bytes(to_array(&file[8..12])) as usize;
    let data_len = usize::try_from(u64::from_be_bytes(to_array(&file[12..20]))).ok();
    let expected = data_len.and_then(|n| n.checked_add(meta_len)?.checked_add(HEADER_LEN));
    if expected != Some(file.len()) {
        return Err("file length does not match its header");
    }
    let meta = file.slice(HEADER_LEN..HEADER_LEN + meta_len);
    let data = file.slice(HEADER_LEN + meta_len..);
    if u32::from_be_bytes(to_array(&file[20..24])) != checksum(&file[..20], &meta, &data) {
        return Err("checksum mismatch");
    }
    Ok((M::decode(meta).map_err(|_| "cannot decode message")?, data))
}

fn checksum(header: &[u8], meta: &[u8], data: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c_append(crc32c::crc32c(header), meta), data)
}

/// Copies a slice into an array.
///
/// # Panics
///
/// Panics if the slice does not have `N` bytes.
pub(crate) fn to_array<const N: usize>(buf: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(buf);
    out
}
