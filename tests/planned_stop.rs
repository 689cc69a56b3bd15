//! Guards against calls without a response while a front under load is terminated.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use nix::sys::signal::Signal;
use platform::{Call, KEY, RelayFleet, config};
use tokio::time::{Instant, sleep};

/// Takes about 5 s, so that the front stays up while the calls are sent.
const LONG_STREAM: &str = "/stream/paced/events/250";
/// Covers the time before and after the front closes its idle connections.
const CALL_TIME: Duration = Duration::from_millis(4_500);
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// At this interval the servers have free slots, and the calls outlast the grace period of 8 s.
const LATE_INTERVAL: Duration = Duration::from_millis(40);
const LATE_CALLS: u32 = 225;

#[tokio::test(flavor = "multi_thread")]
async fn new_connections() {
    let mut config = config(3, &[KEY]);
    // Short, so that the front accepts calls until shortly before its exit.
    config["routes"][1]["timeoutMs"] = 1_000.into();
    let fleet = RelayFleet::start(&config).await;
    let fleet = &fleet;
    let stream = fleet.call(0, LONG_STREAM, "long", Call::default());
    let calls = async {
        sleep(CALL_INTERVAL).await;
        fleet.fronts[0].signal(Signal::SIGTERM);
        let until = Instant::now() + CALL_TIME;
        for n in 0.. {
            if Instant::now() >= until {
                return n;
            }
            // Each call uses a new connection.
            let answer = fleet.call(0, "/once/x", &format!("call-{n}"), Call::default()).await;
            assert!(matches!(answer.status, 200 | 503), "call {n}: {:?}", answer.body);
            sleep(CALL_INTERVAL).await;
        }
        unreachable!("the loop only ends by returning")
    };
    let (stream, calls) = tokio::join!(stream, calls);
    assert!(calls > 50, "{calls} calls");
    assert!(stream.status == 200 && stream.text().contains("out250"), "{}", stream.status);
}

/// Calls that arrive until the process is gone get a complete response or have not run. Their routes
/// allow 1 s, so that the front takes them until shortly before its exit.
#[tokio::test(flavor = "multi_thread")]
async fn late_calls() {
    let mut config = config(3, &[KEY]);
    for route in config["routes"].as_array_mut().expect("no list of routes") {
        route["timeoutMs"] = 1_000.into();
    }
    let mut fleet = RelayFleet::start(&config).await;
    fleet.fronts[0].request_stop();
    let calls = {
        let fleet = &fleet;
        (0..LATE_CALLS).map(move |n| async move {
            sleep(LATE_INTERVAL * n).await;
            let path = ["/once/slow", "/once/silent", "/stream/paced/events/20"][n as usize % 3];
            let id = format!("late-{n}");
            let answer = fleet.call(0, path, &id, Call::default()).await;
            let runs = fleet.servers.runs_of(&id).len();
            match (answer.status, &answer.body) {
                (200, Ok(_)) => assert_eq!(runs, 1, "{id}"),
                // A front that is gone accepts no connection.
                (503 | 0, _) => {
                    assert_eq!(runs, 0, "{id} was answered {} and has run", answer.status)
                }
                (504, Ok(_)) => assert!(path.ends_with("/silent"), "{id}: 504 on {path}"),
                (status, body) => panic!("{id} on {path}: {status}, {body:?}, {runs} runs"),
            }
            answer.status
        })
    };
    let statuses = futures::future::join_all(calls).await;
    fleet.fronts[0].wait_stopped().await;
    for status in [200, 504, 0] {
        assert!(statuses.contains(&status), "no call was answered {status}");
    }
}
