//! The interface of choosers, and the baselines.

use rand::{Rng, RngCore};

use super::{EndpointId, Fleet, PrefixIndex};

/// What a chooser knows of a call.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Group that must serve it: a model or a service.
    pub group: &'a str,
    /// Hash chain over the blocks of the prompt; empty for plain services.
    pub blocks: &'a [u64],
    /// Tokens per block.
    pub block_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Endpoint that ran the program's last call.
    pub last_endpoint: Option<EndpointId>,
    /// Endpoints that must not run it, for example because they failed it.
    pub excluded: &'a [EndpointId],
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Estimated cost in seconds; zero from the baselines.
    pub cost_s: f64,
    /// Blocks estimated to be cached there; zero from the baselines.
    pub cached_blocks: u32,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// No endpoint serves the group, or none of them may receive new calls.
    #[error("no endpoint in service")]
    NoneAvailable,
    /// Endpoints are in service, but all are full; the call waits.
    #[error("all endpoints are full")]
    Full,
}

/// Chooses endpoints.
pub trait Chooser: Send {
    /// Returns an endpoint for a call.
    ///
    /// # Errors
    ///
    /// Says whether no endpoint may receive the call at all, or whether all that may are full.
    fn choose(
        &mut self,
        fleet: &Fleet,
        prefixes: &PrefixIndex,
        req: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoRoute>;
}

/// Outcome of a scan that found nothing: whether any member was open at all.
pub(super) fn no_route(fleet: &Fleet, req: &RouteRequest<'_>) -> NoRoute {
    let available = |id: &EndpointId| fleet.is_available(*id) && !req.excluded.contains(id);
    match fleet.members(req.group) {
        Some(members) if members.iter().any(available) => NoRoute::Full,
        _ => NoRoute::NoneAvailable,
    }
}

/// Whether the baselines may choose an endpoint: they respect exclusions and caps, not load.
fn is_eligible(fleet: &Fleet, req: &RouteRequest<'_>, id: EndpointId) -> bool {
    let state = &fleet.routing_states()[id.0 as usize];
    state.available && state.own_in_flight < state.own_cap && !req.excluded.contains(&id)
}

/// Baseline: each endpoint in turn.
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

/// Baseline: the endpoint with the fewest calls of this instance in flight.
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
