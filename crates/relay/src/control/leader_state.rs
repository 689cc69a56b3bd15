//! In-memory state of the control leader: live instances, the endpoint list, the shares of each
//! team's rate, suspected requests and endpoints on probation.
//!
//! A new leader starts with empty state. It learns of instances from their heartbeats, of endpoints
//! from the platform's list, and of shares, suspects and failures from the reports of instances.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use poplarspan_policy::{
    Name,
    call_limit::NamedLimits,
    cold_start::InstanceRank,
    probation::Probation,
    quota::{Allocator, Share, TeamLoad},
    rate::Limit,
};
use poplarspan_proto::{
    peer::{self, Duty as PbDuty},
    relay as pb,
};

use super::{
    loads::MeasuredLoads,
    paces::EndpointPaces,
    programs::ProgramLimits,
    rollouts::{DirectoryView, Rollouts},
    suspects::{Suspects, Timestamps},
};
use crate::{ListedEndpoint, Publication, RolloutLimits};

/// Maximum drift between the clocks of two machines during a lease.
const DRIFT_MARGIN: Duration = Duration::from_millis(100);
/// Time after the first store was seen until the set of initial stores is considered complete. All
/// instances of a new fleet start together.
const STORE_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Minimum time between two log lines about a throttled team.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time until a new leader has heard from all live instances, which send several heartbeats in it.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Time until a new leader tells instances the speed of endpoints: in it, a busy service ends some
/// forty calls at each of them. Earlier, instances keep what the former leader has told them.
const LOADS_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Number of detours that an instance is told; it asks two of them for a connection.
const DETOURS: usize = 4;

/// An instance with an unexpired lease.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) address: SocketAddr,
    pub(crate) duty: PbDuty,
    pub(crate) store: Option<peer::StoreState>,
    first_seen: Duration,
    lease_until: Duration,
    /// Whether it connects other fronts to endpoints.
    is_detour: bool,
}

/// The endpoint list and when it was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    /// Identifies the list, also across leaders; 0 until a list was read.
    pub(crate) number: u64,
    pub(crate) endpoints: Vec<ListedEndpoint>,
    read_at: Duration,
}

/// A team whose programs were refused, with the number of calls since the last log line.
struct ThrottledTeam {
    team: Name,
    calls: u32,
    logged_at: Option<Duration>,
}

/// State of the leader in one term.
pub(crate) struct LeaderState {
    pub(crate) term: u64,
    since: Duration,
    lease: Duration,
    // Sorted by name.
    members: Vec<Member>,
    directory: Directory,
    // Sorted by team.
    teams: Vec<(Name, Allocator)>,
    // Sorted by team.
    throttled: Vec<ThrottledTeam>,
    pub(crate) suspects: Suspects,
    probation: Probation,
    limits: NamedLimits,
    pub(crate) rollouts: Rollouts,
    programs: ProgramLimits,
    paces: EndpointPaces,
    loads: MeasuredLoads,
    /// Instances that joined or were lost since the last call of `take_changes`.
    changes: VecDeque<(Name, &'static str)>,
}

impl LeaderState {
    pub(crate) fn new(
        term: u64,
        lease: Duration,
        rollouts: Option<RolloutLimits>,
        now: Timestamps,
    ) -> Self {
        Self {
            term,
            since: now.monotonic,
            lease,
            members: Vec::new(),
            directory: Directory::default(),
            teams: Vec::new(),
            throttled: Vec::new(),
            suspects: Suspects::new(term),
            probation: Probation::default(),
            limits: NamedLimits::default(),
            rollouts: Rollouts::new(rollouts, lease + DRIFT_MARGIN, now),
            programs: ProgramLimits::new(now.monotonic + DISCOVERY_TIME, now.monotonic),
            paces: EndpointPaces::default(),
            loads: MeasuredLoads::default(),
            changes: VecDeque::new(),
        }
    }

    /// Whether every live instance has had time to send a heartbeat to this leader.
    pub(crate) fn has_seen_all_instances(&self, now: Duration) -> bool {
        now >= self.since + DISCOVERY_TIME
    }

    /// Whether every instance has reported to this leader or lost the lease of the former one.
    pub(crate) fn is_view_full(&self, now: Duration) -> bool {
        now >= self.since + self.lease + DRIFT_MARGIN
    }

    /// Decides about the running rollouts. Returns the commands that end some.
    pub(crate) fn decide_rollouts(&mut self, now: Duration) -> Vec<pb::AdvanceRollout> {
        self.expire(now);
        let is_view_full = self.is_view_full(now);
        let Self { rollouts, members, directory, .. } = self;
        let is_read = directory.number != 0;
        let directory = DirectoryView {
            endpoints: is_read.then_some(&*directory.endpoints),
            age: now.saturating_sub(directory.read_at),
        };
        let is_live = |name: &str| members.binary_search_by(|m| (*m.name).cmp(name)).is_ok();
        rollouts.decide(directory, is_view_full, is_live, now)
    }

    /// Records the sender of a heartbeat. Returns `None` if its address is malformed.
    pub(crate) fn note_heartbeat(&mut self, beat: &peer::Beat, now: Duration) -> Option<()> {
        let address = beat.peer_address.parse().ok()?;
        self.expire(now);
        let name = Name::from(&*beat.instance);
        let lease_until = now + self.lease + DRIFT_MARGIN;
        let at = self.members.binary_search_by(|m| m.name.cmp(&name));
        let first_seen = at.map_or(now, |at| self.members[at].first_seen);
        let member = Member {
            name: name.clone(),
            zone: Name::from(&*beat.zone),
            address,
            duty: beat.duty(),
            store: beat.store.clone(),
            first_seen,
            lease_until,
            is_detour: beat.duty() == PbDuty::Front && !beat.links_cut && !beat.draining,
        };
        match at {
            Ok(at) => self.members[at] = member,
            Err(at) => {
                self.changes.push_back((name, "instance joined"));
                self.members.insert(at, member);
            }
        }
        Some(())
    }

    /// Records the endpoint failures that a heartbeat reports.
    pub(crate) fn note_failures(&mut self, beat: &peer::Beat, now: Duration) {
        for reported in &beat.failures {
            let endpoint = Name::from(&*reported.endpoint);
            if self.probation.record_failures(&endpoint, reported.count, now) {
                log::warn!(endpoint = &*endpoint; "endpoint is on probation");
                metrics::counter!("poplarspan_relay_probations_total").increment(1);
            }
        }
    }

    /// Records the endpoint limits that a heartbeat reports.
    pub(crate) fn note_limits(&mut self, beat: &peer::Beat, now: Duration) {
        for named in &beat.limits {
            let endpoint = Name::from(&*named.endpoint);
            let per_second = named.per_second.filter(|limit| limit.is_finite());
            if self.limits.record(&endpoint, per_second, now) {
                log::info!(endpoint = &*endpoint, per_second; "limit of an endpoint changed");
            }
        }
    }

    /// Endpoints that name a limit, sorted.
    pub(crate) fn endpoint_limits(&self, now: Duration) -> Vec<peer::EndpointLimit> {
        let named = |(endpoint, per_second): (&Name, f64)| peer::EndpointLimit {
            endpoint: endpoint.to_string(),
            per_second: Some(per_second),
        };
        self.limits.limits(now).map(named).collect()
    }

    /// Endpoints on probation, sorted.
    pub(crate) fn endpoints_on_probation(&self, now: Duration) -> Vec<String> {
        self.probation.endpoints(now).map(|name| name.to_string()).collect()
    }

    /// Changes the paces of endpoints by the list and the results that a heartbeat reports, and
    /// returns them sorted.
    pub(crate) fn update_paces(
        &mut self,
        beat: &peer::Beat,
        now: Duration,
    ) -> Vec<peer::EndpointLimit> {
        let Directory { number, endpoints, .. } = &self.directory;
        self.paces.observe_list(*number, endpoints, now);
        self.paces.note_results(beat, now);
        self.paces.list()
    }

    /// Records the calls that a heartbeat reports, and returns the speed of endpoints once enough
    /// calls have been reported to this leader.
    pub(crate) fn update_loads(
        &mut self,
        beat: &peer::Beat,
        now: Duration,
    ) -> Option<peer::EndpointConditions> {
        let Directory { number, endpoints, .. } = &self.directory;
        self.loads.observe_list(*number, endpoints);
        self.loads.note_work(&beat.work, now);
        (now >= self.since + LOADS_DISCOVERY_TIME).then(|| self.loads.conditions())
    }

    /// Removes instances whose lease has expired.
    fn expire(&mut self, now: Duration) {
        let Self { members, changes, .. } = self;
        members.retain(|m| {
            let lives = now < m.lease_until;
            if !lives {
                changes.push_back((m.name.clone(), "instance lease expired"));
            }
            lives
        });
    }

    /// Takes the changes of the live instances since the last call.
    pub(crate) fn take_changes(&mut self) -> impl Iterator<Item = (Name, &'static str)> + '_ {
        self.changes.drain(..)
    }

    /// Live instances with a role.
    pub(crate) fn members(&self, duty: PbDuty) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| m.duty == duty)
    }

    pub(crate) fn member(&self, name: &str) -> Option<&Member> {
        let at = self.members.binary_search_by(|m| (*m.name).cmp(name)).ok()?;
        Some(&self.members[at])
    }

    /// Peer addresses of fronts through which an instance without links reaches endpoints. They
    /// differ between instances, so that no front serves many of them.
    pub(crate) fn detours(&self, instance: &str) -> Vec<String> {
        let mut fronts: Vec<_> =
            self.members.iter().filter(|m| m.is_detour && *m.name != *instance).collect();
        fronts.sort_by_cached_key(|m| {
            let pair = [instance.as_bytes(), m.name.as_bytes()].concat();
            *blake3::hash(&pair).as_bytes()
        });
        fronts.iter().take(DETOURS).map(|m| m.address.to_string()).collect()
    }

    /// Rank of an instance among the fronts, and their number.
    pub(crate) fn instance_rank(&self, name: &str) -> InstanceRank {
        let fronts = || self.members(PbDuty::Front);
        let rank = fronts().take_while(|m| *m.name < *name).count();
        InstanceRank { rank: rank as u32, count: fronts().count().max(1) as u32 }
    }

    /// The live store that reports to lead a group, and the group's voters.
    fn group_leader(&self, group: u32) -> Option<(&Member, &peer::LedGroup)> {
        let led = self.members(PbDuty::Store).filter_map(|m| {
            let group = m.store.as_ref()?.leads.iter().find(|g| g.group == group)?;
            Some((m, group))
        });
        led.max_by_key(|(m, _)| m.lease_until)
    }

    /// Whether a store votes in no group. `None` if the leader of a group is unknown.
    pub(crate) fn is_drained(&self, instance: &str, groups: u32) -> Option<bool> {
        let replica = self.member(instance)?.store.as_ref()?.replica;
        let mut is_empty = true;
        for group in 0..groups {
            is_empty &= !self.group_leader(group)?.1.voters.contains(&replica);
        }
        Some(is_empty)
    }

    /// Replicas of the live stores among `names`.
    pub(crate) fn store_replicas(&self, names: &[Name]) -> Vec<u64> {
        let replica = |name: &Name| Some(self.member(name)?.store.as_ref()?.replica);
        names.iter().filter_map(replica).collect()
    }

    /// Peer addresses of the stores.
    pub(crate) fn store_addresses(&self) -> Vec<String> {
        self.members(PbDuty::Store).map(|m| m.address.to_string()).collect()
    }

    /// For each group, the 1-based position of its leader among the stores, or 0 if it is unknown.
    pub(crate) fn group_leaders(&self, groups: u32) -> Vec<u32> {
        let place = |leader: &Member| {
            let at = self.members(PbDuty::Store).position(|m| m.name == leader.name);
            at.map_or(0, |at| at as u32 + 1)
        };
        (0..groups).map(|g| self.group_leader(g).map_or(0, |(leader, _)| place(leader))).collect()
    }

    /// The stores in the order in which groups take their initial voters, with neighbors in
    /// different zones. `None` until the set of stores is considered complete.
    pub(crate) fn store_ring(&self, now: Duration) -> Option<Vec<u64>> {
        let stores: Vec<&Member> = self.members(PbDuty::Store).collect();
        let first = stores.iter().map(|m| m.first_seen).min()?;
        if now < first + STORE_DISCOVERY_TIME || !self.has_seen_all_instances(now) {
            return None;
        }
        let mut ranked: Vec<(usize, u64)> = Vec::new();
        for (at, member) in stores.iter().enumerate() {
            let earlier = stores[..at].iter().filter(|m| m.zone == member.zone).count();
            ranked.push((earlier, member.store.as_ref()?.replica));
        }
        ranked.sort_by_key(|(earlier, _)| *earlier);
        Some(ranked.into_iter().map(|(_, id)| id).collect())
    }

    /// Replaces the endpoint list. Returns whether it changed.
    pub(crate) fn set_directory(&mut self, endpoints: Vec<ListedEndpoint>, now: Duration) -> bool {
        let same = |a: &ListedEndpoint, b: &ListedEndpoint| {
            // The passing of time in a cold start countdown is not a change.
            let (a_until, b_until) = (self.directory.read_at + a.cold_left, now + b.cold_left);
            let is_warm = a.cold_left.is_zero() && b.cold_left.is_zero();
            let is_as_cold = !a.cold_left.is_zero()
                && !b.cold_left.is_zero()
                && a_until.abs_diff(b_until) < Duration::from_millis(500);
            (is_warm || is_as_cold)
                && ListedEndpoint { cold_left: Duration::ZERO, ..a.clone() }
                    == ListedEndpoint { cold_left: Duration::ZERO, ..b.clone() }
        };
        let old = &self.directory.endpoints;
        let unchanged = self.directory.number != 0
            && old.len() == endpoints.len()
            && old.iter().zip(&endpoints).all(|(a, b)| same(a, b));
        if unchanged {
            return false;
        }
        let number = match self.directory.number {
            0 => rand::random::<u64>() | 1,
            n => n.wrapping_add(1).max(1),
        };
        self.directory = Directory { number, endpoints, read_at: now };
        true
    }

    pub(crate) fn directory_number(&self) -> u64 {
        self.directory.number
    }

    /// The endpoint list for an instance that holds list number `held`, or `None` if that is
    /// current.
    pub(crate) fn directory_for(&self, held: u64, now: Duration) -> Option<peer::Directory> {
        if self.directory.number == 0 || self.directory.number == held {
            return None;
        }
        let age = now.saturating_sub(self.directory.read_at);
        let entry = |e: &ListedEndpoint| peer::DirectoryEntry {
            name: e.name.to_string(),
            service: e.service.to_string(),
            address: e.address.to_string(),
            zone: e.zone.to_string(),
            slots: e.slots,
            leaving: e.leaving,
            cold_left_ms: e.cold_left.saturating_sub(age).as_millis() as u64,
            started_ms: e.started_ms,
            software: e.software.as_deref().map(str::to_owned),
        };
        let endpoints = self.directory.endpoints.iter().map(entry).collect();
        Some(peer::Directory { number: self.directory.number, endpoints })
    }

    /// Allocates the rates of the teams that an instance reports.
    pub(crate) fn allocate_shares(
        &mut self,
        instance: &Name,
        demand: &[peer::TeamDemand],
        publication: &Publication,
        now: Duration,
    ) -> Vec<peer::TeamShare> {
        let mut shares = Vec::with_capacity(demand.len());
        for d in demand {
            let Some(team) = publication.team(&d.team) else { continue };
            let allocator = self.allocator(&team.name, now);
            allocator.set_limit(team.limit, now);
            for program in &d.begun {
                allocator.record_program(*program, now);
            }
            let held = Share {
                per_second: f64::from(d.share_per_second),
                burst: f64::from(d.share_burst),
            };
            let demand = f64::from(d.per_second);
            let share = allocator.report(instance, demand, d.programs, held, now);
            shares.push(peer::TeamShare {
                team: d.team.clone(),
                per_second: share.per_second as f32,
                burst: share.burst as f32,
                crowded: allocator.is_near_limit(),
            });
        }
        shares
    }

    /// Processes the load by programs that a front reports; returns what it may admit.
    pub(crate) fn limit_programs(
        &mut self,
        instance: &Name,
        load: &peer::ProgramLoad,
        publication: &Publication,
        now: Duration,
    ) -> Option<peer::ProgramAllowance> {
        self.programs.report(instance, load, publication, &self.directory.endpoints, now)
    }

    /// Takes a token from a team's reserve, returns one, or admits a new program of the team. On
    /// failure returns the time after which to retry, if it is known.
    pub(crate) fn borrow(
        &mut self,
        borrow: &peer::Borrow,
        publication: &Publication,
        now: Duration,
    ) -> Result<(), Option<Duration>> {
        let Some(team) = publication.team(&borrow.team) else { return Err(None) };
        let limit = team.limit;
        let allocator = self.allocator(&team.name, now);
        allocator.set_limit(limit, now);
        if borrow.returns {
            allocator.return_token(now);
            return Ok(());
        }
        if borrow.begins {
            let begun = allocator.admit_program(borrow.program, now).map_err(Some);
            if begun.is_err() {
                let load = allocator.load(now);
                self.note_throttled(&team.name, limit, load, now);
            }
            return begun;
        }
        allocator.borrow(now)?;
        if borrow.program != 0 {
            allocator.record_program(borrow.program, now);
        }
        Ok(())
    }

    /// Logs that programs of a team are refused, at a limited rate.
    fn note_throttled(&mut self, team: &Name, limit: Option<Limit>, load: TeamLoad, now: Duration) {
        let at = match self.throttled.binary_search_by(|h| h.team.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let new = ThrottledTeam { team: team.clone(), calls: 0, logged_at: None };
                self.throttled.insert(at, new);
                at
            }
        };
        let throttled = &mut self.throttled[at];
        throttled.calls += 1;
        if throttled.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        log::info!(
            team = &**team,
            calls = throttled.calls,
            per_second = limit.map_or(0.0, |l| l.per_second()),
            demand = load.demand,
            programs = load.programs,
            program_rate = load.program_rate,
            reserve = load.reserve;
            "refused new programs: team is at its rate limit"
        );
        (throttled.calls, throttled.logged_at) = (0, Some(now));
    }

    fn allocator(&mut self, team: &Name, now: Duration) -> &mut Allocator {
        let at = match self.teams.binary_search_by(|(t, _)| t.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let settled_at = self.since + DISCOVERY_TIME;
                let allocator = Allocator::new(settled_at, self.lease + DRIFT_MARGIN, now);
                self.teams.insert(at, (team.clone(), allocator));
                at
            }
        };
        &mut self.teams[at].1
    }
}
