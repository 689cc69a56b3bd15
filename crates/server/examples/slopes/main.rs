//! Measures how state, messages and processor time grow with load, for docs/CAPACITY.md.
//!
//! Run `cargo run --release -p poplarspan-server --example slopes -- NAME SIZE [SIZE]`, with a new
//! process for each size, so that memory of an earlier size is not counted. Times are processor
//! time of this process. The example is in this crate because it uses types of the objects, ledger
//! and protocol crates together, and no lower crate depends on all of them.

#![allow(missing_docs)]

mod ledger;
mod log;
mod polls;
mod publication;
mod rates;

use std::time::Duration;

/// Kernel clock ticks per second, the unit of times in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number =
        |i: usize| -> u64 { args.get(i).and_then(|a| a.parse().ok()).unwrap_or_else(|| usage()) };
    match args.first().map(String::as_str) {
        Some("heartbeat") => publication::heartbeat(number(1)),
        Some("publication") => publication::publication(number(1)),
        Some("ledger") => ledger::run(number(1), number(2), number(3), number(4)),
        Some("log-commit") => log::commit(number(1), number(2)),
        Some("log-idle") => log::idle(number(1)),
        Some("rate-asks") => rates::asks(number(1), number(2)),
        Some("rate-owner") => rates::owner(number(1)),
        Some("polls") => polls::run(number(1)),
        _ => usage(),
    }
}

fn usage() -> ! {
    eprintln!(
        "slopes heartbeat INSTANCES | publication TEAMS | ledger PROGRAMS TURNS BYTES RESENT(0|1) | \
         log-commit WRITERS COMMAND_BYTES | log-idle GROUPS | rate-asks CALLS_PER_SECOND BURST | \
         rate-owner TEAMS | polls BLOCKS"
    );
    std::process::exit(2);
}

/// Returns the processor time of the main thread.
fn cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/schedstat").ok();
    // The first field is the time on the CPU in nanoseconds.
    let nanos = stat.and_then(|s| s.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanos)
}

/// Returns the processor time of all threads of this process, with a resolution of 10 ms.
fn cpu_all_threads() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("procfs");
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().expect("a number")).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("resident size");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number");
    kib * 1024
}

/// Runs `f`, prints its processor time on this thread divided by `count`, and returns its result.
fn timed<T>(what: &str, count: u64, f: impl FnOnce() -> T) -> T {
    let before = cpu();
    let value = f();
    let each = (cpu() - before).as_secs_f64() * 1e6 / count as f64;
    println!("{what}: {each:.2} us of processor time");
    value
}
