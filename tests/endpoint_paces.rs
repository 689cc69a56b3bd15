//! Guards against servers that get their whole part of the load at once when they appear.

#[path = "support/platform.rs"]
mod platform;

use std::time::{Duration, Instant};

use futures::future::{join, join_all};
use platform::{Call, KEY, RelayFleet, config, eventually};
use tokio::time::sleep;

/// Callers, and the pause of each between two calls: some 400 calls a second.
const CALLERS: usize = 24;
const PAUSE: Duration = Duration::from_millis(20);
const LOAD_TIME: Duration = Duration::from_secs(16);
/// Time after the first call that a server gets in which its pace is still the first one.
const FIRST_STEP: Duration = Duration::from_millis(900);
/// The first pace is 8 calls a second, which fronts keep to over 2 s.
const FIRST_CALLS: usize = 16;

fn runs(fleet: &RelayFleet, server: usize) -> Vec<Instant> {
    let runs = fleet.servers.runs();
    runs.iter().filter(|r| r.server == server).map(|r| r.at).collect()
}

/// Sends calls to both fronts for [`LOAD_TIME`]. Panics if one is not served.
async fn load(fleet: &RelayFleet) {
    let until = Instant::now() + LOAD_TIME;
    let caller = async |n: usize| {
        for call in 0.. {
            if Instant::now() > until {
                return;
            }
            let id = format!("call-{n}-{call}");
            let answer = fleet.call((n % 2) as u8, "/safe/named", &id, Call::default()).await;
            assert_eq!(answer.status, 200, "{id}: {}", answer.text());
            sleep(PAUSE).await;
        }
    };
    join_all((0..CALLERS).map(caller)).await;
}

/// A server that appears in the list gets few calls at first, and its part of the load in the end.
#[tokio::test(flavor = "multi_thread")]
async fn new_server() {
    let fleet = RelayFleet::start_measured(&config(3, &[KEY])).await;
    fleet.servers.set_software(0, None);
    // Calls in parallel, because single ones stay at the servers with an idle connection.
    let is_unused = async || {
        let before = runs(&fleet, 0).len();
        let call = async |n: usize| {
            let id = format!("unused-{before}-{n}-{:?}", Instant::now());
            let id: String = id.chars().filter(char::is_ascii_alphanumeric).collect();
            fleet.call((n % 2) as u8, "/safe/x", &id, Call::default()).await
        };
        let answers = join_all((0..CALLERS).map(call)).await;
        answers.iter().all(|a| a.status == 200) && runs(&fleet, 0).len() == before
    };
    eventually("the server has left the list", is_unused).await;
    let before = runs(&fleet, 0).len();
    let appears = async {
        sleep(Duration::from_secs(2)).await;
        assert_eq!(runs(&fleet, 0).len(), before, "the server is used before it appears");
        fleet.servers.set_software(0, Some("v1"));
    };
    join(load(&fleet), appears).await;
    let at = runs(&fleet, 0).split_off(before);
    let first = *at.first().expect("the server got calls");
    let early = at.iter().filter(|t| **t < first + FIRST_STEP).count();
    assert!(early <= FIRST_CALLS, "{early} calls in {FIRST_STEP:?}");
    let last = *at.last().expect("the server got calls");
    let late = at.iter().filter(|t| **t + Duration::from_secs(1) > last).count();
    let seconds = |t: &Instant| t.duration_since(first).as_secs();
    let by_second: Vec<_> =
        (0..16).map(|s| at.iter().filter(|t| seconds(t) == s).count()).collect();
    println!("calls by second: {by_second:?}");
    println!("{early} calls in {FIRST_STEP:?}, {late} in the last second");
    assert!(late > 2 * FIRST_CALLS, "{late} calls in the last second");
}
