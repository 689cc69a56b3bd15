//! Bodies of requests to endpoints.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures::{Stream, stream::BoxStream};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// The body of a request.
pub enum RequestBody {
    /// The whole body in memory.
    Full(Full<Bytes>),
    /// A body that is produced while it is sent. If it ends before its length or fails, the
    /// connection is closed.
    Streamed {
        /// Produces the body.
        parts: BoxStream<'static, io::Result<Bytes>>,
        /// Bytes that have not been sent yet.
        left: u64,
    },
}

impl From<Full<Bytes>> for RequestBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Full(body)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed { parts, left } => {
                let part = ready!(Pin::new(parts).poll_next(cx));
                if let Some(Ok(part)) = &part {
                    *left = left.saturating_sub(part.len() as u64);
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Streamed { left, .. } => *left == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Streamed { left, .. } => SizeHint::with_exact(*left),
        }
    }
}
