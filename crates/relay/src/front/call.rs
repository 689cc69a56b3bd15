//! A call that a front has admitted.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use futures::{StreamExt, stream};
use http::{HeaderMap, Method, Uri};
use http_body_util::Full;
use poplarspan_node::RequestBody;
use poplarspan_policy::{Name, containment::Fingerprint};
use tokio::time::Instant;

use super::{
    memory::MemoryReservation,
    placement::PlacementRequest,
    programs::history::{History, StoredHistory, Transfer},
};
use crate::{CallHead, Route};

/// A call that was admitted.
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: CallBody,
    pub(crate) route: Route,
    pub(crate) team: Option<Name>,
    pub(crate) placement: Arc<PlacementRequest>,
    pub(crate) urgency: Option<u8>,
    /// When the caller must have a response.
    pub(crate) deadline: Instant,
    /// Memory reserved for the body.
    pub(crate) _memory: MemoryReservation,
    /// Computed on first use.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

/// Body of a call.
pub(crate) struct CallBody {
    /// History of the conversation that is sent before the input.
    history: Option<Arc<StoredHistory>>,
    /// Input of the call; with its history, if that is short.
    input: Bytes,
}

impl From<Bytes> for CallBody {
    fn from(input: Bytes) -> Self {
        Self { history: None, input }
    }
}

impl CallBody {
    pub(crate) fn new(history: History, input: Bytes) -> Self {
        match history {
            History::Held(history) if history.is_empty() => input.into(),
            History::Held(history) => {
                let mut combined = BytesMut::with_capacity(history.len() + input.len());
                combined.put(history);
                combined.put(input);
                combined.freeze().into()
            }
            History::Stored(history) => Self { history: Some(history), input },
        }
    }

    /// Bytes in memory while the call waits. The few that are being sent hold a part more each.
    pub(crate) fn memory(&self) -> usize {
        self.input.len()
    }

    /// The history that is read while it is sent, if there is one.
    pub(crate) fn stored_history(&self) -> Option<&Arc<StoredHistory>> {
        self.history.as_ref()
    }

    /// The body of a request to an endpoint. A stored history is read until `deadline`; `transfer`
    /// ends with it.
    pub(crate) fn to_request(&self, deadline: Instant, transfer: Option<Transfer>) -> RequestBody {
        let Some(history) = &self.history else { return Full::new(self.input.clone()).into() };
        let input = stream::iter([Ok(self.input.clone())]);
        let parts = History::Stored(history.clone()).parts(deadline).map(move |part| {
            let _ = &transfer;
            part
        });
        RequestBody::Streamed {
            parts: parts.chain(input).boxed(),
            left: history.digest().0 + self.input.len() as u64,
        }
    }
}

impl Call {
    /// Digest that identifies the request across fronts and request ids.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.team.as_deref().unwrap_or("");
            let mut place = format!("{team}\n{} {} {}", self.method, self.head.host, self.uri);
            if let Some(history) = &self.body.history {
                // Whether a history is held depends only on its length, so the digest is the same
                // at all fronts.
                let (len, checksum) = history.digest();
                place.push_str(&format!("\n{len} {checksum:08x}"));
            }
            Fingerprint::new(&place, &self.body.input)
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
