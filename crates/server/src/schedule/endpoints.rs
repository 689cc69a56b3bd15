//! State of the endpoints: load, cold starts and cached prefixes.

use std::{net::SocketAddr, time::Duration};

use poplarspan_objects::{Endpoint, Name, ObjectSet, Serves, ZoneState};
use poplarspan_policy::{
    fair::PRIORITY_LOAD_FACTOR,
    ramp::{Outcome, RampSpec, Ramps},
    rate::View,
    route::{
        CacheEvent, Choice, Chooser, CostChooser, CostConfig, EndpointId, EndpointSpec, Fleet,
        LoadReport, NoRoute, PrefixIndex, RouteRequest,
    },
};

use super::{CallSpec, DispatchOutcome, EndpointRef, SlotEnd, model_group, service_group};
use crate::membership::{LEASE, Snapshot};

/// Tokens per prompt block.
pub(crate) const BLOCK_TOKENS: u32 = 64;
/// Capacity of the prefix index in blocks, about 4 million tokens.
const MAX_INDEXED_BLOCKS: usize = 65_536;
/// Assumed cache size of an engine, in blocks, until its load report states one.
const ASSUMED_CACHE_BLOCKS: u32 = 8192;
/// Assumed prefill speed of engines, in tokens per second.
const ASSUMED_PREFILL_PER_SECOND: f64 = 5000.0;
/// Assumed service time until one has been measured, in seconds.
const ASSUMED_SERVICE_S: f64 = 0.5;
/// Number of consecutive failures after which an endpoint gets no calls until it responds to a load
/// request.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Time after which a program's last endpoint is forgotten. Most of its cache entries have been
/// evicted by then.
const AFFINITY_TTL: Duration = Duration::from_secs(600);
const MAX_AFFINITIES: usize = 32_768;

struct EndpointState {
    name: Name,
    id: EndpointId,
    address: SocketAddr,
    failures: u32,
    /// Run of the endpoint's process that the prefix index refers to.
    run: Option<u64>,
}

/// The endpoint that last served a program.
struct ProgramAffinity {
    program: Name,
    id: EndpointId,
    at: Duration,
}

/// State of all published endpoints.
pub(super) struct Endpoints {
    fleet: Fleet,
    prefixes: PrefixIndex,
    chooser: CostChooser,
    ramps: Ramps,
    /// Sorted by name.
    endpoints: Vec<EndpointState>,
    /// Sorted by program.
    affinities: Vec<ProgramAffinity>,
    generation: u64,
    epoch: u64,
}

/// Load report of an endpoint.
pub(super) struct Report {
    pub(super) run: u64,
    pub(super) uptime: Option<Duration>,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) age: Duration,
    pub(super) cache_blocks: Option<u32>,
}

impl Endpoints {
    pub(super) fn new(local_name: Name, zone: Name) -> Self {
        Self {
            fleet: Fleet::new(),
            prefixes: PrefixIndex::new(MAX_INDEXED_BLOCKS),
            chooser: CostChooser::new(
                zone,
                CostConfig { max_group_load_factor: PRIORITY_LOAD_FACTOR, ..Default::default() },
            ),
            ramps: Ramps::new(local_name, LEASE),
            endpoints: Vec::new(),
            affinities: Vec::new(),
            generation: 0,
            epoch: 0,
        }
    }

    /// Applies changes of the objects and the view. Returns whether there were any.
    pub(super) fn update(&mut self, snapshot: &Snapshot, now: Duration) -> bool {
        let mut changed = false;
        if snapshot.view.epoch != self.epoch {
            self.epoch = snapshot.view.epoch;
            let instances = snapshot.view.members.iter().map(|m| m.name.clone()).collect();
            self.ramps.observe_view(&View { epoch: self.epoch, instances }, now);
            changed = true;
        }
        if snapshot.generation != self.generation {
            self.generation = snapshot.generation;
            self.apply_objects(&snapshot.objects);
            changed = true;
        }
        if changed {
            self.refresh_caps(now);
        }
        changed
    }

    fn apply_objects(&mut self, objects: &ObjectSet) {
        let gone: Vec<Name> = self
            .endpoints
            .iter()
            .filter(|k| objects.endpoint(&k.name).is_none())
            .map(|k| k.name.clone())
            .collect();
        for name in gone {
            self.fleet.remove(&name);
            self.ramps.remove(&name);
            self.endpoints.retain(|k| k.name != name);
        }
        for endpoint in objects.endpoints() {
            self.upsert(endpoint);
        }
        for zone in objects.zones() {
            self.fleet.set_zone_out(&zone.name, zone.state == ZoneState::Out);
        }
    }

    fn upsert(&mut self, endpoint: &Endpoint) {
        let (groups, prefill) = match &endpoint.serves {
            Serves::Models(models) => (
                models.iter().map(|m| model_group(m)).collect::<Vec<Name>>(),
                ASSUMED_PREFILL_PER_SECOND,
            ),
            Serves::Service(service) => (vec![service_group(service)], f64::INFINITY),
        };
        let ramp = RampSpec {
            endpoint: endpoint.name.clone(),
            group: groups[0].clone(),
            capacity: endpoint.capacity,
            cold_capacity: endpoint.cold_capacity,
            ramp: endpoint.ramp,
        };
        let spec = EndpointSpec {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            groups,
            capacity: endpoint.capacity,
            prefill_per_second: prefill,
            service_s: ASSUMED_SERVICE_S,
            leaving: endpoint.leaving,
        };
        let id = self.fleet.upsert(spec);
        self.ramps.upsert(ramp);
        match self.endpoints.binary_search_by(|k| k.name.cmp(&endpoint.name)) {
            Ok(i) => self.endpoints[i].address = endpoint.address,
            Err(i) => {
                self.prefixes.register(id, ASSUMED_CACHE_BLOCKS);
                let state = EndpointState {
                    name: endpoint.name.clone(),
                    id,
                    address: endpoint.address,
                    failures: 0,
                    run: None,
                };
                self.endpoints.insert(i, state);
            }
        }
    }

    /// Updates the load caps of cold endpoints and drops expired affinities. Called on every tick.
    pub(super) fn refresh_caps(&mut self, now: Duration) {
        for state in &self.endpoints {
            let cap = self.ramps.cap(&state.name, now);
            self.fleet.set_cap(state.id, cap.map(|c| c.own));
            self.fleet.set_capacity_limit(state.id, cap.map(|c| c.total));
        }
        if self.affinities.len() > MAX_AFFINITIES {
            self.affinities.retain(|l| now < l.at + AFFINITY_TTL / 10);
        }
        self.affinities.retain(|l| now < l.at + AFFINITY_TTL);
    }

    /// Whether the group has capacity for a call of any team.
    pub(super) fn has_capacity(&self, group: &str) -> bool {
        self.fleet.free_slots(group, 1) > 0
    }

    /// Whether a call may be sent to wait in the queues of the group's endpoints.
    pub(super) fn may_queue_at_endpoints(&self, group: &str) -> bool {
        self.fleet.load_factor(group) < f64::from(PRIORITY_LOAD_FACTOR)
    }

    /// Whether this instance has no calls in flight at the group's endpoints.
    pub(super) fn has_no_own_calls(&self, group: &str) -> bool {
        let members = self.fleet.members(group).unwrap_or(&[]);
        members.iter().all(|id| self.fleet.own_in_flight(*id) == 0)
    }

    /// Returns the number of concurrent calls that the group can take from all instances.
    pub(super) fn capacity(&self, group: &str) -> u32 {
        let members = self.fleet.members(group).unwrap_or(&[]);
        let available = members.iter().filter(|id| self.fleet.is_available(**id));
        available.map(|id| self.fleet.spec(*id).capacity).sum()
    }

    /// Selects an endpoint and counts the call as in flight there.
    pub(super) fn assign(
        &mut self,
        spec: &CallSpec,
        tried: &[Name],
        now: Duration,
    ) -> Result<EndpointRef, NoRoute> {
        let excluded: Vec<EndpointId> = tried.iter().filter_map(|t| self.fleet.id(t)).collect();
        let request = RouteRequest {
            group: &spec.group,
            blocks: &spec.blocks,
            block_tokens: BLOCK_TOKENS,
            prompt_tokens: u32::try_from(spec.prompt_tokens).unwrap_or(u32::MAX),
            last_endpoint: spec.program.as_ref().and_then(|p| self.affine_endpoint(p)),
            affinity: None,
            excluded: &excluded,
        };
        let mut rng = rand::rng();
        let choice = self.chooser.choose(&self.fleet, &self.prefixes, &request, &mut rng)?;
        self.record_dispatch(spec, &choice, now);
        let name = self.fleet.spec(choice.endpoint).name.clone();
        let address = self.find(&name).expect("endpoints of the fleet are known").address;
        Ok(EndpointRef { name, address })
    }

    fn record_dispatch(&mut self, spec: &CallSpec, choice: &Choice, now: Duration) {
        let id = choice.endpoint;
        self.fleet.call_started(id, now);
        self.prefixes.record_dispatch(id, &spec.blocks, now);
        let cached = u64::from(choice.cached_blocks) * u64::from(BLOCK_TOKENS);
        metrics::counter!("poplarspan_prompt_tokens_total").increment(spec.prompt_tokens);
        metrics::counter!("poplarspan_cached_prompt_tokens_total")
            .increment(cached.min(spec.prompt_tokens));
        let Some(program) = &spec.program else { return };
        match self.affinities.binary_search_by(|l| l.program.cmp(program)) {
            Ok(i) => (self.affinities[i].id, self.affinities[i].at) = (id, now),
            Err(i) => {
                self.affinities
                    .insert(i, ProgramAffinity { program: program.clone(), id, at: now });
            }
        }
    }

    fn affine_endpoint(&self, program: &Name) -> Option<EndpointId> {
        let i = self.affinities.binary_search_by(|l| l.program.cmp(program)).ok()?;
        Some(self.affinities[i].id)
    }

    /// Removes a finished call from its endpoint and records the outcome.
    pub(super) fn end(&mut self, end: &SlotEnd<'_>, now: Duration) {
        let Ok(i) = self.position(&end.endpoint.name) else { return };
        let id = self.endpoints[i].id;
        let answered = matches!(end.outcome, DispatchOutcome::Answered { .. });
        self.fleet.call_ended(id, answered.then_some(end.held), now);
        let name = &end.endpoint.name;
        match end.outcome {
            DispatchOutcome::Answered { first_byte, .. } => {
                self.endpoints[i].failures = 0;
                self.record_outcome(name, Outcome::Answered(first_byte), now);
            }
            DispatchOutcome::Refused => self.record_outcome(name, Outcome::Refused, now),
            DispatchOutcome::Failed => self.record_failure(i),
            DispatchOutcome::Abandoned => {}
        }
    }

    fn record_outcome(&mut self, name: &Name, outcome: Outcome, now: Duration) {
        if self.ramps.observe_outcome(name, outcome, now) {
            log::warn!(endpoint = &**name; "endpoint appears cold; ramping up its load again");
            metrics::counter!("poplarspan_cold_endpoints_total").increment(1);
            self.refresh_caps(now);
        }
    }

    fn record_failure(&mut self, i: usize) {
        let state = &mut self.endpoints[i];
        state.failures += 1;
        if state.failures == MAX_CONSECUTIVE_FAILURES {
            log::warn!(
                endpoint = &*state.name;
                "endpoint is unhealthy; no calls until it responds to a load request"
            );
            self.fleet.set_healthy(state.id, false);
        }
    }

    /// Returns the names and addresses of all endpoints.
    pub(super) fn list(&self) -> Vec<EndpointRef> {
        let endpoint = |k: &EndpointState| EndpointRef { name: k.name.clone(), address: k.address };
        self.endpoints.iter().map(endpoint).collect()
    }

    /// Records a load report; `None` counts as a failure.
    pub(super) fn report(&mut self, name: &Name, report: Option<Report>, now: Duration) {
        let Ok(i) = self.position(name) else { return };
        let Some(report) = report else { return self.record_failure(i) };
        let state = &mut self.endpoints[i];
        if state.failures >= MAX_CONSECUTIVE_FAILURES {
            log::info!(endpoint = &**name; "endpoint is healthy again");
        }
        state.failures = 0;
        let id = state.id;
        if state.run != Some(report.run) {
            state.run = Some(report.run);
            let blocks = report.cache_blocks.unwrap_or(ASSUMED_CACHE_BLOCKS);
            self.prefixes.register(id, blocks);
        }
        self.fleet.set_healthy(id, true);
        let measured_at = now.saturating_sub(report.age);
        let load = LoadReport { running: report.running, queued: report.queued, measured_at };
        self.fleet.report(id, &load);
        self.ramps.observe_run(name, report.run, report.uptime, now);
    }

    /// Returns the last reported run of the endpoint's process.
    pub(super) fn run_of(&self, name: &str) -> Option<u64> {
        self.find(name)?.run
    }

    /// Applies a cache event of an endpoint.
    pub(super) fn cache_event(&mut self, name: &Name, event: &CacheEvent) {
        if let Ok(i) = self.position(name) {
            self.prefixes.apply_event(self.endpoints[i].id, event);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|k| (*k.name).cmp(name))
    }

    fn find(&self, name: &str) -> Option<&EndpointState> {
        self.position(name).ok().map(|i| &self.endpoints[i])
    }
}
