//! Load of a rollout: calls at several fronts, whose reports and shares arrive late.
#![allow(dead_code)]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use poplarspan_policy::{
    Name,
    rollout::{Decision, Evidence, FleetState, FrontReport, Rollout, RolloutConfig},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const OVER_MS: u64 = 12_000;
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_SLACK: u32 = 50;
const ROLLBACK_MS: u64 = 5_000;
const LEASE_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 250;
const DECISION_INTERVAL_MS: u64 = 100;
const COLD_MS: u64 = 3_000;
/// Parts of the calls by route; the last one is hardly used.
const ROUTES: [(&str, f64); 5] =
    [("a", 0.4), ("b", 0.25), ("c", 0.2), ("d", 0.145), ("rare", 0.005)];
const MEAN_MS: f64 = 400.0;

/// A call as an endpoint sees it.
pub struct Attempt {
    pub is_target: bool,
    pub endpoint: usize,
    pub route: &'static str,
    pub at_ms: u64,
    /// Open calls at the endpoint, relative to the mean in full service.
    pub load: f64,
}

/// Probability of a failure, and factor of the duration.
pub type Behaviour = fn(&Attempt) -> (f64, f64);

pub struct Load {
    pub fronts: usize,
    pub per_second: f64,
    pub endpoints: usize,
    pub ready_ms: u64,
    pub behaviour: Behaviour,
    /// When the leader stops. Another one takes over a second later.
    pub leader_stops_ms: Vec<u64>,
    /// Front that never reaches the leader, and serves nothing without a lease.
    pub cut_off: Option<usize>,
    /// Reports carry no results, as if there were no verdicts.
    pub is_blind: bool,
}

impl Load {
    pub fn new(fronts: usize, per_second: f64, behaviour: Behaviour) -> Self {
        Self {
            fronts,
            per_second,
            endpoints: 12,
            ready_ms: 1_000,
            behaviour,
            leader_stops_ms: Vec::new(),
            cut_off: None,
            is_blind: false,
        }
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub end: Option<Decision>,
    pub end_ms: u64,
    /// Until the time limit.
    pub sent: u64,
    pub sent_target: u64,
    pub last_sent_target_ms: u64,
    pub bad_ms: Vec<u64>,
    /// Open calls at the old version, and calls sent there, after the completion.
    pub old_after_completion: u64,
}

impl Outcome {
    pub fn is_completed(&self) -> bool {
        self.end == Some(Decision::Complete)
            && self.end_ms <= OVER_MS
            && self.old_after_completion == 0
    }

    pub fn is_reverted(&self) -> bool {
        matches!(self.end, Some(Decision::Revert(_))) && self.end_ms <= OVER_MS
    }

    pub fn keeps_exposure(&self) -> bool {
        let limit = EXPOSURE_SHARE * self.sent as f64 + f64::from(EXPOSURE_SLACK);
        let is_stopped =
            self.bad_ms.get(49).is_none_or(|at| self.last_sent_target_ms <= at + ROLLBACK_MS);
        self.sent_target as f64 <= limit && is_stopped
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

enum Event {
    Heartbeat(usize),
    Report(usize, FrontReport),
    Share(usize, f64),
    End { front: usize, is_target: bool, evidence: Evidence, endpoint: usize },
}

struct Fleet<'a> {
    load: &'a Load,
    rng: SmallRng,
    /// What each front applies and has seen.
    fronts: Vec<FrontReport>,
    /// Open calls of the endpoints of the other versions and of the target.
    open: [Vec<u32>; 2],
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    leader: Option<Rollout>,
    /// When the leader knows every front that may be live.
    view_full_ms: u64,
    decided_ms: u64,
    decision: Decision,
    outcome: Outcome,
}

fn new_leader() -> Option<Rollout> {
    let (exposure_share, exposure_slack) = (EXPOSURE_SHARE, EXPOSURE_SLACK);
    let cfg = RolloutConfig { exposure_share, exposure_slack, over: ms(OVER_MS) };
    Some(Rollout::new(cfg, Duration::ZERO))
}

/// Plays the load until three seconds after the time limit.
pub fn play(load: &Load, seed: u64) -> Outcome {
    let mut fleet = Fleet {
        load,
        rng: SmallRng::seed_from_u64(seed),
        fronts: vec![FrontReport::default(); load.fronts],
        open: [vec![0; load.endpoints], vec![0; load.endpoints]],
        events: Vec::new(),
        queue: BinaryHeap::new(),
        leader: new_leader(),
        view_full_ms: if load.cut_off.is_some() { LEASE_MS } else { 0 },
        decided_ms: 0,
        decision: Decision::Share(0.0),
        outcome: Outcome::default(),
    };
    for front in (0..load.fronts).filter(|f| Some(*f) != load.cut_off) {
        let at = fleet.rng.random_range(0..HEARTBEAT_MS);
        fleet.push(at, Event::Heartbeat(front));
    }
    for now in 0..OVER_MS + 3_000 {
        if load.leader_stops_ms.contains(&now) {
            fleet.leader = None;
        }
        if load.leader_stops_ms.iter().any(|at| at + 1_000 == now) {
            (fleet.leader, fleet.view_full_ms) = (new_leader(), now + LEASE_MS);
        }
        while fleet.queue.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, event))) = fleet.queue.pop() else { break };
            if let Some(event) = fleet.events[event].take() {
                fleet.handle(event, now);
            }
        }
        if fleet.rng.random_bool(load.per_second / 1_000.0) {
            fleet.send_call(now);
        }
    }
    fleet.outcome.bad_ms.sort_unstable();
    fleet.outcome
}

impl Fleet<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn send_call(&mut self, now: u64) {
        let front = self.rng.random_range(0..self.fronts.len());
        if self.load.cut_off == Some(front) {
            return;
        }
        let share = self.fronts[front].share;
        let is_target = self.rng.random_bool(share);
        let all = self.load.endpoints;
        let used = ((share * all as f64).ceil() as usize).clamp(3, all);
        let open = &self.open[usize::from(is_target)];
        let candidates = 0..if is_target { used } else { all };
        let two = [(); 2].map(|()| self.rng.random_range(candidates.clone()));
        let endpoint = if open[two[0]] <= open[two[1]] { two[0] } else { two[1] };
        let mut part: f64 = self.rng.random_range(0.0..1.0);
        let is_drawn = |(_, p): &&(&str, f64)| {
            part -= p;
            part <= 0.0
        };
        let route = ROUTES.iter().find(is_drawn).map_or("a", |(name, _)| *name);
        let open = &mut self.open[usize::from(is_target)][endpoint];
        *open += 1;
        let usual_open = self.load.per_second * MEAN_MS / 1_000.0 / all as f64;
        let load = f64::from(*open) / usual_open;
        let attempt = Attempt { is_target, endpoint, route, at_ms: now, load };
        let (failing, factor) = (self.load.behaviour)(&attempt);
        let is_failed = self.rng.random_bool(failing);
        let is_cold = is_target && now < self.load.ready_ms + COLD_MS;
        let cold_factor = if is_cold { 3.0 } else { 1.0 };
        let usual = self.rng.random_range(0.2..1.8) * MEAN_MS;
        let took = (usual * factor * cold_factor) as u64;
        let report = &mut self.fronts[front];
        report.sent += 1;
        report.sent_target += u64::from(is_target);
        report.old_in_flight += u32::from(!is_target);
        if now < OVER_MS {
            self.outcome.sent += 1;
            self.outcome.sent_target += u64::from(is_target);
        }
        if is_target {
            self.outcome.last_sent_target_ms = now;
            if is_failed || factor > 2.0 {
                self.outcome.bad_ms.push(now + took);
            }
        } else if self.outcome.end == Some(Decision::Complete) {
            self.outcome.old_after_completion += 1;
        }
        let evidence = Evidence {
            route: route.into(),
            endpoint: is_target.then(|| Name::from(format!("e{endpoint:02}"))),
            answered: u64::from(!is_failed),
            duration: if is_failed || is_cold { Duration::ZERO } else { ms(took) },
            failed: u64::from(is_failed),
        };
        self.push(now + took, Event::End { front, is_target, evidence, endpoint });
    }

    /// A report and the share that answers it are each late by 125 to 250 ms.
    fn late(&mut self, now: u64) -> u64 {
        now + self.rng.random_range(125..=250)
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Heartbeat(front) => {
                let mut report = self.fronts[front].clone();
                if self.load.is_blind {
                    report.evidence.clear();
                }
                let at = self.late(now);
                self.push(at, Event::Report(front, report));
                self.push(now + HEARTBEAT_MS, Event::Heartbeat(front));
            }
            Event::Report(front, report) => self.lead(front, report, now),
            Event::Share(front, share) => self.fronts[front].share = share,
            Event::End { front, is_target, evidence, endpoint } => {
                self.open[usize::from(is_target)][endpoint] -= 1;
                let report = &mut self.fronts[front];
                report.old_in_flight -= u32::from(!is_target);
                let is_same = |e: &&mut Evidence| {
                    e.route == evidence.route && e.endpoint == evidence.endpoint
                };
                match report.evidence.iter_mut().find(is_same) {
                    Some(row) => {
                        row.answered += evidence.answered;
                        row.duration += evidence.duration;
                        row.failed += evidence.failed;
                    }
                    None => report.evidence.push(evidence),
                }
            }
        }
    }

    fn lead(&mut self, front: usize, report: FrontReport, now: u64) {
        let Some(leader) = &mut self.leader else { return };
        let reported_share = report.share;
        leader.report(&format!("f{front}").into(), report, ms(now));
        let is_view_full = now >= self.view_full_ms;
        let slots = 8 * self.load.endpoints as u32;
        let target_slots = if now >= self.load.ready_ms { slots } else { 0 };
        let fleet =
            FleetState { is_view_full, target_slots, old_slots: slots, old_versions_left: true };
        if now >= self.decided_ms + DECISION_INTERVAL_MS {
            (self.decision, self.decided_ms) = (leader.decide(&fleet, ms(now)), now);
        }
        let decision = self.decision.clone();
        let share = match decision {
            Decision::Share(_) if !is_view_full => reported_share,
            Decision::Share(share) => share,
            Decision::Complete => 1.0,
            Decision::Revert(_) => 0.0,
        };
        if !matches!(decision, Decision::Share(_)) && self.outcome.end.is_none() {
            let old: u32 = self.fronts.iter().map(|f| f.old_in_flight).sum();
            self.outcome.old_after_completion += u64::from(old);
            (self.outcome.end, self.outcome.end_ms) = (Some(decision), now);
        }
        let at = self.late(now);
        self.push(at, Event::Share(front, share));
    }
}
