//! One instance with the objects of the policy.

use poplarspan_policy::Name;
use poplarspan_policy::fair::*;
use poplarspan_policy::ramp::*;
use poplarspan_policy::rate::*;
use poplarspan_policy::route::*;

use super::endpoint::Endpoint;
use super::workload::{BLOCK_TOKENS, TEAM_LOAD_FRACTIONS};
use super::{Policy, us};

/// Groups of endpoints.
pub const GROUPS: [&str; 2] = ["model", "service"];

/// Duration of membership leases.
pub const LEASE_US: u64 = 2_000_000;

/// Difference between the wall clocks of consecutive instances.
const CLOCK_SKEW_US: u64 = 10_000;

pub struct Instance {
    pub policy: Policy,
    pub fleet: Fleet,
    pub prefixes: PrefixIndex,
    pub chooser: Box<dyn Chooser>,
    pub ramps: Ramps,
    pub queues: [FairQueue<usize>; 2],
    pub limits: [FixedLimit; 2],
    pub priorities: Priorities,
    /// Lead of the wall clock over that of the first instance.
    pub clock_ahead_us: u64,
    pub shares: Vec<InstanceBucket>,
    pub owners: OwnedBuckets,
    pub names: Vec<Name>,
    /// Time of the scheduled poll of each share, if any.
    pub polls: Vec<Option<u64>>,
}

impl Instance {
    pub fn new(
        policy: Policy,
        index: usize,
        zone: usize,
        instances: &[Name],
        endpoints: &[Endpoint],
        teams: &[Limit],
    ) -> Self {
        let name = &instances[index];
        let ours = matches!(policy, Policy::Ours | Policy::RoutingOnly);
        let chooser: Box<dyn Chooser> = match policy {
            Policy::RoundRobin => Box::new(RoundRobin::default()),
            _ if ours => {
                // With priorities, `next` limits the teams that exceed their share.
                let max_group_load_factor =
                    if policy == Policy::Ours { PRIORITY_LOAD_FACTOR } else { 1.0 };
                let cfg = CostConfig { max_group_load_factor, ..CostConfig::default() };
                Box::new(CostChooser::new(format!("z{zone}").into(), cfg))
            }
            _ => Box::new(LeastConnections),
        };
        let order = || -> Box<dyn ProgramOrder> {
            match policy {
                Policy::Ours => Box::new(LasDeadline::default()),
                _ => Box::new(Fcfs),
            }
        };
        let queue = || FairQueue::new(QueueConfig::default(), order());
        let slots: u32 = endpoints.iter().map(|e| e.capacity).sum();
        let in_flight =
            if policy == Policy::Fcfs { slots / instances.len() as u32 } else { u32::MAX };
        let mut this = Self {
            policy,
            fleet: Fleet::new(),
            prefixes: PrefixIndex::new(200_000),
            chooser,
            ramps: Ramps::new(name.clone(), us(LEASE_US)),
            queues: [queue(), queue()],
            limits: [FixedLimit::new(in_flight), FixedLimit::new(u32::MAX)],
            priorities: Priorities::new(PriorityConfig::default()),
            clock_ahead_us: index as u64 * CLOCK_SKEW_US,
            shares: Vec::new(),
            owners: OwnedBuckets::new(name.clone(), index as u64 + 1, us(LEASE_US), MIN_VALIDITY),
            names: (0..endpoints.len()).map(|i| Name::from(format!("e{i:02}"))).collect(),
            polls: vec![None; TEAM_LOAD_FRACTIONS.len()],
        };
        let view = View { epoch: 1, instances: instances.to_vec() };
        this.owners.observe_view(&view, us(0));
        this.ramps.observe_view(&view, us(0));
        for (i, endpoint) in endpoints.iter().enumerate() {
            this.declare(i, endpoint);
        }
        for limit in teams {
            this.shares.push(InstanceBucket::new(
                name.clone(),
                *limit,
                InstanceBucketConfig::default(),
            ));
        }
        this
    }

    fn declare(&mut self, i: usize, endpoint: &Endpoint) {
        let group = Name::from(GROUPS[usize::from(endpoint.cache_blocks == 0)]);
        let id = self.fleet.upsert(EndpointSpec {
            name: self.names[i].clone(),
            zone: format!("z{}", endpoint.zone).into(),
            groups: vec![group.clone()],
            capacity: endpoint.capacity,
            prefill_per_second: endpoint.prefill_per_s,
            service_s: 1.0,
            leaving: false,
        });
        assert_eq!(id.0 as usize, i);
        self.prefixes.register(id, endpoint.cache_blocks as u32);
        self.ramps.upsert(RampSpec {
            endpoint: self.names[i].clone(),
            group,
            capacity: endpoint.capacity,
            cold_capacity: endpoint.cold_capacity,
            ramp: us(endpoint.ramp_us),
        });
        self.ramps.observe_run(
            &self.names[i],
            endpoint.run,
            Some(us(endpoint.uptime_us(0))),
            us(0),
        );
    }

    /// Applies a load report and sets the limits of a cold endpoint.
    pub fn report(&mut self, i: usize, report: &LoadReport, run: u64, uptime: u64, now: u64) {
        let id = EndpointId(i as u32);
        self.fleet.report(id, report);
        if !matches!(self.policy, Policy::Ours | Policy::RoutingOnly) {
            return;
        }
        self.ramps.observe_run(&self.names[i], run, Some(us(uptime)), us(now));
        let cap = self.ramps.cap(&self.names[i], us(now));
        self.fleet.set_cap(id, cap.map(|c| c.own));
        self.fleet.set_capacity_limit(id, cap.map(|c| c.total));
    }

    pub fn push(&mut self, group: usize, team: usize, call: Call<usize>, now: u64) {
        let fair = self.policy == Policy::Ours;
        let weight = if group == 0 { weight_of(team) } else { 1 };
        let team = if fair { call.team } else { "all".into() };
        let call = Call { team, weight, ..call };
        self.queues[group].push(call, us(now)).expect("the queue has room");
    }

    /// Takes the next call. Teams within their share may wait at the engines, where priorities put
    /// them first; the others wait here until an engine has room.
    pub fn next(&mut self, group: usize, now: u64) -> Option<Entry<usize>> {
        let all = self.policy != Policy::Ours
            || group == 1
            || self.fleet.load_factor(GROUPS[group]) < 1.0;
        let priorities = &self.priorities;
        let eligible = |team: &Name| all || priorities.is_within_share(team);
        self.queues[group].pop_where(&mut self.limits[group], us(now), eligible)
    }

    /// Returns the priority of a call that is being dispatched; zero if the policy sends no
    /// priorities.
    pub fn priority(&mut self, team: usize, name: &Name, cost: u64, now: u64) -> i64 {
        if self.policy != Policy::Ours {
            return 0;
        }
        let unix = us(now + self.clock_ahead_us);
        self.priorities.dispatch(name, weight_of(team), cost, us(now), unix)
    }

    pub fn choose(
        &mut self,
        group: usize,
        blocks: &[u64],
        prompt_tokens: u32,
        last: Option<usize>,
        rng: &mut rand::rngs::StdRng,
    ) -> Result<usize, NoRoute> {
        let last = last.map(|i| EndpointId(i as u32));
        let block_tokens = BLOCK_TOKENS;
        let group = GROUPS[group];
        let req = RouteRequest {
            group,
            blocks,
            block_tokens,
            prompt_tokens,
            last_endpoint: last,
            affinity: None,
            excluded: &[],
        };
        let choice = self.chooser.choose(&self.fleet, &self.prefixes, &req, rng)?;
        Ok(choice.endpoint.0 as usize)
    }
}

fn weight_of(team: usize) -> u32 {
    (100.0 * TEAM_LOAD_FRACTIONS[team]) as u32
}
