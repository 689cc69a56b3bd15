//! What a front needs to know of a call to choose its endpoint.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::{Name, version_split::SplitCall};

use crate::PromptPart;

/// The properties of a call that determine its scheduling.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) service: Name,
    pub(crate) route: Name,
    /// Program, else conversation, else request. Decides which software version runs the call
    /// during a rollout.
    pub(crate) split_key: Name,
    /// Empty on open routes.
    pub(crate) team: Name,
    pub(crate) program: Option<Name>,
    /// Conversation that the call continues.
    pub(crate) conversation: Option<Name>,
    /// Hash of the program, or of the key of the object that the call is about.
    pub(crate) affinity: Option<u64>,
    /// Parts of the prompt, in order.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Block ids of the whole prompt.
    pub(crate) blocks: Arc<[u64]>,
    pub(crate) prompt_tokens: u32,
    /// Whether another endpoint may run the call if the first one loses it.
    pub(crate) may_repeat: bool,
    /// Estimated service cost in tokens.
    pub(crate) cost: u64,
    /// When the caller stops waiting, by the front's clock.
    pub(crate) deadline: Duration,
}

/// Restricts the endpoints that a call may be sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointFilter {
    /// Endpoints that have been tried.
    pub(crate) tried: Vec<Name>,
    /// The only software version that may run the call, if it resumes a stream.
    pub(crate) software: Option<Name>,
    /// Whether an endpoint that may have run the call has not answered it.
    pub(crate) has_failed: bool,
}

impl PlacementRequest {
    /// What decides which software versions may run the call.
    pub(crate) fn split_call<'a>(&'a self, filter: &'a EndpointFilter) -> SplitCall<'a> {
        SplitCall {
            service: &self.service,
            key: &self.split_key,
            software: filter.software.as_ref(),
            has_failed: filter.has_failed,
        }
    }
}

impl EndpointFilter {
    /// Whether an endpoint of this software version may run the call.
    pub(crate) fn fits(&self, software: Option<&Name>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }
}
