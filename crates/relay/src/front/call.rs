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
    programs::history::{History, PART_BYTES},
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

/// Body of a call: the history of its conversation and its own input.
pub(crate) struct CallBody {
    /// Empty if the input contains it.
    history: History,
    input: Bytes,
}

impl From<Bytes> for CallBody {
    fn from(input: Bytes) -> Self {
        Self { history: History::default(), input }
    }
}

impl CallBody {
    pub(crate) fn new(history: History, input: Bytes) -> Self {
        if history.is_empty() {
            return input.into();
        }
        let Some(held) = history.as_held() else { return Self { history, input } };
        let mut combined = BytesMut::with_capacity(held.len() + input.len());
        combined.put_slice(held);
        combined.put(input);
        combined.freeze().into()
    }

    /// Bytes in memory while the call is sent.
    pub(crate) fn memory(&self) -> usize {
        let parts = if self.history.is_empty() { 0 } else { 2 * PART_BYTES };
        parts + self.input.len()
    }

    /// The body of a request to an endpoint. What is not in memory is read until `deadline`.
    pub(crate) fn to_request(&self, deadline: Instant) -> RequestBody {
        if self.history.is_empty() {
            return Full::new(self.input.clone()).into();
        }
        let input = stream::iter([Ok(self.input.clone())]);
        RequestBody::Streamed {
            parts: self.history.parts(deadline).chain(input).boxed(),
            left: self.history.len() + self.input.len() as u64,
        }
    }
}

impl Call {
    /// Digest that identifies the request across fronts and request ids.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.team.as_deref().unwrap_or("");
            let mut place = format!("{team}\n{} {} {}", self.method, self.head.host, self.uri);
            let CallBody { history, input } = &self.body;
            if let Some(checksum) = history.checksum() {
                // Whether a history is held depends only on its length, so the digest is the same
                // at all fronts.
                place.push_str(&format!("\n{} {checksum:08x}", history.len()));
            }
            Fingerprint::new(&place, input)
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
