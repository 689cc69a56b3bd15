//! Bodies of requests and responses.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use super::refusal::{Code, Refusal};

/// Body of a response: complete in memory, or relayed as it arrives.
pub(crate) type ResponseBody = Either<Full<Bytes>, RelayBody>;

/// Chunks that are queued for a slow caller before reading from the endpoint pauses.
const RELAY_QUEUE: usize = 16;

/// The response is incomplete. The connection to the caller is closed without the final chunk, so
/// that the caller detects the truncation.
#[derive(Debug, thiserror::Error)]
#[error("the response of the endpoint was truncated")]
pub(crate) struct Truncated;

/// The receiving half of a relayed response.
pub(crate) struct RelayBody {
    rx: mpsc::Receiver<Chunk>,
    complete: bool,
}

/// A chunk of a relayed response.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// A chunk that is followed by others.
    Data(Bytes),
    /// The chunk that completes the response.
    Final(Bytes),
}

/// The sending half of a relayed response.
pub(crate) type RelaySender = mpsc::Sender<Chunk>;

/// Creates a relayed body and its sender.
pub(crate) fn relay() -> (RelaySender, ResponseBody) {
    let (tx, rx) = mpsc::channel(RELAY_QUEUE);
    (tx, Either::Right(RelayBody { rx, complete: false }))
}

/// Creates a body from complete data.
pub(crate) fn full(buf: impl Into<Bytes>) -> ResponseBody {
    Either::Left(Full::new(buf.into()))
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if self.complete {
            return Poll::Ready(None);
        }
        // A sender that is dropped without the final chunk has truncated the response.
        match std::task::ready!(self.rx.poll_recv(cx)) {
            Some(Chunk::Data(chunk)) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Some(Chunk::Final(chunk)) => {
                self.complete = true;
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            None => Poll::Ready(Some(Err(Truncated))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails if the body is longer than `max` bytes or does not arrive within `timeout`.
pub(crate) async fn read(
    mut body: Incoming,
    max: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        Refusal::not_run(
            Code::TooLarge,
            format!("the body is larger than the limit of {max} bytes"),
        )
    };
    if body.size_hint().lower() > max as u64 {
        return Err(too_large());
    }
    let collect = async {
        let mut buffer = BytesMut::new();
        let mut first: Option<Bytes> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| {
                Refusal::not_run(Code::BadRequest, format!("the body cannot be read: {e}"))
            })?;
            let Ok(chunk) = frame.into_data() else { continue };
            if first.as_ref().map_or(buffer.len(), Bytes::len) + chunk.len() > max {
                return Err(too_large());
            }
            match first.take() {
                // Most bodies arrive in one chunk, which is returned without a copy.
                None if buffer.is_empty() => first = Some(chunk),
                None => buffer.extend_from_slice(&chunk),
                Some(start) => {
                    buffer.extend_from_slice(&start);
                    buffer.extend_from_slice(&chunk);
                }
            }
        }
        Ok(first.unwrap_or_else(|| buffer.freeze()))
    };
    tokio::time::timeout(timeout, collect).await.unwrap_or_else(|_| {
        Err(Refusal::not_run(Code::BadRequest, "the body did not arrive in time"))
    })
}
