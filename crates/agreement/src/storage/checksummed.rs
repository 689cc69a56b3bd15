//! Files that are written once: a header with a checksum, a protobuf message, then plain data.

use bytes::Bytes;
use prost::Message;

/// "PSPNFIL1"
const MAGIC: [u8; 8] = *b"PSPNFIL1";
const HEADER_LEN: usize = 8 + 4 + 8 + 4;

/// Returns the header and the encoded message; `data` follows them in the file.
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

/// Splits a whole file into its message and its data.
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
        return Err("file has the wrong length");
    }
    let meta = file.slice(HEADER_LEN..HEADER_LEN + meta_len);
    let data = file.slice(HEADER_LEN + meta_len..);
    if u32::from_be_bytes(to_array(&file[20..24])) != checksum(&file[..20], &meta, &data) {
        return Err("wrong checksum");
    }
    Ok((M::decode(meta).map_err(|_| "undecodable message")?, data))
}

fn checksum(header: &[u8], meta: &[u8], data: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c_append(crc32c::crc32c(header), meta), data)
}

/// Copies a slice of known length.
pub(crate) fn to_array<const N: usize>(buf: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(buf);
    out
}
