//! Decides which call goes next, and to which endpoint.

mod local;

use std::sync::Arc;

use futures::future::BoxFuture;
use poplarspan_objects::{Endpoint, Name};
use tokio::time::Instant;

use crate::entry::Refusal;

pub(crate) use local::LocalScheduler;

/// Which endpoints may serve a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Engines that have the model.
    Model(Name),
    /// Endpoints of the service.
    Service(Name),
}

impl Target {
    pub(crate) fn name(&self) -> &Name {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// What the scheduler needs to know of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) target: Target,
    /// None on open routes.
    pub(crate) team: Option<Name>,
    /// Root program, or a name of its own for a call without a program.
    pub(crate) program: Option<Name>,
    /// Hashes of the prompt's prefixes, from the shortest to the whole.
    pub(crate) prefixes: Arc<[u64]>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) max_queue: u32,
    pub(crate) deadline: Instant,
}

/// How a dispatched call ended, as far as the endpoint's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchOutcome {
    /// A whole answer arrived.
    Answered,
    /// The caller went away or the call was given up for another reason.
    Abandoned,
    /// The endpoint refused because it is full or cold.
    Refused,
    /// The connection failed or the answer was not whole.
    Failed,
}

/// Takes back the place of a call at an endpoint.
pub(crate) trait Release: Send + Sync {
    /// Called exactly once for each slot.
    fn release(&self, endpoint: &Name, spec: &CallSpec, outcome: DispatchOutcome);
}

/// A place at an endpoint. Dropping it gives the place back.
pub(crate) struct Slot {
    pub(crate) endpoint: Endpoint,
    spec: Arc<CallSpec>,
    release: Arc<dyn Release>,
    outcome: DispatchOutcome,
}

impl Slot {
    pub(crate) fn new(endpoint: Endpoint, spec: Arc<CallSpec>, release: Arc<dyn Release>) -> Self {
        Self { endpoint, spec, release, outcome: DispatchOutcome::Abandoned }
    }

    /// Sets how the call ended.
    pub(crate) fn finish(mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release.release(&self.endpoint.name, &self.spec, self.outcome);
    }
}

/// Waits for a place at a suitable endpoint.
pub(crate) trait Scheduler: Send + Sync {
    /// Returns a place at an endpoint that is not in `tried`.
    ///
    /// Fails with the final answer for the caller when the call cannot be placed in time.
    fn acquire<'a>(
        &'a self,
        spec: &'a Arc<CallSpec>,
        tried: &'a [Name],
    ) -> BoxFuture<'a, Result<Slot, Refusal>>;
}
