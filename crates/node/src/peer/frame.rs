//! Length-prefixed protobuf frames on QUIC streams.

use bytes::Bytes;
use prost::Message;

/// Maximum length of an encoded message, in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const PREFIX_BYTES: usize = 4;

/// Why a frame cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("frame of {0} bytes is larger than the limit of {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    #[error("stream ended early: {0}")]
    Read(#[from] quinn::ReadExactError),
    #[error("cannot write to the stream: {0}")]
    Write(#[from] quinn::WriteError),
}

/// Writes one message, preceded by its length as a 4-byte big-endian integer.
pub async fn write<M: Message>(
    stream: &mut quinn::SendStream,
    message: &M,
) -> Result<(), FrameError> {
    let len = message.encoded_len();
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    let mut buf = Vec::with_capacity(PREFIX_BYTES + len);
    buf.extend_from_slice(&(len as u32).to_be_bytes());
    message.encode(&mut buf).expect("encoding into a Vec does not run out of space");
    stream.write_chunk(Bytes::from(buf)).await?;
    Ok(())
}

/// Reads one message that was written by [`write`].
pub async fn read<M: Message + Default>(stream: &mut quinn::RecvStream) -> Result<M, FrameError> {
    let mut prefix = [0; PREFIX_BYTES];
    stream.read_exact(&mut prefix).await?;
    let len = u32::from_be_bytes(prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    let mut buf = vec![0; len];
    stream.read_exact(&mut buf).await?;
    Ok(M::decode(Bytes::from(buf))?)
}
