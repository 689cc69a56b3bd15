//! Guards against responses of other calls, or truncated ones, that are passed on as valid.

#[path = "support/platform.rs"]
mod platform;

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually};

const CALLS: usize = 12;

/// A second copy of a response arrives after its connection has been reused.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    // In parallel, so that most calls get their own connection.
    let first = async |n: usize| {
        let id = format!("first-{n}");
        fleet.call(0, "/once/faulty/copy", &id, Call::default()).await
    };
    let first = join_all((0..CALLS).map(first)).await;
    let copies = first.iter().filter(|answer| answer.status == 200);
    assert!(copies.clone().all(|answer| answer.text() == "copy"));
    assert!(copies.count() > 0, "no connection is left that sends a late copy");
    for n in 0..CALLS {
        for path in ["/once/x", "/safe/x"] {
            let own = format!("{path} {n}");
            let call = Call { body: &own, ..Call::default() };
            let answer = fleet.call(0, path, &format!("own-{n}"), call).await;
            assert!(answer.status != 200 || answer.text() == own, "{own}: {}", answer.text());
        }
    }
    // The servers must be used again.
    let served = async || {
        let answer = fleet.call(0, "/safe/x", "later", Call::default()).await;
        answer.status == 200 && answer.text() == "in"
    };
    eventually("calls are served", served).await;
}

/// A stream without a length that ends within an event must not be reported as complete.
#[tokio::test(flavor = "multi_thread")]
async fn cut_event() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for path in ["/stream/faulty/cut", "/kept/faulty/cut"] {
        let answer = fleet.call(0, path, path, Call::default()).await;
        assert!(answer.status != 200 || answer.body.is_err(), "{path}: {}", answer.text());
    }
}
