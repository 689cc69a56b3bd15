//! Stand-ins and checks of the review's scripts: `standins CASE RECORD DISRUPTION`, the last
//! being `with-disruption` or `without-disruption`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod desk;
mod endless_program;
mod evacuated_zone;
mod fleet;
mod http;
mod new_leader;
mod record;
mod replaced_stores;
mod resumed_turn;
mod servers;
mod slow_turn;
mod unreadable_entry;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, file, disruption] = &args[..] else {
        eprintln!("usage: standins CASE RECORD with-disruption|without-disruption");
        std::process::exit(2);
    };
    record::open(Path::new(file));
    let trouble = match disruption.as_str() {
        "with-disruption" => true,
        "without-disruption" => false,
        _ => std::process::exit(2),
    };
    record::say(&format!("case {case}, disruption: {trouble}"));
    let run: fn(bool) -> Vec<String> = match case.as_str() {
        "resumed-turn" => resumed_turn::run,
        "endless-program" => endless_program::run,
        "evacuated-zone" => evacuated_zone::run,
        "new-leader" => new_leader::run,
        "unreadable-entry" => unreadable_entry::run,
        "replaced-stores" => replaced_stores::run,
        "slow-turn" => slow_turn::run,
        _ => std::process::exit(2),
    };
    match std::panic::catch_unwind(|| run(trouble)) {
        Ok(broken) if broken.is_empty() => record::say("the rule held"),
        Ok(broken) => {
            for text in &broken {
                record::say(&format!("broken: {text}"));
            }
            std::process::exit(1);
        }
        Err(_) => std::process::exit(2),
    }
}
