//! Guards against slow servers that get as many programs as the others, because no front compares them.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use platform::{
    Call, KEY, RelayFleet, config,
    servers::{Defect, SERVERS},
};
use tokio::time::sleep;

/// Callers; fewer than the slots of a server, so that none is passed over because it is full.
const CALLERS: usize = 6;
/// Time until the leader knows the servers, a few of its time constants.
const LEARNING_TIME: Duration = Duration::from_secs(10);
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Pause of a caller that was refused.
const PAUSE: Duration = Duration::from_millis(200);
const SLOW_SERVER: usize = 0;
/// Number of the next prompt.
static PROMPTS: AtomicU64 = AtomicU64::new(1);

/// Runs programs of one turn one after the other through both fronts. Returns how many calls each server
/// got.
async fn load(fleet: &RelayFleet, name: &str, time: Duration) -> [usize; SERVERS] {
    let until = Instant::now() + time;
    let caller = async |n: usize| {
        for call in 0.. {
            if Instant::now() > until {
                return;
            }
            let id = format!("{name}-{n}-{call}");
            // Only calls with a prompt of their own are bound to a server by their program.
            let prompt = format!("{:x}:300", PROMPTS.fetch_add(1, Ordering::Relaxed));
            let headers =
                [("program-id", &*id), ("token-count", "300,50"), ("prompt-prefix", &*prompt)];
            let call = Call { headers: &headers, ..Call::default() };
            let answer = fleet.call((n % 2) as u8, "/stream/paced/events/5", &id, call).await;
            // Programs may be refused because their turns became slower. They have not run.
            assert!([200, 503].contains(&answer.status), "{id}: {}", answer.text());
            if answer.status == 503 {
                sleep(PAUSE).await;
            }
        }
    };
    join_all((0..CALLERS).map(caller)).await;
    let mut counts = [0; SERVERS];
    let runs = fleet.servers.runs();
    runs.iter().filter(|r| r.id.starts_with(name)).for_each(|r| counts[r.server] += 1);
    counts
}

fn slow_part(counts: [usize; SERVERS]) -> f64 {
    counts[SLOW_SERVER] as f64 / counts.iter().sum::<usize>() as f64
}

/// A server that is five times slower must get about a fifth of the programs that each of the others gets,
/// and its full part again when it is as fast as they are.
#[tokio::test(flavor = "multi_thread")]
async fn slow_server() {
    let fleet = RelayFleet::start_measured(&config(3, &[KEY])).await;
    fleet.servers.set_defect(SLOW_SERVER, Some(Defect::SlowStreams));
    load(&fleet, "learn", LEARNING_TIME).await;
    let slow = load(&fleet, "slow", LOAD_TIME).await;
    fleet.servers.set_defect(SLOW_SERVER, None);
    load(&fleet, "mend", 2 * LEARNING_TIME).await;
    let mended = load(&fleet, "whole", LOAD_TIME).await;
    println!("calls by server: slow {slow:?}, as fast as the others {mended:?}");
    for counts in [slow, mended] {
        assert!(counts.iter().sum::<usize>() > 60, "too few calls to judge: {counts:?}");
    }
    assert!(slow[SLOW_SERVER] > 0, "the slow server gets nothing");
    // An eleventh is due. Without weights it is a third.
    assert!(slow_part(slow) < 0.2, "{slow:?}");
    assert!(slow_part(mended) > 0.25, "{mended:?}");
}
