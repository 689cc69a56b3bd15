//! Measures processor time, memory and datagrams of instances that serve no calls.
//!
//! The instances are separate processes on loopback. UDP proxies count the datagrams between them;
//! messages within a process are not counted. Run with `cargo bench --bench idle`. Counts and
//! processor time depend less on other load on the machine than elapsed time does.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{fmt::Write, time::Duration};

use poplarspan::objects::Digest;
use support::Fleet;
use tokio::time::{Instant, sleep};

const SETTLE_TIME: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(10);
/// Unit of the times in `/proc/PID/stat`: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
const FLEETS: [(u64, u64); 3] = [(3, 0), (3, 2), (3, 5)];
const ENDPOINTS: [usize; 3] = [4, 12, 36];
const TEAMS: [u32; 3] = [1000, 3000, 10_000];

fn main() {
    // `cargo bench` passes `--bench`; `cargo test --benches` does not and must not measure.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let wanted = |part: &str| std::env::args().skip(1).all(|a| a.starts_with('-') || a == part);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("failed to start the runtime").block_on(async {
        if wanted("fleets") {
            for (replicas, entries) in FLEETS {
                let mut fleet = Fleet::prepare(replicas, entries).await;
                fleet.add_mock_endpoint("engine-0", "engine", &[]);
                fleet.start_all().await;
                fleet.publish_and_wait().await;
                measure(&fleet, "one engine").await;
            }
        }
        if wanted("endpoints") {
            for count in ENDPOINTS {
                let mut fleet = Fleet::prepare(1, 1).await;
                for i in 0..count {
                    fleet.add_mock_endpoint(&format!("engine-{i}"), "engine", &[]);
                }
                fleet.start_all().await;
                fleet.publish_and_wait().await;
                measure(&fleet, &format!("{count} engines polled")).await;
            }
        }
        if wanted("teams") {
            for teams in TEAMS {
                measure_large_set(teams).await;
            }
        }
    });
}

/// Measures the publication of a large object set, of one change to it, and the idle fleet after.
async fn measure_large_set(teams: u32) {
    let mut fleet = Fleet::prepare(3, 2).await;
    fleet.add_mock_endpoint("engine-0", "engine", &[]);
    fleet.start_all().await;
    for i in 0..teams {
        let digest = Digest::of_secret(&i.to_string());
        let _ = write!(
            fleet.objects.extra,
            "[[team]]\nname = \"large-{i:05}\"\nrate = \"first\"\n\
             [[key]]\nname = \"large-{i:05}\"\nteam = \"large-{i:05}\"\ndigest = \"{digest}\"\n"
        );
    }
    let before = Sample::take(&fleet);
    fleet.publish_and_wait().await;
    sleep(SETTLE_TIME).await;
    Sample::take(&fleet).print(&before, &fleet, &format!("first set of {teams} teams, total"));
    fleet.objects.rate = (400, 400);
    let before = Sample::take(&fleet);
    fleet.publish_and_wait().await;
    sleep(SETTLE_TIME).await;
    Sample::take(&fleet).print(&before, &fleet, &format!("one change at {teams} teams, total"));
    measure(&fleet, &format!("{teams} teams")).await;
}

async fn measure(fleet: &Fleet, what: &str) {
    sleep(SETTLE_TIME).await;
    let before = Sample::take(fleet);
    sleep(RUN_TIME).await;
    Sample::take(fleet).print(&before, fleet, what);
}

/// Processor seconds, resident KiB, and (datagrams, bytes) sent and received of an instance.
type MemberSample = (f64, u64, [(u64, u64); 2]);

/// Counters of all processes at one point in time.
struct Sample {
    at: Instant,
    members: Vec<MemberSample>,
}

impl Sample {
    fn take(fleet: &Fleet) -> Self {
        let of = |(i, member): (usize, &support::Member)| {
            let id = member.process.as_ref().expect("process is not running").id();
            (processor_seconds(id), resident_kib(id), fleet.network.traffic(i))
        };
        Self { at: Instant::now(), members: fleet.members.iter().enumerate().map(of).collect() }
    }

    fn print(&self, before: &Self, fleet: &Fleet, what: &str) {
        let seconds = (self.at - before.at).as_secs_f64();
        let leader = fleet.leader(0, 0);
        println!("{} instances, {what}, {seconds:.1} s:", self.members.len());
        for (i, (now, old)) in self.members.iter().zip(&before.members).enumerate() {
            let role = match fleet.members[i].replica {
                Some(_) if leader == Some(i) => "leader of group 0",
                Some(_) => "replica",
                None => "entry",
            };
            let cpu = now.0 - old.0;
            let [sent, received] = [0, 1].map(|d| {
                let (count, bytes) = (now.2[d].0 - old.2[d].0, now.2[d].1 - old.2[d].1);
                format!(
                    "{:.1} datagrams/s {:.0} bytes/s",
                    count as f64 / seconds,
                    bytes as f64 / seconds
                )
            });
            println!(
                "  {role}: {cpu:.2} s of processor time ({:.2}% of a core), {} KiB resident, sent \
                 {sent}, received {received}",
                100.0 * cpu / seconds,
                now.1
            );
        }
    }
}

fn processor_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("process is not running");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|f| f.parse::<f64>().expect("not a number")).sum();
    ticks / TICKS_PER_SECOND
}

fn resident_kib(id: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{id}/status")).expect("process is not running");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("no VmRSS line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("not a number")
}
