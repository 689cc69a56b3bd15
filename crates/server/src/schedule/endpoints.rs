//! What this instance knows of the endpoints: load, cold starts, cached prefixes.

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

use super::{CallSpec, Chosen, DispatchOutcome, SlotEnd, model_group, service_group};
use crate::membership::{Known, LEASE};

/// Tokens of one block of a prompt.
pub(crate) const BLOCK_TOKENS: u32 = 64;
/// Blocks that the prefix index holds: about 4 million tokens.
const MAX_BLOCKS: usize = 65_536;
/// Blocks that an engine's cache is assumed to hold until its load report says so.
const ASSUMED_CACHE_BLOCKS: u32 = 8192;
/// Prefill speed that is assumed for engines, in tokens a second.
const PREFILL_PER_SECOND: f64 = 5000.0;
/// Service time that is assumed until one has been measured, in seconds.
const SERVICE_S: f64 = 0.5;
/// Failures in a row after which an endpoint gets no calls until it answers a load request.
const UNHEALTHY_AFTER: u32 = 3;
/// Time after which a program's endpoint is forgotten; its cache entries have mostly gone by then.
const FORGET_PROGRAM: Duration = Duration::from_secs(600);
const MAX_PROGRAMS: usize = 32_768;

struct KnownEndpoint {
    name: Name,
    id: EndpointId,
    address: SocketAddr,
    failures: u32,
    /// Run of the endpoint's process that the cache index belongs to.
    run: Option<u64>,
}

struct LastEndpoint {
    program: Name,
    id: EndpointId,
    at: Duration,
}

/// The endpoints of the objects in force.
pub(super) struct Endpoints {
    fleet: Fleet,
    prefixes: PrefixIndex,
    chooser: CostChooser,
    ramps: Ramps,
    // Sorted by name.
    known: Vec<KnownEndpoint>,
    // Sorted by program.
    last: Vec<LastEndpoint>,
    generation: u64,
    epoch: u64,
}

/// Load of an endpoint as it reports it.
pub(super) struct Report {
    pub(super) run: u64,
    pub(super) uptime: Option<Duration>,
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) age: Duration,
    pub(super) cache_blocks: Option<u32>,
}

impl Endpoints {
    pub(super) fn new(me: Name, zone: Name) -> Self {
        Self {
            fleet: Fleet::new(),
            prefixes: PrefixIndex::new(MAX_BLOCKS),
            chooser: CostChooser::new(
                zone,
                CostConfig { max_group_load_factor: PRIORITY_LOAD_FACTOR, ..Default::default() },
            ),
            ramps: Ramps::new(me, LEASE),
            known: Vec::new(),
            last: Vec::new(),
            generation: 0,
            epoch: 0,
        }
    }

    /// Follows changes of the objects and the view. Returns whether anything changed.
    pub(super) fn observe(&mut self, known: &Known, now: Duration) -> bool {
        let mut changed = false;
        if known.view.epoch != self.epoch {
            self.epoch = known.view.epoch;
            let instances = known.view.members.iter().map(|m| m.name.clone()).collect();
            self.ramps.observe_view(&View { epoch: self.epoch, instances }, now);
            changed = true;
        }
        if known.generation != self.generation {
            self.generation = known.generation;
            self.follow(&known.objects);
            changed = true;
        }
        if changed {
            self.refresh_caps(now);
        }
        changed
    }

    fn follow(&mut self, objects: &ObjectSet) {
        let gone: Vec<Name> = self
            .known
            .iter()
            .filter(|k| objects.endpoint(&k.name).is_none())
            .map(|k| k.name.clone())
            .collect();
        for name in gone {
            self.fleet.remove(&name);
            self.ramps.remove(&name);
            self.known.retain(|k| k.name != name);
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
            Serves::Models(models) => {
                (models.iter().map(|m| model_group(m)).collect::<Vec<Name>>(), PREFILL_PER_SECOND)
            }
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
            service_s: SERVICE_S,
            leaving: endpoint.leaving,
        };
        let id = self.fleet.upsert(spec);
        self.ramps.upsert(ramp);
        match self.known.binary_search_by(|k| k.name.cmp(&endpoint.name)) {
            Ok(i) => self.known[i].address = endpoint.address,
            Err(i) => {
                self.prefixes.register(id, ASSUMED_CACHE_BLOCKS);
                let known = KnownEndpoint {
                    name: endpoint.name.clone(),
                    id,
                    address: endpoint.address,
                    failures: 0,
                    run: None,
                };
                self.known.insert(i, known);
            }
        }
    }

    /// Follows the ramps of cold endpoints; called every tick.
    pub(super) fn refresh_caps(&mut self, now: Duration) {
        for known in &self.known {
            let cap = self.ramps.cap(&known.name, now);
            self.fleet.set_cap(known.id, cap.map(|c| c.own));
            self.fleet.set_capacity_limit(known.id, cap.map(|c| c.total));
        }
        if self.last.len() > MAX_PROGRAMS {
            self.last.retain(|l| now < l.at + FORGET_PROGRAM / 10);
        }
        self.last.retain(|l| now < l.at + FORGET_PROGRAM);
    }

    /// Whether the group has room for a call of any team.
    pub(super) fn has_room(&self, group: &str) -> bool {
        self.fleet.free_slots(group, 1) > 0
    }

    /// Whether a call may be sent to wait at the group's endpoints.
    pub(super) fn may_wait_there(&self, group: &str) -> bool {
        self.fleet.load_factor(group) < f64::from(PRIORITY_LOAD_FACTOR)
    }

    /// Whether this instance has no call at the group's endpoints.
    pub(super) fn is_absent(&self, group: &str) -> bool {
        let members = self.fleet.members(group).unwrap_or(&[]);
        members.iter().all(|id| self.fleet.own_in_flight(*id) == 0)
    }

    /// Calls that the group takes at once from all instances.
    pub(super) fn capacity(&self, group: &str) -> u32 {
        let members = self.fleet.members(group).unwrap_or(&[]);
        let open = members.iter().filter(|id| self.fleet.is_available(**id));
        open.map(|id| self.fleet.spec(*id).capacity).sum()
    }

    /// Chooses an endpoint and counts the call there.
    pub(super) fn place(
        &mut self,
        spec: &CallSpec,
        tried: &[Name],
        now: Duration,
    ) -> Result<Chosen, NoRoute> {
        let avoid: Vec<EndpointId> = tried.iter().filter_map(|t| self.fleet.id(t)).collect();
        let request = RouteRequest {
            group: &spec.group,
            blocks: &spec.blocks,
            block_tokens: BLOCK_TOKENS,
            prompt_tokens: u32::try_from(spec.prompt_tokens).unwrap_or(u32::MAX),
            last_endpoint: spec.program.as_ref().and_then(|p| self.last_endpoint(p)),
            excluded: &avoid,
        };
        let mut rng = rand::rng();
        let choice = self.chooser.choose(&self.fleet, &self.prefixes, &request, &mut rng)?;
        self.count(spec, &choice, now);
        let name = self.fleet.spec(choice.endpoint).name.clone();
        let address = self.find(&name).expect("the fleet holds known endpoints").address;
        Ok(Chosen { name, address })
    }

    fn count(&mut self, spec: &CallSpec, choice: &Choice, now: Duration) {
        let id = choice.endpoint;
        self.fleet.call_started(id, now);
        self.prefixes.record_dispatch(id, &spec.blocks, now);
        let cached = u64::from(choice.cached_blocks) * u64::from(BLOCK_TOKENS);
        metrics::counter!("poplarspan_prompt_tokens_total").increment(spec.prompt_tokens);
        metrics::counter!("poplarspan_cached_prompt_tokens_total")
            .increment(cached.min(spec.prompt_tokens));
        let Some(program) = &spec.program else { return };
        match self.last.binary_search_by(|l| l.program.cmp(program)) {
            Ok(i) => (self.last[i].id, self.last[i].at) = (id, now),
            Err(i) => {
                self.last.insert(i, LastEndpoint { program: program.clone(), id, at: now });
            }
        }
    }

    fn last_endpoint(&self, program: &Name) -> Option<EndpointId> {
        let i = self.last.binary_search_by(|l| l.program.cmp(program)).ok()?;
        Some(self.last[i].id)
    }

    /// Takes a call back from its endpoint.
    pub(super) fn end(&mut self, end: &SlotEnd<'_>, now: Duration) {
        let Ok(i) = self.position(&end.endpoint.name) else { return };
        let id = self.known[i].id;
        let answered = matches!(end.outcome, DispatchOutcome::Answered { .. });
        self.fleet.call_ended(id, answered.then_some(end.held), now);
        let name = &end.endpoint.name;
        match end.outcome {
            DispatchOutcome::Answered { first_byte, .. } => {
                self.known[i].failures = 0;
                self.note_outcome(name, Outcome::Answered(first_byte), now);
            }
            DispatchOutcome::Refused => self.note_outcome(name, Outcome::Refused, now),
            DispatchOutcome::Failed => self.note_failure(i),
            DispatchOutcome::Abandoned => {}
        }
    }

    fn note_outcome(&mut self, name: &Name, outcome: Outcome, now: Duration) {
        if self.ramps.observe_outcome(name, outcome, now) {
            log::warn!(endpoint = &**name; "endpoint looks cold; its load is ramped up again");
            metrics::counter!("poplarspan_cold_endpoints_total").increment(1);
            self.refresh_caps(now);
        }
    }

    fn note_failure(&mut self, i: usize) {
        let known = &mut self.known[i];
        known.failures += 1;
        if known.failures == UNHEALTHY_AFTER {
            log::warn!(endpoint = &*known.name; "endpoint fails; no calls until it answers again");
            self.fleet.set_healthy(known.id, false);
        }
    }

    /// Names and addresses of all endpoints, for load requests.
    pub(super) fn list(&self) -> Vec<Chosen> {
        let chosen = |k: &KnownEndpoint| Chosen { name: k.name.clone(), address: k.address };
        self.known.iter().map(chosen).collect()
    }

    /// Takes note of a load report, or of its absence.
    pub(super) fn report(&mut self, name: &Name, report: Option<Report>, now: Duration) {
        let Ok(i) = self.position(name) else { return };
        let Some(report) = report else { return self.note_failure(i) };
        let known = &mut self.known[i];
        if known.failures >= UNHEALTHY_AFTER {
            log::info!(endpoint = &**name; "endpoint answers again");
        }
        known.failures = 0;
        let id = known.id;
        if known.run != Some(report.run) {
            known.run = Some(report.run);
            let blocks = report.cache_blocks.unwrap_or(ASSUMED_CACHE_BLOCKS);
            self.prefixes.register(id, blocks);
        }
        self.fleet.set_healthy(id, true);
        let taken = now.saturating_sub(report.age);
        let load =
            LoadReport { running: report.running, queued: report.queued, measured_at: taken };
        self.fleet.report(id, &load);
        self.ramps.observe_run(name, report.run, report.uptime, now);
    }

    /// The run of the endpoint's process that was seen last.
    pub(super) fn run_of(&self, name: &str) -> Option<u64> {
        self.find(name)?.run
    }

    /// Applies a cache event of an endpoint.
    pub(super) fn cache_event(&mut self, name: &Name, event: &CacheEvent) {
        if let Ok(i) = self.position(name) {
            self.prefixes.apply_event(self.known[i].id, event);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|k| (*k.name).cmp(name))
    }

    fn find(&self, name: &str) -> Option<&KnownEndpoint> {
        self.position(name).ok().map(|i| &self.known[i])
    }
}
