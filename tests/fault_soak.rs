//! A soak test with external faults: requests that crash servers; processes that are killed,
//! paused, terminated and restarted; lost disks; connections that are delayed, stalled and reset;
//! concurrent publications.
//!
//! `SOAK_SEEDS=1..51 cargo test --test fault_soak -- --ignored` runs the seeds 1 to 50. If a seed
//! fails, the output of its processes is kept and the path of the folder is printed.

#[path = "support/platform.rs"]
mod platform;
#[path = "support/soak/mod.rs"]
mod soak;

use std::time::{Duration, Instant};

use soak::check::{
    BUDGET_TOKENS, CallRecord, Execution, History, Kind, MAX_TURN_TOKENS, TOKENS_PER_EVENT,
};
use tokio::{sync::Semaphore, task::JoinSet};

/// Seeds that failed in the past, with the cause.
const REGRESSION_SEEDS: [(u64, &str); 7] = [
    (
        28,
        "SIGHUP terminated a process that had just started, before it installed its handler; \
         nothing restarted it",
    ),
    (100, STALE_TRIAL),
    (102, STALE_TRIAL),
    (106, STALE_TRIAL),
    (108, STALE_TRIAL),
    (110, STALE_TRIAL),
    (
        120,
        "a request sent by many callers was condemned; no front had recently received a response \
         to it",
    ),
];
const STALE_TRIAL: &str = "a request went on trial at a server that had already crashed";
/// Seeds of the short run.
const SHORT_RUN_SEEDS: [u64; 2] = [1, 2];
/// Runs in parallel, each with nine processes: three control replicas, four stores, two fronts.
const MAX_PARALLEL_RUNS: usize = 4;

async fn run_seeds(seeds: impl IntoIterator<Item = u64>) {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_PARALLEL_RUNS));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let permit = permits.clone().acquire_owned().await.expect("semaphore is closed");
        // Each run has its own runtime, as if it were the only one in the process.
        runs.spawn_blocking(move || {
            let logs = tempfile::tempdir().expect("failed to create a temporary folder");
            let runtime = tokio::runtime::Runtime::new().expect("failed to start the runtime");
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
    let seeds = std::env::var("SOAK_SEEDS").expect("SOAK_SEEDS must be set to FIRST..END");
    let (first, end) = seeds.split_once("..").expect("SOAK_SEEDS must be FIRST..END");
    let number = |text: &str| text.parse::<u64>().expect("not a number");
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
        is_complete: true,
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

fn has_findings(calls: Vec<CallRecord>, executions: Vec<Execution>) -> bool {
    !History { calls, executions, ..History::default() }.findings().is_empty()
}

/// Each check must report its kind of violation, and none in a correct history.
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
    assert_eq!(history.findings().len(), 1, "a version that decreased");

    assert!(has_findings(
        vec![call("a", Kind::Once, 200, &body)],
        vec![execution("a", ""), execution("a", "")]
    ));
    assert!(has_findings(vec![call("a", Kind::Once, 503, "")], vec![execution("a", "")]));
    assert!(has_findings(vec![call("a", Kind::Safe, 200, "body of b")], vec![]));
    assert!(has_findings(
        vec![CallRecord { seal: None, ..call("a", Kind::Safe, 200, &body) }],
        vec![]
    ));
    assert!(has_findings(vec![call("a", turn("p"), 200, &events[..20])], vec![]));
    assert!(has_findings(vec![call("a", kept("x"), 200, events)], vec![execution("a", "y")]));
    assert!(has_findings(vec![call("a", kept("x"), 404, "")], vec![]));
    let turns = (BUDGET_TOKENS + MAX_TURN_TOKENS) / (2 * TOKENS_PER_EVENT) + 1;
    let spent = (0..turns).map(|n| call(&format!("{n}"), turn("p"), 200, events)).collect();
    assert!(has_findings(spent, vec![]));
    let blue = |n: u32| Execution { team: "blue".to_owned(), ..execution(&n.to_string(), "") };
    assert!(has_findings(vec![], (0..200).map(blue).collect()));
    let crashing = |n: u64| call(&n.to_string(), Kind::Crashing { path: "/p" }, 502, "");
    let begun = Instant::now();
    let ends =
        |n: u64| Execution { at: begun + Duration::from_secs(n), ..execution(&n.to_string(), "") };
    assert!(has_findings((0..10).map(crashing).collect(), (0..10).map(ends).collect()));
    assert!(!has_findings((0..10).map(crashing).collect(), (0..9).map(ends).collect()));
    assert!(has_findings(vec![CallRecord { status: 200, ..crashing(0) }], vec![]));
    let refused = |n: u64| call(&n.to_string(), Kind::Safe, 422, "");
    assert!(has_findings((0..6).map(refused).collect(), vec![]));
    assert!(!has_findings((0..5).map(refused).collect(), vec![]));
    let late =
        CallRecord { sent: Instant::now() + Duration::from_secs(6), ..history.calls[0].clone() };
    let revoked = Some((platform::KEY, Instant::now()));
    let history = History { calls: vec![late], revoked, ..History::default() };
    assert_eq!(history.findings().len(), 1, "a call served with a withdrawn key");
}
