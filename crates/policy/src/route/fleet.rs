//! Endpoints and their load, as this instance knows it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;

/// Weight of a new measurement in the moving average of the service time.
const SERVICE_GAIN: f64 = 0.1;

/// Maximum number of own starts and ends per endpoint that are kept to correct late reports.
const MAX_RECENT_CHANGES: usize = 4096;

/// Index of an endpoint within its [`Fleet`]; reused after the endpoint has been removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Configuration of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Name.
    pub name: Name,
    /// Zone.
    pub zone: Name,
    /// Groups that the endpoint serves: models, or a service.
    pub groups: Vec<Name>,
    /// Concurrent calls when warm.
    pub capacity: u32,
    /// Prefill speed in tokens per second; infinite for plain services.
    pub prefill_per_second: f64,
    /// Service time in seconds, until it has been measured.
    pub service_s: f64,
    /// Whether an operator is removing the endpoint.
    pub leaving: bool,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running calls.
    pub running: u32,
    /// Calls that are queued at the endpoint.
    pub queued: u32,
    /// Time of the measurement by the clock of this instance: the arrival of the report minus the
    /// expected lag.
    pub measured_at: Duration,
}

/// State of one endpoint that the choosers read. Kept small, because each call scans all endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoutingState {
    pub(super) load: f32,
    pub(super) capacity: f32,
    pub(super) inverse_capacity: f32,
    pub(super) service_s: f32,
    pub(super) prefill_s: f32,
    /// Duration of a call relative to that at the median endpoint; 1 if it is not known.
    pub(super) slowness: f32,
    pub(super) own_in_flight: u32,
    pub(super) own_cap: u32,
    pub(super) zone: u16,
    /// Whether the endpoint may receive new calls: it is present, healthy and not leaving, and its
    /// zone is not out of service.
    pub(super) available: bool,
    /// Whether this instance has an idle connection to the endpoint.
    pub(super) connected: bool,
}

#[derive(Debug)]
struct Endpoint {
    spec: EndpointSpec,
    name_hash: u64,
    healthy: bool,
    present: bool,
    capacity_limit: Option<u32>,
    reported_calls: i64,
    measured_at: Duration,
    /// Starts (+1) and ends (-1) of own calls after `measured_at`.
    recent_changes: VecDeque<(Duration, i8)>,
    changes_since_report: i64,
    /// Weight of the reported load of other instances.
    report_weight: f32,
}

#[derive(Debug)]
struct Group {
    name: Name,
    /// Sorted by the name of the endpoint.
    members: Vec<EndpointId>,
}

/// Endpoints that one instance knows.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: Vec<Endpoint>,
    states: Vec<RoutingState>,
    /// Present endpoints, sorted by name.
    names: Vec<(Name, EndpointId)>,
    // Sorted by name.
    groups: Vec<Group>,
    zones: Vec<(Name, bool)>,
}

impl Fleet {
    /// Returns an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an endpoint, or changes the one of the same name.
    pub fn upsert(&mut self, spec: EndpointSpec) -> EndpointId {
        let known = self.id(&spec.name);
        let zone = self.zone_index(&spec.zone);
        let id = known.unwrap_or_else(|| self.add_endpoint(&spec));
        let at = id.0 as usize;
        let keeps_groups = known.is_some() && self.endpoints[at].spec.groups == spec.groups;
        if known.is_some() && !keeps_groups {
            self.leave_groups(id);
        }
        let endpoint = &mut self.endpoints[at];
        let state = &mut self.states[at];
        state.prefill_s = (1.0 / spec.prefill_per_second.max(1e-9)) as f32;
        state.zone = zone;
        endpoint.spec = spec;
        endpoint.present = true;
        let capacity_limit = endpoint.capacity_limit;
        self.set_capacity_limit(id, capacity_limit);
        self.refresh_availability(id);
        if !keeps_groups {
            self.join_groups(id);
        }
        if let (None, Err(at)) = (known, self.find(&self.endpoints[at].spec.name)) {
            self.names.insert(at, (self.endpoints[id.0 as usize].spec.name.clone(), id));
        }
        id
    }

    /// Removes an endpoint. Calls in flight there are still counted when they end.
    pub fn remove(&mut self, name: &str) -> Option<EndpointId> {
        let at = self.find(name).ok()?;
        let (_, id) = self.names.remove(at);
        self.leave_groups(id);
        self.endpoints[id.0 as usize].present = false;
        self.refresh_availability(id);
        Some(id)
    }

    /// Marks an endpoint as about to stop.
    pub fn set_leaving(&mut self, id: EndpointId) {
        self.endpoints[id.0 as usize].spec.leaving = true;
        self.refresh_availability(id);
    }

    /// Returns whether an endpoint may receive calls, regardless of its health: it is present and
    /// not about to stop, and its zone is not out of service.
    pub fn accepts_calls(&self, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[id.0 as usize];
        let (_, out) = self.zones[usize::from(self.states[id.0 as usize].zone)];
        endpoint.present && !endpoint.spec.leaving && !out
    }

    /// Takes a zone out of service or puts it back.
    pub fn set_zone_out(&mut self, zone: &Name, out: bool) {
        let number = self.zone_index(zone);
        self.zones[usize::from(number)].1 = out;
        for at in 0..self.endpoints.len() {
            self.refresh_availability(EndpointId(at as u32));
        }
    }

    /// Sets whether an endpoint is healthy. Unhealthy endpoints receive no new calls.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_healthy(&mut self, id: EndpointId, healthy: bool) {
        self.endpoints[id.0 as usize].healthy = healthy;
        self.refresh_availability(id);
    }

    /// Sets the maximum number of calls of this instance in flight at an endpoint; `None` means no
    /// limit. The value is [`Cap::own`](crate::ramp::Cap::own).
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_cap(&mut self, id: EndpointId, cap: Option<u32>) {
        self.states[id.0 as usize].own_cap = cap.unwrap_or(u32::MAX);
    }

    /// Sets how long a call takes at an endpoint relative to the median endpoint, equal at all
    /// instances. Initially 1. Values that are not positive and finite count as 1.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_slowness(&mut self, id: EndpointId, slowness: f64) {
        let is_valid = slowness.is_finite() && slowness > 0.0;
        self.states[id.0 as usize].slowness = if is_valid { slowness as f32 } else { 1.0 };
    }

    /// Sets whether the instance has an idle connection to an endpoint. Initially every endpoint
    /// counts as connected.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_connected(&mut self, id: EndpointId, connected: bool) {
        self.states[id.0 as usize].connected = connected;
    }

    /// Sets the capacity of a cold endpoint for all instances together, or restores the configured
    /// one. The value is [`Cap::total`](crate::ramp::Cap::total).
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_capacity_limit(&mut self, id: EndpointId, capacity_limit: Option<u32>) {
        let capacity = self.endpoints[id.0 as usize].spec.capacity.max(1);
        self.endpoints[id.0 as usize].capacity_limit = capacity_limit;
        let state = &mut self.states[id.0 as usize];
        state.capacity = capacity_limit.map_or(capacity, |t| t.min(capacity)) as f32;
        state.inverse_capacity = 1.0 / state.capacity.max(1.0);
    }

    /// Applies a load report. Reports older than the last one are ignored.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn report(&mut self, id: EndpointId, report: &LoadReport) {
        let endpoint = &mut self.endpoints[id.0 as usize];
        if report.measured_at < endpoint.measured_at {
            return;
        }
        endpoint.measured_at = report.measured_at;
        endpoint.report_weight = 1.0;
        endpoint.reported_calls = i64::from(report.running) + i64::from(report.queued);
        while let Some((_, change)) =
            endpoint.recent_changes.pop_front_if(|(at, _)| *at <= report.measured_at)
        {
            endpoint.changes_since_report -= i64::from(change);
        }
        self.refresh_load(id);
    }

    /// Records that this instance dispatched a call.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn call_started(&mut self, id: EndpointId, now: Duration) {
        self.states[id.0 as usize].own_in_flight += 1;
        self.record_change(id, now, 1);
    }

    /// Records that a call of this instance ended, with its service time if it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn call_ended(&mut self, id: EndpointId, service: Option<Duration>, now: Duration) {
        let state = &mut self.states[id.0 as usize];
        state.own_in_flight = state.own_in_flight.saturating_sub(1);
        if let Some(service) = service {
            let gain = SERVICE_GAIN as f32;
            state.service_s += gain * (service.as_secs_f32() - state.service_s);
        }
        self.record_change(id, now, -1);
    }

    /// Returns the number of calls of this instance in flight at an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn own_in_flight(&self, id: EndpointId) -> u32 {
        self.states[id.0 as usize].own_in_flight
    }

    /// Returns the estimated load of an endpoint in calls.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn load(&self, id: EndpointId) -> f64 {
        f64::from(self.states[id.0 as usize].load)
    }

    /// Returns whether an endpoint may receive new calls, regardless of its cap and load.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn is_available(&self, id: EndpointId) -> bool {
        self.states[id.0 as usize].available
    }

    /// Returns the configuration of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn spec(&self, id: EndpointId) -> &EndpointSpec {
        &self.endpoints[id.0 as usize].spec
    }

    /// Returns a hash of an endpoint's name that is the same at all instances.
    pub(super) fn name_hash(&self, id: EndpointId) -> u64 {
        self.endpoints[id.0 as usize].name_hash
    }

    /// Returns the id of the endpoint `name`.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.find(name).ok().map(|at| self.names[at].1)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|(n, _)| (**n).cmp(name))
    }

    /// Returns the endpoints that serve `group`, ordered by name.
    pub fn members(&self, group: &str) -> Option<&[EndpointId]> {
        let at = self.groups.binary_search_by(|g| (*g.name).cmp(group)).ok()?;
        Some(&self.groups[at].members)
    }

    /// Returns the number of calls that `group` can take from this instance: the free capacity
    /// divided by `instances`, rounded up. For the limit of a
    /// [`FairQueue`](crate::fair::FairQueue).
    pub fn free_slots(&self, group: &str, instances: u32) -> u32 {
        let free = |id: &EndpointId| {
            let state = &self.states[id.0 as usize];
            let free = if state.available { (state.capacity - state.load).max(0.0) } else { 0.0 };
            f64::from(free).min(f64::from(state.own_cap.saturating_sub(state.own_in_flight)))
        };
        let free: f64 = self.members(group).unwrap_or(&[]).iter().map(free).sum();
        (free / f64::from(instances.max(1))).ceil() as u32
    }

    /// Returns the load of the available endpoints of a group as a multiple of their capacity.
    pub fn load_factor(&self, group: &str) -> f64 {
        let members = self.members(group).unwrap_or(&[]);
        let available =
            members.iter().map(|id| &self.states[id.0 as usize]).filter(|state| state.available);
        let (load, capacity) = available
            .fold((0.0, 0.0), |(load, all), state| (load + state.load, all + state.capacity));
        f64::from(load) / f64::from(capacity).max(1.0)
    }

    pub(super) fn routing_states(&self) -> &[RoutingState] {
        &self.states
    }

    /// Returns the index of a zone, if it is known.
    pub(super) fn find_zone(&self, zone: &str) -> Option<u16> {
        self.zones.iter().position(|(name, _)| **name == *zone).map(|at| at as u16)
    }

    fn record_change(&mut self, id: EndpointId, now: Duration, change: i8) {
        let endpoint = &mut self.endpoints[id.0 as usize];
        endpoint.recent_changes.push_back((now, change));
        endpoint.changes_since_report += i64::from(change);
        if endpoint.recent_changes.len() > MAX_RECENT_CHANGES
            && let Some((_, change)) = endpoint.recent_changes.pop_front()
        {
            // No report has arrived for many calls: the oldest change becomes part of the reported
            // load.
            endpoint.reported_calls += i64::from(change);
            endpoint.changes_since_report -= i64::from(change);
        }
        self.refresh_load(id);
    }

    fn refresh_load(&mut self, id: EndpointId) {
        let endpoint = &self.endpoints[id.0 as usize];
        let state = &mut self.states[id.0 as usize];
        // The own calls in flight are a lower bound, regardless of the report.
        let own = i64::from(state.own_in_flight);
        let others = (endpoint.reported_calls + endpoint.changes_since_report - own).max(0);
        state.load = own as f32 + others as f32 * endpoint.report_weight;
    }

    /// Decays the reported load of other instances with the age of the report.
    ///
    /// For fleets whose endpoints report their load only in answers. Without this, an endpoint that
    /// was once reported full would get no more calls, and so its load would never be updated.
    pub fn decay_reports(&mut self, half_life: Duration, now: Duration) {
        for at in 0..self.endpoints.len() {
            let age = now.saturating_sub(self.endpoints[at].measured_at).as_secs_f32();
            self.endpoints[at].report_weight = (-age / half_life.as_secs_f32()).exp2();
            self.refresh_load(EndpointId(at as u32));
        }
    }

    fn refresh_availability(&mut self, id: EndpointId) {
        let endpoint = &self.endpoints[id.0 as usize];
        let state = &mut self.states[id.0 as usize];
        let out = self.zones[usize::from(state.zone)].1;
        state.available = endpoint.present && endpoint.healthy && !endpoint.spec.leaving && !out;
    }

    fn zone_index(&mut self, zone: &Name) -> u16 {
        self.find_zone(zone).unwrap_or_else(|| {
            self.zones.push((zone.clone(), false));
            (self.zones.len() - 1) as u16
        })
    }

    fn add_endpoint(&mut self, spec: &EndpointSpec) -> EndpointId {
        let state = RoutingState {
            load: 0.0,
            capacity: 1.0,
            inverse_capacity: 1.0,
            service_s: spec.service_s as f32,
            prefill_s: 0.0,
            slowness: 1.0,
            own_in_flight: 0,
            own_cap: u32::MAX,
            zone: 0,
            available: false,
            connected: true,
        };
        let endpoint = Endpoint {
            spec: spec.clone(),
            name_hash: hash_name(&spec.name),
            healthy: true,
            present: true,
            capacity_limit: None,
            reported_calls: 0,
            measured_at: Duration::ZERO,
            recent_changes: VecDeque::new(),
            changes_since_report: 0,
            report_weight: 1.0,
        };
        let unused = |(e, h): (&Endpoint, &RoutingState)| !e.present && h.own_in_flight == 0;
        if let Some(at) = self.endpoints.iter().zip(&self.states).position(unused) {
            self.endpoints[at] = endpoint;
            self.states[at] = state;
            return EndpointId(at as u32);
        }
        self.endpoints.push(endpoint);
        self.states.push(state);
        EndpointId(self.endpoints.len() as u32 - 1)
    }

    /// Adds an endpoint to the groups of its specification. Groups change by one endpoint at a
    /// time, because rebuilding all of them for each endpoint of a long list is quadratic.
    fn join_groups(&mut self, id: EndpointId) {
        let Self { endpoints, groups, .. } = self;
        let spec = &endpoints[id.0 as usize].spec;
        for name in &spec.groups {
            let at = groups.binary_search_by(|g| g.name.cmp(name)).unwrap_or_else(|at| {
                groups.insert(at, Group { name: name.clone(), members: Vec::new() });
                at
            });
            let members = &mut groups[at].members;
            let name_of = |id: &EndpointId| &endpoints[id.0 as usize].spec.name;
            if let Err(at) = members.binary_search_by(|m| name_of(m).cmp(&spec.name)) {
                members.insert(at, id);
            }
        }
    }

    /// Removes an endpoint from the groups of its specification, and groups without members.
    fn leave_groups(&mut self, id: EndpointId) {
        let Self { endpoints, groups, .. } = self;
        for name in &endpoints[id.0 as usize].spec.groups {
            let Ok(at) = groups.binary_search_by(|g| g.name.cmp(name)) else { continue };
            groups[at].members.retain(|member| *member != id);
            if groups[at].members.is_empty() {
                groups.remove(at);
            }
        }
    }
}

/// FNV-1a, because instances of different builds must agree on the hash.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
