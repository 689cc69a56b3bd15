//! Guards against calls that are lost on connections that have gone silent while new ones work.

mod support;

use futures::future::join_all;
use serde_json::json;
use support::{Fleet, calls::CallResponse};

/// Calls on open connections wait for an answer that never comes, also when the only endpoint
/// answers on new connections.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine() {
    let flags: &[&str] = &["--token-interval", "2ms"];
    let fleet = Fleet::with_stand_ins(1, &[("engine-1", "engine", flags)]).await;
    for round in 0..2 {
        // Fills the pool of idle connections.
        let calls =
            (0..6).map(|n| CallResponse::fetch(fleet.chat(1, &format!("before {round} {n}"))));
        assert!(join_all(calls).await.iter().all(|response| response.status == 200));
        let calls = (0..4).map(|n| {
            let more = json!({"stream": n == 3});
            let call = fleet.chat_with(1, &format!("after {round} {n}"), more);
            // The first one stalls the connections of all, with each of its own attempts.
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

/// Calls that come after the stall are sent on the connections that it left in the pool.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_pool() {
    let flags: &[&str] = &["--token-interval", "2ms"];
    let fleet = Fleet::with_stand_ins(1, &[("engine-1", "engine", flags)]).await;
    let calls = (0..6).map(|n| CallResponse::fetch(fleet.chat(1, &format!("before {n}"))));
    assert!(join_all(calls).await.iter().all(|response| response.status == 200));
    // Through the other instance: this one's connections stall without a call on them.
    let stall = fleet.chat(0, "stall").header("x-standin-fault", "stall");
    let stall = tokio::spawn(CallResponse::fetch(stall.header("x-poplarspan-deadline", 1000)));
    for n in 0..6 {
        let call = fleet.chat(1, &format!("after {n}")).header("x-poplarspan-deadline", 20_000);
        let response = CallResponse::fetch(call).await;
        assert_eq!(response.status, 200, "{n}: {response:?}");
    }
    assert_ne!(stall.await.expect("no panic").status, 200);
}
