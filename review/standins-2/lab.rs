//! Cases of the second review that need no bench: `lab CASE RECORD TROUBLE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod platform;

use std::process::exit;

/// Ends the started processes and this one: the case could not run.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("cannot run: {cause}");
    fleet::end_processes();
    exit(2)
}

fn main() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        fleet::end_processes();
        exit(2);
    }));
    let args: Vec<_> = std::env::args().collect();
    let [_, case, record, trouble] = &args[..] else { cannot_run("usage: lab CASE RECORD TROUBLE") };
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        cannot_run("not done after 115 s");
    });
    let record = fleet::Record::create(record);
    let trouble = trouble != "0";
    let broken = match &**case {
        "returned-zone" => cases::returned_zone(&record, trouble),
        "lost-leader" => cases::lost_leader(&record, trouble),
        "low-limit" => cases::low_limit(&record, trouble),
        "bad-record" => cases::bad_record(&record, trouble),
        "new-software" => cases::new_software(&record, trouble),
        "long-history" => cases::long_history(&record, trouble),
        "late-bytes" => cases::late_bytes(&record, trouble),
        _ => cannot_run("unknown case"),
    };
    fleet::end_processes();
    let verdict = if broken { "the rule was broken" } else { "the rule held" };
    record.line(verdict);
    println!("{verdict}");
    exit(i32::from(broken))
}
