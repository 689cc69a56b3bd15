//! Guards against requests that crash every server that runs them and that callers resend under new
//! ids at any front.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually, servers::RESTART_DELAY};

/// Servers that such a request may crash before it is refused.
const MAX_CRASHES: usize = 3;
/// Executions of parallel copies allowed later than [`RETRY_GRACE`] after the third execution.
const MAX_RETRIES: usize = 3;
const RETRY_GRACE: Duration = Duration::from_secs(3);
const RESENDS: usize = 6;
/// Time after which all servers have restarted and fronts use them again.
const RECOVERY_DELAY: Duration = RESTART_DELAY.saturating_add(Duration::from_secs(1));
const REFUSED_STATUS: u16 = 422;
const UNAVAILABLE_STATUS: u16 = 503;

async fn check_served(fleet: &RelayFleet, path: &str, call: Call<'_>) {
    let served = async || fleet.call(0, path, "other", call).await.status == 200;
    eventually("other calls are served", served).await;
}

/// Sends the same request `resends` times, to both fronts in turn; returns the last status.
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
    assert!(late <= MAX_RETRIES, "{late} late executions of {}", runs.len());
}

async fn check_crash_limit(path: &str) {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let status = resend(&fleet, path, RESENDS).await;
    let ended = fleet.servers.runs_of_path(path).len();
    assert!(ended <= MAX_CRASHES, "{ended} servers have crashed");
    assert_eq!(status, REFUSED_STATUS);
    check_served(&fleet, "/safe/x", Call::default()).await;
    // The same path with another body is a different request.
    let path = path.replace("/crash", "/x");
    check_served(&fleet, &path, Call { body: "other", ..Call::default() }).await;
}

/// A request must not be sent to a server again after three servers have crashed while running it.
#[tokio::test(flavor = "multi_thread")]
async fn ends_three_servers_only() {
    check_crash_limit("/safe/crash").await;
}

/// The same for requests that must not be repeated, so that each attempt reaches one server.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_ends_three() {
    check_crash_limit("/once/crash").await;
}

/// The same for servers that crash in the middle of a streamed response.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_three() {
    check_crash_limit("/stream/midway/crash").await;
}

/// Copies of such a request that arrive at all fronts at the same time must be refused, too.
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

/// Resends must be refused at another front, also if it did not know of the request yet.
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

/// A refused request must not run again after a restart of the control replicas and fronts.
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

/// The refusal must not outlive the fault: after a minute the request is tried again.
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
    // The refusal lasts as long as `WAIT_TIMEOUT`, so part of it passes before the wait.
    tokio::time::sleep(RECOVERY_DELAY * 5).await;
    eventually("the request is served after the fix", served).await;
}

/// A request that another front has answered must not be refused because servers end under it at
/// this one.
#[tokio::test(flavor = "multi_thread")]
async fn answered_elsewhere() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let path = "/once/crash";
    let send =
        async |front: u8, id: &str| fleet.call(front, path, id, Call::default()).await.status;
    fleet.servers.is_fixed.store(true, Ordering::Relaxed);
    let attempts = AtomicUsize::new(0);
    eventually("the request is answered", async || {
        let id = format!("first-{}", attempts.fetch_add(1, Ordering::Relaxed));
        send(0, &id).await == 200
    })
    .await;
    fleet.servers.is_fixed.store(false, Ordering::Relaxed);
    for n in 0..MAX_CRASHES {
        tokio::time::sleep(RECOVERY_DELAY).await;
        send(1, &format!("ends-{n}")).await;
    }
    fleet.servers.is_fixed.store(true, Ordering::Relaxed);
    // Servers may still be starting.
    let mut status = UNAVAILABLE_STATUS;
    for n in 0..RESENDS {
        if status != UNAVAILABLE_STATUS {
            break;
        }
        tokio::time::sleep(RECOVERY_DELAY).await;
        status = send(1, &format!("last-{n}")).await;
    }
    assert_eq!(status, 200);
}

/// Suspected requests must not be forgotten when all control replicas are killed before the third
/// crash.
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
    assert!(ended <= MAX_CRASHES, "{ended} servers have crashed");
}

/// Requests that only ran at the same time as a crashing one must not be refused.
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
