//! Calls of an engine: token rate, queue, priorities and cancellation.

mod common;

use std::time::Duration;

use common::{chat, read_response, send, start_engine, start_stream, wait_until};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::Instant;

fn call(tokens: u64) -> serde_json::Value {
    json!({"model": "m", "max_tokens": tokens, "messages": [{"role": "user", "content": "hi"}]})
}

/// A response without its usage could not be charged to a token budget.
#[tokio::test(start_paused = true)]
async fn full_response_includes_usage() {
    let engine = start_engine(|e| e).await;
    let answer = chat(&engine, &[("x-request-id", "r-1")], &call(3)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["x-request-id"], "r-1");
    let answer = answer.json();
    assert_eq!(answer["choices"][0]["message"]["content"], "word0 word1 word2 ");
    let usage = json!({"prompt_tokens": 8, "completion_tokens": 3, "cached_tokens": 0});
    assert_eq!(answer["usage"], usage);
    assert_eq!(engine.counters().tokens, 3);
}

/// A stream ends with `[DONE]`, and its usage comes before that.
#[tokio::test(start_paused = true)]
async fn stream_ends_with_done() {
    let engine = start_engine(|e| e).await;
    let answer = read_response(start_stream(&engine, &[], 2).await.unwrap()).await.unwrap();
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    let events: Vec<_> = answer.text().split_terminator("\n\n").collect();
    assert_eq!(events.len(), 4);
    assert!(events[1].contains("word1 "));
    assert!(events[2].contains("completion_tokens"));
    assert_eq!(events[3], "data: [DONE]");
}

/// Each running call adds to the time per token of the others.
#[tokio::test(start_paused = true)]
async fn tokens_slow_down_with_the_batch() {
    let engine = start_engine(|e| e.token_interval_per_call(Duration::from_secs(1))).await;
    let start = Instant::now();
    chat(&engine, &[], &call(10)).await.unwrap();
    let alone = start.elapsed();
    let start = Instant::now();
    let (a, b) = (call(10), call(10));
    let both = futures::future::join(chat(&engine, &[], &a), chat(&engine, &[], &b)).await;
    assert!(both.0.is_ok() && both.1.is_ok());
    // All but the first token of each call take twice as long.
    assert!(start.elapsed() >= alone + Duration::from_secs(8), "{:?}", start.elapsed());
}

/// Guards against an unbounded queue, and against a 503 without `Retry-After`.
#[tokio::test(start_paused = true)]
async fn full_queue_is_refused() {
    let engine = start_engine(|e| e.capacity(1).max_queue(1)).await;
    let running = start_stream(&engine, &[], 50).await.unwrap();
    let body = call(1);
    let queued = chat(&engine, &[], &body);
    let refused = async {
        wait_until("one call waits", || engine.counters().queued == 1).await;
        chat(&engine, &[], &call(1)).await.unwrap()
    };
    let (queued, refused) = futures::future::join(queued, refused).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["retry-after"], "1");
    assert_eq!(queued.unwrap().status, StatusCode::OK);
    assert!(read_response(running).await.is_ok());
    assert_eq!(engine.counters().executions, 2);
}

/// Guards against a queue that ignores priorities and runs calls in order of arrival.
#[tokio::test(start_paused = true)]
async fn lower_priority_numbers_run_first() {
    let engine = start_engine(|e| e.capacity(1)).await;
    let running = start_stream(&engine, &[], 50).await.unwrap();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let mut calls = Vec::new();
    for (n, priority) in ["7", "-1", "3"].into_iter().enumerate() {
        let (engine, tx) = (&engine, tx.clone());
        calls.push(async move {
            wait_until("earlier calls wait", || engine.counters().queued as usize == n).await;
            chat(engine, &[("x-priority", priority)], &call(1)).await.unwrap();
            tx.send(priority).unwrap();
        });
    }
    futures::future::join_all(calls).await;
    let order = [rx.recv().await, rx.recv().await, rx.recv().await];
    assert_eq!(order, [Some("-1"), Some("3"), Some("7")]);
    drop(running);
}

/// Guards against running or queued calls that continue after the caller closes its connection.
#[tokio::test(start_paused = true)]
async fn closed_connections_free_their_place() {
    let engine = start_engine(|e| e.capacity(1)).await;
    let mut running = start_stream(&engine, &[], 1000).await.unwrap();
    running.body_mut().frame().await.unwrap().unwrap();
    let body = call(1000).to_string();
    {
        let queued = send(&engine, Method::POST, "/v1/chat/completions", &[], &body);
        tokio::select! {
            _ = queued => panic!("the queued call got a response"),
            () = wait_until("one call waits", || engine.counters().queued == 1) => {}
        }
    }
    wait_until("the waiting call has gone", || engine.counters().queued == 0).await;
    drop(running);
    wait_until("the running call has gone", || engine.counters().running == 0).await;
    assert_eq!(engine.counters().cancelled, 2);
    assert!(engine.counters().tokens < 1000);
}
