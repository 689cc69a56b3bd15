//! Guards against responses of other calls, or truncated ones, that are passed on as valid.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually, faulty::refused_while_running};
use tokio::time::sleep;

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

/// A server sends an earlier refusal once more while it runs a request: neither may the caller be
/// told that the request did not run, nor may another server run it.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal() {
    let mut config = config(3, &[KEY]);
    for route in config["routes"].as_array_mut().expect("no list of routes") {
        // The servers never complete the requests that they refuse late.
        route["timeoutMs"] = 1_000.into();
    }
    let fleet = RelayFleet::start(&config).await;
    let mut answers = Vec::new();
    for fault in ["refusal-copy", "anonymous-refusal-copy"] {
        // One after the other: all servers refuse, then one gets the call again on the same
        // connection.
        let path = format!("/once/faulty/{fault}");
        for (path, name) in [(&*path, fault), ("/once/x", "after")] {
            for n in 0..CALLS {
                let id = format!("{name}-{fault}-{n}");
                let status = fleet.call(0, path, &id, Call::default()).await.status;
                answers.push((id, status));
            }
        }
    }
    let ran = refused_while_running();
    assert!(!ran.is_empty(), "no refusal was sent twice");
    for (id, status) in answers {
        let runs = ran.iter().filter(|r| **r == id).count() + fleet.servers.runs_of(&id).len();
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(runs == 0 || status != 503, "{id} ran and was refused");
    }
}

/// A stream that ends within an event must not be reported as complete, however its end is marked.
#[tokio::test(flavor = "multi_thread")]
async fn cut_event() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for route in ["stream", "kept"] {
        for fault in ["cut", "cut-chunks", "cut-length"] {
            let path = format!("/{route}/faulty/{fault}");
            let answer = fleet.call(0, &path, &path, Call::default()).await;
            assert!(answer.status != 200 || answer.body.is_err(), "{path}: {}", answer.text());
        }
    }
}

/// A response that ends with its connection is complete, unless the connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_answers() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for (path, body) in [
        ("/once/faulty/unframed", "whole"),
        ("/stream/faulty/unframed-events", "data: a\n\ndata: b\n\n"),
        ("/kept/faulty/unframed-events", "data: a\n\ndata: b\n\n"),
    ] {
        let headers = [("program-id", "p"), ("token-count", "5,100")];
        let call = Call { headers: &headers, ..Call::default() };
        let answer = fleet.call(0, path, path, call).await;
        assert_eq!((answer.status, answer.text()), (200, body), "{path}");
    }
    let answer = fleet.call(0, "/once/faulty/unframed-reset", "reset", Call::default()).await;
    assert!(answer.status != 200 || answer.body.is_err(), "{}", answer.text());
}

/// A server that stops within the head of its answer and closes has answered nothing.
#[tokio::test(flavor = "multi_thread")]
async fn cut_head() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for fault in ["cut-status", "cut-head-line", "cut-head-name", "cut-head-value", "cut-head-end"]
    {
        for route in ["safe", "once", "stream", "kept"] {
            let path = format!("/{route}/faulty/{fault}");
            // 503 means that no server was asked, since all are paused after a failure.
            let answer = loop {
                let answer = fleet.call(0, &path, &path, Call::default()).await;
                if answer.status != 503 {
                    break answer;
                }
                sleep(Duration::from_millis(50)).await;
            };
            assert_eq!(answer.status, 502, "{path}: {:?}", answer.body);
        }
    }
}
