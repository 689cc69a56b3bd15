//! Slots of calls at endpoints.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use super::Schedule;
use crate::{
    Load,
    front::{
        endpoints::{ChosenEndpoint, Outcome},
        placement::{EndpointFilter, PlacementRequest},
    },
};

/// A slot at an endpoint; released when dropped.
pub(crate) struct Slot {
    pub(crate) endpoint: ChosenEndpoint,
    pub(super) placement: Arc<PlacementRequest>,
    pub(super) schedule: Arc<Schedule>,
    pub(super) since: Duration,
    /// Whether the call resumes a stream.
    pub(in crate::front) is_resumed: bool,
    pub(in crate::front) is_server_error: bool,
    pub(in crate::front) outcome: Outcome,
}

/// A call that is about to be sent to its chosen endpoint.
pub(crate) struct Claim {
    pub(super) endpoint: ChosenEndpoint,
    pub(super) placement: Arc<PlacementRequest>,
    pub(super) filter: EndpointFilter,
    /// The permission to send may be asked for several times.
    pub(super) is_counted: AtomicBool,
}

impl Slot {
    /// Releases the slot and records the outcome of the call.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Sets whether the endpoint's response is a server error.
    pub(crate) fn set_server_error(&mut self, is_server_error: bool) {
        self.is_server_error = is_server_error;
    }

    /// The claim to send the call under this filter.
    pub(crate) fn claim(&self, filter: &EndpointFilter) -> Claim {
        let (endpoint, placement) = (self.endpoint.clone(), self.placement.clone());
        Claim { endpoint, placement, filter: filter.clone(), is_counted: AtomicBool::new(false) }
    }

    /// Records the load that the endpoint reports.
    pub(crate) fn report(&self, load: Load) {
        let schedule = &self.schedule;
        let now = schedule.clock.now();
        schedule.lock().endpoints.report(&self.endpoint.name, load, now);
    }

    /// Records the limit that the endpoint names in an answer, or that it names none.
    pub(crate) fn note_limit(&self, per_second: Option<f64>) {
        let schedule = &self.schedule;
        let now = schedule.clock.now();
        let name = &self.endpoint.name;
        schedule.lock().endpoints.note_limit(name, per_second, self.since, now);
    }

    /// Records that the endpoint announced its stop.
    pub(crate) fn note_leaving(&self) {
        self.schedule.lock().endpoints.note_leaving(&self.endpoint.name);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.schedule.clone().release(self);
    }
}
