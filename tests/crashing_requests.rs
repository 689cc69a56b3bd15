//! A request that ends each server that runs it comes back under new ids, at any front.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually, servers::RESTART_DELAY};

/// Servers that such a request may end before it is known.
const MAX_CRASHES: usize = 3;
/// Further runs of copies that come in parallel, later than [`RETRY_GRACE`] after the third.
const MAX_RETRIES: usize = 3;
const RETRY_GRACE: Duration = Duration::from_secs(3);
const RESENDS: usize = 6;
/// All servers are back, and fronts use them again.
const RECOVERY_DELAY: Duration = RESTART_DELAY.saturating_add(Duration::from_secs(1));
const REFUSED_STATUS: u16 = 422;

async fn check_served(fleet: &RelayFleet, path: &str, call: Call<'_>) {
    let served = async || fleet.call(0, path, "other", call).await.status == 200;
    eventually("others are served", served).await;
}

/// Sends the same request again and again, to both fronts in turn; returns the last answer's status.
async fn resend(fleet: &RelayFleet, path: &str, resends: usize) -> u16 {
    let mut status = 0;
    for n in 0..resends {
        tokio::time::sleep(RECOVERY_DELAY).await;
        let id = format!("{path}-{n}");
        status = fleet.call((n % 2) as u8, path, &id, Call::default()).await.status;
    }
    status
}

fn check_retry_limit(fleet: &RelayFleet, path: &str) {
    let runs = fleet.servers.runs_of_path(path);
    let third = runs[MAX_CRASHES - 1].at;
    let late = runs.iter().filter(|run| run.at > third + RETRY_GRACE).count();
    assert!(late <= MAX_RETRIES, "{late} late runs of {}", runs.len());
}

async fn check_crash_limit(path: &str) {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let status = resend(&fleet, path, RESENDS).await;
    let ended = fleet.servers.runs_of_path(path).len();
    assert!(ended <= MAX_CRASHES, "{ended} servers have ended");
    assert_eq!(status, REFUSED_STATUS);
    check_served(&fleet, "/safe/x", Call::default()).await;
    // The same place with another body is another request.
    let path = path.replace("/crash", "/x");
    check_served(&fleet, &path, Call { body: "other", ..Call::default() }).await;
}

/// Guards against a request that is sent on after three servers have ended under it.
#[tokio::test(flavor = "multi_thread")]
async fn ends_three_servers_only() {
    check_crash_limit("/safe/crash").await;
}

/// Guards against the same where each attempt reaches one server.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_ends_three() {
    check_crash_limit("/once/crash").await;
}

/// Guards against the same where servers end in the middle of their answers.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_three() {
    check_crash_limit("/stream/midway/crash").await;
}

/// Guards against copies of such a request that come to all fronts at once.
#[tokio::test(flavor = "multi_thread")]
async fn copies_in_parallel() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for round in 0..RESENDS {
        let copy = async |n: usize| {
            let id = format!("copy-{round}-{n}");
            fleet.call((n % 2) as u8, "/once/crash", &id, Call::default()).await.status
        };
        join_all((0..4).map(copy)).await;
        tokio::time::sleep(RECOVERY_DELAY).await;
    }
    check_retry_limit(&fleet, "/once/crash");
    check_served(&fleet, "/safe/x", Call::default()).await;
}

/// Guards against resends that come to another front before it has heard of the request.
#[tokio::test(flavor = "multi_thread")]
async fn resent_at_once() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let until = Instant::now() + RECOVERY_DELAY * RESENDS as u32;
    for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let id = format!("again-{n}");
        fleet.call((n % 2) as u8, "/safe/crash", &id, Call::default()).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    check_retry_limit(&fleet, "/safe/crash");
    check_served(&fleet, "/safe/x", Call::default()).await;
}

/// Guards against a refused request that runs again after a restart of all processes.
#[tokio::test(flavor = "multi_thread")]
async fn refused_after_restart() {
    let mut fleet = RelayFleet::start(&config(3, &[KEY])).await;
    assert_eq!(resend(&fleet, "/safe/crash", 4).await, REFUSED_STATUS);
    let ended = fleet.servers.runs_of_path("/safe/crash").len();
    for machine in fleet.control_replicas.iter_mut().chain(&mut fleet.fronts) {
        machine.kill();
    }
    for machine in fleet.control_replicas.iter_mut().chain(&mut fleet.fronts) {
        machine.restart();
    }
    check_served(&fleet, "/safe/x", Call::default()).await;
    assert_eq!(resend(&fleet, "/safe/crash", 2).await, REFUSED_STATUS);
    assert_eq!(fleet.servers.runs_of_path("/safe/crash").len(), ended);
}

/// Guards against a refusal that outlives the fault: after a minute the request is tried again.
#[tokio::test(flavor = "multi_thread")]
async fn served_once_mended() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    assert_eq!(resend(&fleet, "/safe/crash", 4).await, REFUSED_STATUS);
    fleet.servers.is_fixed.store(true, Ordering::Relaxed);
    let attempts = AtomicUsize::new(0);
    let served = async || {
        let n = attempts.fetch_add(1, Ordering::Relaxed);
        let id = format!("mended-{n}");
        fleet.call((n % 2) as u8, "/safe/crash", &id, Call::default()).await.status == 200
    };
    // The refusal lasts as long as the patience of the test.
    tokio::time::sleep(RECOVERY_DELAY * 5).await;
    eventually("a request that is mended is served", served).await;
}

/// Guards against the loss of suspects when control ends before the third server.
#[tokio::test(flavor = "multi_thread")]
async fn suspect_after_leader_loss() {
    let mut fleet = RelayFleet::start(&config(3, &[KEY])).await;
    resend(&fleet, "/safe/crash", 1).await;
    tokio::time::sleep(RECOVERY_DELAY).await;
    for replica in &mut fleet.control_replicas {
        replica.kill();
        replica.restart();
    }
    check_served(&fleet, "/safe/x", Call::default()).await;
    assert_eq!(resend(&fleet, "/safe/crash", 3).await, REFUSED_STATUS);
    let ended = fleet.servers.runs_of_path("/safe/crash").len();
    assert!(ended <= MAX_CRASHES, "{ended} servers have ended");
}

/// Guards against the refusal of requests that only ran beside one that ends servers.
#[tokio::test(flavor = "multi_thread")]
async fn bystanders_are_served() {
    const CALLERS: usize = 12;
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let until = Instant::now() + RECOVERY_DELAY * 5;
    let caller = async |n: usize| {
        let (mut served, mut refused) = (0, 0);
        let body = format!("of {n}");
        while Instant::now() < until {
            let call = Call { body: &body, ..Call::default() };
            let id = format!("bystander-{n}-{served}");
            match fleet.call((n % 2) as u8, "/safe/slow", &id, call).await.status {
                200 => served += 1,
                REFUSED_STATUS => refused += 1,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        (served, refused)
    };
    let callers = join_all((0..CALLERS).map(caller));
    let (counts, status) = futures::join!(callers, resend(&fleet, "/safe/crash", 4));
    assert_eq!(status, REFUSED_STATUS);
    for (served, refused) in counts {
        assert_eq!(refused, 0);
        assert!(served > 0);
    }
}
