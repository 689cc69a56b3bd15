//! Prefix cache of an engine, and its events.

mod common;

use std::time::Duration;

use common::{chat, get, prompt, start_engine};
use poplarspan_policy::route::PrefixChain;
use poplarspan_standin::{BLOCK_BYTES, MockEndpoint};
use serde_json::{Value, json};
use tokio::time::Instant;

async fn cached_tokens(engine: &MockEndpoint, headers: &[(&str, &str)], body: &Value) -> u64 {
    let answer = chat(engine, headers, body).await.unwrap().json();
    answer["usage"]["cached_tokens"].as_u64().unwrap()
}

async fn events(engine: &MockEndpoint, after: u64) -> Vec<Value> {
    let answer = get(engine, &format!("/events?after={after}")).await.json();
    answer["events"].as_array().unwrap().clone()
}

fn blocks(events: &[Value], kind: &str) -> Vec<u64> {
    let events = events.iter().filter(|e| e["kind"] == kind);
    events.flat_map(|e| e["blocks"].as_array().unwrap()).map(|b| b.as_u64().unwrap()).collect()
}

/// Guards against block hashes that differ from those of the scheduler, which could then match no
/// cache event to a prompt.
#[tokio::test(start_paused = true)]
async fn block_hashes_agree_with_the_policy() {
    let engine = start_engine(|e| e.models(vec!["m@7".parse().unwrap()])).await;
    let messages =
        [r#"{"role": "user",  "content":"a"}"#.to_owned(), json!("b".repeat(700)).to_string()];
    let body =
        format!(r#"{{"model":"m","max_tokens":1,"messages":[{}, {}]}}"#, messages[0], messages[1]);
    let path = "/v1/chat/completions";
    let response = common::send(&engine, http::Method::POST, path, &[], &body).await.unwrap();
    common::read_response(response).await.unwrap();
    let mut chain = PrefixChain::new("m@7", BLOCK_BYTES);
    messages.iter().for_each(|m| chain.extend(m.as_bytes()));
    assert_eq!(chain.blocks().len(), 2);
    assert_eq!(blocks(&events(&engine, 0).await, "stored"), chain.blocks());
}

/// Cached tokens take no prefill time. Another model does not share the cached prompt.
#[tokio::test(start_paused = true)]
async fn cached_prompts_skip_prefill() {
    let engine = start_engine(|e| e.prefill_per_token(Duration::from_secs(1))).await;
    let start = Instant::now();
    assert_eq!(cached_tokens(&engine, &[], &prompt("a", 4)).await, 0);
    assert!(start.elapsed() >= Duration::from_secs(4 * 64));
    let start = Instant::now();
    assert_eq!(cached_tokens(&engine, &[], &prompt("a", 4)).await, 4 * 64);
    assert!(start.elapsed() < Duration::from_secs(64));
    assert_eq!(
        cached_tokens(&engine, &[], &json!({"model": "n", "messages": prompt("a", 4)["messages"]}))
            .await,
        0
    );
}

/// The cache stays within its limit and evicts the least recently used blocks.
#[tokio::test(start_paused = true)]
async fn least_recently_used_blocks_are_evicted() {
    let engine = start_engine(|e| e.cache_blocks(4)).await;
    for text in ["a", "b", "a", "c"] {
        cached_tokens(&engine, &[], &prompt(text, 2)).await;
    }
    let events = events(&engine, 0).await;
    assert_eq!(get(&engine, "/load").await.json()["cache_blocks"], 4);
    // The prompt "b" was stored second and not used again.
    let mut removed = blocks(&events, "removed");
    removed.sort_unstable();
    let mut expected = blocks(&events, "stored")[2..4].to_vec();
    expected.sort_unstable();
    assert_eq!(removed, expected);
    assert_eq!(cached_tokens(&engine, &[], &prompt("a", 2)).await, 128);
    assert_eq!(cached_tokens(&engine, &[], &prompt("b", 2)).await, 0);
}

/// Guards against the eviction of blocks that a program holds while blocks without a holder remain.
#[tokio::test(start_paused = true)]
async fn held_blocks_outlast_others() {
    let engine = start_engine(|e| e.cache_blocks(4)).await;
    let program = [("x-program", "t/p")];
    cached_tokens(&engine, &program, &prompt("a", 2)).await;
    for text in ["b", "c", "d"] {
        cached_tokens(&engine, &[], &prompt(text, 2)).await;
    }
    assert_eq!(cached_tokens(&engine, &program, &prompt("a", 2)).await, 128);
}

/// Guards against events that are published before `event_delay`, and against a wrong age.
#[tokio::test(start_paused = true)]
async fn events_are_delayed() {
    let engine = start_engine(|e| e.event_delay(Duration::from_secs(20))).await;
    cached_tokens(&engine, &[], &prompt("a", 1)).await;
    assert!(events(&engine, 0).await.is_empty());
    tokio::time::sleep(Duration::from_secs(30)).await;
    let seen = events(&engine, 0).await;
    assert_eq!(seen.iter().map(|e| &e["kind"]).collect::<Vec<_>>(), ["cleared", "stored"]);
    assert!(seen[1]["age_ms"].as_u64().unwrap() >= 30_000);
    assert_eq!(events(&engine, 1).await.len(), 1);
    assert!(events(&engine, 2).await.is_empty());
}

/// A lost event leaves a gap in the sequence numbers, and the seed determines which events are
/// lost.
#[tokio::test(start_paused = true)]
async fn gaps_skip_numbers() {
    let mut seen = Vec::new();
    for _ in 0..2 {
        let engine = start_engine(|e| e.event_gap_rate(0.5).seed(11)).await;
        for n in 0..20 {
            cached_tokens(&engine, &[], &prompt(&format!("{n:02}"), 1)).await;
        }
        let events = events(&engine, 0).await;
        seen.push(events.iter().map(|e| e["sequence"].as_u64().unwrap()).collect::<Vec<_>>());
    }
    assert!(seen[0].len() > 1 && seen[0].len() < 21, "seed 11: {:?}", seen[0]);
    assert!(seen[0].windows(2).all(|w| w[0] < w[1]));
    assert_eq!(seen[0], seen[1]);
}
