//! State of the endpoints as seen by a front: load, cached prompts, failures and cold starts.
//!
//! The front needs this state to handle uneven load and shared prompts in normal operation, and
//! crashes, restarts and releases otherwise.
//!
//! Each front keeps its own state. After a restart it is rebuilt from the endpoint list and from
//! responses.

mod limits;
mod loads;
mod paces;
mod versions;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use poplarspan_node::pool::Pool;
use poplarspan_policy::{
    Name,
    call_limit::LIMIT_WINDOW,
    cold_start::{InstanceRank, StartLimiter},
    departures::{Departures, EndpointRun},
    probation::{PROBATION, may_avoid},
    route::{
        Choice, Chooser, CostChooser, CostConfig, EndpointId, EndpointSpec, Fleet, LoadReport,
        NoRoute, PrefixIndex, RouteRequest,
    },
    version_split::{Rule, Side, Sides, VersionSplits},
};
use rand::seq::IteratorRandom;

use super::{
    placement::{EndpointFilter, PlacementRequest},
    shared_parts::SharedParts,
};
use crate::{ListedEndpoint, Load, PromptPart, Publication, fleet_client::View};
use limits::CallLimit;
pub(crate) use loads::AnsweredCall;
use loads::SpeedState;
use paces::PaceState;

/// Block size of the index of cached prompts, in tokens.
const BLOCK_TOKENS: u32 = 256;
/// Maximum number of blocks in the index, about 8 million tokens.
const MAX_BLOCKS: usize = 32_768;
/// Assumed prefill speed of engines in tokens per second, of the order that a large accelerator
/// reaches with a mixture-of-experts model.
const PREFILL_PER_SECOND: f64 = 300_000.0;
/// Assumed service time until one has been measured, in seconds.
const INITIAL_SERVICE_S: f64 = 0.2;
/// Half-life of a reported load, about the duration of one response.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(600);
/// Cost model for choosing an endpoint. The delay that a call causes for others in the batch weighs
/// as much as its own waiting time: one more call in a full batch slows each of them by about 3
/// percent, and all of them wait while its prompt is prefilled. A new connection takes both sides a
/// few milliseconds and costs about as much as one more call in a batch of 16.
const COSTS: CostConfig = CostConfig {
    cross_zone_s: 0.006,
    prefill_weight: 6.0,
    occupancy_slowdown: 0.9,
    max_load_factor: 2.0,
    max_group_load_factor: 1.0,
    tie_s: 0.01,
    tie_fraction: 0.1,
    stay_gain_s: 0.02,
    stay_gain_fraction: 0.1,
    connect_s: 0.012,
    affinity_load_bound: None,
};
/// Load of an engine as a multiple of the mean above which the turns of a program go to another one
/// for a while. With 8 calls at each engine on average, one in ten has 1.4 times as many by chance.
const AFFINITY_LOAD_BOUND: f32 = 1.4;
/// Pause after the first failure, doubled with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Concurrent calls to an endpoint after a failure, until it has answered one.
const PROBE_CALLS: u32 = 1;
/// How long the last endpoint of a conversation is remembered.
const CONVERSATION_TTL: Duration = Duration::from_secs(30);
const MAX_CONVERSATIONS: usize = 8_192;
struct EndpointState {
    name: Name,
    service: Name,
    id: EndpointId,
    address: SocketAddr,
    started_ms: Option<u64>,
    software: Option<Name>,
    /// Side of a rollout. `None` if it gets no calls.
    side: Option<Side>,
    /// When the cold start phase ends.
    cold_until: Duration,
    gate: StartLimiter,
    /// Counts calls also while there is no limit, so that a new one takes effect at once.
    limiter: StartLimiter,
    limit: Option<CallLimit>,
    pace: PaceState,
    failures: u32,
    /// No calls are sent until then; afterwards `PROBE_CALLS` at a time until one is answered.
    paused_until: Option<Duration>,
    /// Calls that must not be repeated go elsewhere until then, because a call has failed here.
    avoided_until: Duration,
}

/// An endpoint chosen for a call.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    /// Version of its software, if the list has it.
    pub(crate) software: Option<Name>,
}

/// Result of a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The response is complete.
    Answered,
    /// The endpoint refused the call but is healthy.
    Refused,
    /// The caller disconnected, or the call was not sent.
    Abandoned,
    /// The call ran into its own deadline, which is not a failure of the endpoint.
    Late,
    /// The call has not reached the endpoint.
    Unreached,
    /// The connection failed, or the response did not come from the endpoint.
    Failed,
}

struct LastEndpoint {
    conversation: Name,
    id: EndpointId,
    at: Duration,
}

/// The endpoints of the current list.
pub(crate) struct Endpoints {
    pool: Arc<Pool>,
    fleet: Fleet,
    prefixes: PrefixIndex,
    chooser: CostChooser,
    // Sorted by name.
    endpoints: Vec<EndpointState>,
    // Sorted by name.
    last_endpoints: Vec<LastEndpoint>,
    shared: SharedParts,
    departures: Departures,
    rank: InstanceRank,
    directory: u64,
    version: u64,
    zones_out: Vec<Name>,
    /// Endpoints that the control leader has put on probation; sorted.
    probation: Vec<Name>,
    /// Number of failures of each endpoint since the last report; sorted by endpoint.
    unreported_failures: Vec<(Name, u32)>,
    /// Endpoints that have answered without their limit since the last report.
    unreported_ends: Vec<Name>,
    /// The limits that the leader has last distributed.
    limits: Arc<[(Name, f64)]>,
    /// What the leader has last decided about rollouts.
    rollouts: Arc<[Rule]>,
    splits: VersionSplits,
    /// The paces that the leader has last distributed.
    paces: Arc<[(Name, f64)]>,
    speed: SpeedState,
    /// Whether a call has been sent to an endpoint since the last report.
    sends_calls: bool,
}

impl Endpoints {
    /// State without endpoints. `binds_programs` tells whether all fronts send the turns of a program
    /// to the same engine.
    pub(crate) fn new(zone: Name, pool: Arc<Pool>, binds_programs: bool) -> Self {
        let affinity_load_bound = binds_programs.then_some(AFFINITY_LOAD_BOUND);
        let costs = CostConfig { affinity_load_bound, ..COSTS };
        Self {
            pool,
            fleet: Fleet::new(),
            prefixes: PrefixIndex::new(MAX_BLOCKS),
            chooser: CostChooser::new(zone, costs),
            endpoints: Vec::new(),
            last_endpoints: Vec::new(),
            shared: SharedParts::default(),
            departures: Departures::default(),
            rank: InstanceRank { rank: 0, count: 1 },
            directory: 0,
            version: 0,
            zones_out: Vec::new(),
            probation: Vec::new(),
            unreported_failures: Vec::new(),
            unreported_ends: Vec::new(),
            limits: Arc::default(),
            rollouts: Arc::default(),
            splits: VersionSplits::default(),
            paces: Arc::default(),
            speed: SpeedState::default(),
            sends_calls: false,
        }
    }

    /// Applies changes of the endpoint list, the publication and the zones.
    pub(crate) fn observe(&mut self, view: &View, now: Duration) {
        self.rank = view.rank;
        let version = view.publication.as_ref().map_or(0, |p| p.version);
        let is_new_list = view.directory.number != self.directory;
        let mut are_endpoints_changed = is_new_list || version != self.version;
        if are_endpoints_changed {
            self.directory = view.directory.number;
            self.version = version;
            self.apply_list(view, now);
        }
        if view.zones_out != self.zones_out {
            for zone in view.zones_out.iter().chain(&self.zones_out) {
                self.fleet.set_zone_out(zone, view.zones_out.contains(zone));
            }
            self.zones_out.clone_from(&view.zones_out);
            are_endpoints_changed = true;
        }
        self.observe_rollouts(view, are_endpoints_changed);
        if view.probation != self.probation {
            self.probation.clone_from(&view.probation);
        }
        if !Arc::ptr_eq(&view.limits, &self.limits) {
            self.limits = view.limits.clone();
            self.apply_limits(now);
        }
        if is_new_list || view.paces != self.paces {
            self.paces = view.paces.clone();
            self.apply_paces(&view.paces);
        }
        self.observe_slowness(&view.slowness, is_new_list, now);
    }

    fn apply_list(&mut self, view: &View, now: Duration) {
        let listed = &view.directory.endpoints;
        let starts: Vec<_> = listed.iter().map(start_of).collect();
        self.departures.reconcile(&starts);
        let Self { endpoints, fleet, .. } = self;
        endpoints.retain(|k| {
            let stays = listed.iter().any(|e| e.name == k.name && e.address == k.address);
            if !stays {
                fleet.remove(&k.name);
            }
            stays
        });
        let age = now.saturating_sub(view.directory.at);
        for endpoint in listed {
            self.upsert(endpoint, view.publication.as_deref(), age, now);
        }
        for zone in &view.zones_out {
            self.fleet.set_zone_out(zone, true);
        }
    }

    fn upsert(
        &mut self,
        endpoint: &ListedEndpoint,
        publication: Option<&Publication>,
        age: Duration,
        now: Duration,
    ) {
        let service = publication.and_then(|p| p.service(&endpoint.service));
        let engine = service.and_then(|s| s.engine);
        let capacity = engine.map_or(endpoint.slots, |e| e.slots).max(1);
        let id = self.fleet.upsert(EndpointSpec {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            groups: vec![endpoint.service.clone()],
            capacity,
            prefill_per_second: engine.map_or(f64::INFINITY, |_| PREFILL_PER_SECOND),
            service_s: INITIAL_SERVICE_S,
            leaving: endpoint.leaving || self.departures.contains(start_of(endpoint)),
        });
        let cold_until = now + endpoint.cold_left.saturating_sub(age);
        match self.endpoints.binary_search_by(|k| k.name.cmp(&endpoint.name)) {
            Ok(at) => {
                let state = &mut self.endpoints[at];
                state.cold_until = state.cold_until.max(cold_until);
                state.started_ms = endpoint.started_ms;
                state.software.clone_from(&endpoint.software);
            }
            Err(at) => {
                let blocks = engine.map_or(0, |e| e.cache_tokens / u64::from(BLOCK_TOKENS));
                self.prefixes.register(id, u32::try_from(blocks).unwrap_or(u32::MAX));
                let state = EndpointState {
                    name: endpoint.name.clone(),
                    service: endpoint.service.clone(),
                    id,
                    address: endpoint.address,
                    started_ms: endpoint.started_ms,
                    software: endpoint.software.clone(),
                    side: Some(Side::Others),
                    cold_until,
                    gate: StartLimiter::default(),
                    limiter: StartLimiter::new(LIMIT_WINDOW),
                    limit: None,
                    pace: PaceState::default(),
                    failures: 0,
                    paused_until: None,
                    avoided_until: Duration::ZERO,
                };
                self.endpoints.insert(at, state);
            }
        }
    }

    /// Decays reported loads, and ends the pauses of endpoints that have failed.
    pub(crate) fn tick(&mut self, now: Duration) {
        self.fleet.decay_reports(LOAD_HALF_LIFE, now);
        self.apply_slowness(now);
        for state in &mut self.endpoints {
            state.limit.take_if(|limit| now >= limit.until);
            if state.paused_until.is_some_and(|until| now >= until) {
                state.paused_until = None;
                self.fleet.set_healthy(state.id, true);
                self.fleet.set_cap(state.id, Some(PROBE_CALLS));
            }
        }
        if self.last_endpoints.len() > MAX_CONVERSATIONS {
            self.last_endpoints.retain(|l| now < l.at + CONVERSATION_TTL / 10);
        }
        self.last_endpoints.retain(|l| now < l.at + CONVERSATION_TTL);
    }

    /// Chooses an endpoint and counts the call as running there.
    pub(crate) fn place(
        &mut self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
        publication: Option<&Publication>,
        now: Duration,
    ) -> Result<ChosenEndpoint, NoRoute> {
        let sides = self.sides(placement, filter);
        self.place_at(placement, filter, sides, publication, now)
    }

    /// Chooses an endpoint of these sides.
    fn place_at(
        &mut self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
        sides: Sides,
        publication: Option<&Publication>,
        now: Duration,
    ) -> Result<ChosenEndpoint, NoRoute> {
        let cold_rate = publication
            .and_then(|p| p.service(&placement.service))
            .map_or(0.0, |s| s.cold_per_second);
        let excluded = self.excluded(placement, filter, cold_rate, now);
        let avoided = self.avoided(placement, sides, now);
        let excluded_or_avoided: Vec<_> = excluded.iter().chain(&avoided).copied().collect();
        self.note_connections(&placement.service);
        let (blocks, prompt_tokens) = self.own_blocks(placement);
        let groups = self.groups(&placement.service, sides);
        let request = RouteRequest {
            group: "",
            blocks,
            block_tokens: BLOCK_TOKENS,
            prompt_tokens,
            last_endpoint: placement
                .conversation
                .as_ref()
                .and_then(|conversation| self.last_of(conversation)),
            affinity: placement.affinity,
            excluded: &[],
        };
        let mut rng = rand::rng();
        let Self { chooser, fleet, prefixes, .. } = self;
        let mut choose = |group: &str, excluded: &[EndpointId]| {
            let request = RouteRequest { group, excluded, ..request };
            chooser.choose(fleet, prefixes, &request, &mut rng)
        };
        let mut choose_in = |group: &str| match choose(group, &excluded_or_avoided) {
            // An endpoint on probation is better than none.
            Err(_) if !avoided.is_empty() => choose(group, &excluded),
            choice => choice,
        };
        let mut error = NoRoute::NoneAvailable;
        for group in groups {
            match choose_in(&group) {
                Ok(choice) => return Ok(self.record_dispatch(placement, &choice, now)),
                Err(NoRoute::Full) => error = NoRoute::Full,
                Err(NoRoute::NoneAvailable) => {}
            }
        }
        Err(error)
    }

    fn note_connections(&mut self, service: &Name) {
        let connected = self.pool.idle_endpoints();
        for state in self.endpoints.iter().filter(|k| k.service == *service) {
            let is_connected = connected.binary_search(&state.address).is_ok();
            self.fleet.set_connected(state.id, is_connected);
        }
    }

    /// Number of parts of a prompt after its leading shared ones.
    pub(super) fn own_parts(&self, parts: &[PromptPart]) -> usize {
        parts.len() - self.shared.leading(parts)
    }

    /// Blocks and tokens of a prompt without its leading shared parts.
    fn own_blocks<'a>(&self, placement: &'a PlacementRequest) -> (&'a [u64], u32) {
        let leading = &placement.parts[..self.shared.leading(&placement.parts)];
        let tokens: u32 = leading.iter().map(|p| p.tokens).sum();
        let blocks: usize = leading.iter().map(|p| (p.tokens / BLOCK_TOKENS) as usize).sum();
        (&placement.blocks[blocks..], placement.prompt_tokens - tokens)
    }

    /// Endpoints that must not get the call: those that the filter excludes, and those that are cold
    /// or have a limit or a pace and have had as many calls as this front may send them.
    fn excluded(
        &mut self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
        rate: f64,
        now: Duration,
    ) -> Vec<EndpointId> {
        let rank = self.rank;
        let mut excluded = Vec::new();
        for state in self.endpoints.iter_mut().filter(|k| k.service == placement.service) {
            let is_cold = rate > 0.0 && now < state.cold_until;
            let is_tried = filter.tried.contains(&state.name);
            let is_other_software = !filter.fits(state.software.as_ref());
            let offset = offset(&state.name);
            let is_used_up = state
                .allowed_rate()
                .is_some_and(|limit| !state.limiter.allows(limit, rank, offset, now));
            if is_tried
                || is_other_software
                || is_used_up
                || (is_cold && !state.gate.allows(rate, rank, offset, now))
            {
                excluded.push(state.id);
            }
        }
        excluded
    }

    /// Endpoints that are likely to lose the call, if it must not be repeated and enough others are
    /// available.
    fn avoided(
        &self,
        placement: &PlacementRequest,
        sides: Sides,
        now: Duration,
    ) -> Vec<EndpointId> {
        let mut avoided = Vec::new();
        if placement.may_repeat {
            return avoided;
        }
        let mut available = 0;
        for state in self.endpoints.iter().filter(|k| k.service == placement.service) {
            if !self.fleet.is_available(state.id) || !sides.contains(state.side) {
                continue;
            }
            available += 1;
            let is_on_probation = self.probation.binary_search(&state.name).is_ok();
            if is_on_probation || now < state.avoided_until {
                avoided.push(state.id);
            }
        }
        if !may_avoid(avoided.len(), available) {
            avoided.clear();
        }
        avoided
    }

    /// Takes the number of failures of each endpoint since the last call.
    pub(crate) fn take_failures(&mut self) -> Vec<(Name, u32)> {
        std::mem::take(&mut self.unreported_failures)
    }

    fn note_failure(&mut self, name: &Name) {
        match self.unreported_failures.binary_search_by(|(failed, _)| failed.cmp(name)) {
            Ok(at) => self.unreported_failures[at].1 += 1,
            Err(at) => self.unreported_failures.insert(at, (name.clone(), 1)),
        }
    }

    fn record_dispatch(
        &mut self,
        placement: &PlacementRequest,
        choice: &Choice,
        now: Duration,
    ) -> ChosenEndpoint {
        let id = choice.endpoint;
        self.fleet.call_started(id, now);
        self.sends_calls = true;
        let (blocks, prompt_tokens) = self.own_blocks(placement);
        self.prefixes.record_dispatch(id, blocks, now);
        self.shared.note(placement, now);
        let cached = u64::from(choice.cached_blocks) * u64::from(BLOCK_TOKENS);
        let prompt_tokens = u64::from(prompt_tokens);
        metrics::counter!("poplarspan_relay_own_prompt_tokens_total").increment(prompt_tokens);
        metrics::counter!("poplarspan_relay_cached_prompt_tokens_total")
            .increment(cached.min(prompt_tokens));
        if let Some(conversation) = &placement.conversation {
            let entry = LastEndpoint { conversation: conversation.clone(), id, at: now };
            match self.last_endpoints.binary_search_by(|l| l.conversation.cmp(conversation)) {
                Ok(at) => {
                    if self.last_endpoints[at].id != id {
                        metrics::counter!("poplarspan_relay_moved_turns_total").increment(1);
                    }
                    self.last_endpoints[at] = entry;
                }
                Err(at) => self.last_endpoints.insert(at, entry),
            }
        }
        let name = self.fleet.spec(id).name.clone();
        let at = self.position(&name).expect("every endpoint in the fleet has state");
        let state = &mut self.endpoints[at];
        if now < state.cold_until {
            state.gate.record_start(now);
        }
        state.limiter.record_start(now);
        self.splits.call_opened(&state.service, state.software.as_ref());
        ChosenEndpoint { name, address: state.address, software: state.software.clone() }
    }

    fn last_of(&self, conversation: &Name) -> Option<EndpointId> {
        let at = self.last_endpoints.binary_search_by(|l| l.conversation.cmp(conversation)).ok()?;
        Some(self.last_endpoints[at].id)
    }

    /// Records the end of a call at an endpoint.
    pub(crate) fn end(&mut self, name: &Name, outcome: Outcome, took: Duration, now: Duration) {
        let Ok(at) = self.position(name) else { return };
        self.note_pace_result(at, outcome, took);
        let state = &mut self.endpoints[at];
        let id = state.id;
        self.fleet.call_ended(id, (outcome == Outcome::Answered).then_some(took), now);
        match outcome {
            Outcome::Answered | Outcome::Refused => {
                if state.failures > 0 {
                    log::info!(endpoint = &**name; "endpoint recovered");
                    state.failures = 0;
                    self.fleet.set_cap(id, None);
                }
            }
            Outcome::Failed | Outcome::Unreached => {
                let pause = (MIN_PAUSE * 2u32.pow(state.failures.min(8))).min(MAX_PAUSE);
                state.failures += 1;
                if state.paused_until.is_none() {
                    let failures = state.failures;
                    log::warn!(endpoint = &**name, failures; "endpoint failed; pausing calls to it");
                    metrics::counter!("poplarspan_relay_endpoint_failures_total").increment(1);
                }
                state.paused_until = Some(now + pause);
                state.avoided_until = now + PROBATION;
                self.fleet.set_healthy(id, false);
                self.note_failure(name);
            }
            Outcome::Abandoned | Outcome::Late => {}
        }
    }

    /// Whether an endpoint was cold at a time.
    pub(crate) fn was_cold(&self, name: &str, at: Duration) -> bool {
        self.position(name).is_ok_and(|k| at < self.endpoints[k].cold_until)
    }

    /// Rollouts, and the counts of calls for them.
    pub(crate) fn splits(&mut self) -> &mut VersionSplits {
        &mut self.splits
    }

    /// Records a load report from a response.
    pub(crate) fn report(&mut self, name: &Name, load: Load, now: Duration) {
        if let Ok(at) = self.position(name) {
            let report =
                LoadReport { running: load.running, queued: load.waiting, measured_at: now };
            self.fleet.report(self.endpoints[at].id, &report);
        }
    }

    /// Records that an endpoint announced its stop. It gets no further calls until its next start
    /// is in the list, even if the list still shows it as available.
    pub(crate) fn note_leaving(&mut self, name: &Name) {
        let Ok(at) = self.position(name) else { return };
        let state = &self.endpoints[at];
        if !self.fleet.spec(state.id).leaving {
            log::info!(endpoint = &**name; "endpoint announced its stop");
        }
        self.departures.record(name, state.started_ms);
        self.fleet.set_leaving(state.id);
        if self.is_divided(&self.endpoints[at].service) {
            self.refresh_sides();
        }
    }

    /// Forgets the failures of endpoints, which the loss of the front's own links has caused.
    pub(crate) fn forget_failures(&mut self) {
        self.unreported_failures.clear();
        for state in &mut self.endpoints {
            state.avoided_until = Duration::ZERO;
            if std::mem::take(&mut state.failures) > 0 {
                state.paused_until = None;
                self.fleet.set_healthy(state.id, true);
                self.fleet.set_cap(state.id, None);
            }
        }
    }

    /// Addresses of up to `count` endpoints at random. Endpoints that take calls come before those
    /// that are paused after a failure.
    pub(crate) fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        let staying = || self.endpoints.iter().filter(|k| !self.fleet.spec(k.id).leaving);
        let mut states =
            staying().filter(|k| k.paused_until.is_none()).choose_multiple(&mut rng, count);
        if states.len() < count {
            let paused = staying().filter(|k| k.paused_until.is_some());
            states.extend(paused.choose_multiple(&mut rng, count - states.len()));
        }
        states.into_iter().map(|k| k.address).collect()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|k| (*k.name).cmp(name))
    }
}

fn start_of(endpoint: &ListedEndpoint) -> EndpointRun<'_> {
    EndpointRun { name: &endpoint.name, started_ms: endpoint.started_ms }
}

/// A number derived from the name of an endpoint, equal at all fronts.
fn offset(name: &str) -> u32 {
    let digest = blake3::hash(name.as_bytes());
    u32::from_le_bytes(*digest.as_bytes().first_chunk().expect("a digest has 32 bytes"))
}

/// Splits a prompt into blocks. Each is identified by its part and all blocks before it.
pub(crate) fn blocks(parts: &[PromptPart]) -> Vec<u64> {
    const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut blocks = Vec::new();
    let mut chain = 0u64;
    let mix = |chain: u64, n: u64| {
        let product = u128::from(chain ^ n.wrapping_add(MIX)) * u128::from(MIX);
        (product as u64) ^ (product >> 64) as u64
    };
    for part in parts {
        for n in 0..u64::from(part.tokens / BLOCK_TOKENS) {
            chain = mix(mix(chain, part.id), n);
            blocks.push(chain);
        }
    }
    blocks
}
