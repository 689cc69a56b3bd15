//! Store machines are stopped and started in turn; later another one is killed. Meanwhile programs
//! continue turns that have been kept for longer than `retainS`. Where the system serves such a
//! turn, is the new turn, which was answered whole, still there seconds later?

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    consumer::{Consumer, HOST, KEY, Turn},
    fleet::{FRONT_PORT, Fleet, Plan, SERVER_PORT, SMALL_BOUNDS},
    record::Record,
    servers::{self, Runs},
};

const PATH: &str = "/talk/2f";
const RETAIN: f64 = 60.0;
const GRACE: Duration = Duration::from_secs(8);
/// Input of a turn: about that of the installations.
const INPUT_BYTES: usize = 17_000;
/// Turns of that size; together more than the stores keep in their logs.
const FILLING_TURNS: usize = 300;
/// When they begin, after the first kept turn, and the time between two of them.
const FILL_AFTER: Duration = Duration::from_millis(4_600);
const FILL_INTERVAL: Duration = Duration::from_millis(12);
/// Turns that are continued later, and the time between two of them.
const TURNS: usize = 140;
const TURN_INTERVAL: Duration = Duration::from_millis(75);
/// Ages at which turns are continued, in seconds.
const OLDEST: f64 = 76.0;
const YOUNGEST: f64 = 69.0;
/// Rounds in which turns are continued, each time another part of them, and the time between two.
const ROUNDS: usize = 14;
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/talk/\",\
         \"kind\":\"stream\",\"timeoutMs\":4000,\"goalMs\":250,\"priority\":0,\
         \"service\":\"assistant\",\"attempts\":1,\"retain\":true,\"retainS\":{RETAIN:.1},\
         \"public\":false,\"sticky\":true,\"canResume\":false,\"gapTargetMs\":300}}],\
         \"services\":[{}],{},\"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        servers::MODEL_SERVICE,
        servers::LIMITS,
    )
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        cores: vec!["pl-a", "pl-b", "pl-c"],
        stores: vec!["pl-a", "pl-b", "pl-c"],
        fronts: vec!["pl-a", "pl-b"],
        tolerated_machines: 1,
        bounds: SMALL_BOUNDS,
    };
    let mut fleet = Fleet::new(root, &plan);
    let runs = Runs::default();
    let server = format!("{}:{SERVER_PORT}", fleet.ip(2));
    servers::start(&server, "i-1", runs, record.clone());
    let entry = servers::entry("i-1", "assistant", &server, "pl-a");
    *fleet.list.lock().expect("list") = format!("{{\"instances\":[{entry}],\"nextToken\":null}}");
    fleet.start_all();
    let until = Instant::now() + Duration::from_secs(15);
    let first = fleet.order("PUT", "/-/config", &config(), 0, until, record);
    let is_ready = (0..2).all(|front| fleet.wait_ready(front, until));
    let fronts = fleet.fronts.iter().map(|f| format!("{}:{FRONT_PORT}", f.ip)).collect();
    let consumer = Arc::new(Consumer { fronts, record: record.clone() });
    let began = Instant::now();
    let program = began;
    let is_served = || {
        let mut n = 0;
        while Instant::now() < until {
            n += 1;
            if consumer.whole(0, PATH, &format!("first{n}"), None, began, b"x").is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    };
    if !first.is_some_and(|(_, status, _)| status == 200) || !is_ready || !is_served() {
        fleet.keep_logs();
        return Verdict::NotRun;
    }

    let first_kept = Instant::now();

    // Other programs' turns go on all the time.
    let stop = Arc::new(Mutex::new(false));
    let others = {
        let (consumer, stop) = (consumer.clone(), stop.clone());
        thread::spawn(move || {
            let mut n = 0;
            while !*stop.lock().expect("stop") {
                n += 1;
                consumer.whole(1, PATH, &format!("other{n}"), None, began, b"x");
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    thread::sleep(FILL_AFTER.saturating_sub(first_kept.elapsed()));
    let input = vec![b'x'; INPUT_BYTES];
    for n in 0..FILLING_TURNS {
        let began = Instant::now();
        consumer.whole(0, PATH, &format!("fill{n}"), None, program, &input);
        thread::sleep(FILL_INTERVAL.saturating_sub(began.elapsed()));
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for at in [1, 2] {
            let store = &mut fleet.stores[at];
            record.line(&format!("{} gets SIGTERM", store.name));
            store.terminate(GRACE);
            store.restart();
            record.line(&format!("{} starts again", store.name));
            // As long as a machine counts as lost after its return.
            thread::sleep(Duration::from_secs(4));
        }
    }
    let mut turns = Vec::new();
    for n in 0..TURNS {
        let began = Instant::now();
        turns.extend(consumer.whole(0, PATH, &format!("turn{n}"), None, program, b"input"));
        thread::sleep(TURN_INTERVAL.saturating_sub(began.elapsed()));
    }
    let Some(oldest) = turns.first().map(|turn| turn.ended) else { return Verdict::NotRun };
    record.line(&format!("{} turns are kept", turns.len()));

    // The turns are continued when they are older than retainS.
    let mut continued: Vec<(Turn, Turn)> = Vec::new();
    let first_round = Duration::from_secs_f64(OLDEST);
    for round in 0..ROUNDS {
        let at = first_round + ROUND_INTERVAL * round as u32;
        thread::sleep(at.saturating_sub(oldest.elapsed()));
        for (n, turn) in turns.iter().enumerate() {
            let age = turn.ended.elapsed().as_secs_f64();
            if n % ROUNDS == round && (YOUNGEST..OLDEST).contains(&age) {
                let id = format!("{}next", turn.id);
                if let Some(next) = consumer.whole(0, PATH, &id, Some(&turn.id), program, b"more") {
                    continued.push((turn.clone(), next));
                }
            }
        }
    }
    record.line(&format!("{} turns were continued and answered whole", continued.len()));
    if continued.is_empty() {
        *stop.lock().expect("stop") = true;
        let _ = others.join();
        fleet.keep_logs();
        return Verdict::NotRun;
    }
    if has_trouble {
        fleet.stores[0].kill();
        record.line(&format!("{} is killed", fleet.stores[0].name));
    }

    // Each of the new turns is continued within retainS, at the other front.
    let (mut lost, mut found, mut unanswered) = (0, 0, 0);
    for (at, (_, next)) in continued.iter().enumerate() {
        let mut status = 0;
        for attempt in 0..40 {
            let id = format!("{}last{attempt}", next.id);
            let answer = consumer.turn(1, PATH, &id, Some(&next.id), program, b"end");
            status = answer.map_or(0, |answer| answer.status);
            if matches!(status, 200 | 404 | 410) {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let age = next.ended.elapsed().as_secs_f64();
        match status {
            200 => found += 1,
            404 | 410 if age < RETAIN => {
                lost += 1;
                record.line(&format!(
                    "{} was answered whole {age:.1} s ago, and a turn that names it gets {status}",
                    next.id
                ));
            }
            _ => unanswered += 1,
        }
        if has_trouble && at + 1 == continued.len() {
            fleet.stores[0].restart();
            record.line(&format!("{} starts again", fleet.stores[0].name));
        }
    }
    *stop.lock().expect("stop") = true;
    let _ = others.join();
    let ends = fleet.ends();
    record.line(&format!(
        "turns that continue one answered whole less than retainS ago: {found} found it, {lost} got \
         404 or 410, {unanswered} neither; ended by themselves: {ends:?}; {:.0} s in all",
        record.seconds()
    ));
    fleet.keep_logs();
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
