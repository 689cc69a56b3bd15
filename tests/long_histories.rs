//! Guards against kept turns that are acknowledged and cannot be continued, because their history
//! is longer than one message between instances.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use platform::{Call, KEY, RelayFleet, config, eventually};
use serde_json::Value;
use tokio::time::sleep;

/// The longest input that the callers of this fleet may send.
const INPUT_BYTES: usize = 1 << 20;
/// Turns after which a history exceeds a message between instances, which has 16 MiB at most.
const TURNS: usize = 18;
/// Time after the loss of a store until the next one may be lost.
const CATCH_UP: Duration = Duration::from_secs(6);

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

/// Programs of other store groups continue a long conversation, and their own turns can be
/// continued.
#[tokio::test(flavor = "multi_thread")]
async fn continued_elsewhere() {
    // Four stores form two groups, and some of the programs belong to either.
    let fleet = RelayFleet::start_stores(&long_config(), 4).await;
    let (last, history) = keep_long(&fleet, "parent").await;
    for n in 0..4 {
        let program = format!("child{n}");
        let (first, second) = (format!("{program}-first"), format!("{program}-second"));
        assert_eq!(send(&fleet, 0, &program, &first, Some(&last), "hello;").await, 200, "{first}");
        check(&fleet, &first, &format!("{history}hello;"));
        assert_eq!(send(&fleet, 1, &program, &second, Some(&first), "more").await, 200, "{second}");
        check(&fleet, &second, &format!("{history}hello;out1\nmore"));
    }
}

/// A single input that is almost as long as a message between instances is kept, and the store
/// group goes on.
#[tokio::test(flavor = "multi_thread")]
async fn one_long_input() {
    const MESSAGE_BYTES: usize = 16 << 20;
    let mut config = long_config();
    config["limits"]["maxBodyBytes"] = MESSAGE_BYTES.into();
    let fleet = RelayFleet::start(&config).await;
    for (n, less) in [150, 100, 0].into_iter().enumerate() {
        let (program, next) = (format!("long{n}"), format!("next{n}"));
        let body = "i".repeat(MESSAGE_BYTES - less);
        assert_eq!(send(&fleet, 0, &program, &program, None, &body).await, 200, "{program}");
        assert_eq!(send(&fleet, 1, &program, &next, Some(&program), "more").await, 200, "{next}");
        check(&fleet, &next, &format!("{body}out1\nmore"));
    }
    assert_eq!(send(&fleet, 0, "small", "small", None, "hello").await, 200);
}

/// Long histories are read again after each store has lost its disk and was replaced.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_stores() {
    let mut fleet = RelayFleet::start(&long_config()).await;
    let (last, history) = keep_long(&fleet, "p").await;
    for n in 0..fleet.stores.len() {
        fleet.stores[n].kill();
        fleet.stores[n].wipe();
        fleet.stores[n].restart();
        eventually("the store has the turns again", async || fleet.stores[n].data_mib() >= 16)
            .await;
        // Its former replica is still a voter for a moment.
        sleep(CATCH_UP).await;
        let id = format!("after-{n}");
        eventually("the conversation goes on", async || {
            let status = send(&fleet, (n % 2) as u8, "p", &id, Some(&last), "more").await;
            assert!(matches!(status, 200 | 503), "{id}: {status}");
            status == 200
        })
        .await;
        check(&fleet, &id, &format!("{history}more"));
    }
}
