//! Endpoint selection by estimated wait and uncached prefill.

use rand::{Rng, RngCore};

use super::choose::no_route;
use super::fleet::RoutingState;
use super::{CachedDepths, Choice, Chooser, EndpointId, Fleet, NoRoute, PrefixIndex, RouteRequest};

/// Parameters of a [`CostChooser`].
///
/// The defaults come from `examples/compare.rs` (deployment A, 85% load, 200 s, seed 1). With them
/// 6% of the tokens are prefilled a second time; in trials it was 17% with a `prefill_weight` of 4
/// and a `max_load_factor` of 1.25, and 214% with 8 and 1. While one team sends five times its
/// programs, the worst-served other team keeps 92.5% of its service; in a trial with a
/// `max_load_factor` of 1.5 and no `max_group_load_factor` it was 83%.
#[derive(Clone, Copy, Debug)]
pub struct CostConfig {
    /// Additional cost of an endpoint in another zone, in seconds.
    pub cross_zone_s: f32,
    /// Weight of the prefill time. Above one, because prefill also delays the other calls at the
    /// endpoint, which is not part of the latency of the call itself.
    pub prefill_weight: f32,
    /// Slowdown of a call at a fully occupied endpoint, as a fraction of the service time.
    pub occupancy_slowdown: f32,
    /// An endpoint takes calls up to this multiple of its capacity. Above one, so that a program
    /// can stay at a full endpoint that has cached its history.
    pub max_load_factor: f32,
    /// A group takes calls up to this multiple of its capacity. Further calls wait in the fair
    /// queue and not at the endpoints, which do not distinguish teams.
    pub max_group_load_factor: f32,
    /// Costs within this many seconds of the lowest one count as equal.
    pub tie_s: f32,
    /// Costs within this fraction of the lowest one count as equal.
    pub tie_fraction: f32,
    /// Minimum gain for which a program leaves its endpoint, in seconds.
    pub stay_gain_s: f32,
    /// Minimum gain for which a program leaves its endpoint, as a fraction of the lowest cost.
    pub stay_gain_fraction: f32,
    /// Additional cost of an endpoint without an idle connection, in seconds.
    pub connect_s: f32,
    /// If set, calls with a prompt and an affinity go to the endpoint that rendezvous hashing gives
    /// for the affinity, whatever its cost, unless it has more calls than its capacity and than this
    /// multiple of the group's mean. Otherwise the affinity only decides between endpoints of nearly
    /// equal cost.
    ///
    /// For fleets in which the calls of a program arrive at many instances that know little of the
    /// load and of each other's calls: their estimates differ, so that each would choose another
    /// endpoint, and every move has the whole history of the program prefilled again.
    ///
    /// An endpoint gets affinities in proportion to the inverse of its slowness
    /// ([`Fleet::set_slowness`]), which therefore must be equal at all instances.
    pub affinity_load_bound: Option<f32>,
}

impl Default for CostConfig {
    fn default() -> Self {
        Self {
            cross_zone_s: 0.006,
            prefill_weight: 8.0,
            occupancy_slowdown: 0.5,
            max_load_factor: 2.0,
            max_group_load_factor: 1.0,
            tie_s: 0.01,
            tie_fraction: 0.1,
            stay_gain_s: 0.02,
            stay_gain_fraction: 0.1,
            connect_s: 0.0,
            affinity_load_bound: None,
        }
    }
}

/// Chooses an endpoint of nearly the lowest estimated cost; see the [module docs](super).
#[derive(Debug)]
pub struct CostChooser {
    cfg: CostConfig,
    zone: crate::Name,
    depths: CachedDepths,
    costs: Vec<f32>,
}

impl CostChooser {
    /// Returns a chooser for an instance in `zone`.
    pub fn new(zone: crate::Name, cfg: CostConfig) -> Self {
        Self { cfg, zone, depths: CachedDepths::default(), costs: Vec::new() }
    }

    /// Returns the estimated cost of an endpoint in seconds, or infinity if it must not be chosen.
    fn cost(&self, state: &RoutingState, depth: u32, zone: u16, req: &RouteRequest<'_>) -> f32 {
        // Without branches, which would be mispredicted: the endpoints differ irregularly.
        let excluded = !state.available
            | (state.load >= state.capacity * self.cfg.max_load_factor)
            | (state.own_in_flight >= state.own_cap);
        let cached = depth.saturating_mul(req.block_tokens).min(req.prompt_tokens);
        let uncached = (req.prompt_tokens - cached) as f32;
        let prefill = uncached * state.prefill_s * self.cfg.prefill_weight;
        let load_factor = (state.load + 1.0) * state.inverse_capacity;
        let below_capacity = if load_factor < 1.0 { load_factor } else { 1.0 };
        let wait = state.service_s
            * (self.cfg.occupancy_slowdown * below_capacity + (load_factor - below_capacity));
        let distance = if zone == state.zone { 0.0 } else { self.cfg.cross_zone_s };
        let connect = if state.connected { 0.0 } else { self.cfg.connect_s };
        if excluded { f32::INFINITY } else { wait + prefill + distance + connect }
    }

    /// Returns the endpoint of the highest weight for `hash` (rendezvous hashing) among those whose
    /// cost is at most `limit`.
    fn pick_by_hash(
        &self,
        fleet: &Fleet,
        members: &[EndpointId],
        limit: f32,
        hash: u64,
    ) -> Option<usize> {
        let near = (0..members.len()).filter(|at| self.costs[*at] <= limit);
        near.max_by_key(|at| mix(hash ^ fleet.name_hash(members[*at])))
    }

    /// Returns the endpoint of the highest score for the call's affinity among those that take calls
    /// and are within the load bound (consistent hashing with bounded loads; Mirrokni, Thorup and
    /// Zadimoghaddam, 2016). `None` if calls are not bound to their affinity.
    fn pick_bounded(
        &self,
        fleet: &Fleet,
        members: &[EndpointId],
        load_factor: f32,
        req: &RouteRequest<'_>,
    ) -> Option<usize> {
        let bound = self.cfg.affinity_load_bound? * load_factor;
        let hash = req.affinity.filter(|_| req.prompt_tokens > 0)?;
        let states = fleet.routing_states();
        let is_within = |at: &usize| {
            let state = &states[members[*at].0 as usize];
            self.costs[*at].is_finite() && state.load < state.capacity * bound.max(1.0)
        };
        let within = (0..members.len()).filter(is_within);
        let score = |at: &usize| {
            let id = members[*at];
            let n = mix(hash ^ fleet.name_hash(id));
            (weigh(n, states[id.0 as usize].slowness), n)
        };
        let scored = within.map(|at| (score(&at), at));
        let best = scored.max_by(|((a, m), _), ((b, n), _)| a.total_cmp(b).then(m.cmp(n)));
        best.map(|(_, at)| at)
    }

    /// Returns the cheaper of two random endpoints whose cost is at most `limit`.
    fn pick_near_best(
        &self,
        members: &[EndpointId],
        limit: f32,
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let near = || (0..members.len()).filter(|at| self.costs[*at] <= limit);
        let count = near().count();
        let mut any = || near().nth(rng.random_range(0..count.max(1)));
        let (one, two) = (any()?, any()?);
        Some(if self.costs[two] < self.costs[one] { two } else { one })
    }
}

impl Chooser for CostChooser {
    fn choose(
        &mut self,
        fleet: &Fleet,
        prefixes: &PrefixIndex,
        req: &RouteRequest<'_>,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoRoute> {
        let Some(members) = fleet.members(req.group) else { return Err(NoRoute::NoneAvailable) };
        prefixes.lookup(req.blocks, &mut self.depths);
        let zone = fleet.find_zone(&self.zone).unwrap_or(u16::MAX);
        let states = fleet.routing_states();
        let mut costs = std::mem::take(&mut self.costs);
        costs.clear();
        let (mut load, mut capacity) = (0.0, 0.0);
        costs.extend(members.iter().map(|id| {
            let state = &states[id.0 as usize];
            load += if state.available { state.load } else { 0.0 };
            capacity += if state.available { state.capacity } else { 0.0 };
            self.cost(state, self.depths.get(*id), zone, req)
        }));
        self.costs = costs;
        if load >= capacity * self.cfg.max_group_load_factor {
            return Err(no_route(fleet, req));
        }
        for excluded in req.excluded {
            if let Some(at) = members.iter().position(|id| id == excluded) {
                self.costs[at] = f32::INFINITY;
            }
        }
        let best = self.costs.iter().copied().fold(f32::INFINITY, f32::min);
        if best.is_infinite() {
            return Err(no_route(fleet, req));
        }
        let stay = best + self.cfg.stay_gain_s.max(self.cfg.stay_gain_fraction * best);
        let last = req.last_endpoint.and_then(|last| members.iter().position(|id| *id == last));
        let near = best + self.cfg.tie_s.max(self.cfg.tie_fraction * best);
        let at = match (self.pick_bounded(fleet, members, load / capacity.max(1.0), req), last) {
            (Some(at), _) => at,
            (None, Some(at)) if self.costs[at] <= stay => at,
            _ => match req.affinity {
                Some(hash) => self.pick_by_hash(fleet, members, near, hash),
                None => self.pick_near_best(members, near, rng),
            }
            .ok_or(NoRoute::Full)?,
        };
        let endpoint = members[at];
        let cached_blocks = self.depths.get(endpoint);
        Ok(Choice { endpoint, cost_s: f64::from(self.costs[at]), cached_blocks })
    }
}

/// Returns the score of an endpoint with this slowness for the hash `n` (weighted rendezvous hashing;
/// Schindelhauer and Schomaker, 2005): the endpoint has the highest one for a part of all hashes that
/// is proportional to 1 / `slowness`. Grows with `n`, so equal endpoints are ordered by it.
fn weigh(n: u64, slowness: f32) -> f64 {
    // In (0, 1): 53 bits, which is what a double holds, and half a unit.
    let uniform = ((n >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    uniform.ln() * f64::from(slowness)
}

/// Spreads the bits of `n` (the finalizer of MurmurHash3).
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let n = (n ^ (n >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    n ^ (n >> 33)
}
