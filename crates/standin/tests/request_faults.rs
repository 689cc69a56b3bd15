//! Faults on request, for both kinds of mock endpoint.

mod common;

use std::time::Duration;

use common::{get, post, read_response, send, start_engine};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use poplarspan_standin::{MockEndpoint, ServiceConfig};
use tokio::time::{Instant, timeout};

const LONG: Duration = Duration::from_secs(3600);
const CALL: &str = r#"{"model":"m","max_tokens":8,"messages":["hi"]}"#;
const STREAM: &str = r#"{"model":"m","max_tokens":8,"messages":["hi"],"stream":true}"#;

async fn start_both() -> [MockEndpoint; 2] {
    let service = ServiceConfig::builder().restart_after(LONG).build().unwrap();
    [start_engine(|e| e.restart_after(LONG)).await, MockEndpoint::start(service).await.unwrap()]
}

async fn send_with_fault(
    endpoint: &MockEndpoint,
    fault: &str,
    body: &str,
) -> anyhow::Result<http::Response<hyper::body::Incoming>> {
    let headers = [("x-standin-fault", fault), ("x-request-id", "r-1")];
    send(endpoint, Method::POST, "/v1/chat/completions", &headers, body).await
}

/// Guards against a crash that leaves other connections open, or accepts new ones.
#[tokio::test(start_paused = true)]
async fn crash_drops_every_connection() {
    for by_body in [false, true] {
        for mut endpoint in start_both().await {
            let hanging = send_with_fault(&endpoint, "hang", CALL);
            let crash = async {
                tokio::time::sleep(Duration::from_secs(1)).await;
                match by_body {
                    true => send(&endpoint, Method::PUT, "/any", &[], "x crash-me x").await,
                    false => send_with_fault(&endpoint, "crash", CALL).await,
                }
            };
            let (hanging, crash) = futures::future::join(hanging, crash).await;
            assert!(hanging.is_err() && crash.is_err());
            assert!(send(&endpoint, Method::GET, "/load", &[], "").await.is_err());
            assert_eq!(endpoint.counters().crashes, 1);
            endpoint.restart().await.unwrap();
            assert_eq!(get(&endpoint, "/load").await.json()["run"], 2);
        }
    }
}

/// A hanging call is never answered, and other calls are not affected.
#[tokio::test(start_paused = true)]
async fn hang_never_answers() {
    for endpoint in start_both().await {
        assert!(timeout(LONG, send_with_fault(&endpoint, "hang", CALL)).await.is_err());
        assert_eq!(
            get(&endpoint, "/load").await.status,
            StatusCode::OK,
            "other calls must be answered"
        );
    }
}

/// A silent response sends part of its body and then neither continues nor ends.
#[tokio::test(start_paused = true)]
async fn silent_stops_within_the_body() {
    for endpoint in start_both().await {
        for body in [CALL, STREAM] {
            let mut response = send_with_fault(&endpoint, "silent", body).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            let first = response.body_mut().frame().await.unwrap().unwrap();
            assert!(!first.into_data().unwrap().is_empty());
            assert!(timeout(LONG, read_response(response)).await.is_err());
        }
    }
}

/// Guards against a silent stream that no order can release, which would hold memory forever.
#[tokio::test(start_paused = true)]
async fn silent_streams_can_be_released() {
    let [engine, _] = start_both().await;
    let body = r#"{"model":"m","max_tokens":100000,"messages":["hi"],"stream":true}"#;
    let headers = [("x-standin-fault", "silent"), ("x-program", "t/p")];
    let response = send(&engine, Method::POST, "/v1/chat/completions", &headers, body);
    let response = response.await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.counters().running, 1);
    let order = serde_json::json!({"kind": "release", "fencing": 1, "program": "t/p"});
    post(&engine, "/orders", &[], &order).await.unwrap();
    assert!(timeout(LONG, read_response(response)).await.unwrap().is_err());
    assert!(engine.engine().unwrap().held_programs().is_empty());
}

/// Guards against a stall that closes connections, or affects new ones.
#[tokio::test(start_paused = true)]
async fn stall_silences_open_connections_only() {
    for endpoint in start_both().await {
        let slow = send_with_fault(&endpoint, "late:60000", CALL);
        let stall = async {
            tokio::time::sleep(Duration::from_secs(30)).await;
            timeout(LONG, send_with_fault(&endpoint, "stall", CALL)).await
        };
        let (slow, stall) = futures::future::join(timeout(LONG, slow), stall).await;
        assert!(slow.is_err() && stall.is_err());
        assert_eq!(get(&endpoint, "/load").await.json()["running"], 0);
    }
}

/// A truncated response can be detected by its `Content-Length`, a truncated stream by the missing
/// `[DONE]`.
#[tokio::test(start_paused = true)]
async fn truncate_ends_the_body_early() {
    for endpoint in start_both().await {
        let response = send_with_fault(&endpoint, "truncate", CALL).await.unwrap();
        assert!(response.headers().contains_key("content-length"));
        assert!(read_response(response).await.is_err());
    }
    let [engine, _] = start_both().await;
    let answer =
        read_response(send_with_fault(&engine, "truncate", STREAM).await.unwrap()).await.unwrap();
    assert!(answer.text().contains("word1") && !answer.text().contains("[DONE]"));
}

/// The faults `crossed`, `error` and `late` do what they name, and an unknown fault is rejected.
#[tokio::test(start_paused = true)]
async fn crossed_error_and_late() {
    for endpoint in start_both().await {
        let crossed = read_response(send_with_fault(&endpoint, "crossed", CALL).await.unwrap())
            .await
            .unwrap();
        assert_eq!(crossed.status, StatusCode::OK);
        assert_ne!(crossed.headers["x-request-id"], "r-1");
        let error = send_with_fault(&endpoint, "error", CALL).await.unwrap();
        assert_eq!(error.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(error.headers()["x-request-id"], "r-1");
        let start = Instant::now();
        let late = read_response(send_with_fault(&endpoint, "late:90000", CALL).await.unwrap())
            .await
            .unwrap();
        assert_eq!(
            (late.status, &late.headers["x-request-id"]),
            (StatusCode::OK, &"r-1".parse().unwrap())
        );
        assert!(start.elapsed() >= Duration::from_secs(90));
        let unknown = send_with_fault(&endpoint, "explode", CALL).await.unwrap();
        assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
    }
}
