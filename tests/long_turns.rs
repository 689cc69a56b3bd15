//! Guards against turns that are answered completely and cannot be continued, because the turn that
//! they continue has expired while they ran.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use platform::{Call, CallResponse, KEY, RelayFleet, config};
use tokio::time::sleep;

/// Events of a turn that lasts longer than the stores keep the turn before it, which is up to 16 s.
const LONG_TURN_EVENTS: usize = 1_000;

async fn turn(
    fleet: &RelayFleet,
    front: u8,
    id: &str,
    events: usize,
    previous: Option<&str>,
) -> CallResponse {
    let mut headers =
        vec![("program-id", "p"), ("token-count", "5,20000"), ("deadline-ms", "60000")];
    headers.extend(previous.map(|p| ("previous-turn", p)));
    let body = format!("{id};");
    let path = format!("/kept/paced/events/{events}");
    fleet.call(front, &path, id, Call { headers: &headers, body: &body, ..Call::default() }).await
}

fn outputs(events: usize) -> String {
    (1..=events).map(|n| format!("out{n}\n")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn predecessor_expires() {
    let mut config = config(3, &[KEY]);
    config["routes"][3]["retainS"] = 1.0.into();
    config["routes"][3]["timeoutMs"] = 60_000.into();
    let fleet = RelayFleet::start(&config).await;
    assert_eq!(turn(&fleet, 0, "first", 2, None).await.status, 200);
    let long = async {
        let answer = turn(&fleet, 1, "long", LONG_TURN_EVENTS, Some("first")).await;
        assert_eq!(answer.status, 200);
        answer.text();
    };
    // The time of the stores advances with their commits.
    let others = async {
        for n in 0.. {
            assert_eq!(turn(&fleet, 0, &format!("other-{n}"), 1, None).await.status, 200);
            sleep(Duration::from_millis(500)).await;
        }
    };
    tokio::select! {
        () = long => {}
        () = others => {}
    }
    assert_eq!(
        turn(&fleet, 0, "late", 1, Some("first")).await.status,
        404,
        "the first turn is kept"
    );
    for front in 0..2 {
        let id = format!("next-{front}");
        assert_eq!(turn(&fleet, front, &id, 1, Some("long")).await.status, 200, "{id}");
        let runs = fleet.servers.runs_of(&id);
        let expected = format!("first;{}long;{}{id};", outputs(2), outputs(LONG_TURN_EVENTS));
        assert_eq!(String::from_utf8_lossy(&runs[0].body), expected);
    }
}
