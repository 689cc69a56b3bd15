//! Endpoints and what this instance knows of their load.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;

/// Weight of a new measurement in the average service time.
const SERVICE_GAIN: f64 = 0.1;

/// Own dispatches remembered per endpoint for the correction of late reports.
const MAX_LOG: usize = 4096;

/// Number of an endpoint within its [`Fleet`]; reused after the endpoint has been removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// What the configuration says of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Name.
    pub name: Name,
    /// Zone.
    pub zone: Name,
    /// Groups that it serves: models, or a service.
    pub groups: Vec<Name>,
    /// Calls that it runs at once when warm.
    pub capacity: u32,
    /// Prefill speed in tokens per second; infinite for plain services.
    pub prefill_per_second: f64,
    /// Service time in seconds that is assumed until one has been measured.
    pub service_s: f64,
    /// Whether operators are taking it away.
    pub leaving: bool,
}

/// Load of an endpoint as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls running.
    pub running: u32,
    /// Calls queued at the endpoint.
    pub queued: u32,
    /// When it was measured, by the clock of this instance (arrival less the expected lag).
    pub taken: Duration,
}

/// What the choosers read of one endpoint; kept small, since all of them are scanned per call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hot {
    pub(super) load: f32,
    pub(super) capacity: f32,
    pub(super) per_capacity: f32,
    pub(super) service_s: f32,
    pub(super) prefill_s: f32,
    pub(super) own: u32,
    pub(super) cap: u32,
    pub(super) zone: u16,
    /// May receive new calls: known, healthy, not leaving, zone not out.
    pub(super) open: bool,
    /// Whether this instance has an idle connection to it.
    pub(super) connected: bool,
}

#[derive(Debug)]
struct Endpoint {
    spec: EndpointSpec,
    healthy: bool,
    present: bool,
    total: Option<u32>,
    reported: i64,
    taken: Duration,
    /// Own starts (+1) and ends (-1) after `taken`.
    log: VecDeque<(Duration, i8)>,
    since: i64,
    /// Part of the reported load of other instances that still counts.
    trust: f32,
}

#[derive(Debug)]
struct Group {
    name: Name,
    members: Vec<EndpointId>,
}

/// Endpoints known to one instance.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: Vec<Endpoint>,
    hot: Vec<Hot>,
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
        let zone = self.zone_number(&spec.zone);
        let id = known.unwrap_or_else(|| self.free_slot(&spec));
        let at = id.0 as usize;
        let endpoint = &mut self.endpoints[at];
        let hot = &mut self.hot[at];
        hot.prefill_s = (1.0 / spec.prefill_per_second.max(1e-9)) as f32;
        hot.zone = zone;
        endpoint.spec = spec;
        endpoint.present = true;
        let total = endpoint.total;
        self.set_total(id, total);
        self.refresh(id);
        self.rebuild_groups();
        id
    }

    /// Removes an endpoint. Calls in flight there are still counted when they end.
    pub fn remove(&mut self, name: &str) -> Option<EndpointId> {
        let id = self.id(name)?;
        self.endpoints[id.0 as usize].present = false;
        self.refresh(id);
        self.rebuild_groups();
        Some(id)
    }

    /// Takes note that an endpoint is about to stop.
    pub fn set_leaving(&mut self, id: EndpointId) {
        self.endpoints[id.0 as usize].spec.leaving = true;
        self.refresh(id);
    }

    /// Whether an endpoint may be sent calls, whatever its health: it is present, is not about to
    /// stop, and its zone is not out.
    pub fn may_receive(&self, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[id.0 as usize];
        let (_, out) = self.zones[usize::from(self.hot[id.0 as usize].zone)];
        endpoint.present && !endpoint.spec.leaving && !out
    }

    /// Takes a zone out of service or puts it back.
    pub fn set_zone_out(&mut self, zone: &Name, out: bool) {
        let number = self.zone_number(zone);
        self.zones[usize::from(number)].1 = out;
        for at in 0..self.endpoints.len() {
            self.refresh(EndpointId(at as u32));
        }
    }

    /// Sets whether an endpoint is healthy; an unhealthy one receives no new calls.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_healthy(&mut self, id: EndpointId, healthy: bool) {
        self.endpoints[id.0 as usize].healthy = healthy;
        self.refresh(id);
    }

    /// Sets the calls that this instance may have in flight there, or none for no cap. It and
    /// [`Fleet::set_total`] follow [`Ramps::cap`](crate::ramp::Ramps::cap).
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_cap(&mut self, id: EndpointId, cap: Option<u32>) {
        self.hot[id.0 as usize].cap = cap.unwrap_or(u32::MAX);
    }

    /// Says whether the instance has an idle connection to an endpoint. Every endpoint counts as
    /// connected until then.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_connected(&mut self, id: EndpointId, connected: bool) {
        self.hot[id.0 as usize].connected = connected;
    }

    /// Lowers the capacity of all instances together while an endpoint is cold, or restores it.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn set_total(&mut self, id: EndpointId, total: Option<u32>) {
        let capacity = self.endpoints[id.0 as usize].spec.capacity.max(1);
        self.endpoints[id.0 as usize].total = total;
        let hot = &mut self.hot[id.0 as usize];
        hot.capacity = total.map_or(capacity, |t| t.min(capacity)) as f32;
        hot.per_capacity = 1.0 / hot.capacity.max(1.0);
    }

    /// Takes note of a load report. Reports older than the last one are ignored.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn report(&mut self, id: EndpointId, report: &LoadReport) {
        let endpoint = &mut self.endpoints[id.0 as usize];
        if report.taken < endpoint.taken {
            return;
        }
        endpoint.taken = report.taken;
        endpoint.trust = 1.0;
        endpoint.reported = i64::from(report.running) + i64::from(report.queued);
        while let Some((_, change)) = endpoint.log.pop_front_if(|(at, _)| *at <= report.taken) {
            endpoint.since -= i64::from(change);
        }
        self.refresh_load(id);
    }

    /// Notes that this instance dispatched a call.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn began(&mut self, id: EndpointId, now: Duration) {
        self.hot[id.0 as usize].own += 1;
        self.log(id, now, 1);
    }

    /// Notes that a call of this instance ended, with its service time if it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn ended(&mut self, id: EndpointId, service: Option<Duration>, now: Duration) {
        let hot = &mut self.hot[id.0 as usize];
        hot.own = hot.own.saturating_sub(1);
        if let Some(service) = service {
            let gain = SERVICE_GAIN as f32;
            hot.service_s += gain * (service.as_secs_f32() - hot.service_s);
        }
        self.log(id, now, -1);
    }

    /// Calls of this instance in flight at an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn own_in_flight(&self, id: EndpointId) -> u32 {
        self.hot[id.0 as usize].own
    }

    /// Estimated load of an endpoint in calls.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn load(&self, id: EndpointId) -> f64 {
        f64::from(self.hot[id.0 as usize].load)
    }

    /// Whether an endpoint may receive new calls, apart from its cap and load.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.hot[id.0 as usize].open
    }

    /// Specification of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has never given out `id`.
    pub fn spec(&self, id: EndpointId) -> &EndpointSpec {
        &self.endpoints[id.0 as usize].spec
    }

    /// Number of the endpoint `name`.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        let at = self.endpoints.iter().position(|e| e.present && *e.spec.name == *name)?;
        Some(EndpointId(at as u32))
    }

    /// Endpoints that serve `group`, in order of their names.
    pub fn members(&self, group: &str) -> Option<&[EndpointId]> {
        let at = self.groups.binary_search_by(|g| (*g.name).cmp(group)).ok()?;
        Some(&self.groups[at].members)
    }

    /// Calls that `group` can take from this instance now: its part, one in `instances`, of the
    /// free capacity, rounded up. For the limit of a [`FairQueue`](crate::fair::FairQueue).
    pub fn room(&self, group: &str, instances: u32) -> u32 {
        let free = |id: &EndpointId| {
            let hot = &self.hot[id.0 as usize];
            let free = if hot.open { (hot.capacity - hot.load).max(0.0) } else { 0.0 };
            f64::from(free).min(f64::from(hot.cap.saturating_sub(hot.own)))
        };
        let free: f64 = self.members(group).unwrap_or(&[]).iter().map(free).sum();
        (free / f64::from(instances.max(1))).ceil() as u32
    }

    /// Calls at the open endpoints of a group, as a multiple of their capacity.
    pub fn fill(&self, group: &str) -> f64 {
        let members = self.members(group).unwrap_or(&[]);
        let open = members.iter().map(|id| &self.hot[id.0 as usize]).filter(|hot| hot.open);
        let (load, capacity) =
            open.fold((0.0, 0.0), |(load, all), hot| (load + hot.load, all + hot.capacity));
        f64::from(load) / f64::from(capacity).max(1.0)
    }

    pub(super) fn hot(&self) -> &[Hot] {
        &self.hot
    }

    /// Number of a zone, if any endpoint or operator has named it.
    pub(super) fn zone_of(&self, zone: &str) -> Option<u16> {
        self.zones.iter().position(|(name, _)| **name == *zone).map(|at| at as u16)
    }

    fn log(&mut self, id: EndpointId, now: Duration, change: i8) {
        let endpoint = &mut self.endpoints[id.0 as usize];
        endpoint.log.push_back((now, change));
        endpoint.since += i64::from(change);
        if endpoint.log.len() > MAX_LOG
            && let Some((_, change)) = endpoint.log.pop_front()
        {
            // Without reports for so long, the oldest changes become part of the reported load.
            endpoint.reported += i64::from(change);
            endpoint.since -= i64::from(change);
        }
        self.refresh_load(id);
    }

    fn refresh_load(&mut self, id: EndpointId) {
        let endpoint = &self.endpoints[id.0 as usize];
        let hot = &mut self.hot[id.0 as usize];
        // Own calls in flight are a lower bound, whatever the report says.
        let own = i64::from(hot.own);
        let others = (endpoint.reported + endpoint.since - own).max(0);
        hot.load = own as f32 + others as f32 * endpoint.trust;
    }

    /// Lets the reported load of other instances fade with the age of the report.
    ///
    /// For fleets whose endpoints report their load with answers only: without it, an endpoint that
    /// was once seen full would never get a call, and so would never be seen empty.
    pub fn fade(&mut self, half_life: Duration, now: Duration) {
        for at in 0..self.endpoints.len() {
            let age = now.saturating_sub(self.endpoints[at].taken).as_secs_f32();
            self.endpoints[at].trust = (-age / half_life.as_secs_f32()).exp2();
            self.refresh_load(EndpointId(at as u32));
        }
    }

    fn refresh(&mut self, id: EndpointId) {
        let endpoint = &self.endpoints[id.0 as usize];
        let hot = &mut self.hot[id.0 as usize];
        let out = self.zones[usize::from(hot.zone)].1;
        hot.open = endpoint.present && endpoint.healthy && !endpoint.spec.leaving && !out;
    }

    fn zone_number(&mut self, zone: &Name) -> u16 {
        self.zone_of(zone).unwrap_or_else(|| {
            self.zones.push((zone.clone(), false));
            (self.zones.len() - 1) as u16
        })
    }

    fn free_slot(&mut self, spec: &EndpointSpec) -> EndpointId {
        let hot = Hot {
            load: 0.0,
            capacity: 1.0,
            per_capacity: 1.0,
            service_s: spec.service_s as f32,
            prefill_s: 0.0,
            own: 0,
            cap: u32::MAX,
            zone: 0,
            open: false,
            connected: true,
        };
        let endpoint = Endpoint {
            spec: spec.clone(),
            healthy: true,
            present: true,
            total: None,
            reported: 0,
            taken: Duration::ZERO,
            log: VecDeque::new(),
            since: 0,
            trust: 1.0,
        };
        let unused = |(e, h): (&Endpoint, &Hot)| !e.present && h.own == 0;
        if let Some(at) = self.endpoints.iter().zip(&self.hot).position(unused) {
            self.endpoints[at] = endpoint;
            self.hot[at] = hot;
            return EndpointId(at as u32);
        }
        self.endpoints.push(endpoint);
        self.hot.push(hot);
        EndpointId(self.endpoints.len() as u32 - 1)
    }

    fn rebuild_groups(&mut self) {
        let mut pairs: Vec<(Name, Name, EndpointId)> = Vec::new();
        for (at, endpoint) in self.endpoints.iter().enumerate().filter(|(_, e)| e.present) {
            for group in &endpoint.spec.groups {
                pairs.push((group.clone(), endpoint.spec.name.clone(), EndpointId(at as u32)));
            }
        }
        pairs.sort();
        pairs.dedup();
        self.groups.clear();
        for (name, _, id) in pairs {
            match self.groups.last_mut() {
                Some(group) if group.name == name => group.members.push(id),
                _ => self.groups.push(Group { name, members: vec![id] }),
            }
        }
    }
}
