//! Event loop that simulates programs, network, instances and endpoints.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use poplarspan_policy::Name;
use poplarspan_policy::rate::*;
use poplarspan_policy::route::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::endpoint::{Endpoint, Work};
use super::instance::Instance;
use super::workload::{self, BLOCK_TOKENS, Program, TEAM_LOAD_FRACTIONS, Turn};
use super::{Deployment, Measures, Policy, Scenario, us};

const INSTANCES: usize = 8;
/// Programs start after this time, when the owners of rate buckets have started.
pub(super) const START_US: u64 = 10_000_000;
const MODEL_SLOTS: u32 = 16;
const SERVICE_SLOTS: u32 = 8;
const PREFILL_PER_S: f64 = 20_000.0;
const TOKEN_S: f64 = 0.015;
const SHARED_PROMPT_TOKENS: u32 = 1_500;
pub(super) const DEADLINE_US: [u64; 2] = [60_000_000, 10_000_000];
const REPORT_US: u64 = 100_000;

pub(super) struct Chain {
    pub(super) program: usize,
    pub(super) turns: Vec<Turn>,
    pub(super) next: usize,
    pub(super) blocks: Vec<u64>,
    pub(super) tokens: u32,
    pub(super) parent: Option<usize>,
    /// Number of tool calls and sub-agents that must end before the next turn.
    pub(super) pending: usize,
    pub(super) last: Option<usize>,
    pub(super) root: Name,
}

pub(super) struct Call {
    pub(super) chain: usize,
    pub(super) group: usize,
    pub(super) instance: usize,
    pub(super) arrived: u64,
    pub(super) within_rate: bool,
    pub(super) endpoint: usize,
    pub(super) dispatched: u64,
    pub(super) priority: i64,
}

pub(super) enum Event {
    Start(usize),
    Arrive(usize),
    Poll(usize, usize),
    Expire(usize, usize),
    RequestTokens(usize, usize, usize, TokenRequest),
    Grant(usize, usize, u64, Answer),
    AtEndpoint(usize),
    Done(usize),
    Answered(usize),
    Tick(usize),
    Report(Rc<Reported>),
    Zone(Option<usize>, bool),
}

pub(super) struct Reported {
    endpoint: usize,
    load: LoadReport,
    run: u64,
    uptime: u64,
    events: Vec<CacheEvent>,
}

pub struct World {
    pub(super) policy: Policy,
    pub(super) scenario: Scenario,
    pub(super) deployment: Deployment,
    pub(super) rng: StdRng,
    pub(super) now: u64,
    pub(super) events: BTreeMap<(u64, u64), Event>,
    pub(super) sequence: u64,
    pub(super) programs: Vec<Program>,
    pub(super) unfinished_measured: usize,
    pub(super) chains: Vec<Chain>,
    pub(super) calls: Vec<Call>,
    pub(super) endpoints: Vec<Endpoint>,
    pub(super) cache_events: Vec<u64>,
    pub(super) instances: Vec<Instance>,
    pub(super) local_buckets: Vec<Vec<OwnerBucket>>,
    pub(super) tickets: HashMap<(usize, usize, Ticket), usize>,
    pub(super) limits: Vec<Limit>,
    pub(super) reference_buckets: Vec<(f64, u64)>,
    pub(super) teams: Vec<Name>,
    pub(super) prefilled_blocks: HashSet<u64>,
    pub(super) outage_latencies_us: Vec<u64>,
    pub(super) measures: Measures,
}

fn chain_calls(turns: &[Turn]) -> usize {
    let children = |t: &Turn| t.children.iter().map(|c| chain_calls(c)).sum::<usize>();
    turns.iter().map(|t| 2 + children(t)).sum()
}

impl World {
    pub fn new(deployment: &Deployment, policy: Policy, scenario: &Scenario) -> Self {
        let slots = f64::from(MODEL_SLOTS) * deployment.models as f64;
        let token_s = TOKEN_S * (1.0 + 0.5 * scenario.load);
        let mut factors = [1.0; 8];
        if let Some(greedy) = scenario.greedy {
            factors[greedy] = 5.0;
        }
        let (seed, duration) = (scenario.seed, scenario.duration_s);
        let busy = slots * scenario.load;
        let programs = workload::programs(seed, duration, busy, &factors, PREFILL_PER_S, token_s);
        let mut calls = [0.0; 8];
        for program in &programs {
            calls[program.team] += chain_calls(&program.turns) as f64;
        }
        let limits: Vec<Limit> = calls
            .iter()
            .map(|n| 1.5 * n / duration)
            .map(|rate| Limit::new(rate, (2.0 * rate).max(10.0) as u32))
            .collect();
        let endpoints: Vec<Endpoint> = (0..deployment.models + deployment.services)
            .map(|i| {
                let service = i >= deployment.models;
                let capacity = if service { SERVICE_SLOTS } else { MODEL_SLOTS };
                let mut e = Endpoint::new(i % deployment.zones, capacity, PREFILL_PER_S, TOKEN_S);
                if service {
                    e.cache_blocks = 0;
                }
                e
            })
            .collect();
        let names: Vec<Name> = (0..INSTANCES).map(|i| Name::from(format!("i{i}"))).collect();
        let instances = (0..INSTANCES)
            .map(|i| Instance::new(policy, i, i % deployment.zones, &names, &endpoints, &limits))
            .collect();
        let part = |l: &Limit| {
            Limit::new(l.per_second() / INSTANCES as f64, l.burst().div_ceil(INSTANCES as u32))
        };
        let full = |l: &Limit| OwnerBucket::new(part(l), MIN_VALIDITY, f64::from(l.burst()), us(0));
        let mut world = Self {
            policy,
            scenario: *scenario,
            deployment: *deployment,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now: 0,
            events: BTreeMap::new(),
            sequence: 0,
            unfinished_measured: 0,
            chains: Vec::new(),
            calls: Vec::new(),
            cache_events: vec![0; endpoints.len()],
            instances,
            local_buckets: (0..INSTANCES).map(|_| limits.iter().map(full).collect()).collect(),
            tickets: HashMap::new(),
            reference_buckets: limits.iter().map(|l| (f64::from(l.burst()), 0)).collect(),
            limits,
            teams: (0..TEAM_LOAD_FRACTIONS.len()).map(|t| Name::from(format!("t{t}"))).collect(),
            prefilled_blocks: HashSet::new(),
            outage_latencies_us: Vec::new(),
            measures: Measures::default(),
            programs,
            endpoints,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for i in 0..self.programs.len() {
            self.schedule(START_US + self.programs[i].arrival_us, Event::Start(i));
            self.unfinished_measured += usize::from(self.is_measured(i));
        }
        for e in 0..self.endpoints.len() {
            let at = START_US / 2 + REPORT_US * e as u64 / self.endpoints.len() as u64;
            self.schedule(at, Event::Tick(e));
        }
        if self.scenario.zone_outage {
            let third = (self.scenario.duration_s * 1e6 / 3.0) as u64;
            for (at, out) in [(third, true), (2 * third, false)] {
                self.schedule(START_US + at, Event::Zone(None, out));
                for i in 0..INSTANCES {
                    let lag = self.rng.random_range(0..1_000_000);
                    self.schedule(START_US + at + lag, Event::Zone(Some(i), out));
                }
            }
        }
    }

    fn is_measured(&self, program: usize) -> bool {
        let part = self.programs[program].arrival_us as f64 / 1e6 / self.scenario.duration_s;
        (0.2..0.6).contains(&part)
    }

    pub(super) fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time.max(self.now), self.sequence), event);
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> u64 {
        let far = from % self.deployment.zones != to % self.deployment.zones;
        let base = if far { self.deployment.zone_us } else { 100 };
        base + self.rng.random_range(0..200)
    }

    pub fn run(mut self) -> Measures {
        let end = START_US + ((self.scenario.duration_s + 200.0) * 1e6) as u64;
        let duration = START_US + (self.scenario.duration_s * 1e6) as u64;
        while let Some(((now, _), event)) = self.events.pop_first() {
            self.now = now;
            if now > end || now > duration && self.unfinished_measured == 0 {
                break;
            }
            self.handle(event);
        }
        self.measures.unfinished = self.unfinished_measured;
        self.measures.latencies_s.sort_by(f64::total_cmp);
        self.outage_latencies_us.sort();
        let at = (self.outage_latencies_us.len() * 95 / 100)
            .min(self.outage_latencies_us.len().saturating_sub(1));
        self.measures.outage_call_p95_s =
            self.outage_latencies_us.get(at).map_or(0.0, |n| *n as f64 / 1e6);
        self.measures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(program) => self.start(program),
            Event::Arrive(call) => self.arrive(call),
            Event::Poll(i, team) => self.poll(i, team),
            Event::Expire(i, team) => {
                let decided = self.instances[i].shares[team].expire(us(self.now));
                self.decide(i, team, decided);
            }
            Event::RequestTokens(to, from, team, ask) => {
                let (limit, now) = (self.limits[team], us(self.now));
                let answer = self.instances[to].owners.request(&self.teams[team], limit, &ask, now);
                let at = self.now + self.delay(to, from);
                self.schedule(at, Event::Grant(from, team, ask.id, answer));
            }
            Event::Grant(i, team, ask, answer) => {
                let Answer::Granted(grant) = answer else { panic!("owners have started") };
                let decided = self.instances[i].shares[team].on_grant(ask, &grant, us(self.now));
                self.decide(i, team, decided);
                self.schedule_poll(i, team);
            }
            Event::AtEndpoint(call) => self.at_endpoint(call),
            Event::Done(call) => self.done(call),
            Event::Answered(call) => self.answered(call),
            Event::Tick(e) => self.tick(e),
            Event::Report(report) => self.report(&report),
            Event::Zone(instance, out) => self.set_zone_out(instance, out),
        }
    }

    fn start(&mut self, program: usize) {
        let Program { team, turns, .. } = self.programs[program].clone();
        let blocks = (0..u64::from(SHARED_PROMPT_TOKENS / BLOCK_TOKENS))
            .map(|i| (team as u64 + 1) << 40 | i)
            .collect();
        let root = Name::from(format!("p{program}"));
        let chain = Chain {
            program,
            turns,
            next: 0,
            blocks,
            tokens: SHARED_PROMPT_TOKENS,
            parent: None,
            pending: 0,
            last: None,
            root,
        };
        self.chains.push(chain);
        self.turn(self.chains.len() - 1);
    }

    fn turn(&mut self, chain: usize) {
        let c = &mut self.chains[chain];
        let Some(turn) = c.turns.get(c.next) else { return self.ended(chain) };
        c.tokens += turn.new_tokens;
        self.extend(chain);
        self.call(chain, 0, 0);
    }

    fn extend(&mut self, chain: usize) {
        let c = &mut self.chains[chain];
        while c.blocks.len() < (c.tokens / BLOCK_TOKENS) as usize {
            c.blocks.push((chain as u64 + 1000) << 40 | c.blocks.len() as u64);
        }
    }

    fn ended(&mut self, chain: usize) {
        if let Some(parent) = self.chains[chain].parent {
            return self.subtask_ended(parent);
        }
        let program = self.chains[chain].program;
        if self.is_measured(program) {
            let took = self.now - START_US - self.programs[program].arrival_us;
            self.measures.latencies_s.push(took as f64 / 1e6);
            self.unfinished_measured -= 1;
        }
    }

    fn subtask_ended(&mut self, chain: usize) {
        let c = &mut self.chains[chain];
        c.pending -= 1;
        if c.pending == 0 {
            c.next += 1;
            self.turn(chain);
        }
    }

    /// Sends a call to a random instance, as the platform's load balancer does.
    pub(super) fn call(&mut self, chain: usize, group: usize, after: u64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let arrived = self.now + after + self.deployment.client_us;
        self.calls.push(Call {
            chain,
            group,
            instance,
            arrived,
            within_rate: false,
            endpoint: 0,
            dispatched: 0,
            priority: 0,
        });
        self.schedule(arrived, Event::Arrive(self.calls.len() - 1));
    }

    fn at_endpoint(&mut self, call: usize) {
        let Call { chain, group, endpoint, priority, .. } = self.calls[call];
        let c = &self.chains[chain];
        let turn = &c.turns[c.next];
        let work = if group == 0 {
            Work {
                call,
                blocks: c.blocks.clone(),
                prompt_tokens: c.tokens,
                output_tokens: turn.output_tokens,
                fixed_us: None,
                priority,
            }
        } else {
            let fixed_us = Some(turn.tool_us);
            let (blocks, prompt_tokens, output_tokens) = (vec![], 0, 0);
            Work { call, blocks, prompt_tokens, output_tokens, fixed_us, priority }
        };
        self.endpoints[endpoint].enqueue(work);
        self.start_queued(endpoint);
    }

    fn start_queued(&mut self, endpoint: usize) {
        while let Some(started) = self.endpoints[endpoint].start(self.now) {
            for block in started.prefilled_blocks {
                let tokens = u64::from(BLOCK_TOKENS);
                if self.prefilled_blocks.insert(block) {
                    self.measures.needed_tokens += tokens;
                } else {
                    self.measures.wasted_tokens += tokens;
                }
            }
            self.schedule(started.ends_us, Event::Done(started.call));
        }
    }

    fn done(&mut self, call: usize) {
        let Call { chain, group, endpoint, instance, .. } = self.calls[call];
        self.endpoints[endpoint].running -= 1;
        if group == 0 {
            let c = &mut self.chains[chain];
            c.tokens += c.turns[c.next].output_tokens;
            c.last = Some(endpoint);
            self.extend(chain);
            let blocks = &self.chains[chain].blocks;
            self.prefilled_blocks.extend(blocks);
            let e = &mut self.endpoints[endpoint];
            e.cache.store(blocks, e.cache_blocks);
        }
        let at = self.now + self.delay(self.endpoints[endpoint].zone, instance);
        self.schedule(at, Event::Answered(call));
        self.start_queued(endpoint);
    }

    fn answered(&mut self, call: usize) {
        let Call { chain, group, endpoint, instance, dispatched, arrived, .. } = self.calls[call];
        let (now, id) = (us(self.now), EndpointId(endpoint as u32));
        let this = &mut self.instances[instance];
        this.fleet.call_ended(id, Some(us(self.now - dispatched)), now);
        use poplarspan_policy::fair::InFlightLimit;
        this.limits[group].release(0);
        self.dispatch_queued(instance, group);
        if group == 1 {
            return self.subtask_ended(chain);
        }
        let third = (self.scenario.duration_s * 1e6 / 3.0) as u64;
        if (START_US + third..START_US + 2 * third).contains(&arrived) {
            self.outage_latencies_us.push(self.now - arrived);
        }
        let team = self.team(call);
        let c = &mut self.chains[chain];
        let turn = c.turns[c.next].clone();
        c.pending = 1 + turn.children.len();
        let duration = (self.scenario.duration_s * 1e6) as u64;
        let first_half = self.programs[c.program].arrival_us < duration / 2;
        if first_half && self.now < START_US + duration {
            self.measures.served[team] += f64::from(turn.output_tokens);
        }
        self.call(chain, 1, 0);
        for turns in turn.children {
            let c = &self.chains[chain];
            let child = Chain {
                program: c.program,
                turns,
                next: 0,
                blocks: c.blocks.clone(),
                tokens: c.tokens,
                parent: Some(chain),
                pending: 0,
                last: c.last,
                root: c.root.clone(),
            };
            self.chains.push(child);
            self.turn(self.chains.len() - 1);
        }
    }

    fn tick(&mut self, e: usize) {
        let taken = us(self.now);
        let lag = self.rng.random_range(100_000..300_000);
        let endpoint = &mut self.endpoints[e];
        let load = LoadReport {
            running: endpoint.running,
            queued: endpoint.queue.len() as u32,
            measured_at: taken,
        };
        let mut events = Vec::new();
        let stored = std::mem::take(&mut endpoint.cache.stored);
        let removed = std::mem::take(&mut endpoint.cache.removed);
        for change in [CacheChange::Stored(stored), CacheChange::Removed(removed)] {
            self.cache_events[e] += 1;
            if !self.rng.random_bool(0.02) {
                events.push(CacheEvent {
                    sequence: self.cache_events[e],
                    occurred_at: taken,
                    change,
                });
            }
        }
        let uptime = endpoint.uptime_us(self.now) + lag;
        let report = Reported { endpoint: e, load, run: endpoint.run, uptime, events };
        self.start_queued(e);
        self.schedule(self.now + lag, Event::Report(Rc::new(report)));
        self.schedule(self.now + REPORT_US, Event::Tick(e));
    }

    fn report(&mut self, report: &Reported) {
        let e = report.endpoint;
        for i in 0..INSTANCES {
            let this = &mut self.instances[i];
            this.report(e, &report.load, report.run, report.uptime, self.now);
            for event in &report.events {
                this.prefixes.apply_event(EndpointId(e as u32), event);
            }
            self.dispatch_queued(i, usize::from(e >= self.deployment.models));
        }
    }

    fn set_zone_out(&mut self, instance: Option<usize>, out: bool) {
        match instance {
            Some(i) => {
                self.instances[i].fleet.set_zone_out(&"z0".into(), out);
                self.dispatch_queued(i, 0);
                self.dispatch_queued(i, 1);
            }
            // The endpoints of the zone return restarted.
            None if !out => {
                let now = self.now;
                self.endpoints.iter_mut().filter(|e| e.zone == 0).for_each(|e| e.restart(now));
            }
            None => {}
        }
    }
}
