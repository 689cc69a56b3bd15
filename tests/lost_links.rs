//! Guards against callers that are not served because their front has lost its links to the servers,
//! while other fronts reach them.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use platform::{Call, KEY, RelayFleet, config};
use tokio::time::sleep;

/// Time after the cut from which callers must be served.
const STABLE_TIME: Duration = Duration::from_secs(3);
const CALLS: usize = 30;
/// Links to the servers come after those to the two fronts.
const FIRST_SERVER_LINK: usize = 2;

async fn start() -> (RelayFleet, tempfile::TempDir) {
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    // Lets the groups of stores form, and opens connections.
    for front in 0..2 {
        for n in 0..CALLS {
            let id = format!("before-{front}-{n}");
            fleet.call(front, "/safe/x", &id, Call::default()).await;
        }
    }
    (fleet, logs)
}

fn cut_off(fleet: &RelayFleet, front: usize) {
    for link in &fleet.links[FIRST_SERVER_LINK..] {
        link.cut_off(fleet.fronts[front].pid());
    }
}

fn restore(fleet: &RelayFleet) {
    for link in &fleet.links[FIRST_SERVER_LINK..] {
        link.restore();
    }
}

/// Sends calls to a front once each, and returns how many are served. Checks that those that must
/// not be repeated have run once if they were served, and not at all if that was promised.
async fn served(fleet: &RelayFleet, front: u8, path: &str, name: &str) -> usize {
    let mut served = 0;
    for n in 0..CALLS {
        let id = format!("{name}-{front}-{n}");
        let answer = fleet.call(front, path, &id, Call::default()).await;
        let runs = fleet.servers.runs_of(&id).len();
        let is_served = answer.status == 200 && answer.body.is_ok();
        assert!(!is_served || runs > 0, "{id} was answered and has not run");
        assert!(answer.status != 503 || runs == 0, "{id} was answered 503 and has run");
        // The route of idempotent calls allows two runs.
        let max_runs = if path.starts_with("/safe/") { 2 } else { 1 };
        assert!(runs <= max_runs, "{id} has run {runs} times");
        served += usize::from(is_served);
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn served_through_other_front() {
    let (fleet, _logs) = start().await;
    cut_off(&fleet, 0);
    sleep(STABLE_TIME).await;
    for path in ["/safe/x", "/once/x", "/stream/events/5"] {
        let cut = served(&fleet, 0, path, &format!("cut{path}")).await;
        let other = served(&fleet, 1, path, &format!("other{path}")).await;
        assert!(
            3 * cut >= 2 * other,
            "{path}: {cut} served at the cut front, {other} at the other"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn served_after_links_are_back() {
    let (fleet, _logs) = start().await;
    cut_off(&fleet, 0);
    sleep(STABLE_TIME).await;
    served(&fleet, 0, "/safe/x", "cut").await;
    restore(&fleet);
    sleep(STABLE_TIME).await;
    assert_eq!(served(&fleet, 0, "/once/x", "restored").await, CALLS);
}

/// A front that connects others to servers is stopped while callers use it that way.
#[tokio::test(flavor = "multi_thread")]
async fn detour_stops_in_order() {
    let (mut fleet, _logs) = start().await;
    cut_off(&fleet, 0);
    sleep(STABLE_TIME).await;
    served(&fleet, 0, "/safe/x", "before-stop").await;
    fleet.fronts[1].request_stop();
    let calls = (0..CALLS).map(|n| {
        let fleet = &fleet;
        async move {
            let id = format!("stopping-{n}");
            (fleet.call(0, "/once/slow", &id, Call::default()).await, id)
        }
    });
    for (answer, id) in futures::future::join_all(calls).await {
        let runs = fleet.servers.runs_of(&id).len();
        match answer.status {
            200 => assert!(answer.body.is_ok() && runs == 1, "{id} ran {runs} times"),
            503 => assert_eq!(runs, 0, "{id} was answered 503 and has run"),
            status => panic!("{id} was answered {status} and has run {runs} times"),
        }
    }
    fleet.fronts[1].wait_stopped().await;
}

/// Calls that a cut front loses are no evidence that their request ends servers.
#[tokio::test(flavor = "multi_thread")]
async fn lost_calls_are_no_suspects() {
    let (fleet, _logs) = start().await;
    cut_off(&fleet, 0);
    for n in 0..6 {
        fleet.call(0, "/once/other", &format!("lost-{n}"), Call::default()).await;
    }
    sleep(STABLE_TIME).await;
    for front in [1, 0] {
        let id = format!("later-{front}");
        let answer = fleet.call(front, "/once/other", &id, Call::default()).await;
        assert_eq!(answer.status, 200, "{id}: {:?}", answer.body);
    }
}
