//! Guards against servers that get more requests than the limit that they name.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually};
use tokio::time::sleep;

/// Requests per second that the limited server takes.
const LIMIT: u32 = 5;
/// Time after a server first names its limit from which it must be kept.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// In this window, one and a half times the limit and [`SLACK`] requests are allowed.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: usize = 5;
/// A quarter of the timeout of the route.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Callers at each front, and the pause of each between two calls.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(50);

/// Sends calls to both fronts for [`LOAD_TIME`]. Panics if one is not served.
async fn load(fleet: &RelayFleet, name: &str) {
    let until = Instant::now() + LOAD_TIME;
    let caller = async |n: usize| {
        for call in 0.. {
            if Instant::now() > until {
                return;
            }
            let id = format!("{name}-{n}-{call}");
            let answer = fleet.call((n % 2) as u8, "/safe/x", &id, Call::default()).await;
            assert_eq!(answer.status, 200, "{id}: {}", answer.text());
            sleep(PAUSE).await;
        }
    };
    join_all((0..2 * CALLERS).map(caller)).await;
}

/// Largest number of requests that reach a server within [`WINDOW`].
fn most_in_window(fleet: &RelayFleet, server: usize, since: Instant) -> usize {
    let runs = fleet.servers.runs();
    let at: Vec<_> =
        runs.iter().filter(|r| r.server == server && r.at > since).map(|r| r.at).collect();
    let count = |from: &Instant| at.iter().filter(|t| **t >= *from && **t < *from + WINDOW).count();
    at.iter().map(count).max().unwrap_or(0)
}

/// While all servers name a limit, a call that they cannot take in time must be refused at once,
/// with a time to come back, and must not wait until its timeout.
#[tokio::test(flavor = "multi_thread")]
async fn refused_at_once() {
    let mut config = config(3, &[KEY]);
    config["routes"][0]["timeoutMs"] = 2_000.into();
    let fleet = RelayFleet::start(&config).await;
    let call = async |n: usize| {
        let since = Instant::now();
        let answer = fleet.call(0, "/safe/x", &format!("call-{n}"), Call::default()).await;
        (answer, since.elapsed())
    };
    for limit in &*fleet.servers.limits {
        limit.store(1, Ordering::Relaxed);
    }
    let named = async || {
        let answer = call(0).await.0;
        answer.headers.contains_key("server-limit")
    };
    eventually("a server names its limit", named).await;
    join_all((0..CALLERS).map(call)).await;
    let answers = join_all((0..20 * CALLERS).map(call)).await;
    let refused: Vec<_> = answers.iter().filter(|(answer, _)| answer.status != 200).collect();
    assert!(refused.len() > 10 * CALLERS, "{} calls were refused", refused.len());
    for (answer, took) in refused {
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.headers.contains_key("retry-after"));
        assert!(*took < REFUSAL_TIME, "refused after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_kept() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    load(&fleet, "before").await;
    fleet.servers.limits[0].store(LIMIT, Ordering::Relaxed);
    let named = Instant::now();
    load(&fleet, "limited").await;
    let most = most_in_window(&fleet, 0, named + STABLE_TIME);
    let allowed = LIMIT as usize * 4 * 3 / 2 + SLACK;
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
    assert!(most > LIMIT as usize * 2, "the server is hardly used: {most} requests in 4 s");

    // Without the limit, the server gets its part of the load again.
    fleet.servers.limits[0].store(0, Ordering::Relaxed);
    let used = async || {
        let since = Instant::now();
        load(&fleet, "unlimited").await;
        most_in_window(&fleet, 0, since) > allowed
    };
    eventually("the server gets its part of the load", used).await;
}
