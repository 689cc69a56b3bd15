//! Bodies of answers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};

use super::memory::Held;

/// Ends an answer that cannot be completed: the connection is closed, so that the caller does not
/// take what has arrived for the whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut short: {0}")]
pub(crate) struct Cut(pub(crate) &'static str);

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Cut>;

/// A body that is there as a whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is there as a whole, with the memory that is held for it.
pub(crate) fn held(bytes: Bytes, held: Held) -> AnswerBody {
    HeldBody { whole: Full::new(bytes), _held: held }.boxed_unsync()
}

struct HeldBody {
    whole: Full<Bytes>,
    _held: Held,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let frame = Pin::new(&mut self.whole).poll_frame(cx);
        frame.map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.whole.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.whole.size_hint()
    }
}

/// A body that arrives in pieces.
pub(crate) fn pieces(
    stream: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static,
) -> AnswerBody {
    use futures::StreamExt;
    StreamBody::new(stream.map(|piece| piece.map(Frame::data))).boxed_unsync()
}
