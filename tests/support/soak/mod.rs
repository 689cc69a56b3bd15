//! One run of the soak test: a fleet of real processes, callers, and external faults generated from
//! a seed. The records of callers and servers are checked afterwards.

pub mod check;
mod load;
pub mod plan;

use std::{
    os::unix::process::ExitStatusExt,
    path::Path,
    process::ExitStatus,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::platform::{KEY, Machine, RelayFleet, config, proxy::Mode};
use check::{BURST, Execution, History, RATE_PER_S};
use plan::{Action, Event, Group};

/// Key that may be withdrawn.
pub const SECOND_KEY: &str = "second-key";
/// Key of the team with a rate limit.
pub const BLUE_KEY: &str = "key-of-blue";
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after the end of all faults in which the fleet must serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// Time that callers continue after the faults in runs with crashing requests.
const AFTER_FAULTS: Duration = Duration::from_secs(9);
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// State that the tasks of one run share.
struct Run {
    fleet: RelayFleet,
    client: reqwest::Client,
    history: Mutex<History>,
    version: AtomicU64,
    is_revoked: AtomicBool,
    is_over: AtomicBool,
}

impl Run {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn record(&self, f: impl FnOnce(&mut History)) {
        f(&mut self.history.lock().expect("lock is poisoned"));
    }

    /// Returns a config with the next version and the current keys.
    fn next_config(&self) -> Value {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        objects(version, self.is_revoked.load(Ordering::Relaxed))
    }

    /// Publishes at the replicas in turn, beginning with `replica`, until one acknowledges it.
    /// Returns false after [`PUBLISH_TIMEOUT`].
    async fn publish(&self, config: &Value, replica: u8) -> bool {
        let until = Instant::now() + PUBLISH_TIMEOUT;
        for turn in u32::from(replica).. {
            let url = format!("http://{}/-/config", self.fleet.control_address((turn % 3) as u8));
            let sent = self.client.put(url).body(config.to_string()).send().await;
            if sent.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
        unreachable!("the loop only ends by returning")
    }

    /// Polls the version in force until the run is over.
    async fn read_versions(&self) {
        for turn in 0u32.. {
            if self.is_over() {
                return;
            }
            let url = format!("http://{}/-/config", self.fleet.control_address((turn % 3) as u8));
            if let Ok(answer) = self.client.get(url).send().await
                && answer.status() == 200
                && let Ok(config) = answer.json::<Value>().await
            {
                let version = config["version"].as_u64().expect("no version");
                self.record(|h| h.versions.push(version));
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

fn objects(version: u64, is_revoked: bool) -> Value {
    let keys: &[&str] = if is_revoked { &[KEY] } else { &[KEY, SECOND_KEY] };
    let mut objects = config(version, keys);
    let blue =
        json!({"name": "blue", "apiKeys": [BLUE_KEY], "ratePerS": RATE_PER_S, "burst": BURST});
    objects["tenants"].as_array_mut().expect("not a list").push(blue);
    objects
}

/// Runs the schedule of a seed and returns the history. The output of the processes goes to `logs`.
pub async fn run_seed(seed: u64, logs: &Path) -> History {
    let client = reqwest::Client::builder().timeout(Duration::from_secs(6)).build();
    let mut fleet = RelayFleet::start_linked(&objects(1, false), logs).await;
    let mut machines = [
        (Group::Control, std::mem::take(&mut fleet.control_replicas)),
        (Group::Store, std::mem::take(&mut fleet.stores)),
        (Group::Front, std::mem::take(&mut fleet.fronts)),
    ];
    let run = Arc::new(Run {
        fleet,
        client: client.expect("failed to build the HTTP client"),
        history: Mutex::default(),
        version: AtomicU64::new(1),
        is_revoked: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    });
    let mut callers = load::start(&run, seed);
    let reader = run.clone();
    callers.spawn(async move { reader.read_versions().await });
    let mut operators = JoinSet::new();
    let begun = tokio::time::Instant::now();
    for (at, event) in plan::generate(seed) {
        tokio::time::sleep_until(begun + at).await;
        match event {
            Event::Machine(group, machine, action) => {
                let (_, machines) =
                    machines.iter_mut().find(|(g, _)| *g == group).expect("unknown group");
                apply(&mut machines[machine], action).await;
            }
            Event::Link(link, mode) => run.fleet.links[link].set(mode),
            Event::Reset(link) => run.fleet.links[link].reset(),
            Event::Publish => {
                for replica in 0..2 {
                    let (run, config) = (run.clone(), run.next_config());
                    operators.spawn(async move {
                        run.publish(&config, replica).await;
                    });
                }
            }
            Event::Revoke => {
                run.is_revoked.store(true, Ordering::Relaxed);
                let (run, config) = (run.clone(), run.next_config());
                operators.spawn(async move {
                    if run.publish(&config, 2).await {
                        run.record(|h| h.revoked = Some((SECOND_KEY, Instant::now())));
                    }
                });
            }
        }
    }
    tokio::time::sleep_until(begun + plan::FAULTS_END).await;
    run.fleet.links.iter().for_each(|link| link.set(Mode::Pass));
    run.record(|h| h.faults_ended = Some(Instant::now()));
    for machine in machines.iter_mut().flat_map(|(_, m)| m) {
        machine.signal(Signal::SIGCONT);
        // SIGHUP terminates a process that has not installed its handler yet.
        let is_allowed = |status: &ExitStatus| status.signal() == Some(Signal::SIGHUP as i32);
        if let Some(status) = machine.take_unexpected_exit().filter(|status| !is_allowed(status)) {
            run.record(|h| h.failures.push(format!("a process exited unexpectedly: {status}")));
        }
        apply(machine, Action::Start).await;
    }
    while operators.join_next().await.is_some() {}
    for front in 0..2 {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        while !load::serves(&run, front).await {
            if Instant::now() > until {
                run.record(|h| h.failures.push(format!("front {front} did not recover")));
                break;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
    if plan::has_crashing_requests(seed) {
        tokio::time::sleep_until(begun + plan::FAULTS_END + AFTER_FAULTS).await;
    }
    run.is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let mut history = std::mem::take(&mut *run.history.lock().expect("lock is poisoned"));
    history.executions = run.fleet.servers.runs().into_iter().map(execution).collect();
    history
}

fn execution(run: crate::platform::servers::Run) -> Execution {
    Execution {
        id: run.id,
        body: String::from_utf8_lossy(&run.body).into_owned(),
        team: run.team.unwrap_or_default(),
        at: run.at,
    }
}

async fn apply(machine: &mut Machine, action: Action) {
    match action {
        Action::Kill if machine.is_running() => machine.kill(),
        Action::Kill => {}
        Action::Terminate => machine.request_stop(),
        Action::Wipe => machine.wipe(),
        Action::Pause => machine.signal(Signal::SIGSTOP),
        Action::Resume => machine.signal(Signal::SIGCONT),
        Action::Reload => machine.signal(Signal::SIGHUP),
        Action::Start => {
            machine.wait_stopped().await;
            if !machine.is_running() {
                machine.restart();
            }
        }
    }
}
