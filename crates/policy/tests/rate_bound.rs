//! Guards invariant I6: no team gets more than its rate and burst over all instances, with messages
//! lost, delayed and repeated, and instances isolated, frozen and restarted.

mod common;

use std::time::Duration;

use common::{fixed_seed, ms};
use poplarspan_policy::Name;
use poplarspan_policy::rate::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE: Duration = Duration::from_secs(2);
const HEARTBEAT_MS: u64 = 300;
const INSTANCES: usize = 4;

#[derive(Clone, Debug)]
enum Message {
    Heartbeat { sent: u64 },
    Lease { sent: u64, view: View },
    Request(TokenRequest),
    Answer(u64, Answer),
    Claim(Claim),
    Transfer(Transfer),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Isolate,
    Freeze,
    Restart,
}

#[derive(Clone, Debug)]
struct Scenario {
    rate: f64,
    burst: u32,
    offered: f64,
    /// If set, calls arrive in bursts at each instance, this many milliseconds apart.
    pulse: Option<u64>,
    loss: f64,
    max_delay: u64,
    faults: Vec<(u64, usize, Fault, u64)>,
    seed: u64,
}

struct Instance {
    owned: OwnedBuckets,
    share: InstanceBucket,
    lease_until: u64,
    epoch: u64,
    frozen_until: u64,
    isolated_until: u64,
}

/// Simulation of instances, one leader that grants leases, and the network between them.
struct World {
    scenario: Scenario,
    rng: StdRng,
    names: Vec<Name>,
    instances: Vec<Instance>,
    net: Vec<(u64, usize, usize, Message)>,
    view: View,
    leases: Vec<u64>,
    session: u64,
    uses: Vec<u64>,
    refused: u64,
    team: Name,
    limit: Limit,
}

const LEADER: usize = INSTANCES;

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut names: Vec<Name> = (0..INSTANCES).map(|i| Name::from(format!("i{i}"))).collect();
        // Instance 0 owns the team if it is live, otherwise instance 1, and so on.
        for at in 0..INSTANCES {
            let owner = owner_of("team", &names[at..]).unwrap().clone();
            let found = names.iter().position(|n| *n == owner).unwrap();
            names.swap(at, found);
        }
        let limit = Limit::new(scenario.rate, scenario.burst);
        let mut world = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            names,
            instances: Vec::new(),
            net: Vec::new(),
            view: View { epoch: 0, instances: Vec::new() },
            leases: vec![0; INSTANCES],
            session: 0,
            uses: Vec::new(),
            refused: 0,
            team: Name::from("team"),
            limit,
            scenario,
        };
        world.instances = (0..INSTANCES).map(|i| world.started(i)).collect();
        world
    }

    fn started(&mut self, i: usize) -> Instance {
        self.session += 1;
        Instance {
            owned: OwnedBuckets::new(self.names[i].clone(), self.session, LEASE, MIN_VALIDITY),
            share: InstanceBucket::new(
                self.names[i].clone(),
                self.limit,
                InstanceBucketConfig::default(),
            ),
            lease_until: 0,
            epoch: 0,
            frozen_until: 0,
            isolated_until: 0,
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if from == to {
            self.net.push((now, from, to, message));
            return;
        }
        let cut = |i: usize| i != LEADER && self.instances[i].isolated_until > now;
        if cut(from) || cut(to) || self.rng.random_bool(self.scenario.loss) {
            return;
        }
        let late = if self.rng.random_bool(self.scenario.loss / 3.0) { 4000 } else { 0 };
        let at = now + self.rng.random_range(0..=self.scenario.max_delay.max(late));
        if matches!(message, Message::Transfer(_)) && self.rng.random_bool(0.5) {
            let again = at + self.rng.random_range(0..1500);
            self.net.push((again, from, to, message.clone()));
        }
        self.net.push((at, from, to, message));
    }

    fn step(&mut self, now: u64) {
        self.update_view(now);
        let frozen = |w: &Self, to: usize| to != LEADER && w.instances[to].frozen_until > now;
        let net = std::mem::take(&mut self.net);
        for (at, from, to, message) in net {
            // Messages to a frozen process stay in its socket buffer until it resumes.
            if at > now || frozen(self, to) {
                self.net.push((at, from, to, message));
            } else {
                self.deliver(now, from, to, message);
            }
        }
        for i in 0..INSTANCES {
            if self.instances[i].frozen_until <= now {
                self.run(now, i);
            }
        }
    }

    fn update_view(&mut self, now: u64) {
        let live: Vec<Name> = (0..INSTANCES)
            .filter(|i| self.leases[*i] > now)
            .map(|i| self.names[i].clone())
            .collect();
        if live != self.view.instances {
            self.view = View { epoch: self.view.epoch + 1, instances: live };
        }
    }

    fn deliver(&mut self, now: u64, from: usize, to: usize, message: Message) {
        match message {
            Message::Heartbeat { sent } => {
                self.leases[from] = now + LEASE.as_millis() as u64;
                self.update_view(now);
                let view = self.view.clone();
                self.send(now, LEADER, from, Message::Lease { sent, view });
            }
            Message::Lease { sent, view } => {
                let this = &mut self.instances[to];
                this.lease_until = this.lease_until.max(sent + LEASE.as_millis() as u64);
                if view.epoch > this.epoch {
                    this.epoch = view.epoch;
                    this.share.on_new_owner(ms(now));
                    this.owned.observe_view(&view, ms(now));
                }
            }
            Message::Request(request) => {
                let this = &mut self.instances[to];
                if this.lease_until > now {
                    let answer = this.owned.request(&self.team, self.limit, &request, ms(now));
                    if let Some((former, claim)) = this.owned.claim(&self.team, ms(now)) {
                        let former = self.names.iter().position(|n| *n == former).unwrap();
                        self.send(now, to, former, Message::Claim(claim));
                    }
                    self.send(now, to, from, Message::Answer(request.id, answer));
                }
            }
            Message::Answer(request, answer) => {
                let share = &mut self.instances[to].share;
                let decided = match answer {
                    Answer::Granted(grant) => share.on_grant(request, &grant, ms(now)),
                    Answer::Starting { retry_after } => share.on_starting(retry_after, ms(now)),
                    Answer::NotOwner(_) => Vec::new(),
                };
                self.count(now, &decided);
            }
            Message::Claim(claim) => {
                if let Some(transfer) = self.instances[to].owned.release(&claim, ms(now)) {
                    self.send(now, to, from, Message::Transfer(transfer));
                }
            }
            Message::Transfer(transfer) => {
                self.instances[to].owned.accept(&transfer, self.limit, ms(now));
            }
        }
    }

    fn count(&mut self, now: u64, decided: &[(Ticket, Verdict)]) {
        for (_, verdict) in decided {
            match verdict {
                Verdict::Granted(permit) => {
                    assert!(permit.valid_until > ms(now));
                    self.uses.push(now);
                }
                Verdict::Refused { .. } => self.refused += 1,
            }
        }
    }

    fn run(&mut self, now: u64, i: usize) {
        if now % HEARTBEAT_MS == 37 * i as u64 {
            self.send(now, i, LEADER, Message::Heartbeat { sent: now });
        }
        let expired = self.instances[i].share.expire(ms(now));
        self.count(now, &expired);
        if self.instances[i].lease_until <= now {
            return;
        }
        let per_ms = self.scenario.offered * self.scenario.rate / 1000.0 / INSTANCES as f64;
        let mut calls = per_ms as u32 + u32::from(self.rng.random_bool(per_ms.fract()));
        if let Some(every) = self.scenario.pulse {
            calls = if now.is_multiple_of(every) { self.scenario.burst + 1 } else { 0 };
        }
        for _ in 0..calls {
            let max_wait_ms = if self.scenario.pulse.is_some() { 3000 } else { 400 };
            match self.instances[i].share.acquire(ms(now + max_wait_ms), ms(now)) {
                Admission::Granted(_) => self.uses.push(now),
                Admission::Refused { .. } => self.refused += 1,
                Admission::Wait(_) => {}
            }
        }
        let owner = self.instances[i].owned.owner(&self.team).cloned();
        if let (Some(owner), Some(request)) = (owner, self.instances[i].share.poll(ms(now))) {
            let to = self.names.iter().position(|n| *n == owner).unwrap();
            self.send(now, i, to, Message::Request(request));
        }
        self.instances[i].owned.prune(ms(now));
    }

    fn fault(&mut self, now: u64, i: usize, fault: Fault, lasting: u64) {
        match fault {
            Fault::Isolate => self.instances[i].isolated_until = now + lasting,
            Fault::Freeze => self.instances[i].frozen_until = now + lasting,
            Fault::Restart => {
                self.instances[i] = self.started(i);
                self.net.retain(|(_, _, to, _)| *to != i);
            }
        }
    }

    fn simulate(&mut self, from: u64, until: u64) {
        for now in from..until {
            for (at, i, fault, lasting) in self.scenario.faults.clone() {
                if at == now {
                    self.fault(now, i, fault, lasting);
                }
            }
            self.step(now);
        }
    }

    /// Returns the highest level of a leaky bucket that drains at the rate. It is at most the burst
    /// if and only if every window of length `T` has at most `burst + rate * T` uses.
    fn highest_fill(&self) -> f64 {
        let (mut fill, mut last, mut highest) = (0.0_f64, 0, 0.0_f64);
        for use_at in &self.uses {
            fill = (fill - self.scenario.rate * (use_at - last) as f64 / 1000.0).max(0.0) + 1.0;
            highest = highest.max(fill);
            last = *use_at;
        }
        highest
    }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let kind = prop_oneof![Just(Fault::Isolate), Just(Fault::Freeze), Just(Fault::Restart)];
    let who = prop_oneof![3 => Just(0), 2 => Just(1), 1 => 2..INSTANCES];
    let fault = (3500..8000_u64, who, kind, 50..6000_u64);
    (
        prop_oneof![Just((20.0, 1)), Just((50.0, 5)), Just((100.0, 40)), Just((400.0, 300))],
        0.3..4.0_f64,
        prop_oneof![Just(None), (300..2000_u64).prop_map(Some)],
        prop_oneof![Just(0.0), 0.0..0.3_f64],
        1..30_u64,
        prop::collection::vec(fault, 0..8),
        any::<u64>(),
    )
        .prop_map(|((rate, burst), offered, pulse, loss, max_delay, faults, seed)| Scenario {
            rate,
            burst,
            offered,
            pulse,
            loss,
            max_delay,
            faults,
            seed,
        })
}

proptest! {
    #![proptest_config(fixed_seed(32, 11))]

    /// Guards against a token that is used twice, and two owners that grant from the same refill.
    #[test]
    fn uses_stay_under_rate_and_burst(scenario in scenarios()) {
        let mut world = World::new(scenario);
        world.simulate(0, 12_000);
        let highest = world.highest_fill();
        prop_assert!(
            highest <= f64::from(world.scenario.burst) + 1e-6,
            "fill {highest} above burst {}", world.scenario.burst
        );
    }
}

/// Simulates 10 s without faults, after 4 s in which the instances join and the owner starts.
fn run_without_faults(offered: f64, burst: u32) -> World {
    let scenario = Scenario {
        rate: 500.0,
        burst,
        offered,
        pulse: None,
        loss: 0.0,
        max_delay: 3,
        faults: Vec::new(),
        seed: 5,
    };
    let mut world = World::new(scenario);
    world.simulate(0, 4_000);
    world.uses.clear();
    world.refused = 0;
    world.simulate(4_000, 14_000);
    world
}

/// Guards against refusals of calls within the rate in steady state, and against lost throughput.
#[test]
fn calls_within_rate_are_admitted() {
    let world = run_without_faults(0.9, 250);
    assert_eq!(world.refused, 0);
    assert!(world.uses.len() > 4_300, "{} uses", world.uses.len());
}

/// Guards against an overload that reduces the admitted rate.
#[test]
fn overload_keeps_full_rate() {
    let world = run_without_faults(5.0, 50);
    assert!(world.uses.len() > 4_950, "{} uses", world.uses.len());
}

/// Guards against a transfer that takes as long as the failure of an owner: an owner that joins
/// takes the bucket over from the live former owner.
#[test]
fn joining_owner_takes_over() {
    let limit = Limit::new(100.0, 50);
    let names: Vec<Name> = ["i0", "i1"].map(Name::from).to_vec();
    let team = Name::from("team");
    let joining = owner_of(&team, &names).unwrap().clone();
    let former = names.iter().find(|n| **n != joining).unwrap().clone();
    let request =
        TokenRequest { id: 0, instance: "x".into(), waiting: 20, prefetch: 0, reports: Vec::new() };
    let mut old = OwnedBuckets::new(former.clone(), 1, LEASE, MIN_VALIDITY);
    old.observe_view(&View { epoch: 1, instances: vec![former.clone()] }, ms(0));
    assert!(matches!(old.request(&team, limit, &request, ms(2999)), Answer::Starting { .. }));
    let Answer::Granted(grant) = old.request(&team, limit, &request, ms(5000)) else { panic!() };
    assert_eq!(grant.tokens, 20);
    let view = View { epoch: 2, instances: names };
    let mut new = OwnedBuckets::new(joining, 2, LEASE, MIN_VALIDITY);
    new.observe_view(&view, ms(5000));
    assert!(matches!(new.request(&team, limit, &request, ms(5001)), Answer::Starting { .. }));
    let (to, claim) = new.claim(&team, ms(5001)).unwrap();
    assert_eq!(to, former);
    assert_eq!(old.release(&claim, ms(5002)), None, "the former owner does not know the view");
    old.observe_view(&view, ms(5010));
    let transfer = old.release(&claim, ms(5010)).unwrap();
    assert_eq!(old.release(&claim, ms(5011)), None, "a bucket is transferred once");
    let mut restarted = OwnedBuckets::new(claim.to.clone(), 3, LEASE, MIN_VALIDITY);
    restarted.observe_view(&view, ms(5011));
    assert!(!restarted.accept(&transfer, limit, ms(5012)));
    assert!(new.accept(&transfer, limit, ms(5012)) && !new.accept(&transfer, limit, ms(5012)));
    assert_eq!(transfer.outstanding, 20);
    let request = TokenRequest { waiting: 50, ..request };
    let Answer::Granted(grant) = new.request(&team, limit, &request, ms(5100)) else { panic!() };
    assert_eq!(grant.tokens, 30, "the tokens of the former owner are still outstanding");
}

/// Guards against an owner that missed views and grants from its old bucket, and against a bucket
/// that is transferred when the new owner may have started another one.
#[test]
fn old_buckets_are_not_used() {
    let limit = Limit::new(100.0, 50);
    let names: Vec<Name> = ["i0", "i1"].map(Name::from).to_vec();
    let team = Name::from("team");
    let joining = owner_of(&team, &names).unwrap().clone();
    let former = names.iter().find(|n| **n != joining).unwrap().clone();
    let request =
        TokenRequest { id: 0, instance: "x".into(), waiting: 1, prefetch: 0, reports: Vec::new() };
    let alone = |epoch| View { epoch, instances: vec![former.clone()] };
    let mut owned = OwnedBuckets::new(former.clone(), 1, LEASE, MIN_VALIDITY);
    owned.observe_view(&alone(1), ms(0));
    assert!(matches!(owned.request(&team, limit, &request, ms(5000)), Answer::Granted(_)));
    owned.observe_view(&alone(3), ms(6000));
    assert!(matches!(owned.request(&team, limit, &request, ms(8999)), Answer::Starting { .. }));
    assert!(matches!(owned.request(&team, limit, &request, ms(9000)), Answer::Granted(_)));
    let claim = Claim { team, to: joining, session: 2, epoch: 4 };
    owned.observe_view(&View { epoch: 4, instances: names.clone() }, ms(10_000));
    assert_eq!(owned.release(&claim, ms(11_000)), None);
    assert!(owned.release(&claim, ms(10_999)).is_some());
    // The new owner fails: its grants must expire first, and the level starts at zero.
    owned.observe_view(&alone(5), ms(12_000));
    assert!(matches!(
        owned.request(&claim.team, limit, &request, ms(12_999)),
        Answer::Starting { .. }
    ));
    let request = TokenRequest { waiting: 50, ..request };
    let Answer::Granted(grant) = owned.request(&claim.team, limit, &request, ms(13_100)) else {
        panic!("the owner has started")
    };
    assert_eq!(grant.tokens, 10);
}

/// Guards against a duplicated report that frees a token twice.
#[test]
fn repeated_reports_count_once() {
    let limit = Limit::new(1.0, 10);
    let mut owner = OwnerBucket::new(limit, MIN_VALIDITY, 10.0, ms(0));
    let mut request =
        TokenRequest { id: 0, instance: "a".into(), waiting: 4, prefetch: 0, reports: Vec::new() };
    let first = owner.request(GrantId { session: 1, number: 1 }, &request, ms(0));
    assert_eq!((first.tokens, owner.outstanding()), (4, 4));
    request.reports = vec![Report { grant: first.id, used: 2, returned: 1 }; 3];
    request.waiting = 0;
    owner.request(GrantId { session: 1, number: 2 }, &request, ms(0));
    assert_eq!((owner.outstanding(), owner.level()), (1, 7.0));
}

/// Guards against a call that waits although it cannot get a token before its deadline.
#[test]
fn calls_past_deadline_are_refused_at_once() {
    let limit = Limit::new(10.0, 1);
    let mut owner = OwnerBucket::new(limit, MIN_VALIDITY, 0.0, ms(0));
    let mut share = InstanceBucket::new("a".into(), limit, InstanceBucketConfig::default());
    assert!(matches!(share.acquire(ms(1000), ms(0)), Admission::Wait(_)));
    assert!(matches!(share.acquire(ms(50), ms(0)), Admission::Wait(_)));
    let request = share.poll(ms(0)).unwrap();
    let grant = owner.request(GrantId { session: 1, number: 1 }, &request, ms(1));
    let decided = share.on_grant(request.id, &grant, ms(2));
    let [(_, Verdict::Refused { retry_after })] = decided[..] else { panic!("{decided:?}") };
    assert!(retry_after >= ms(90), "{retry_after:?}");
    assert!(matches!(share.acquire(ms(80), ms(3)), Admission::Refused { .. }));
}
