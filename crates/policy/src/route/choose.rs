//! Interface of choosers, and the baselines.

use rand::{Rng, RngCore};

use super::{EndpointId, Fleet, PrefixIndex};

/// Properties of a call that a chooser uses.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Group of endpoints that serve the call: a model or a service.
    pub group: &'a str,
    /// Hashes of the blocks of the prompt, see [`PrefixChain`](super::PrefixChain); empty for plain
    /// services.
    pub blocks: &'a [u64],
    /// Tokens per block.
    pub block_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Endpoint that ran the previous call of the program.
    pub last_endpoint: Option<EndpointId>,
    /// Hash of what the call belongs to, for example its program. Of several endpoints of nearly
    /// the lowest cost, all instances choose the same one for the same hash.
    pub affinity: Option<u64>,
    /// Endpoints that must not run the call, for example because they failed it before.
    pub excluded: &'a [EndpointId],
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Estimated cost in seconds; zero from the baselines.
    pub cost_s: f64,
    /// Estimated number of cached leading blocks; zero from the baselines.
    pub cached_blocks: u32,
}

/// Error of [`Chooser::choose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// No endpoint of the group may receive new calls.
    #[error("no endpoint is available")]
    NoneAvailable,
    /// All available endpoints are full; the call has to wait.
    #[error("all endpoints are full")]
    Full,
}

/// Endpoint selection policy.
pub trait Chooser: Send {
    /// Chooses an endpoint for a call.
    ///
    /// # Errors
    ///
    /// Returns whether no endpoint may receive the call, or all that may are full.
    fn choose(
        &mut self,
        fleet: &Fleet,
        prefixes: &PrefixIndex,
        req: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoRoute>;
}

/// Returns the error for a call without an eligible endpoint.
pub(super) fn no_route(fleet: &Fleet, req: &RouteRequest<'_>) -> NoRoute {
    let available = |id: &EndpointId| fleet.is_available(*id) && !req.excluded.contains(id);
    match fleet.members(req.group) {
        Some(members) if members.iter().any(available) => NoRoute::Full,
        _ => NoRoute::NoneAvailable,
    }
}

/// Returns whether the baselines may choose an endpoint. They respect exclusions and caps but not
/// load.
fn is_eligible(fleet: &Fleet, req: &RouteRequest<'_>, id: EndpointId) -> bool {
    let state = &fleet.routing_states()[id.0 as usize];
    state.available && state.own_in_flight < state.own_cap && !req.excluded.contains(&id)
}

/// Round robin; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Chooser for RoundRobin {
    fn choose(
        &mut self,
        fleet: &Fleet,
        _prefixes: &PrefixIndex,
        req: &RouteRequest<'_>,
        _rng: &mut dyn RngCore,
    ) -> Result<Choice, NoRoute> {
        let members = fleet.members(req.group).unwrap_or(&[]);
        for _ in 0..members.len() {
            let endpoint = members[self.next % members.len()];
            self.next = self.next.wrapping_add(1);
            if is_eligible(fleet, req, endpoint) {
                return Ok(Choice { endpoint, cost_s: 0.0, cached_blocks: 0 });
            }
        }
        Err(no_route(fleet, req))
    }
}

/// The endpoint with the fewest calls of this instance in flight; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastConnections;

impl Chooser for LeastConnections {
    fn choose(
        &mut self,
        fleet: &Fleet,
        _prefixes: &PrefixIndex,
        req: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoRoute> {
        let members = fleet.members(req.group).unwrap_or(&[]);
        let mut best: Option<(u32, EndpointId)> = None;
        let mut equal = 0;
        for &id in members.iter().filter(|id| is_eligible(fleet, req, **id)) {
            let own = fleet.own_in_flight(id);
            match best {
                Some((least, _)) if own > least => continue,
                Some((least, _)) if own == least => equal += 1,
                _ => equal = 1,
            }
            if rng.random_range(0..equal) == 0 {
                best = Some((own, id));
            }
        }
        match best {
            Some((_, endpoint)) => Ok(Choice { endpoint, cost_s: 0.0, cached_blocks: 0 }),
            None => Err(no_route(fleet, req)),
        }
    }
}
