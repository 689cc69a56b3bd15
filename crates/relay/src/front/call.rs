//! A call that a front has admitted.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use poplarspan_policy::{Name, containment::Fingerprint};
use tokio::time::Instant;

use super::{memory::MemoryReservation, placement::PlacementRequest};
use crate::{CallHead, Route};

/// A call that was admitted.
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
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

impl Call {
    /// Digest that identifies the request across fronts and request ids.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let team = self.team.as_deref().unwrap_or("");
            let place = format!("{team}\n{} {} {}", self.method, self.head.host, self.uri);
            Fingerprint::new(&place, &self.body)
        })
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
