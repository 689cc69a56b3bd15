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
        assert!(runs <= 1, "{id} has run {runs} times");
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
