//! A soak with faults from outside: requests that end servers, processes that are killed, paused, ended and started again,
//! disks that are lost, connections that are delayed, silenced and reset, operators who race.
//!
//! `SOAK_SEEDS=1..51 cargo test --test fault_soak -- --ignored` plays the seeds 1 to 50. Of a seed
//! that fails, the output of the processes is kept in a folder that is printed.

#[path = "support/platform.rs"]
mod platform;
#[path = "support/soak/mod.rs"]
mod soak;

use std::time::{Duration, Instant};

use soak::check::{
    BUDGET_TOKENS, CallRecord, Execution, History, Kind, MAX_TURN_TOKENS, TOKENS_PER_EVENT,
};
use tokio::{sync::Semaphore, task::JoinSet};

/// Seeds that failed once, with the cause.
const REGRESSION_SEEDS: [(u64, &str); 7] = [
    (
        28,
        "SIGHUP ended a process that had just been started, before it listened for signals; nobody \
         started it again",
    ),
    (100, STALE_TRIAL),
    (102, STALE_TRIAL),
    (106, STALE_TRIAL),
    (108, STALE_TRIAL),
    (110, STALE_TRIAL),
    (
        120,
        "the same request of many callers was condemned; none had been answered of late at a front",
    ),
];
const STALE_TRIAL: &str = "a request went on trial at a server that had ended before";
/// Seeds of the short run.
const SHORT_RUN_SEEDS: [u64; 2] = [1, 2];
/// Runs at a time; eight processes each.
const MAX_PARALLEL_RUNS: usize = 4;

async fn run_seeds(seeds: impl IntoIterator<Item = u64>) {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_PARALLEL_RUNS));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let permit = permits.clone().acquire_owned().await.expect("never closed");
        // Each run has a runtime of its own, as if it were alone in the process.
        runs.spawn_blocking(move || {
            let logs = tempfile::tempdir().expect("a folder");
            let runtime = tokio::runtime::Runtime::new().expect("a runtime");
            let history = runtime.block_on(soak::run_seed(seed, logs.path()));
            let findings = history.findings();
            drop(permit);
            println!("seed {seed}: {}", history.summary());
            if !findings.is_empty() {
                let faults = soak::plan::generate(seed);
                faults.iter().for_each(|(at, event)| println!("{at:?} {event:?}"));
                println!("seed {seed}: {findings:#?}\noutput in {}", logs.keep().display());
            }
            (seed, findings.len())
        });
    }
    let mut failed = Vec::new();
    while let Some(run) = runs.join_next().await {
        match run {
            Ok((_, 0)) => {}
            Ok((seed, _)) => failed.push(seed.to_string()),
            Err(e) => failed.push(e.to_string()),
        }
    }
    assert!(failed.is_empty(), "failed: {failed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run() {
    run_seeds(SHORT_RUN_SEEDS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn former_failures() {
    run_seeds(REGRESSION_SEEDS.map(|(seed, _)| seed)).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes"]
async fn long_run() {
    let seeds = std::env::var("SOAK_SEEDS").expect("SOAK_SEEDS=FIRST..END");
    let (first, end) = seeds.split_once("..").expect("FIRST..END");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    run_seeds(number(first)..number(end)).await;
}

fn call(id: &str, kind: Kind, status: u16, body: &str) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind,
        key: platform::KEY,
        sent: Instant::now(),
        status,
        seal: (status == 200).then(|| format!("seal-{id}")),
        body: body.to_owned(),
        is_whole: true,
    }
}

fn execution(id: &str, body: &str) -> Execution {
    Execution {
        id: id.to_owned(),
        body: body.to_owned(),
        team: "red".to_owned(),
        at: Instant::now(),
    }
}

fn is_found(calls: Vec<CallRecord>, executions: Vec<Execution>) -> bool {
    !History { calls, executions, ..History::default() }.findings().is_empty()
}

/// Each check finds what it is there for, and nothing in a history without faults.
#[test]
fn checks_find() {
    let body = soak::check::expected_body("a");
    let events = "id: 1\ndata: out1\n\nid: 2\ndata: out2\n\n";
    let turn = |program: &str| Kind::Budgeted { program: program.to_owned(), events: 2 };
    let kept = |input: &str| Kind::Kept { events: 2, input: input.to_owned() };
    let good = vec![call("a", Kind::Once, 200, &body), call("b", turn("p"), 200, events)];
    let mut history =
        History { calls: good, executions: vec![execution("a", "in")], ..History::default() };
    history.versions = vec![1, 2, 2, 5];
    assert_eq!(history.findings(), Vec::<String>::new());
    history.versions.push(4);
    assert_eq!(history.findings().len(), 1, "a version that went back");

    assert!(is_found(
        vec![call("a", Kind::Once, 200, &body)],
        vec![execution("a", ""), execution("a", "")]
    ));
    assert!(is_found(vec![call("a", Kind::Once, 503, "")], vec![execution("a", "")]));
    assert!(is_found(vec![call("a", Kind::Safe, 200, "body of b")], vec![]));
    assert!(is_found(vec![CallRecord { seal: None, ..call("a", Kind::Safe, 200, &body) }], vec![]));
    assert!(is_found(vec![call("a", turn("p"), 200, &events[..20])], vec![]));
    assert!(is_found(vec![call("a", kept("x"), 200, events)], vec![execution("a", "y")]));
    assert!(is_found(vec![call("a", kept("x"), 404, "")], vec![]));
    let turns = (BUDGET_TOKENS + MAX_TURN_TOKENS) / (2 * TOKENS_PER_EVENT) + 1;
    let spent = (0..turns).map(|n| call(&format!("{n}"), turn("p"), 200, events)).collect();
    assert!(is_found(spent, vec![]));
    let blue = |n: u32| Execution { team: "blue".to_owned(), ..execution(&n.to_string(), "") };
    assert!(is_found(vec![], (0..200).map(blue).collect()));
    let crashing = |n: u64| call(&n.to_string(), Kind::Crashing { path: "/p" }, 502, "");
    let begun = Instant::now();
    let ends =
        |n: u64| Execution { at: begun + Duration::from_secs(n), ..execution(&n.to_string(), "") };
    assert!(is_found((0..10).map(crashing).collect(), (0..10).map(ends).collect()));
    assert!(!is_found((0..10).map(crashing).collect(), (0..9).map(ends).collect()));
    assert!(is_found(vec![CallRecord { status: 200, ..crashing(0) }], vec![]));
    let refused = |n: u64| call(&n.to_string(), Kind::Safe, 422, "");
    assert!(is_found((0..6).map(refused).collect(), vec![]));
    assert!(!is_found((0..5).map(refused).collect(), vec![]));
    let late =
        CallRecord { sent: Instant::now() + Duration::from_secs(6), ..history.calls[0].clone() };
    let revoked = Some((platform::KEY, Instant::now()));
    let history = History { calls: vec![late], revoked, ..History::default() };
    assert_eq!(history.findings().len(), 1, "a key that was taken away");
}
