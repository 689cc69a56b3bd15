//! Guards against calls that are lost on stalled connections while new connections work.

mod support;

use futures::future::join_all;
use serde_json::json;
use support::{Fleet, calls::CallResponse};

/// Calls on connections that stall must be retried on new ones, also if there is only one endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine() {
    let flags: &[&str] = &["--token-interval", "2ms"];
    let fleet = Fleet::with_mock_endpoints(1, &[("engine-1", "engine", flags)]).await;
    for round in 0..2 {
        // Fills the connection pool.
        let calls =
            (0..6).map(|n| CallResponse::fetch(fleet.chat(1, &format!("before {round} {n}"))));
        assert!(join_all(calls).await.iter().all(|response| response.status == 200));
        let calls = (0..4).map(|n| {
            let more = json!({"stream": n == 3});
            let call = fleet.chat_with(1, &format!("after {round} {n}"), more);
            // Each attempt of the first call stalls all open connections of the engine.
            let call = call.header("x-poplarspan-deadline", if n == 0 { 1000 } else { 20_000 });
            let call = match n {
                0 => call.header("x-standin-fault", "stall"),
                1 => call.header("x-poplarspan-program", format!("program-{round}")),
                _ => call,
            };
            CallResponse::fetch(call)
        });
        for (n, response) in join_all(calls).await.into_iter().enumerate().skip(1) {
            assert_eq!(response.status, 200, "{round} {n}: {response:?}");
        }
    }
}

/// Calls that arrive after the stall must not be lost on the stalled connections in the pool.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_pool() {
    let flags: &[&str] = &["--token-interval", "2ms"];
    let fleet = Fleet::with_mock_endpoints(1, &[("engine-1", "engine", flags)]).await;
    let calls = (0..6).map(|n| CallResponse::fetch(fleet.chat(1, &format!("before {n}"))));
    assert!(join_all(calls).await.iter().all(|response| response.status == 200));
    // Sent through the other instance, so that the idle connections of instance 1 stall as well.
    let stall = fleet.chat(0, "stall").header("x-standin-fault", "stall");
    let stall = tokio::spawn(CallResponse::fetch(stall.header("x-poplarspan-deadline", 1000)));
    for n in 0..6 {
        let call = fleet.chat(1, &format!("after {n}")).header("x-poplarspan-deadline", 20_000);
        let response = CallResponse::fetch(call).await;
        assert_eq!(response.status, 200, "{n}: {response:?}");
    }
    assert_ne!(stall.await.expect("task panicked").status, 200);
}
