//! Slopes of state, messages and processor time, for docs/CAPACITY.md.
//!
//! `cargo run --release -p poplarspan-server --example slopes -- NAME SIZE [SIZE]`, one process for
//! each size, so that memory of an earlier size does not count. Times are processor time of this
//! process. The example belongs to this crate because the messages need objects, ledger and
//! protocol types together, which no lower crate may use.

#![allow(missing_docs)]

mod ledger;
mod log;
mod polls;
mod publication;
mod rates;

use std::time::Duration;

/// Kernel clock ticks in a second, as `/proc/PID/stat` counts them.
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

/// Processor time of this process.
fn cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/schedstat").ok();
    // The main thread's time in nanoseconds; other threads are not counted.
    let nanos = stat.and_then(|s| s.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    Duration::from_nanos(nanos)
}

/// Processor time of all threads of this process, in steps of 10 ms.
fn cpu_all_threads() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("procfs");
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().expect("a number")).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Resident memory of this process in bytes.
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
