//! Guards against fronts that answer as an older publication says after a newer one was
//! acknowledged.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use platform::{Call, KEY, RelayFleet, config};
use serde_json::Value;
use tokio::time::sleep;

/// Time after its acknowledgement within which a publication must be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Longer than the lease of a front.
const LEASE_OUTLIVED: Duration = Duration::from_millis(4_500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The process of a starved front runs for [`RUN_TIME`], then not at all for [`PAUSE`].
const RUN_TIME: Duration = Duration::from_millis(40);
const PAUSE: Duration = Duration::from_millis(360);

/// Below half a second for both ways together, from which on a link counts as disturbed.
const ONE_WAY_DELAY: Duration = Duration::from_millis(190);

/// [`config`] with an additional route for `/added/`.
fn with_added_route(version: u64) -> Value {
    let mut config = config(version, &[KEY]);
    let mut added = config["routes"][0].clone();
    added["name"] = "added".into();
    added["prefix"] = "/added/".into();
    config["routes"].as_array_mut().expect("no list of routes").push(added);
    config
}

/// Stops and continues a process in turns until the flag is cleared.
async fn starve(pid: Pid, is_starved: Arc<AtomicBool>) {
    while is_starved.load(Ordering::Relaxed) {
        kill(pid, Signal::SIGSTOP).expect("failed to signal the process");
        sleep(PAUSE).await;
        kill(pid, Signal::SIGCONT).expect("failed to signal the process");
        sleep(RUN_TIME).await;
    }
}

/// A front that gets the processor only from time to time must still learn of a publication in
/// time, and must not lose its lease.
#[tokio::test(flavor = "multi_thread")]
async fn starved_front() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let is_starved = Arc::new(AtomicBool::new(true));
    let starving = tokio::spawn(starve(fleet.fronts[0].pid(), is_starved.clone()));
    assert_eq!(fleet.publish(&with_added_route(4)).await, 200);
    let acked = Instant::now();
    sleep(APPLY_TIME).await;
    let mut statuses = Vec::new();
    while acked.elapsed() < LEASE_OUTLIVED {
        let id = format!("added-{}", statuses.len());
        statuses.push(fleet.call(0, "/added/x", &id, Call::default()).await.status);
        sleep(POLL_INTERVAL).await;
    }
    is_starved.store(false, Ordering::Relaxed);
    starving.await.expect("task panicked");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// A front whose heartbeats are answered late must serve calls, and learn of a publication in time.
#[tokio::test(flavor = "multi_thread")]
async fn distant_front() {
    let mut fleet = RelayFleet::start(&config(3, &[KEY])).await;
    fleet.restart_distant(0, ONE_WAY_DELAY).await;
    fleet.wait_ready(0).await;
    assert_eq!(fleet.publish(&with_added_route(4)).await, 200);
    sleep(APPLY_TIME).await;
    for n in 0..50 {
        let id = format!("distant-{n}");
        assert_eq!(fleet.call(0, "/added/x", &id, Call::default()).await.status, 200);
        sleep(POLL_INTERVAL).await;
    }
}

/// A front that has not heard from the leader for so long that a newer publication may be in force
/// must not refuse calls for good.
#[tokio::test(flavor = "multi_thread")]
async fn final_refusals() {
    let mut fleet = RelayFleet::start(&config(3, &[KEY])).await;
    assert_eq!(fleet.call(0, "/added/x", "unknown", Call::default()).await.status, 404);
    for replica in &mut fleet.control_replicas {
        replica.kill();
    }
    let killed = Instant::now();
    sleep(APPLY_TIME).await;
    while killed.elapsed() < LEASE_OUTLIVED {
        for (path, key) in [("/added/x", KEY), ("/safe/x", "added-key")] {
            let call = Call { key: Some(key), ..Call::default() };
            let answer = fleet.call(0, path, "refused", call).await;
            assert_eq!(answer.status, 503, "{path}: {}", answer.text());
        }
        sleep(POLL_INTERVAL).await;
    }
}
