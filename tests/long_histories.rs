//! Guards against kept turns that are acknowledged and cannot be continued, because their history
//! is longer than one message between instances.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, KEY, RelayFleet, config};
use serde_json::Value;

/// The longest input that the callers of this fleet may send.
const INPUT_BYTES: usize = 1 << 20;
/// Turns after which a history exceeds a message between instances, which has 16 MiB at most.
const TURNS: usize = 18;

fn long_config() -> Value {
    let mut config = config(3, &[KEY]);
    config["limits"]["maxBodyBytes"] = INPUT_BYTES.into();
    config["routes"][3]["retainS"] = 600.0.into();
    config
}

/// An input whose parts differ from each other and from those of other turns.
fn input(id: &str) -> String {
    let lines = (0..).map(|n| format!("{id} line {n}\n"));
    let mut input = String::with_capacity(INPUT_BYTES);
    for line in lines.take_while(|line| line.len() < INPUT_BYTES) {
        if input.len() + line.len() > INPUT_BYTES {
            return input;
        }
        input.push_str(&line);
    }
    input
}

/// Sends a turn with the given input and returns the status.
async fn send(
    fleet: &RelayFleet,
    front: u8,
    program: &str,
    id: &str,
    previous: Option<&str>,
    body: &str,
) -> u16 {
    let mut headers = vec![("program-id", program), ("token-count", "5,100")];
    headers.extend(previous.map(|p| ("previous-turn", p)));
    let call = Call { headers: &headers, body, ..Call::default() };
    let answer = fleet.call(front, "/kept/events/1", id, call).await;
    if answer.status == 200 && answer.body.is_err() { 0 } else { answer.status }
}

/// Keeps a conversation that is longer than a message. Returns its last turn and its history.
async fn keep_long(fleet: &RelayFleet, program: &str) -> (String, String) {
    let (mut previous, mut history): (Option<String>, String) = Default::default();
    for n in 0..TURNS {
        let id = format!("{program}-{n}");
        let input = input(&id);
        let front = (n % 2) as u8;
        assert_eq!(
            send(fleet, front, program, &id, previous.as_deref(), &input).await,
            200,
            "{id}"
        );
        history.push_str(&input);
        check(fleet, &id, &history);
        history.push_str("out1\n");
        previous = Some(id);
    }
    (previous.expect("at least one turn"), history)
}

/// Checks that a turn has run once, with the given prompt.
fn check(fleet: &RelayFleet, id: &str, prompt: &str) {
    let runs = fleet.servers.runs_of(id);
    assert_eq!(runs.len(), 1, "{id}");
    let (found, expected) = (runs[0].body.len(), prompt.len());
    assert!(runs[0].body == prompt.as_bytes(), "{id}: {found} bytes, not the {expected} expected");
}

/// Each turn of a conversation reaches a server with its whole history, however long that is.
#[tokio::test(flavor = "multi_thread")]
async fn longer_than_message() {
    let fleet = RelayFleet::start(&long_config()).await;
    keep_long(&fleet, "p").await;
}
