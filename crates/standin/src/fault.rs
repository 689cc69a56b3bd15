//! Fault injection on request.

use std::{
    future::{pending, ready},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt, TryStreamExt, stream};
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};

use crate::server::ResponseBody;

/// Header that selects a fault.
const FAULT_HEADER: &str = "x-standin-fault";
/// A request body that contains this text crashes the endpoint.
const CRASH_TEXT: &[u8] = b"crash-me";
/// Frames of a streamed response that are sent before it hangs or ends.
const FRAMES_BEFORE_CUT: usize = 2;

/// A fault to inject into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// All connections close without a response, and new ones are refused until the next run.
    Crash,
    /// No response is ever sent.
    Hang,
    /// All open connections stop responding; new ones work.
    Stall,
    /// The head and the first part of the body are sent, then nothing.
    Silent,
    /// The response carries the id of another request.
    Crossed,
    /// The body ends early.
    Truncate,
    /// The status is 500.
    Error,
    /// The response is sent after a further delay.
    Late(Duration),
}

impl Fault {
    /// Returns the fault that the header or the body of a request selects. Fails with a message for
    /// the caller if the header names an unknown fault.
    pub(crate) fn requested(headers: &HeaderMap, body: &[u8]) -> Result<Option<Self>, String> {
        if body.windows(CRASH_TEXT.len()).any(|w| w == CRASH_TEXT) {
            return Ok(Some(Self::Crash));
        }
        let Some(value) = headers.get(FAULT_HEADER) else { return Ok(None) };
        let value = value.to_str().unwrap_or_default();
        let fault = match value {
            "crash" => Self::Crash,
            "hang" => Self::Hang,
            "stall" => Self::Stall,
            "silent" => Self::Silent,
            "crossed" => Self::Crossed,
            "truncate" => Self::Truncate,
            "error" => Self::Error,
            _ => match value.strip_prefix("late:").and_then(|ms| ms.parse().ok()) {
                Some(ms) => Self::Late(Duration::from_millis(ms)),
                None => return Err(format!("unknown fault {value:?}")),
            },
        };
        Ok(Some(fault))
    }
}

/// What follows the first part of a cut body: no more data, or the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyCut {
    Hang,
    End,
}

/// Cuts the body of a response.
///
/// A body of known length is cut in half and keeps its `Content-Length`. A streamed body ends with
/// a valid final chunk, so that only the missing `[DONE]` event shows the truncation. With
/// [`BodyCut::Hang`], the call behind a streamed response continues, so that a release order can
/// still end it.
pub(crate) async fn cut_body(
    response: Response<ResponseBody>,
    cut: BodyCut,
) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    let first = match body.size_hint().exact() {
        Some(length) => {
            head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
            let whole = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            let half = whole.slice(..whole.len() / 2);
            stream::iter([Ok::<Bytes, std::io::Error>(half)]).boxed()
        }
        None if cut == BodyCut::Hang => {
            let frames = body.into_data_stream().enumerate();
            let forward = |n: usize, frame: &Result<_, _>| n < FRAMES_BEFORE_CUT || frame.is_err();
            frames.filter_map(move |(n, f)| ready(forward(n, &f).then_some(f))).boxed()
        }
        None => body.into_data_stream().take(FRAMES_BEFORE_CUT).boxed(),
    };
    let first = first.map_ok(Frame::data);
    let body = match cut {
        BodyCut::Hang => StreamBody::new(first.chain(stream::once(pending()))).boxed_unsync(),
        BodyCut::End => StreamBody::new(first.chain(delayed_end())).boxed_unsync(),
    };
    Response::from_parts(head, body)
}

/// Returns an empty stream that ends only after yielding once. When a body ends short of its
/// length, hyper drops what it has not written, so the first part must be written before the end.
fn delayed_end() -> impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send {
    stream::once(tokio::task::yield_now()).filter_map(|()| ready(None))
}
