//! Guards against calls that run although their turn cannot be kept, turns that are lost when a
//! store's disk is nearly full, and stores that refuse turns after the kept ones have expired.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, CallResponse, KEY, RelayFleet, config, eventually};

/// Half of it is for kept turns.
const DISK_MB: u64 = 20;
const INPUT_BYTES: usize = 60_000;
/// More turns than the disk has room for.
const MAX_TURNS: usize = 400;

async fn send(fleet: &RelayFleet, front: u8, id: &str, previous: Option<&str>) -> CallResponse {
    let program = previous.unwrap_or(id);
    let mut headers = vec![("program-id", program), ("token-count", "5,100")];
    headers.extend(previous.map(|p| ("previous-turn", p)));
    let body = "i".repeat(if previous.is_some() { 100 } else { INPUT_BYTES });
    let call = Call { headers: &headers, body: &body, ..Call::default() };
    fleet.call(front, "/kept/events/1", id, call).await
}

#[tokio::test(flavor = "multi_thread")]
async fn nearly_full_disk() {
    let mut config = config(3, &[KEY]);
    config["routes"][3]["retainS"] = 20.0.into();
    let mut fleet = RelayFleet::start(&config).await;
    for store in &mut fleet.stores {
        store.kill();
        store.add_settings(&format!("[limits]\nmemoryMb = 140\ndiskMb = {DISK_MB}\n"));
    }
    for store in &mut fleet.stores {
        store.restart();
    }
    let mut kept = 0;
    let refused = loop {
        assert!(kept < MAX_TURNS, "no turn was refused");
        let id = format!("turn-{kept}");
        let answer = send(&fleet, 0, &id, None).await;
        if answer.status != 200 {
            break (id, answer);
        }
        kept += 1;
    };
    let (id, answer) = refused;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
    assert!(fleet.servers.runs_of(&id).is_empty(), "a refused call has run");
    assert!(kept * INPUT_BYTES > 6_000_000, "only {kept} turns are kept");
    // Programs in progress can go on, at either front.
    for turn in [0, 1, kept - 1] {
        let answer = send(&fleet, 1, &format!("next-{turn}"), Some(&format!("turn-{turn}"))).await;
        assert_eq!(answer.status, 200, "turn {turn}");
    }
    let mut tries = 0;
    eventually("expired turns free their space", async || {
        tries += 1;
        send(&fleet, 0, &format!("later-{tries}"), None).await.status == 200
    })
    .await;
}
