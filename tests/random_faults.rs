//! Guards against failures that no single scenario covers: random faults, one after another, under
//! traffic and publications.
//!
//! `POPLARSPAN_SOAK_SEED` and `POPLARSPAN_SOAK_SECONDS` select another schedule.

mod support;

use std::{env, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use support::{Fleet, publisher::Publisher, traffic::Traffic, watch::GenerationMonitor};
use tokio::time::{Instant, sleep};

const DEFAULT_SEED: u64 = 7;
const DEFAULT_SECONDS: u64 = 8;
const REPLICAS: u64 = 3;
const ENTRIES: u64 = 2;
const MEMBERS: usize = (REPLICAS + ENTRIES) as usize;
const SERVICE: usize = 1;
const MAX_FAULT_MS: u64 = 4000;
const MAX_PAUSE_MS: u64 = 1500;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Terminate(usize),
    Freeze(usize),
    Isolate(usize),
    CutOneWay(usize, usize),
    KillAll,
}

impl Fault {
    fn random(rng: &mut StdRng) -> Self {
        let i = rng.random_range(0..MEMBERS);
        let other = (0..MEMBERS).filter(|o| *o != i).choose(rng).expect("fewer than two instances");
        match rng.random_range(0..11) {
            0..3 => Self::Kill(i),
            3 => Self::Terminate(i),
            4..6 => Self::Freeze(i),
            6..8 => Self::Isolate(i),
            8..10 => Self::CutOneWay(i, other),
            _ => Self::KillAll,
        }
    }

    fn begin(self, fleet: &mut Fleet) {
        let process = |fleet: &Fleet, i: usize, run: fn(&support::process::Process)| {
            run(fleet.members[i].process.as_ref().expect("process is not running"));
        };
        match self {
            Self::Kill(i) => fleet.kill(i),
            Self::Terminate(i) => process(fleet, i, |p| p.terminate()),
            Self::Freeze(i) => process(fleet, i, |p| p.freeze()),
            Self::Isolate(i) => fleet.network.isolate(i),
            Self::CutOneWay(from, to) => fleet.network.cut_one_way(from, to),
            Self::KillAll => (0..MEMBERS).for_each(|i| fleet.kill(i)),
        }
    }

    async fn end(self, fleet: &mut Fleet) {
        match self {
            Self::Kill(i) => fleet.start_member(i),
            Self::Terminate(i) => {
                let process = fleet.members[i].process.take().expect("process was not started");
                let ended = tokio::task::spawn_blocking(|| process.wait()).await;
                assert!(
                    ended.expect("task panicked").success(),
                    "instance {i} exited with an error"
                );
                fleet.start_member(i);
            }
            Self::Freeze(i) => {
                fleet.members[i].process.as_ref().expect("process is not running").resume()
            }
            Self::Isolate(_) | Self::CutOneWay(..) => fleet.network.heal(),
            Self::KillAll => (0..MEMBERS).for_each(|i| fleet.start_member(i)),
        }
    }
}

/// Every acknowledged turn must be in its history in order, no order may run twice, no instance may
/// return to an older generation, and calls and publications must succeed after the faults.
#[tokio::test(flavor = "multi_thread")]
async fn random_schedule() {
    let number = |name: &str, default| {
        env::var(name).map_or(default, |v| v.parse().expect("not a whole number"))
    };
    let seed = number("POPLARSPAN_SOAK_SEED", DEFAULT_SEED);
    let seconds = number("POPLARSPAN_SOAK_SECONDS", DEFAULT_SECONDS);
    println!("POPLARSPAN_SOAK_SEED={seed} POPLARSPAN_SOAK_SECONDS={seconds}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(REPLICAS, ENTRIES).await;
    let traffic = Traffic::start(&fleet, 2);
    let publisher = Publisher::start(&fleet, &[4, 3]);
    let monitor = GenerationMonitor::start(&fleet);
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        let fault = Fault::random(&mut rng);
        let length = Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
        println!("{fault:?} for {length:?}");
        fault.begin(&mut fleet);
        sleep(length).await;
        fault.end(&mut fleet).await;
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
    for i in 0..MEMBERS {
        fleet.wait_ready(i).await;
    }
    traffic.wait_for_progress().await;
    publisher.wait_for_progress().await;
    let generation = publisher.stop().await;
    for i in 0..MEMBERS {
        fleet.wait_generation(i, generation).await;
    }
    let highest = monitor.stop().await;
    assert!(
        highest.iter().all(|g| *g <= generation),
        "generations {highest:?} exceed {generation}"
    );
    traffic.stop_and_check(&fleet, SERVICE).await;
}
