//! Faults that a request asks for.

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

/// Header that asks for a fault.
const FAULT_HEADER: &str = "x-standin-fault";
/// A body with this text crashes the stand-in.
const CRASH_TEXT: &[u8] = b"crash-me";
/// Frames of a streamed answer that arrive before it falls silent or ends.
const FRAMES_BEFORE_CUT: usize = 2;

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// All connections close without an answer, and new ones are refused for a while.
    Crash,
    /// There is never an answer.
    Hang,
    /// All open connections stop responding; new ones work.
    Stall,
    /// Head and first part of the body arrive, then nothing.
    Silent,
    /// The answer carries another request id.
    Crossed,
    /// The body ends early.
    Truncate,
    /// The status is 500.
    Error,
    /// The answer arrives after a further delay.
    Late(Duration),
}

impl Fault {
    /// Reads what the head and body of a request ask for.
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

/// What follows the first part of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyCut {
    Hang,
    End,
}

/// Cuts the body of an answer. A body of known length keeps its `Content-Length`; a streamed one
/// ends like a whole one, so that only the missing terminal frame gives it away. Behind a silent
/// answer the call goes on, and an order can release it.
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

/// Ends a body one step later. The server drops what it has not written when a body ends short of
/// its length, so the first part must be written before.
fn delayed_end() -> impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send {
    stream::once(tokio::task::yield_now()).filter_map(|()| ready(None))
}
