//! Execution counts of the service, and load reports.

mod common;

use std::time::Duration;

use common::{get, read_response, send, start_engine, start_stream, wait_until};
use http::Method;
use poplarspan_standin::{MockEndpoint, ServiceConfig};
use serde_json::json;

async fn start_service(delay: Duration) -> MockEndpoint {
    let cfg = ServiceConfig::builder().delay(delay).restart_after(Duration::from_secs(1));
    MockEndpoint::start(cfg.build().unwrap()).await.unwrap()
}

/// Guards against executions that are not counted, or counted under the wrong key or body.
#[tokio::test(start_paused = true)]
async fn executions_are_counted_by_key_and_body() {
    let service = start_service(Duration::ZERO).await;
    for (method, path, key, body) in [
        (Method::POST, "/a", "k1", "x"),
        (Method::PUT, "/b/c?d=e", "k2", "x"),
        (Method::POST, "/a", "k1", "y"),
        (Method::POST, "/load", "k3", ""),
    ] {
        let answer = send(&service, method, path, &[("idempotency-key", key)], body).await.unwrap();
        read_response(answer).await.unwrap();
    }
    let by_key = json!([
        {"key": "k1", "executions": 2}, {"key": "k2", "executions": 1},
        {"key": "k3", "executions": 1},
    ]);
    assert_eq!(get(&service, "/executions").await.json(), by_key);
    let counts = service.service().unwrap();
    assert_eq!((counts.executions("k1"), counts.executions("none")), (2, 0));
    assert_eq!((counts.executions_with_body("x"), counts.executions_with_body("y")), (2, 1));
    assert_eq!(get(&service, "/executions?by=body").await.json()[1]["key"], "x");
    assert_eq!(service.counters().executions, 4);
}

/// An execution counts even if a fault, a crash or a disconnected caller prevents its response.
#[tokio::test(start_paused = true)]
async fn executions_count_without_an_answer() {
    let service = start_service(Duration::from_secs(10)).await;
    let send = |fault: &'static str| {
        let headers = [("idempotency-key", "k"), ("x-standin-fault", fault)];
        let service = &service;
        async move { send(service, Method::POST, "/a", &headers, "").await }
    };
    assert_eq!(send("error").await.unwrap().status(), 500);
    tokio::select! {
        _ = send("hang") => panic!("a hanging call got a response"),
        () = wait_until("the call runs", || service.counters().running == 1) => {}
    }
    wait_until("the caller has gone", || service.counters().running == 0).await;
    assert_eq!(service.counters().cancelled, 1);
    assert!(send("crash").await.is_err());
    wait_until("the next run", || service.counters().run == 2).await;
    assert_eq!(service.service().unwrap().executions("k"), 3);
}

/// Guards against reports of the present load. With those, tests could not show that a scheduler
/// sends too many calls to one endpoint because its reports are stale.
#[tokio::test(start_paused = true)]
async fn load_reports_lag() {
    let engine = start_engine(|e| e.capacity(1).load_lag(Duration::from_secs(20))).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    let running = start_stream(&engine, &[], 1000).await.unwrap();
    assert_eq!(engine.counters().running, 1);
    let report = get(&engine, "/load").await.json();
    assert_eq!((&report["running"], &report["age_ms"]), (&json!(0), &json!(20_000)));
    let uptime = report["uptime_ms"].as_u64().unwrap();
    assert!((40_000..60_000).contains(&uptime), "{uptime}");
    tokio::time::sleep(Duration::from_secs(20)).await;
    let report = get(&engine, "/load").await.json();
    assert_eq!((&report["running"], &report["run"]), (&json!(1), &json!(1)));
    drop(running);
}

/// Guards against a stopped endpoint that still accepts connections, and against a restart on
/// another address.
#[tokio::test(start_paused = true)]
async fn stop_and_restart_keep_the_address() {
    let mut service = start_service(Duration::ZERO).await;
    let address = service.address();
    get(&service, "/a").await;
    service.stop().await.unwrap();
    assert!(send(&service, Method::GET, "/a", &[], "").await.is_err());
    service.restart().await.unwrap();
    assert_eq!(service.address(), address);
    get(&service, "/a").await;
    let counters = service.counters();
    assert_eq!((counters.run, counters.executions), (2, 2));
}
