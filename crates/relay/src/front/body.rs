//! Bodies of answers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

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

/// A body that arrives in pieces.
pub(crate) fn pieces(
    stream: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static,
) -> AnswerBody {
    use futures::StreamExt;
    StreamBody::new(stream.map(|piece| piece.map(Frame::data))).boxed_unsync()
}
