//! Scheduling of calls and their assignment to endpoints.
//!
//! The state is local to this instance and is not persisted. After a restart, endpoints count as
//! cold and their caches as empty until they have reported.

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

/// The endpoints that can serve a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Engines that serve the model.
    Model(Name),
    /// Endpoints of the service.
    Service(Name),
}

impl Target {
    /// Returns the name of the endpoint group. Models and services have separate namespaces.
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

/// Properties of a call that the scheduler uses.
#[derive(Clone, Debug)]
pub(crate) struct CallSpec {
    pub(crate) group: Name,
    /// None on open routes.
    pub(crate) team: Option<Name>,
    /// Weight of the team.
    pub(crate) weight: u32,
    /// Path of the call's program, if any.
    pub(crate) program: Option<Name>,
    /// Hash chain over the blocks of the prompt; empty for calls to services.
    pub(crate) blocks: Arc<[u64]>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    /// Maximum number of queued calls of the team.
    pub(crate) max_queue: u32,
    pub(crate) deadline: Instant,
}

impl CallSpec {
    /// Returns the estimated cost in tokens. Calls to services have a fixed small cost.
    pub(crate) fn cost(&self) -> u64 {
        const SERVICE_COST: u64 = 64;
        match self.prompt_tokens + self.max_output_tokens {
            0 => SERVICE_COST,
            tokens => tokens,
        }
    }
}

/// Outcome of a dispatched call, used to track the health of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchOutcome {
    /// A complete response has arrived.
    Answered {
        /// Time from the dispatch to the head of the response.
        first_byte: Duration,
        /// Tokens of prompt and output, if known.
        tokens: Option<u64>,
    },
    /// The caller has disconnected, or the call was not sent.
    Abandoned,
    /// The endpoint refused the call because it is full or cold.
    Refused,
    /// The connection failed or the response was incomplete.
    Failed,
}

/// Name and address of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRef {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// Endpoint and priority that a call is dispatched with.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) endpoint: EndpointRef,
    /// Priority in the queue of the engine, lowest first. `None` for services.
    pub(crate) priority: Option<i64>,
}

/// Receives the slots that calls have released.
pub(crate) trait Release: Send + Sync {
    /// Releases a slot. Called exactly once per slot.
    fn release(&self, slot: &SlotEnd<'_>);
}

/// A slot at its release.
pub(crate) struct SlotEnd<'a> {
    pub(crate) endpoint: &'a EndpointRef,
    pub(crate) spec: &'a CallSpec,
    pub(crate) outcome: DispatchOutcome,
    pub(crate) held: Duration,
}

/// A slot for one call at an endpoint. Released on drop; the outcome is `Abandoned` unless
/// [`Slot::finish`] is called.
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

    /// Releases the slot with the outcome of the call.
    pub(crate) fn finish(mut self, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }

    /// Returns the time since the slot was assigned.
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

/// Assigns calls to slots at endpoints.
pub(crate) trait Scheduler: Send + Sync {
    /// Waits for a slot at an endpoint that is not in `tried`.
    ///
    /// Returns the refusal to send to the caller if no slot can be assigned in time.
    fn acquire<'a>(
        &'a self,
        spec: &'a Arc<CallSpec>,
        tried: &'a [Name],
    ) -> BoxFuture<'a, Result<Slot, Refusal>>;
}
