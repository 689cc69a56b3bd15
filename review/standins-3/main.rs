//! Stand-ins and runs of the scripts under `review/11` to `review/15`. Only the standard library is
//! used. `review-3 CASE ROOT RECORD` plays a case and ends with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod consumer;
mod fleet;
mod http;
mod record;
mod servers;
mod shrunk_core;
mod stuck_lead;
mod swept_turns;
mod wiped_in_turn;

use std::{env, path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, file] = &args[..] else {
        eprintln!("usage: review-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(file)));
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let root = Path::new(root);
    let verdict = match case.as_str() {
        "shrunk-core" => shrunk_core::run(root, &record, has_trouble),
        "stuck-lead" => stuck_lead::run(root, &record, has_trouble),
        "swept-turns" => swept_turns::run(root, &record, has_trouble),
        "wiped-in-turn" => wiped_in_turn::run(root, &record, has_trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
