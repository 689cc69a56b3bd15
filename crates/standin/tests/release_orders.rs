//! Orders: releases, fencing, models, roles and transfers between engines.

mod common;

use std::{sync::Arc, time::Duration};

use common::{chat, get, post, prompt, read_response, start_engine, start_stream, wait_until};
use http::StatusCode;
use http_body_util::BodyExt;
use poplarspan_standin::{Fencing, MockEndpoint, WeightStore};
use serde_json::{Value, json};

async fn order(engine: &MockEndpoint, order: Value) -> StatusCode {
    post(engine, "/orders", &[], &order).await.unwrap().status
}

fn release(program: &str, fencing: u64, claim: Option<u64>) -> Value {
    json!({"kind": "release", "fencing": fencing, "program": program, "claim": claim, "team": "t"})
}

/// Guards against a release that misses child programs, or includes a program whose name only
/// starts with the same text.
#[tokio::test(start_paused = true)]
async fn release_frees_a_program_and_its_descendants() {
    let engine = start_engine(|e| e).await;
    for program in ["t/p", "t/p/child", "t/p2", "u/p"] {
        chat(&engine, &[("x-program", program)], &prompt("a", 2)).await.unwrap();
    }
    let held = json!(["t/p", "t/p/child", "t/p2", "u/p"]);
    assert_eq!(get(&engine, "/held").await.json(), held);
    assert_eq!(order(&engine, release("t/p", 1, None)).await, StatusCode::OK);
    assert_eq!(get(&engine, "/held").await.json(), json!(["t/p2", "u/p"]));
    assert_eq!(engine.counters().held_programs, 2);
}

/// Guards against calls that continue after their program is released, and against a cancelled
/// stream that looks complete.
#[tokio::test(start_paused = true)]
async fn release_cancels_streams_and_waiting_calls() {
    let engine = start_engine(|e| e.capacity(1)).await;
    let mut running = start_stream(&engine, &[("x-program", "t/p")], 1000).await.unwrap();
    running.body_mut().frame().await.unwrap().unwrap();
    let queued = start_stream(&engine, &[("x-program", "t/p/child")], 1000);
    let order = async {
        wait_until("one call waits", || engine.counters().queued == 1).await;
        order(&engine, release("t/p", 1, None)).await
    };
    let (queued, status) = futures::future::join(queued, order).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(queued.unwrap().status(), StatusCode::CONFLICT);
    assert!(read_response(running).await.is_err());
    wait_until("the calls have gone", || engine.engine().unwrap().held_programs().is_empty()).await;
    assert_eq!(engine.counters().cancelled, 2);
}

/// Guards against the release of one claim ending the stream of a later one.
#[tokio::test(start_paused = true)]
async fn release_of_a_claim_spares_other_claims() {
    let engine = start_engine(|e| e).await;
    let first = start_stream(&engine, &[("x-program", "t/p"), ("x-claim", "4")], 10).await.unwrap();
    let second =
        start_stream(&engine, &[("x-program", "t/p"), ("x-claim", "5")], 10).await.unwrap();
    assert_eq!(order(&engine, release("t/p", 1, Some(4))).await, StatusCode::OK);
    assert!(read_response(first).await.is_err());
    assert!(read_response(second).await.is_ok());
    assert_eq!(
        engine.engine().unwrap().held_programs(),
        ["t/p".into()],
        "the program is no longer held"
    );
}

/// Guards against an engine with [`Fencing::Check`] that executes a stale order, and against
/// fencing numbers that are compared across programs.
#[tokio::test(start_paused = true)]
async fn stale_orders_are_refused_if_checked() {
    for (fencing, stale) in
        [(Fencing::Check, StatusCode::CONFLICT), (Fencing::Ignore, StatusCode::OK)]
    {
        let engine = start_engine(|e| e.fencing(fencing)).await;
        assert_eq!(order(&engine, release("t/p", 9, None)).await, StatusCode::OK);
        chat(&engine, &[("x-program", "t/p")], &prompt("a", 1)).await.unwrap();
        assert_eq!(order(&engine, release("t/p", 8, None)).await, stale);
        assert_eq!(engine.engine().unwrap().held_programs().is_empty(), stale == StatusCode::OK);
        assert_eq!(order(&engine, release("t/q", 8, None)).await, StatusCode::OK);
        assert_eq!(
            order(&engine, release("t/p", 9, None)).await,
            StatusCode::OK,
            "a resent order is accepted"
        );
    }
}

/// Guards against a model that is served before its weights are loaded. The loads of two engines
/// from one store run one after the other.
#[tokio::test(start_paused = true)]
async fn loading_takes_the_time_of_the_weight_store() {
    let store = Arc::new(WeightStore::new(100));
    let start = || {
        let store = store.clone();
        start_engine(|e| {
            e.models(vec!["m@1".parse().unwrap()]).weight_store(store).weight_bytes(6000)
        })
    };
    let (a, b) = (start().await, start().await);
    let load = json!({"kind": "load", "fencing": 1, "model": "n@2"});
    assert_eq!(order(&a, load.clone()).await, StatusCode::ACCEPTED);
    assert_eq!(order(&b, load).await, StatusCode::ACCEPTED);
    let call = json!({"model": "n", "max_tokens": 1, "messages": []});
    assert_eq!(chat(&a, &[], &call).await.unwrap().status, StatusCode::NOT_FOUND);
    tokio::time::sleep(Duration::from_secs(61)).await;
    assert_eq!(chat(&a, &[], &call).await.unwrap().status, StatusCode::OK);
    assert_eq!(chat(&b, &[], &call).await.unwrap().status, StatusCode::NOT_FOUND);
    tokio::time::sleep(Duration::from_secs(61)).await;
    assert_eq!(chat(&b, &[], &call).await.unwrap().status, StatusCode::OK);
    let unload = json!({"kind": "unload", "fencing": 2, "model": "n"});
    assert_eq!(order(&a, unload).await, StatusCode::OK);
    assert_eq!(chat(&a, &[], &call).await.unwrap().status, StatusCode::NOT_FOUND);
}

/// Guards against malformed orders that are answered with a success status.
#[tokio::test(start_paused = true)]
async fn roles_are_set_and_malformed_orders_refused() {
    let engine = start_engine(|e| e).await;
    let role = json!({"kind": "role", "fencing": 1, "role": "prefill"});
    assert_eq!(order(&engine, role).await, StatusCode::OK);
    assert_eq!(get(&engine, "/models").await.json()["role"], "prefill");
    for malformed in
        [json!({"kind": "release", "fencing": 1}), json!({"kind": "drop", "fencing": 1})]
    {
        assert_eq!(order(&engine, malformed).await, StatusCode::BAD_REQUEST);
    }
}

/// Guards against a transfer that loses or reorders blocks, and against references that stay valid
/// after the program is released.
#[tokio::test(start_paused = true)]
async fn programs_move_between_engines_by_reference() {
    let (from, to) = (start_engine(|e| e).await, start_engine(|e| e).await);
    let program = [("x-program", "t/p")];
    chat(&from, &program, &prompt("a", 3)).await.unwrap();
    let export = json!({"program": "t/p"});
    let exported = post(&from, "/kv/export", &[], &export).await.unwrap().json();
    assert_eq!(exported["blocks"], 3);
    let import = json!({"program": "t/p", "reference": exported["reference"]});
    let imported = post(&to, "/kv/import", &[], &import).await.unwrap();
    assert_eq!((imported.status, imported.json()["blocks"].clone()), (StatusCode::OK, json!(3)));
    assert_eq!(to.engine().unwrap().held_programs(), ["t/p".into()]);
    // The importing engine keeps the order of the blocks, so that it evicts the prompt from its end
    // too.
    let events = [get(&from, "/events").await.json(), get(&to, "/events").await.json()];
    assert_eq!(events[0]["events"][1]["blocks"], events[1]["events"][1]["blocks"]);
    let answer = chat(&to, &program, &prompt("a", 3)).await.unwrap().json();
    assert_eq!(answer["usage"]["cached_tokens"], 192);
    order(&from, release("t/p", 1, None)).await;
    let gone = post(&to, "/kv/import", &[], &import).await.unwrap();
    assert_eq!(gone.status, StatusCode::GONE);
    let unknown = post(&from, "/kv/export", &[], &export).await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}
