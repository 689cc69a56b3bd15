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
