//! Faults on request, of both kinds of stand-ins.

mod common;

use std::time::Duration;

use common::{engine, get, open, post, whole};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use poplarspan_standin::{ServiceConfig, StandIn};
use tokio::time::{Instant, timeout};

const LONG: Duration = Duration::from_secs(3600);
const CALL: &str = r#"{"model":"m","max_tokens":8,"messages":["hi"]}"#;
const STREAM: &str = r#"{"model":"m","max_tokens":8,"messages":["hi"],"stream":true}"#;

async fn both() -> [StandIn; 2] {
    let service = ServiceConfig::builder().restart_after(LONG).build().unwrap();
    [engine(|e| e.restart_after(LONG)).await, StandIn::start(service).await.unwrap()]
}

async fn faulty(
    standin: &StandIn,
    fault: &str,
    body: &str,
) -> anyhow::Result<http::Response<hyper::body::Incoming>> {
    let headers = [("x-standin-fault", fault), ("x-request-id", "r-1")];
    open(standin, Method::POST, "/v1/chat/completions", &headers, body).await
}

/// Guards against a crash that spares other connections or accepts new ones.
#[tokio::test(start_paused = true)]
async fn crash_drops_every_connection() {
    for by_body in [false, true] {
        for mut standin in both().await {
            let hanging = faulty(&standin, "hang", CALL);
            let crash = async {
                tokio::time::sleep(Duration::from_secs(1)).await;
                match by_body {
                    true => open(&standin, Method::PUT, "/any", &[], "x crash-me x").await,
                    false => faulty(&standin, "crash", CALL).await,
                }
            };
            let (hanging, crash) = futures::future::join(hanging, crash).await;
            assert!(hanging.is_err() && crash.is_err());
            assert!(open(&standin, Method::GET, "/load", &[], "").await.is_err());
            assert_eq!(standin.counters().crashes, 1);
            standin.restart().await.unwrap();
            assert_eq!(get(&standin, "/load").await.json()["run"], 2);
        }
    }
}

/// Guards against a hanging call that is answered in the end.
#[tokio::test(start_paused = true)]
async fn hang_never_answers() {
    for standin in both().await {
        assert!(timeout(LONG, faulty(&standin, "hang", CALL)).await.is_err());
        assert_eq!(get(&standin, "/load").await.status, StatusCode::OK, "others are served");
    }
}

/// Guards against a silent answer that ends, or of which nothing arrives.
#[tokio::test(start_paused = true)]
async fn silent_stops_within_the_body() {
    for standin in both().await {
        for body in [CALL, STREAM] {
            let mut response = faulty(&standin, "silent", body).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            let first = response.body_mut().frame().await.unwrap().unwrap();
            assert!(!first.into_data().unwrap().is_empty());
            assert!(timeout(LONG, whole(response)).await.is_err());
        }
    }
}

/// Guards against a silent stream that no order can release, so that it would hold memory forever.
#[tokio::test(start_paused = true)]
async fn silent_streams_can_be_released() {
    let [engine, _] = both().await;
    let body = r#"{"model":"m","max_tokens":100000,"messages":["hi"],"stream":true}"#;
    let headers = [("x-standin-fault", "silent"), ("x-program", "t/p")];
    let response = open(&engine, Method::POST, "/v1/chat/completions", &headers, body);
    let response = response.await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.counters().running, 1);
    let order = serde_json::json!({"kind": "release", "fencing": 1, "program": "t/p"});
    post(&engine, "/orders", &[], &order).await.unwrap();
    assert!(timeout(LONG, whole(response)).await.unwrap().is_err());
    assert!(engine.engine().unwrap().held().is_empty());
}

/// Guards against a stall that closes connections, or that new connections do not escape.
#[tokio::test(start_paused = true)]
async fn stall_silences_open_connections_only() {
    for standin in both().await {
        let slow = faulty(&standin, "late:60000", CALL);
        let stall = async {
            tokio::time::sleep(Duration::from_secs(30)).await;
            timeout(LONG, faulty(&standin, "stall", CALL)).await
        };
        let (slow, stall) = futures::future::join(timeout(LONG, slow), stall).await;
        assert!(slow.is_err() && stall.is_err());
        assert_eq!(get(&standin, "/load").await.json()["running"], 0);
    }
}

/// Guards against a truncated answer that a check of length or terminal frame cannot find.
#[tokio::test(start_paused = true)]
async fn truncate_ends_the_body_early() {
    for standin in both().await {
        let response = faulty(&standin, "truncate", CALL).await.unwrap();
        assert!(response.headers().contains_key("content-length"));
        assert!(whole(response).await.is_err());
    }
    let [engine, _] = both().await;
    let answer = whole(faulty(&engine, "truncate", STREAM).await.unwrap()).await.unwrap();
    assert!(answer.text().contains("word1") && !answer.text().contains("[DONE]"));
}

/// Guards against answers whose faults differ from the requested ones.
#[tokio::test(start_paused = true)]
async fn crossed_error_and_late() {
    for standin in both().await {
        let crossed = whole(faulty(&standin, "crossed", CALL).await.unwrap()).await.unwrap();
        assert_eq!(crossed.status, StatusCode::OK);
        assert_ne!(crossed.headers["x-request-id"], "r-1");
        let error = faulty(&standin, "error", CALL).await.unwrap();
        assert_eq!(error.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(error.headers()["x-request-id"], "r-1");
        let start = Instant::now();
        let late = whole(faulty(&standin, "late:90000", CALL).await.unwrap()).await.unwrap();
        assert_eq!(
            (late.status, &late.headers["x-request-id"]),
            (StatusCode::OK, &"r-1".parse().unwrap())
        );
        assert!(start.elapsed() >= Duration::from_secs(90));
        let unknown = faulty(&standin, "explode", CALL).await.unwrap();
        assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
    }
}
