//! Response bodies.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

use super::memory::MemoryReservation;

/// Terminates a response that cannot be completed. The connection is closed, so that the caller
/// does not mistake the partial body for a complete one.
#[derive(Debug, thiserror::Error)]
#[error("response truncated: {0}")]
pub(crate) struct TruncatedBody(pub(crate) &'static str);

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, TruncatedBody>;

/// A body that is completely in memory.
pub(crate) fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is completely in memory, with its memory reservation.
pub(crate) fn reserved(bytes: Bytes, reservation: MemoryReservation) -> ResponseBody {
    ReservedBody { full: Full::new(bytes), _reservation: reservation }.boxed_unsync()
}

struct ReservedBody {
    full: Full<Bytes>,
    _reservation: MemoryReservation,
}

impl Body for ReservedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let frame = Pin::new(&mut self.full).poll_frame(cx);
        frame.map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.full.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.full.size_hint()
    }
}

/// A body that arrives in chunks.
pub(crate) fn streamed(
    stream: impl Stream<Item = Result<Bytes, TruncatedBody>> + Send + 'static,
) -> ResponseBody {
    use futures::StreamExt;
    StreamBody::new(stream.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}
