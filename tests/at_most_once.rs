//! Guards against a second execution of a call that must run at most once, under any failure of its
//! endpoint.

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{Fleet, calls::CallResponse, eventually};

const SERVICES: [(&str, &str, &[&str]); 2] = [
    ("orders-1", "service", &["--restart-after", "100ms", "--delay", "50ms"]),
    ("orders-2", "service", &["--restart-after", "100ms", "--delay", "50ms"]),
];

/// An order must not run again, through the instance's retry or the caller's resend, after its
/// endpoint has run it and then failed.
#[tokio::test(flavor = "multi_thread")]
async fn failing_endpoint() {
    let fleet = Fleet::with_mock_endpoints(2, &SERVICES).await;
    for fault in ["crash", "hang", "silent", "crossed", "truncate", "stall", "late:5000"] {
        let key = format!("order-{fault}");
        let body = format!("{{\"fault\": \"{fault}\"}}");
        let order = |i: usize| fleet.order(i, &key, &body).header("x-standin-fault", fault);
        let first = CallResponse::fetch(order(1).header("x-poplarspan-deadline", 1000)).await;
        assert_eq!(first.code(), "outcome_unknown", "{fault}: {first:?}");
        assert_ne!(first.ran(), "no", "{fault}: {first:?}");
        for i in [1, 2, 0, 2] {
            let again = CallResponse::fetch(fleet.order(i, &key, &body)).await;
            let expected = ("outcome_unknown".to_owned(), "unknown".to_owned());
            assert_eq!(again.refusal(), expected, "{fault}: {again:?}");
        }
        eventually("both services to restart", async || {
            fleet.try_query_mock_endpoint(0, "/load").await.is_some()
                && fleet.try_query_mock_endpoint(1, "/load").await.is_some()
        })
        .await;
        assert_eq!(fleet.executions_of(&key).await, 1, "{fault}");
    }
}

/// An error status from the endpoint is a response: the order ran, and resends get the recorded
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn failed_order() {
    let fleet = Fleet::with_mock_endpoints(1, &SERVICES).await;
    for i in [0, 1, 0] {
        let order = fleet.order(i, "order-1", "{}").header("x-standin-fault", "error");
        assert_eq!(CallResponse::fetch(order).await.status, 500);
    }
    assert_eq!(fleet.executions_of("order-1").await, 1);
}

/// An order whose endpoint is killed while it runs must not be sent to another endpoint. An order
/// that arrives after its endpoint was killed must be sent to another one instead of being refused.
#[tokio::test(flavor = "multi_thread")]
async fn killed_endpoint() {
    let flags: &[&str] = &["--delay", "800ms"];
    let services = [("orders-1", "service", flags), ("orders-2", "service", flags)];
    let mut fleet = Fleet::with_mock_endpoints(1, &services).await;
    let call = tokio::spawn(CallResponse::fetch(fleet.order(1, "during", "{}")));
    let mut at = None;
    eventually("a running order", async || {
        for i in 0..2 {
            let load = fleet.try_query_mock_endpoint(i, "/load").await.expect("no load report");
            if load["running"] == 1 {
                at = Some(i);
            }
        }
        at.is_some()
    })
    .await;
    let killed = at.expect("no service runs the order");
    fleet.kill_mock_endpoint(killed);
    let first = call.await.expect("task panicked");
    let unknown = ("outcome_unknown".to_owned(), "unknown".to_owned());
    assert_eq!(first.refusal(), unknown, "{first:?}");
    let again = CallResponse::fetch(fleet.order(0, "during", "{}")).await;
    assert_eq!(again.refusal(), unknown, "{again:?}");
    assert_eq!(fleet.executions_of("during").await, 0, "the order was sent to the other service");
    for n in 0..4 {
        let key = format!("before-{n}");
        let answer = CallResponse::fetch(fleet.order(n % 2, &key, &key)).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(fleet.executions_of(&key).await, 1);
    }
    fleet.kill_mock_endpoint(1 - killed);
    let refused =
        CallResponse::fetch(fleet.order(1, "nowhere", "{}").header("x-poplarspan-deadline", 3000));
    let refused = refused.await;
    assert_eq!(refused.ran(), "no", "{refused:?}");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    fleet.start_mock_endpoint(0);
    fleet.start_mock_endpoint(1);
    eventually("the order to succeed after the restart", async || {
        CallResponse::fetch(fleet.order(0, "nowhere", "{}")).await.status == 200
    })
    .await;
    assert_eq!(fleet.executions_of("nowhere").await, 1);
}

/// Copies of an order that arrive at several instances at the same time must not run in parallel.
#[tokio::test(flavor = "multi_thread")]
async fn parallel_copies() {
    let fleet = Fleet::with_mock_endpoints(2, &SERVICES).await;
    for n in 0..8 {
        let key = format!("order-{n}");
        let copies = (0..6).map(|i| CallResponse::fetch(fleet.order(i % 3, &key, &key)));
        let answers = join_all(copies).await;
        let first = answers.iter().filter(|a| a.status == 200 && !a.is_replay()).count();
        assert_eq!(first, 1, "{answers:?}");
        assert!(answers.iter().all(|a| a.status == 200 || a.code() == "conflict"), "{answers:?}");
        assert_eq!(fleet.executions_of(&key).await, 1);
        let other = CallResponse::fetch(fleet.order(n % 3, &key, "another body")).await;
        assert_eq!(other.refusal(), ("conflict".to_owned(), "no".to_owned()));
        assert_eq!(fleet.executions_of(&key).await, 1);
    }
}

/// An order whose caller disconnects must still be recorded, so that a resend gets its response.
#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let flags: &[&str] = &["--delay", "300ms"];
    let fleet = Fleet::with_mock_endpoints(1, &[("orders-1", "service", flags)]).await;
    let order = fleet.order(1, "order-1", "{}").timeout(Duration::from_millis(150));
    order.send().await.expect_err("the client timeout must expire first");
    eventually("the recorded response", async || {
        let again = CallResponse::fetch(fleet.order(0, "order-1", "{}")).await;
        assert!(again.status == 200 || again.code() == "conflict", "{again:?}");
        again.status == 200 && again.is_replay()
    })
    .await;
    assert_eq!(fleet.executions_of("order-1").await, 1);
}
