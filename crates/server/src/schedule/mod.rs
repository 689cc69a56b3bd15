//! Decides which call goes next, and to which endpoint.
//!
//! Owned by this instance and rebuilt after a restart: until then endpoints count as cold and their
//! caches as empty.

mod endpoints;
mod fair;
mod loads;
mod queues;

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use poplarspan_objects::Name;
use tokio::time::{Duration, Instant};

use crate::entry::Refusal;

pub(crate) use endpoints::BLOCK_TOKENS;
pub(crate) use fair::{FairScheduler, serving_endpoints};
pub(crate) use loads::{LoadPoller, RunProbe};

/// Which endpoints may serve a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Engines that have the model.
    Model(Name),
    /// Endpoints of the service.
    Service(Name),
}

impl Target {
    /// Name of the group of endpoints. Models and services have separate names.
    pub(crate) fn group(&self) -> Name {
        match self {
            Self::Model(name) => model_group(name),
            Self::Service(name) => service_group(name),
        }
    }
}

pub(crate) fn model_group(model: &str) -> Name {
    format!("model/{model}").into()
}

/// Whether the endpoints of the group are engines.
fn is_model_group(group: &str) -> bool {
    group.starts_with("model/")
}

pub(crate) fn service_group(service: &str) -> Name {
    format!("service/{service}").into()
}

/// What the scheduler needs to know of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) group: Name,
    /// None on open routes.
    pub(crate) team: Option<Name>,
    /// Weight of the team.
    pub(crate) weight: u32,
    /// Path of the program, if the call belongs to one.
    pub(crate) program: Option<Name>,
    /// Hash chain over the blocks of the prompt; empty for plain services.
    pub(crate) blocks: Arc<[u64]>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    /// Calls of the team that may wait.
    pub(crate) max_queue: u32,
    pub(crate) deadline: Instant,
}

impl CallSpec {
    /// Estimated service, in tokens. A call to a plain service counts as a short answer.
    pub(crate) fn cost(&self) -> u64 {
        const SERVICE_COST: u64 = 64;
        match self.prompt_tokens + self.max_output_tokens {
            0 => SERVICE_COST,
            tokens => tokens,
        }
    }
}

/// How a dispatched call ended, as far as the endpoint's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchOutcome {
    /// A whole answer arrived; `tokens` is what it has cost, if known.
    Answered {
        /// Time from the dispatch to the head of the answer.
        first_byte: Duration,
        /// Prompt and answer, in tokens.
        tokens: Option<u64>,
    },
    /// The caller went away, or the call was not sent.
    Abandoned,
    /// The endpoint refused because it is full or cold.
    Refused,
    /// The connection failed or the answer was not whole.
    Failed,
}

/// An endpoint that was chosen for a call.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRef {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// Where and how a call is to be dispatched.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) endpoint: EndpointRef,
    /// Order among the calls that wait at an engine, lowest first; none for plain services.
    pub(crate) priority: Option<i64>,
}

/// Takes back the place of a call at an endpoint.
pub(crate) trait Release: Send + Sync {
    /// Called exactly once for each slot.
    fn release(&self, slot: &SlotEnd<'_>);
}

/// What is known of a slot when it ends.
pub(crate) struct SlotEnd<'a> {
    pub(crate) endpoint: &'a EndpointRef,
    pub(crate) spec: &'a CallSpec,
    pub(crate) outcome: DispatchOutcome,
    pub(crate) held: Duration,
}

/// A place at an endpoint. Dropping it gives the place back.
pub(crate) struct Slot {
    pub(crate) endpoint: EndpointRef,
    pub(crate) priority: Option<i64>,
    spec: Arc<CallSpec>,
    release: Arc<dyn Release>,
    outcome: DispatchOutcome,
    since: Instant,
}

impl Slot {
    pub(crate) fn new(
        assignment: Assignment,
        spec: Arc<CallSpec>,
        release: Arc<dyn Release>,
    ) -> Self {
        let outcome = DispatchOutcome::Abandoned;
        let Assignment { endpoint, priority } = assignment;
        Self { endpoint, priority, spec, release, outcome, since: Instant::now() }
    }

    /// Ends the call.
    pub(crate) fn finish(mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }

    /// Time since the place was taken.
    pub(crate) fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release.release(&SlotEnd {
            endpoint: &self.endpoint,
            spec: &self.spec,
            outcome: self.outcome,
            held: self.since.elapsed(),
        });
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
