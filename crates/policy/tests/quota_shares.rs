//! Tests of the division of a team's rate among instances.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    quota::{Allocator, Bucket, Demand, SHARED_BURST_FRACTION, SHARED_RATE_FRACTION, Share},
    rate::Limit,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const LEASE: Duration = Duration::from_secs(3);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// An instance with its share.
struct Instance {
    name: Name,
    bucket: Bucket,
    demand: Demand,
    programs: u32,
}

impl Instance {
    fn new(number: usize) -> Self {
        Self {
            name: format!("i{number}").into(),
            bucket: Bucket::default(),
            demand: Demand::default(),
            programs: 0,
        }
    }

    fn heartbeat(&mut self, allocator: &mut Allocator, now: Duration) {
        let demand = self.demand.update(now);
        let held = self.bucket.share();
        let share = allocator.report(&self.name, demand, self.programs, held, now);
        self.bucket.set_share(share, now);
    }

    /// Admits a call from the share, or with a borrowed token.
    fn admit(&mut self, allocator: &mut Allocator, now: Duration) -> bool {
        self.demand.record_arrival();
        self.bucket.take(now).is_ok() || allocator.borrow(now).is_ok()
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Over any window at most rate times window plus burst is admitted, for any demand and with
    /// lost and late heartbeats.
    #[test]
    fn never_above_limit(
        rate in 1.0f64..200.0,
        burst in 1u32..200,
        steps in proptest::collection::vec((0usize..4, 0u8..8, 0u64..40), 200..800),
    ) {
        let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
        allocator.set_limit(Some(Limit::new(rate, burst)), Duration::ZERO);
        let mut instances: Vec<_> = (0..4).map(Instance::new).collect();
        let mut last_heartbeat = [Duration::ZERO; 4];
        let (mut now, mut admitted) = (Duration::ZERO, Vec::new());
        for (at, action, pause) in steps {
            now += ms(pause);
            // An instance whose lease has expired admits nothing and starts again.
            if now >= last_heartbeat[at] + LEASE {
                instances[at].bucket = Bucket::default();
            }
            if action == 0 {
                instances[at].heartbeat(&mut allocator, now);
                last_heartbeat[at] = now;
            } else if now < last_heartbeat[at] + LEASE && instances[at].admit(&mut allocator, now) {
                admitted.push(now);
            }
        }
        for (first, from) in admitted.iter().enumerate() {
            for (last, to) in admitted.iter().enumerate().skip(first) {
                let most = rate * (*to - *from).as_secs_f64() + f64::from(burst);
                let count = (last - first + 1) as f64;
                prop_assert!(count <= most + 1.0, "{count} calls, {most} allowed");
            }
        }
    }

    /// The sum of the shares never exceeds its fraction of the limit.
    #[test]
    fn shares_within_part(
        demands in proptest::collection::vec((0usize..6, 0.0f64..300.0), 50..200),
    ) {
        let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
        allocator.set_limit(Some(Limit::new(100.0, 50)), Duration::ZERO);
        let mut held = [Share::default(); 6];
        let mut now = Duration::ZERO;
        for (at, demand) in demands {
            now += ms(40);
            let name: Name = format!("i{at}").into();
            held[at] = allocator.report(&name, demand, 1, held[at], now);
            let rate: f64 = held.iter().map(|s| s.per_second).sum();
            let burst: f64 = held.iter().map(|s| s.burst).sum();
            prop_assert!(rate <= 100.0 * SHARED_RATE_FRACTION + 1e-6, "{rate}");
            prop_assert!(burst <= 50.0 * SHARED_BURST_FRACTION + 1e-6, "{burst}");
        }
    }
}

/// A new allocator that does not know the shares only renews them, and lends from the reserve.
#[test]
fn successor_renews() {
    let mut allocator = Allocator::new(ms(1_000), LEASE, Duration::ZERO);
    allocator.set_limit(Some(Limit::new(100.0, 100)), Duration::ZERO);
    let held = Share { per_second: 30.0, burst: 10.0 };
    let name: Name = "i1".into();
    assert_eq!(allocator.report(&name, 90.0, 9, held, ms(100)), held);
    let lent = (0..1_000).filter(|n| allocator.borrow(ms(100 + n / 2)).is_ok()).count();
    assert!(lent <= 13, "{lent} tokens in 0.6 s at a fifth of the rate");
    let later = allocator.report(&name, 90.0, 9, held, ms(1_100));
    assert!(later.per_second > held.per_second);
}

/// Simulates programs that each make 12 calls with pauses. Returns how many completed and how many
/// started.
fn simulate_programs(with_admission: bool) -> (usize, usize) {
    const CALLS: u32 = 12;
    const STEP: Duration = Duration::from_millis(10);
    const PAUSE: Duration = Duration::from_millis(250);
    // Time for which a call waits for a token, limited by the caller's timeout.
    const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_000);
    struct Program {
        left: u32,
        next: Duration,
        since: Option<Duration>,
    }
    let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
    allocator.set_limit(Some(Limit::new(30.0, 30)), Duration::ZERO);
    let mut instances: Vec<_> = (0..2).map(Instance::new).collect();
    let mut programs: Vec<(usize, Program)> = Vec::new();
    let (mut completed, mut started) = (0, 0);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut now = Duration::ZERO;
    for step in 0..3_000u64 {
        now += STEP;
        if step % (HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis()) as u64 == 0 {
            for (at, instance) in instances.iter_mut().enumerate() {
                instance.programs = programs.iter().filter(|(i, _)| *i == at).count() as u32;
                instance.heartbeat(&mut allocator, now);
            }
        }
        // Eight programs per second need 96 calls per second at a rate of 30.
        if step % 12 == 0 {
            let is_open = !with_admission
                || !allocator.is_near_limit()
                || allocator.admit_program(step, now).is_ok();
            if is_open {
                started += 1;
                let program = Program { left: CALLS, next: now, since: None };
                programs.push(((step / 12 % 2) as usize, program));
            }
        }
        // Callers retry independently, so the waiting calls come in random order.
        programs.shuffle(&mut rng);
        programs.retain_mut(|(at, program)| {
            if now < program.next {
                return true;
            }
            if instances[*at].bucket.take(now).is_ok() || allocator.borrow(now).is_ok() {
                instances[*at].demand.record_arrival();
                program.left -= 1;
                program.next = now + PAUSE;
                program.since = None;
                completed += usize::from(program.left == 0);
                return program.left > 0;
            }
            // A program fails if one of its calls gets no token in time.
            now < *program.since.get_or_insert(now) + TOKEN_TIMEOUT
        });
    }
    (completed, started)
}

/// Guards against an overload in which all programs start and most of them fail. The team asks for
/// three times its rate; 30 s at 30 calls per second are enough for 75 programs of 12 calls. With
/// admission control most of these complete, and so do most programs that start.
#[test]
fn overload_ends_programs() {
    let (completed, started) = simulate_programs(true);
    let (completed_without, _) = simulate_programs(false);
    let expected = 75;
    assert!(completed * 10 >= expected * 8, "{completed} of {expected} programs completed");
    assert!(completed * 10 >= started * 8, "{completed} of {started} started programs completed");
    assert!(
        completed > completed_without,
        "{completed} completed with admission control, {completed_without} without"
    );
}

/// Simulates calls that arrive at random instances at the fraction `part` of the rate on average.
/// Returns how many got no token in time, and the number of calls.
fn simulate_spread_calls(instances: usize, rate: f64, part: f64) -> (usize, usize) {
    const STEP: Duration = Duration::from_millis(10);
    const TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
    let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
    allocator.set_limit(Some(Limit::new(rate, rate as u32)), Duration::ZERO);
    let mut instances: Vec<_> = (0..instances).map(Instance::new).collect();
    let mut waiting: Vec<(usize, Duration)> = Vec::new();
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut refused, mut calls, mut now) = (0, 0, Duration::ZERO);
    let heartbeat_steps = (HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis()) as usize;
    for step in 0..3_000usize {
        now += STEP;
        for (at, instance) in instances.iter_mut().enumerate() {
            if (step + at) % heartbeat_steps == 0 {
                instance.heartbeat(&mut allocator, now);
            }
        }
        if rng.random_bool(rate * part * STEP.as_secs_f64()) {
            let at = rng.random_range(0..instances.len());
            instances[at].demand.record_arrival();
            waiting.push((at, now));
            calls += 1;
        }
        waiting.retain(|(at, since)| {
            let is_admitted =
                instances[*at].bucket.take(now).is_ok() || allocator.borrow(now).is_ok();
            let is_late = now >= *since + TOKEN_TIMEOUT;
            refused += usize::from(is_late && !is_admitted);
            !is_admitted && !is_late
        });
    }
    (refused, calls)
}

/// No call of a team that is well within its rate is refused, whether its calls arrive at two
/// instances or at as many as it makes calls in several seconds.
#[test]
fn calls_spread_thinly() {
    for instances in [2, 8, 74] {
        for rate in [8.0, 20.0, 60.0] {
            // The usual demand of the teams, relative to their rates.
            let (refused, calls) = simulate_spread_calls(instances, rate, 0.625);
            assert_eq!(refused, 0, "of {calls} calls at {instances} instances, rate {rate}");
        }
    }
}

/// A team that asks for 90% of its rate gets at least 99% of its calls admitted.
#[test]
fn near_rate() {
    for instances in [2, 8, 74] {
        for rate in [47.0, 80.0] {
            let (refused, calls) = simulate_spread_calls(instances, rate, 0.9);
            let at = format!("of {calls} calls at {instances} instances, rate {rate}");
            assert!(refused * 100 <= calls, "{refused} {at}");
        }
    }
}

/// While a team is at its rate, a running program may continue at another instance than the one
/// where it started.
#[test]
fn moved_program() {
    let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
    allocator.set_limit(Some(Limit::new(10.0, 10)), Duration::ZERO);
    let name: Name = "i1".into();
    allocator.report(&name, 40.0, 8, Share::default(), ms(10));
    while allocator.borrow(ms(10)).is_ok() {}
    allocator.record_program(7, ms(20));
    assert!(
        allocator.admit_program(8, ms(30)).is_err(),
        "the rate has no room for another program"
    );
    assert!(allocator.admit_program(7, ms(30)).is_ok());
    allocator.report(&name, 40.0, 8, Share::default(), ms(60_000));
    while allocator.borrow(ms(60_000)).is_ok() {}
    assert!(allocator.admit_program(7, ms(60_000)).is_err(), "the program is no longer known");
}

/// Tokens of calls that did not run are available to other calls.
#[test]
fn returned_tokens() {
    let mut allocator = Allocator::new(Duration::ZERO, LEASE, Duration::ZERO);
    allocator.set_limit(Some(Limit::new(1.0, 4)), Duration::ZERO);
    while allocator.borrow(ms(3_000)).is_ok() {}
    allocator.return_token(ms(3_000));
    assert!(allocator.borrow(ms(3_000)).is_ok());
    assert!(allocator.borrow(ms(3_000)).is_err());
    for _ in 0..100 {
        allocator.return_token(ms(3_000));
    }
    let available = (0..100).filter(|_| allocator.borrow(ms(3_000)).is_ok()).count();
    assert_eq!(available, 4, "the reserve never exceeds the burst");
}
