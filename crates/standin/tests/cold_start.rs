//! Cold engines: slowdown, crashes and restarts.

mod common;

use std::time::Duration;

use common::{chat, get, prompt, read_response, start_engine, start_stream, wait_until};
use poplarspan_standin::{ConfigError, Crashed, Engine, EngineConfig, MockEndpoint, RampShape};
use tokio::time::Instant;

const RAMP: Duration = Duration::from_secs(1000);

async fn time_two_streams(engine: &MockEndpoint) -> Duration {
    let start = Instant::now();
    let both = [
        start_stream(engine, &[], 10).await.unwrap(),
        start_stream(engine, &[], 10).await.unwrap(),
    ];
    for answer in futures::future::join_all(both.map(read_response)).await {
        answer.unwrap();
    }
    start.elapsed()
}

/// A cold engine with too many calls is slower than a warm one, and is warm after the ramp.
#[tokio::test(start_paused = true)]
async fn cold_engines_slow_down() {
    let engine = start_engine(|e| e.cold_capacity(Some(1)).cold_slowdown(5.0).ramp(RAMP)).await;
    let cold = time_two_streams(&engine).await;
    tokio::time::sleep(RAMP).await;
    let warm = time_two_streams(&engine).await;
    assert!(cold > warm * 3, "cold {cold:?}, warm {warm:?}");
}

/// Guards against a linear ramp that stays at the cold capacity, or ends at once.
#[tokio::test(start_paused = true)]
async fn linear_ramps_grow() {
    let start = || {
        start_engine(|e| {
            let e = e.capacity(3).cold_capacity(Some(1)).cold_slowdown(5.0).ramp(RAMP);
            e.ramp_shape(RampShape::Linear)
        })
    };
    let early = time_two_streams(&start().await).await;
    let engine = start().await;
    tokio::time::sleep(RAMP * 6 / 10).await;
    let late = time_two_streams(&engine).await;
    assert!(early > late * 3, "early {early:?}, late {late:?}");
}

/// A crash closes all connections and refuses new ones, and the next run has a new number and an
/// empty cache.
#[tokio::test(start_paused = true)]
async fn too_many_calls_crash_a_cold_engine() {
    let mut engine = start_engine(|e| {
        let e = e.cold_capacity(Some(1)).cold_crash_above(Some(2)).ramp(RAMP).first_run(40);
        e.restart_after(Duration::from_secs(60))
    })
    .await;
    chat(&engine, &[("x-program", "t/p")], &prompt("a", 2)).await.unwrap();
    let first = start_stream(&engine, &[], 1000).await.unwrap();
    let second = start_stream(&engine, &[], 1000).await.unwrap();
    assert_eq!(engine.counters().crashes, 0);
    assert!(start_stream(&engine, &[], 1).await.is_err());
    assert!(read_response(first).await.is_err());
    assert!(read_response(second).await.is_err());
    assert!(start_stream(&engine, &[], 1).await.is_err(), "the crashed engine accepts connections");
    wait_until("the next run", || engine.counters().run == 41).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let load = get(&engine, "/load").await.json();
    assert_eq!((&load["run"], &load["cache_blocks"]), (&41.into(), &0.into()));
    assert!(load["uptime_ms"].as_u64().unwrap() < 60_000);
    let counters = engine.counters();
    assert_eq!((counters.crashes, counters.running, counters.held_programs), (1, 0, 0));
    let answer = chat(&engine, &[], &prompt("a", 2)).await.unwrap().json();
    assert_eq!(answer["usage"]["cached_tokens"], 0);
    engine.stop().await.unwrap();
}

/// Event numbers restart at 1 with a run. A reader that asks for events after a number of the
/// previous run must get all events of the new one.
#[tokio::test(start_paused = true)]
async fn restarts_clear_the_cache_for_readers() {
    let mut engine = start_engine(|e| e).await;
    for text in ["a", "b", "c"] {
        chat(&engine, &[], &prompt(text, 1)).await.unwrap();
    }
    engine.restart().await.unwrap();
    let answer = get(&engine, "/events?after=4").await.json();
    assert_eq!(answer["run"], 2);
    assert_eq!(answer["events"][0]["kind"], "cleared");
}

/// With `exit_on_crash`, `serve` returns an error after a crash instead of beginning the next run.
#[tokio::test]
async fn crash_ends_serve_if_set() {
    let cfg = EngineConfig::builder().exit_on_crash(true).build().unwrap();
    let engine = std::sync::Arc::new(Engine::new(cfg));
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let served = tokio::spawn(engine.clone().serve(socket));
    engine.crash();
    assert!(served.await.unwrap().unwrap_err().is::<Crashed>());
}

/// Settings that are out of range fail in `build`, not at run time.
#[test]
fn settings_are_checked() {
    let rejected: [Result<EngineConfig, ConfigError>; 7] = [
        EngineConfig::builder().capacity(0).build(),
        EngineConfig::builder().capacity(2).cold_capacity(Some(3)).build(),
        EngineConfig::builder().cold_capacity(Some(3)).cold_crash_above(Some(2)).build(),
        EngineConfig::builder().cold_slowdown(f64::NAN).build(),
        EngineConfig::builder().cold_slowdown(0.5).build(),
        EngineConfig::builder().event_gap_rate(1.5).build(),
        EngineConfig::builder().cache_blocks(0).build(),
    ];
    assert!(rejected.iter().all(Result::is_err));
}
