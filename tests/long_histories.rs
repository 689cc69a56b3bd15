//! Guards against kept turns that are acknowledged and cannot be continued, because their history
//! is longer than one message between instances.

#[path = "support/platform.rs"]
mod platform;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use futures::future::join_all;
use platform::{Call, KEY, RelayFleet, config, eventually};
use serde_json::Value;
use tokio::time::sleep;

/// The longest input that the callers of this fleet may send.
const INPUT_BYTES: usize = 1 << 20;
/// Turns after which a history exceeds a message between instances, which has 16 MiB at most.
const TURNS: usize = 18;
/// Memory of the smallest fronts and stores of the platform.
const FRONT_MIB: u64 = 88_000_000 >> 20;
const STORE_MIB: u64 = 120_000_000 >> 20;
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
    send_to(fleet, "/kept/events/1", front, program, id, previous, body).await
}

async fn send_to(
    fleet: &RelayFleet,
    path: &str,
    front: u8,
    program: &str,
    id: &str,
    previous: Option<&str>,
    body: &str,
) -> u16 {
    let mut headers = vec![("program-id", program), ("token-count", "5,100")];
    headers.extend(previous.map(|p| ("previous-turn", p)));
    let call = Call { headers: &headers, body, ..Call::default() };
    let answer = fleet.call(front, path, id, call).await;
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

/// Latencies of small turns that are sent one after the other until `is_done`.
async fn small_turns(fleet: &RelayFleet, name: &str, is_done: &AtomicBool) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while !is_done.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", latencies.len());
        let started = Instant::now();
        assert_eq!(
            send(fleet, (latencies.len() % 2) as u8, &id, &id, None, "in").await,
            200,
            "{id}"
        );
        latencies.push(started.elapsed());
        sleep(Duration::from_millis(5)).await;
    }
    latencies.sort();
    latencies
}

fn print_latencies(name: &str, latencies: &[Duration]) {
    let at = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
    let (p50, p99, max) = (at(50), at(99), at(100));
    println!(
        "small turns {name}: {} in all, p50 {p50:.1?}, p99 {p99:.1?}, max {max:.1?}",
        latencies.len()
    );
}

/// Many programs with a long history at once stay within the memory of the machines, and small
/// turns are served beside them. `LONG_CALLERS` sets the number of programs.
#[tokio::test(flavor = "multi_thread")]
async fn many_at_once() {
    let callers = std::env::var("LONG_CALLERS").map_or(8, |n| n.parse().expect("a number"));
    let fleet = RelayFleet::start(&long_config()).await;
    let (last, history) = keep_long(&fleet, "p").await;
    let is_done = AtomicBool::new(false);
    let pause = async {
        sleep(Duration::from_secs(2)).await;
        is_done.store(true, Ordering::Relaxed);
    };
    let (before, ()) = tokio::join!(small_turns(&fleet, "before", &is_done), pause);
    print_latencies("before", &before);
    is_done.store(false, Ordering::Relaxed);
    let started = Instant::now();
    let long = async {
        let turn = async |n: usize| {
            let program = format!("long{n}");
            // A refused caller comes back.
            for attempt in 0.. {
                let (id, front) = (format!("{program}-{attempt}"), ((n + attempt) % 2) as u8);
                let path = "/kept/counted/events/1";
                match send_to(&fleet, path, front, &program, &id, Some(&last), "more").await {
                    200 => {
                        let expected = (history.len() + "more".len()).to_string();
                        assert_eq!(fleet.servers.runs_of(&id)[0].body, expected, "{id}");
                        return attempt;
                    }
                    status => assert_eq!(status, 503, "{id}"),
                }
                sleep(Duration::from_millis(400)).await;
            }
            unreachable!("the loop only ends by returning")
        };
        let refused = join_all((0..callers).map(turn)).await;
        is_done.store(true, Ordering::Relaxed);
        refused.into_iter().sum::<usize>()
    };
    let (refused, beside) = tokio::join!(long, small_turns(&fleet, "beside", &is_done));
    println!("{callers} programs took {:.1?}, {refused} refusals", started.elapsed());
    print_latencies("beside", &beside);
    for (name, machines, limit) in
        [("front", &fleet.fronts, FRONT_MIB), ("store", &fleet.stores, STORE_MIB)]
    {
        for machine in machines {
            let mib = machine.peak_memory_mib();
            println!("{name}: at most {mib} MiB");
            assert!(mib <= limit, "a {name} has used {mib} MiB");
        }
    }
}
