//! Tests of the slow start of endpoints: 8, 57 and 300 fronts see one return that tolerates a
//! growing rate of calls. The baseline is today's policy, where each front pauses after a failure,
//! probes with one call at a time, and sends everything after the first answer.

mod common;

use std::{collections::VecDeque, time::Duration};

use common::ms;
use poplarspan_policy::{
    Name,
    call_limit::LIMIT_WINDOW,
    cold_start::{InstanceRank, StartLimiter},
    pace::Paces,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Calls per second of all fronts for the endpoint once it is in full use, as at its peers.
const DEMAND: f64 = 100.0;
const HEARTBEAT_MS: u64 = 250;
const ANSWER_MS: u64 = 100;

#[derive(Clone, Default)]
struct Front {
    limiter: Option<StartLimiter>,
    pace: Option<f64>,
    answered: u32,
    failed: u32,
    failures: u32,
    paused_until: u64,
    open: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    failed: u32,
    /// When the endpoint first answered nine tenths of the demand for half a second.
    full_use_ms: Option<u64>,
}

/// How an endpoint warms up: the calls per second that it tolerates double again and again.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    first: f64,
    doubles_in_ms: f64,
}

const FAST: WarmUp = WarmUp { first: 16.0, doubles_in_ms: 1_000.0 };
const SLOW: WarmUp = WarmUp { first: 4.0, doubles_in_ms: 2_000.0 };

impl WarmUp {
    fn tolerated(self, at_ms: u64) -> f64 {
        (self.first * 2f64.powf(at_ms as f64 / self.doubles_in_ms)).min(2.0 * DEMAND)
    }
}

/// The endpoint is back at time 0, and each front has failed calls before.
fn play(warm_up: WarmUp, fronts: u32, is_paced: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let endpoint = Name::from("e");
    let mut paces = Paces::default();
    paces.start(&endpoint, Duration::ZERO);
    let first = paces.paces().next().map(|(_, pace)| pace);
    let limiter = Some(StartLimiter::new(LIMIT_WINDOW));
    let mut states: Vec<Front> = (0..fronts)
        .map(|_| {
            let paused_until = rng.random_range(0..500);
            Front {
                limiter: limiter.clone(),
                pace: first,
                paused_until,
                failures: 1,
                ..Front::default()
            }
        })
        .collect();
    let phase: Vec<u64> = (0..fronts).map(|_| rng.random_range(0..HEARTBEAT_MS)).collect();
    // Times of the calls within a second, and calls that end later with their result.
    let (mut recent, mut open) = (VecDeque::new(), VecDeque::new());
    let mut answered: VecDeque<u64> = VecDeque::new();
    let mut outcome = Outcome::default();
    for now in 0..30_000u64 {
        while open.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, front, is_answered)) = open.pop_front() else { break };
            let state: &mut Front = &mut states[front as usize];
            state.open -= 1;
            if is_answered {
                (state.answered, state.failures) = (state.answered + 1, 0);
                answered.push_back(now);
            } else {
                outcome.failed += 1;
                let pause = (250 * 2u64.pow(state.failures.min(3))).min(2_000);
                (state.failed, state.failures) = (state.failed + 1, state.failures + 1);
                state.paused_until = if is_paced { 0 } else { now + pause };
            }
        }
        while answered.front().is_some_and(|at| at + 500 <= now) {
            answered.pop_front();
        }
        if answered.len() as f64 >= 0.9 * DEMAND / 2.0 {
            outcome.full_use_ms.get_or_insert(now);
        }
        for (front, state) in states.iter_mut().enumerate() {
            if is_paced && now % HEARTBEAT_MS == phase[front] {
                paces.record(&endpoint, state.answered, state.failed, ms(now));
                paces.advance(|_| Some(DEMAND), ms(now));
                (state.answered, state.failed) = (0, 0);
                state.pace = paces.paces().next().map(|(_, pace)| pace);
            }
        }
        if !rng.random_bool(DEMAND / 1_000.0) {
            continue;
        }
        let front = rng.random_range(0..fronts);
        let state = &mut states[front as usize];
        let is_allowed = if is_paced {
            let rank = InstanceRank { rank: front, count: fronts };
            let limiter = state.limiter.as_mut().expect("every front has a limiter");
            let is_allowed = state.pace.is_none_or(|pace| limiter.allows(pace, rank, 7, ms(now)));
            if is_allowed {
                limiter.record_start(ms(now));
            }
            is_allowed
        } else {
            now >= state.paused_until && (state.failures == 0 || state.open == 0)
        };
        if is_allowed {
            while recent.front().is_some_and(|at| at + 1_000 <= now) {
                recent.pop_front();
            }
            recent.push_back(now);
            state.open += 1;
            let is_answered = recent.len() as f64 <= warm_up.tolerated(now);
            open.push_back((now + ANSWER_MS, front, is_answered));
        }
    }
    outcome
}

/// Guards against an endpoint that is overloaded by all fronts when it returns, and against one
/// that is left idle.
#[test]
fn returning_endpoint() {
    for (warm_up, limit_ms) in [(FAST, 8_000), (SLOW, 16_000)] {
        for fronts in [8, 57, 300] {
            let (mut paced, mut today) = (0, 0);
            for seed in 0..5 {
                let with = play(warm_up, fronts, true, seed);
                let without = play(warm_up, fronts, false, seed);
                println!("{warm_up:?}, {fronts} fronts: paced {with:?}, today {without:?}");
                let full_use_ms = with.full_use_ms.expect("the endpoint is in full use");
                assert!(full_use_ms <= limit_ms, "{fronts} fronts: {with:?}");
                paced += with.failed;
                today += without.failed;
            }
            assert!(2 * paced < today, "{fronts} fronts: {paced} and {today} failed calls");
        }
    }
}

fn pace_of(paces: &Paces) -> Option<f64> {
    paces.paces().next().map(|(_, pace)| pace)
}

/// Guards against a pace that grows while the endpoint fails, and against one halved twice for the
/// same calls.
#[test]
fn failures_halve_the_pace() {
    let mut paces = Paces::default();
    paces.start(&"e".into(), ms(0));
    let start = pace_of(&paces).expect("a pace has started");
    paces.record("e", 1, 3, ms(300));
    let changes = paces.advance(|_| None, ms(300));
    assert_eq!((changes[0].answered, changes[0].failed), (1, 3));
    assert_eq!(pace_of(&paces), Some(start / 2.0));
    paces.record("e", 0, 3, ms(400));
    assert_eq!(paces.advance(|_| None, ms(400)), [], "calls sent before the halving");
    for now in (1_000..20_000).step_by(250) {
        paces.record("e", 0, 5, ms(now));
        paces.advance(|_| None, ms(now));
    }
    assert!(pace_of(&paces).is_some_and(|pace| pace > 0.0 && pace < start / 2.0));
}

/// Guards against an endpoint that is never used because no call arrives: the pace grows and ends.
#[test]
fn idle_endpoint() {
    let mut paces = Paces::default();
    paces.start(&"e".into(), ms(0));
    let mut ended = false;
    for now in (0..60_000).step_by(250) {
        ended |= paces.advance(|_| None, ms(now)).iter().any(|c| c.per_second.is_none());
    }
    assert!(ended && pace_of(&paces).is_none());
}

/// Guards against paces of endpoints that have left the list.
#[test]
fn unlisted_endpoint() {
    let mut paces = Paces::default();
    paces.start(&"a".into(), ms(0));
    paces.start(&"b".into(), ms(0));
    paces.retain(|name| name == "b");
    assert_eq!(paces.paces().map(|(name, _)| &**name).collect::<Vec<_>>(), ["b"]);
}

/// Guards against a first pace that doubles soon after the first call, because instances learned of
/// the endpoint late: it holds for a second from the first results on.
#[test]
fn late_first_call() {
    for first_ms in [500, 1_100, 1_900] {
        let mut paces = Paces::default();
        paces.start(&"e".into(), ms(0));
        let start = pace_of(&paces).expect("a pace has started");
        paces.record("e", 2, 0, ms(first_ms));
        for now in (first_ms..first_ms + 1_000).step_by(50) {
            paces.advance(|_| None, ms(now));
            assert_eq!(pace_of(&paces), Some(start), "{now} ms, first results at {first_ms} ms");
        }
        paces.advance(|_| None, ms(first_ms + 1_000));
        assert_eq!(pace_of(&paces), Some(2.0 * start), "first results at {first_ms} ms");
    }
}
