//! Reading of endpoint responses, with detection of truncated ones.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::entry::{Chunk, RelaySender};

/// Last event of a streamed chat response.
const TERMINAL_EVENT: &[u8] = b"data: [DONE]";

/// Why a response is incomplete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseError {
    #[error("the answer was cut short: {0}")]
    Truncated(String),
    #[error("the answer stopped making progress")]
    Silent,
    #[error("the answer is larger than the limit of {0} bytes")]
    TooLarge(usize),
}

/// Whether the response has a content length or is chunked. Otherwise the end of the body cannot be
/// distinguished from a lost connection.
pub(crate) fn is_delimited(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(http::header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}

/// Reads a complete body of at most `max` bytes until `deadline`. hyper reports an error if the
/// body ends before its content length or final chunk.
pub(crate) async fn collect(
    mut body: Incoming,
    max: usize,
    deadline: Instant,
) -> Result<Bytes, ResponseError> {
    let mut buffer = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| ResponseError::Silent)?;
        let Some(frame) = frame else { return Ok(buffer.freeze()) };
        let frame = frame.map_err(|e| ResponseError::Truncated(e.to_string()))?;
        if let Ok(chunk) = frame.into_data() {
            if buffer.len() + chunk.len() > max {
                return Err(ResponseError::TooLarge(max));
            }
            buffer.extend_from_slice(&chunk);
        }
    }
}

/// How a relayed response ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The terminal event has arrived. `last` contains it and was not sent to the caller yet.
    Complete { last: Bytes },
    /// The caller has disconnected. The connection to the endpoint must be closed to cancel the
    /// call.
    CallerGone,
    /// The endpoint failed before the end of the response.
    Failed(ResponseError),
}

/// Result of relaying a response.
#[derive(Debug)]
pub(crate) struct Relayed {
    pub(crate) end: StreamEnd,
    /// Received bytes, if [`RelayLimits::max_buffered`] is not 0.
    pub(crate) buffered: BytesMut,
    /// Number of received events without the terminal one, used as the number of tokens.
    pub(crate) events: u64,
}

/// Limits for one relayed response.
pub(crate) struct RelayLimits {
    /// Maximum time between two chunks.
    pub(crate) idle_timeout: Duration,
    /// Deadline of the call.
    pub(crate) deadline: Instant,
    /// Maximum number of bytes to buffer; a longer response fails. 0 disables buffering.
    pub(crate) max_buffered: usize,
}

/// Relays a streamed response up to, but without, the chunk with its terminal event.
pub(crate) async fn relay_stream(
    body: &mut Incoming,
    tx: &RelaySender,
    limits: RelayLimits,
) -> Relayed {
    let mut relayed = Relayed { end: StreamEnd::CallerGone, buffered: BytesMut::new(), events: 0 };
    // Start of the current line, since the terminal event may be split across chunks.
    let mut line = BytesMut::new();
    loop {
        let idle_deadline = (Instant::now() + limits.idle_timeout).min(limits.deadline);
        let frame = tokio::select! {
            () = tx.closed() => return relayed,
            frame = timeout_at(idle_deadline, body.frame()) => frame,
        };
        let chunk = match frame {
            Err(_) => return relayed.failed(ResponseError::Silent),
            Ok(None) => {
                let cause = "no terminal event".to_owned();
                return relayed.failed(ResponseError::Truncated(cause));
            }
            Ok(Some(Err(e))) => return relayed.failed(ResponseError::Truncated(e.to_string())),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(chunk) => chunk,
                Err(_) => continue,
            },
        };
        if limits.max_buffered > 0 {
            if relayed.buffered.len() + chunk.len() > limits.max_buffered {
                return relayed.failed(ResponseError::TooLarge(limits.max_buffered));
            }
            relayed.buffered.extend_from_slice(&chunk);
        }
        relayed.events += count_events(&chunk);
        if is_stream_end(&mut line, &chunk) {
            // The terminal event does not count as a token.
            relayed.events = relayed.events.saturating_sub(1);
            relayed.end = StreamEnd::Complete { last: chunk };
            return relayed;
        }
        if tx.send(Chunk::Data(chunk)).await.is_err() {
            return relayed;
        }
    }
}

impl Relayed {
    fn failed(mut self, error: ResponseError) -> Self {
        self.end = StreamEnd::Failed(error);
        self
    }
}

fn count_events(chunk: &[u8]) -> u64 {
    chunk.windows(6).filter(|w| *w == b"data: ").count() as u64
}

/// Whether `chunk` contains the end of the terminal event. `line` holds the start of an incomplete
/// line between calls.
fn is_stream_end(line: &mut BytesMut, chunk: &[u8]) -> bool {
    let mut rest = chunk;
    while let Some(end) = rest.iter().position(|&b| b == b'\n') {
        let done = if line.is_empty() {
            is_terminal(&rest[..end])
        } else {
            line.extend_from_slice(&rest[..end]);
            let done = is_terminal(line);
            line.clear();
            done
        };
        if done {
            return true;
        }
        rest = &rest[end + 1..];
    }
    // A longer line cannot be the terminal event, so only its start is stored.
    let room = (TERMINAL_EVENT.len() + 2).saturating_sub(line.len());
    line.extend_from_slice(&rest[..rest.len().min(room)]);
    false
}

fn is_terminal(line: &[u8]) -> bool {
    line.strip_suffix(b"\r").unwrap_or(line) == TERMINAL_EVENT
}
