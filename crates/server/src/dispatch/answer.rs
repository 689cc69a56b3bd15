//! Reads answers of endpoints and tells whole ones from truncated ones.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::entry::{Chunk, RelaySender};

/// Last event of a streamed chat answer.
const TERMINAL_EVENT: &[u8] = b"data: [DONE]";

/// Why an answer is not whole.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    #[error("the answer was cut short: {0}")]
    Truncated(String),
    #[error("the answer stopped making progress")]
    Silent,
    #[error("the answer is larger than the limit of {0} bytes")]
    TooLarge(usize),
}

/// Whether the end of the body can be told from a lost connection.
pub(crate) fn has_end(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(http::header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}

/// Reads an answer whole. hyper reports a body that ends before its content length or final chunk.
pub(crate) async fn collect(
    mut body: Incoming,
    max: usize,
    deadline: Instant,
) -> Result<Bytes, AnswerError> {
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| AnswerError::Silent)?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
        let frame = frame.map_err(|e| AnswerError::Truncated(e.to_string()))?;
        if let Ok(chunk) = frame.into_data() {
            if whole.len() + chunk.len() > max {
                return Err(AnswerError::TooLarge(max));
            }
            whole.extend_from_slice(&chunk);
        }
    }
}

/// How a relayed answer ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The terminal event has arrived; it is in `last` and has not been passed on yet.
    Whole { last: Bytes },
    /// The caller has gone; the connection must be closed, which cancels the call at the engine.
    CallerGone,
    /// The endpoint failed in the middle of the answer.
    Failed(AnswerError),
}

/// What was relayed.
#[derive(Debug)]
pub(crate) struct Relayed {
    pub(crate) end: StreamEnd,
    /// Everything that arrived, when it was asked for.
    pub(crate) kept: BytesMut,
    /// Events that arrived, which is the number of tokens as far as anyone can count them.
    pub(crate) events: u64,
}

/// Limits of one relayed answer.
pub(crate) struct RelayLimits {
    /// Longest time between two chunks.
    pub(crate) progress: Duration,
    /// End of the time that the call may take.
    pub(crate) deadline: Instant,
    /// Keep the whole answer, up to this many bytes; 0 keeps nothing.
    pub(crate) keep: usize,
}

/// Relays a streamed answer, all but its terminal event.
pub(crate) async fn relay_stream(
    body: &mut Incoming,
    tx: &RelaySender,
    limits: RelayLimits,
) -> Relayed {
    let mut relayed = Relayed { end: StreamEnd::CallerGone, kept: BytesMut::new(), events: 0 };
    // Bytes since the last line end, since a chunk may split the terminal event.
    let mut line = BytesMut::new();
    loop {
        let progress_until = (Instant::now() + limits.progress).min(limits.deadline);
        let frame = tokio::select! {
            () = tx.closed() => return relayed,
            frame = timeout_at(progress_until, body.frame()) => frame,
        };
        let chunk = match frame {
            Err(_) => return relayed.failed(AnswerError::Silent),
            Ok(None) => {
                let cause = "no terminal event".to_owned();
                return relayed.failed(AnswerError::Truncated(cause));
            }
            Ok(Some(Err(e))) => return relayed.failed(AnswerError::Truncated(e.to_string())),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(chunk) => chunk,
                Err(_) => continue,
            },
        };
        if limits.keep > 0 {
            if relayed.kept.len() + chunk.len() > limits.keep {
                return relayed.failed(AnswerError::TooLarge(limits.keep));
            }
            relayed.kept.extend_from_slice(&chunk);
        }
        relayed.events += count_events(&chunk);
        if ends_stream(&mut line, &chunk) {
            // The terminal event is no token.
            relayed.events = relayed.events.saturating_sub(1);
            relayed.end = StreamEnd::Whole { last: chunk };
            return relayed;
        }
        if tx.send(Chunk::More(chunk)).await.is_err() {
            return relayed;
        }
    }
}

impl Relayed {
    fn failed(mut self, error: AnswerError) -> Self {
        self.end = StreamEnd::Failed(error);
        self
    }
}

fn count_events(chunk: &[u8]) -> u64 {
    chunk.windows(6).filter(|w| *w == b"data: ").count() as u64
}

/// Whether the terminal event has arrived. `line` holds the start of an unfinished line.
fn ends_stream(line: &mut BytesMut, chunk: &[u8]) -> bool {
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
    // A longer line cannot be the terminal event; its start is enough to know that.
    let room = (TERMINAL_EVENT.len() + 2).saturating_sub(line.len());
    line.extend_from_slice(&rest[..rest.len().min(room)]);
    false
}

fn is_terminal(line: &[u8]) -> bool {
    line.strip_suffix(b"\r").unwrap_or(line) == TERMINAL_EVENT
}
