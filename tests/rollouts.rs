//! Guards against rollouts that expose callers to a bad version, give up a good one, or cut calls.
//! One server has the old software and two have the new one.

#[path = "support/platform.rs"]
mod platform;

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use futures::future::{join, join_all};
use nix::sys::signal::Signal;
use platform::{
    Call, KEY, RelayFleet, config, eventually,
    servers::{Defect, Run},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep,
};

const OLD: usize = 0;
/// Servers with the target version.
const NEW: [usize; 2] = [1, 2];
/// Longer than the platform's list takes to reach the fronts.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
/// Time limit of a rollout in seconds. The shift starts 5 s before it.
const OVER_S: f64 = 8.0;
/// Time limit of a rollout that loses its leader; the view of the next one takes 3.1 s.
const LONG_OVER_S: f64 = 12.0;
/// Limits in the settings of the test fleet.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);
const BAD_RESPONSES: usize = 50;
/// Longer than the lease of a front (3 s).
const FREEZE: Duration = Duration::from_secs(4);

/// The tests run one at a time: they compare durations, and fronts of several fleets on one busy
/// machine lose their leases.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Calls to a fleet while a rollout runs.
#[derive(Default)]
struct Load {
    is_over: Cell<bool>,
    /// Calls that were not answered completely with status 200: when, and what happened.
    failures: RefCell<Vec<(Instant, String)>>,
}

impl Load {
    /// Sends calls one after another.
    async fn send(&self, fleet: &RelayFleet, front: u8, name: &str, path: &str) {
        for n in 0.. {
            if self.is_over.get() {
                return;
            }
            let id = format!("{name}-{front}-{n}");
            let answer = fleet.call(front, path, &id, Call::default()).await;
            if answer.status != 200 || answer.body.is_err() {
                let what = format!("{id}: {} {:?}", answer.status, answer.body);
                self.failures.borrow_mut().push((Instant::now(), what));
            }
        }
    }

    /// Sends calls and streams through a front.
    async fn send_all(&self, fleet: &RelayFleet, front: u8) {
        let calls = (0..3).map(|n| (format!("call{n}"), "/safe/named"));
        let all = calls.chain([("stream".to_owned(), "/stream/paced/events/20")]);
        let senders = all.map(async |(name, path)| self.send(fleet, front, &name, path).await);
        join_all(senders).await;
    }
}

async fn start() -> (RelayFleet, (TempDir, MutexGuard<'static, ()>)) {
    let guard = ONE_AT_A_TIME.lock().await;
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
    let fleet = RelayFleet::start_rollouts(&config(3, &[KEY]), logs.path()).await;
    for server in NEW {
        fleet.servers.set_software(server, None);
    }
    sleep(LIST_DELAY).await;
    (fleet, (logs, guard))
}

/// Orders the rollout, and starts the servers of the target version.
async fn order(fleet: &RelayFleet, over_s: f64, defect: Option<Defect>) {
    let order = json!({"service": "s", "target": "v2", "overS": over_s}).to_string();
    assert_eq!(fleet.operator_request("POST", "/-/rollouts", order).await.0, 200);
    for server in NEW {
        fleet.servers.set_defect(server, defect);
        fleet.servers.set_software(server, Some("v2"));
    }
}

async fn wait_ended(fleet: &RelayFleet) -> String {
    let state = RefCell::new(String::new());
    eventually("the rollout has ended", async || {
        let (status, body) = fleet.operator_request("GET", "/-/rollouts/s", String::new()).await;
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).expect("not JSON");
        *state.borrow_mut() = body["state"].as_str().expect("not a string").to_owned();
        *state.borrow() != "running"
    })
    .await;
    state.into_inner()
}

/// Stops the old server without draining it, as the platform does.
fn stop_old(fleet: &RelayFleet) -> Instant {
    let at = Instant::now();
    fleet.servers.crash(OLD);
    fleet.servers.set_software(OLD, None);
    at
}

fn is_new(run: &Run) -> bool {
    NEW.contains(&run.server)
}

/// Replica that leads, as the logs say.
fn leader(fleet: &RelayFleet) -> usize {
    let last_term = |replica: usize| {
        let log = std::fs::read_to_string(fleet.log_of(&format!("core-{}", 10 + replica))).ok()?;
        let line = log.lines().rfind(|line| line.contains("leads the control group"))?;
        let line: Value = serde_json::from_str(line).expect("log line is not JSON");
        Some((line["term"].as_u64().expect("no term"), replica))
    };
    (0..3).filter_map(last_term).max().expect("no replica has become leader").1
}

/// Checks the rule that limits the exposure to a bad version.
fn check_exposure(fleet: &RelayFleet, ordered: Instant) {
    let limit = ordered + Duration::from_secs_f64(OVER_S);
    let runs = fleet.servers.runs();
    let all = runs.iter().filter(|run| run.at > ordered && run.at < limit).count();
    let exposed: Vec<_> = runs.iter().filter(|run| is_new(run)).collect();
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    assert!(!exposed.is_empty(), "the target got no calls");
    assert!(exposed.len() as f64 <= allowed, "{} calls of {all} at the target", exposed.len());
    // Stricter than the rule: the 50th bad response comes no earlier than the 50th call.
    if let (Some(bad), Some(last)) = (exposed.get(BAD_RESPONSES - 1), exposed.last()) {
        assert!(last.at <= bad.at + ROLLBACK + Duration::from_secs(1), "not rolled back in time");
    }
}

async fn check_completed(over_s: f64, is_leader_killed: bool) {
    let (fleet, _logs) = start().await;
    let load = Load::default();
    let rollout = async {
        sleep(Duration::from_secs(1)).await;
        order(&fleet, over_s, None).await;
        if is_leader_killed {
            // The shift has begun.
            sleep(Duration::from_secs_f64(over_s - 4.0)).await;
            fleet.control_replicas[leader(&fleet)].signal(Signal::SIGKILL);
        }
        let state = wait_ended(&fleet).await;
        let stopped = stop_old(&fleet);
        sleep(LIST_DELAY).await;
        load.is_over.set(true);
        (state, stopped)
    };
    let senders = join_all((0..2).map(|front| load.send_all(&fleet, front)));
    let (_, (state, stopped)) = join(senders, rollout).await;
    assert_eq!(state, "completed");
    let failures = load.failures.into_inner();
    assert!(failures.is_empty(), "{} failed: {:?}", failures.len(), failures.first());
    let runs = fleet.servers.runs();
    let late = runs.iter().filter(|run| run.server == OLD && run.at > stopped).count();
    assert_eq!(late, 0, "calls to a retired version");
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version() {
    check_completed(OVER_S, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    check_completed(LONG_OVER_S, true).await;
}

async fn check_reverted(defect: Defect) {
    let (fleet, _logs) = start().await;
    let load = Load::default();
    let rollout = async {
        sleep(Duration::from_secs(1)).await;
        let ordered = Instant::now();
        order(&fleet, OVER_S, Some(defect)).await;
        let state = wait_ended(&fleet).await;
        let reverted = Instant::now();
        sleep(Duration::from_secs(2)).await;
        load.is_over.set(true);
        (state, ordered, reverted)
    };
    let senders = join_all((0..2).map(|front| load.send_all(&fleet, front)));
    let (_, (state, ordered, reverted)) = join(senders, rollout).await;
    assert_eq!(state, "reverted");
    check_exposure(&fleet, ordered);
    let late = |run: &&Run| is_new(run) && run.at > reverted + Duration::from_secs(1);
    assert_eq!(fleet.servers.runs().iter().filter(late).count(), 0, "calls after the revert");
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_version() {
    check_reverted(Defect::FailsThird).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_version() {
    check_reverted(Defect::Slow).await;
}

/// Guards against a front that wakes up with the allowance from before the revert.
#[tokio::test(flavor = "multi_thread")]
async fn front_frozen_over_revert() {
    let (fleet, _logs) = start().await;
    let (load, frozen_load) = (Load::default(), Load::default());
    let rollout = async {
        order(&fleet, OVER_S, Some(Defect::FailsThird)).await;
        eventually("the target gets calls", async || fleet.servers.runs().iter().any(is_new)).await;
        fleet.fronts[1].signal(Signal::SIGSTOP);
        let frozen = Instant::now();
        assert_eq!(wait_ended(&fleet).await, "reverted");
        sleep(FREEZE.saturating_sub(frozen.elapsed())).await;
        let woken = Instant::now();
        fleet.fronts[1].signal(Signal::SIGCONT);
        sleep(LIST_DELAY).await;
        load.is_over.set(true);
        frozen_load.is_over.set(true);
        woken
    };
    let senders = join(load.send_all(&fleet, 0), frozen_load.send_all(&fleet, 1));
    let (_, woken) = join(senders, rollout).await;
    // The other front may learn of the revert some time after the operator.
    let runs = fleet.servers.runs();
    let after: Vec<_> =
        runs.iter().filter(|run| run.at > woken && run.id.contains("-1-")).collect();
    assert!(!after.is_empty(), "the front is silent");
    let late: Vec<_> = after.iter().filter(|run| is_new(run)).collect();
    assert!(late.is_empty(), "calls to the reverted version after {woken:?}: {late:?}");
}
