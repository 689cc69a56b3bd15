//! Guards against stores that are terminated for memory: kept turns of several times the memory of
//! a store fill it, or all of them at once when the stores restart together.

#[path = "support/platform.rs"]
mod platform;

use futures::{StreamExt, stream};
use platform::{Call, KEY, RelayFleet, config};

const TURNS: usize = 2_000;
/// A little less than the longest body that the config allows.
const INPUT_BYTES: usize = 60_000;
const CONCURRENT: usize = 12;
/// The turns have 120 MB, and a store without any turn some 25 MiB.
const MAX_STORE_MIB: u64 = 90;

fn input(turn: usize) -> String {
    let line = format!("input of turn {turn};");
    line.repeat(INPUT_BYTES / line.len())
}

/// Sends a turn, which continues `previous`. Returns the status.
async fn send(fleet: &RelayFleet, front: u8, id: &str, previous: Option<&str>, body: &str) -> u16 {
    let program = previous.unwrap_or(id);
    let mut headers = vec![("program-id", program), ("token-count", "5,100")];
    headers.extend(previous.map(|p| ("previous-turn", p)));
    let call = Call { headers: &headers, body, ..Call::default() };
    let answer = fleet.call(front, "/kept/events/1", id, call).await;
    if answer.status == 200 && answer.body.is_err() { 0 } else { answer.status }
}

fn check_memory(fleet: &RelayFleet) {
    for (n, store) in fleet.stores.iter().enumerate() {
        let mib = store.memory_mib();
        assert!(mib <= MAX_STORE_MIB, "store {n} uses {mib} MiB");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn more_turns_than_memory() {
    let mut config = config(3, &[KEY]);
    config["routes"][3]["retainS"] = 600.0.into();
    let mut fleet = RelayFleet::start(&config).await;
    let kept = stream::iter(0..TURNS).map(async |turn| {
        let id = format!("turn-{turn}");
        assert_eq!(send(&fleet, 0, &id, None, &input(turn)).await, 200, "{id}");
        check_memory(&fleet);
    });
    kept.buffer_unordered(CONCURRENT).collect::<Vec<_>>().await;
    for store in &mut fleet.stores {
        store.kill();
    }
    for store in &mut fleet.stores {
        store.restart();
    }
    // The other front has no history in its cache, so the stores are asked.
    let continued = stream::iter(0..TURNS).map(async |turn| {
        let (id, previous) = (format!("next-{turn}"), format!("turn-{turn}"));
        assert_eq!(send(&fleet, 1, &id, Some(&previous), "next").await, 200, "{id}");
        check_memory(&fleet);
        let runs = fleet.servers.runs_of(&id);
        let body = String::from_utf8_lossy(&runs[0].body);
        assert!(body.starts_with(&input(turn)) && body.ends_with("next"), "{id} lacks its history");
    });
    continued.buffer_unordered(CONCURRENT).collect::<Vec<_>>().await;
}
