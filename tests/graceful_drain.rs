//! Guards against calls that are cut when an instance is terminated.

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use support::{Fleet, calls::CallResponse, eventually};

/// SIGTERM must not cut open streams, queued calls, calls of programs or orders. Readiness must end
/// before the process exits, so that load balancers stop sending, and the exit status must be 0.
#[tokio::test(flavor = "multi_thread")]
async fn open_calls() {
    let engine: &[&str] = &["--token-interval", "20ms", "--capacity", "4"];
    let service: &[&str] = &["--delay", "1500ms"];
    let mock_endpoints = [("engine-1", "engine", engine), ("orders-1", "service", service)];
    let mut fleet = Fleet::configured(2, &mock_endpoints, |fleet| {
        // The engine runs four calls at once; the instance queues the others.
        fleet.objects.capacity = 4;
    })
    .await;
    let mut calls = Vec::new();
    for n in 0..12 {
        let more = json!({"stream": n % 2 == 0, "max_tokens": 20});
        let call = fleet.chat_with(1, &format!("question {n}"), more);
        let call = match n % 3 {
            0 => call.header("x-poplarspan-program", format!("program-{n}")),
            _ => call,
        };
        calls.push(tokio::spawn(CallResponse::fetch(call)));
    }
    let orders = (0..3).map(|n| fleet.order(1, &format!("order-{n}"), "{}"));
    let orders: Vec<_> = orders.map(|order| tokio::spawn(CallResponse::fetch(order))).collect();
    let gone = fleet.order(1, "order-gone", "{}").timeout(Duration::from_millis(500));
    gone.send().await.expect_err("the client timeout must expire first");
    eventually("running calls", async || {
        let engine = fleet.try_query_mock_endpoint(0, "/load").await.expect("no load report");
        let service = fleet.try_query_mock_endpoint(1, "/load").await.expect("no load report");
        engine["running"].as_u64() >= Some(1) && service["running"].as_u64() >= Some(1)
    })
    .await;
    let process = fleet.terminate(1);
    let ready = format!("http://{}/readyz", fleet.members[1].probe);
    eventually("/readyz to report 503", async || match fleet.client.get(&ready).send().await {
        Ok(answer) => answer.status() == 503,
        Err(_) => panic!("the instance exited before /readyz reported 503"),
    })
    .await;
    for (n, call) in join_all(calls).await.into_iter().enumerate() {
        let response = call.expect("task panicked");
        assert_eq!(response.status, 200, "{n}: {response:?}");
        let body = response.body.as_deref().expect("incomplete body");
        assert!(n % 2 == 1 || body.ends_with("data: [DONE]\n\n"), "{n}: {body}");
        assert!(n % 2 == 0 || body.contains("\"completion_tokens\":20"), "{n}: {body}");
    }
    for order in join_all(orders).await {
        assert_eq!(order.expect("task panicked").status, 200);
    }
    let status = tokio::task::spawn_blocking(|| process.wait()).await.expect("task panicked");
    assert_eq!(status.code(), Some(0), "{}", fleet.log(1));
    for n in ["order-0", "order-1", "order-2", "order-gone"] {
        let again = CallResponse::fetch(fleet.order(2, n, "{}")).await;
        assert!(again.status == 200 && again.is_replay(), "{n}: {again:?}");
        assert_eq!(fleet.executions_of(n).await, 1, "{n}");
    }
    let next = fleet.chat(2, "next").header("x-poplarspan-program", "program-0");
    assert_eq!(CallResponse::fetch(next.header("x-poplarspan-turn", 2)).await.status, 200);
}
