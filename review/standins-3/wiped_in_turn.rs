//! Store machines lose their disks one after the other. Each loss comes when the machine before no
//! longer counts as lost, `catchupS` after it was back. Are turns served after the last one?

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVER: Duration = Duration::from_secs(12);
/// Added to `CATCH_UP`, for the time in which the process starts.
const MARGIN: Duration = Duration::from_millis(20);
/// How long a machine is down when it loses its disk.
const DOWN: Duration = Duration::from_millis(10);
/// Time without a disruption before the first loss.
const CALM: Duration = Duration::from_secs(4);
const LOSSES: usize = 22;
/// No loss comes later than this, in seconds of the run, so that it ends within 120 s.
const LATEST_LOSS: f64 = 94.0;
/// No more losses once no turn was served for this time.
const SILENCE: Duration = Duration::from_secs(9);
/// Time between turns, and how long turns are judged.
const PACE: Duration = Duration::from_millis(1_000);
const JUDGED: Duration = Duration::from_secs(8);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/talk/\",\
         \"kind\":\"stream\",\"timeoutMs\":4000,\"goalMs\":250,\"priority\":0,\
         \"service\":\"assistant\",\"attempts\":1,\"retain\":true,\"retainS\":60.0,\
         \"public\":false,\"sticky\":true,\"canResume\":false,\"gapTargetMs\":300}}],\
         \"services\":[{}],{},\"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        servers::MODEL_SERVICE,
        servers::LIMITS,
    )
}

/// When a turn was sent, and whether it was answered whole.
type Results = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends a turn each `PACE` until `is_over`: three of four begin a program, one goes on with the first.
fn send_turns(consumer: &Arc<Consumer>, first: Turn, is_over: &AtomicBool, results: &Results) {
    let began = Instant::now();
    let last = Arc::new(Mutex::new(first));
    let mut sent = Vec::new();
    for n in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (consumer, last, results) = (consumer.clone(), last.clone(), results.clone());
        sent.push(thread::spawn(move || {
            let at = Instant::now();
            let is_whole = if n % 4 == 0 {
                let previous = last.lock().expect("last turn").id.clone();
                let id = format!("talk{n}");
                let turn = consumer.whole(n % 2, PATH, &id, Some(&previous), began, b"more");
                let is_whole = turn.is_some();
                if let Some(turn) = turn {
                    *last.lock().expect("last turn") = turn;
                }
                is_whole
            } else {
                let id = format!("ask{n}");
                consumer.whole(n % 2, PATH, &id, None, at, b"hello").is_some()
            };
            results.lock().expect("results").push((at, is_whole));
        }));
        thread::sleep(PACE);
    }
    for thread in sent {
        thread.join().expect("a turn");
    }
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        cores: vec!["poprad", "strba", "zdiar"],
        stores: vec!["poprad", "strba", "zdiar"],
        fronts: vec!["poprad", "strba"],
        tolerated_machines: 1,
        bounds: SMALL_BOUNDS,
    };
    let mut fleet = Fleet::new(root, &plan);
    let runs = Runs::default();
    let server = format!("{}:{SERVER_PORT}", fleet.ip(2));
    servers::start(&server, "i-1", runs, record.clone());
    let entry = servers::entry("i-1", "assistant", &server, "poprad");
    *fleet.list.lock().expect("list") = format!("{{\"instances\":[{entry}],\"nextToken\":null}}");
    fleet.start_all();
    let until = Instant::now() + Duration::from_secs(15);
    let order = fleet.order("PUT", "/-/config", &config(), 0, until, record);
    let is_ready = (0..2).all(|front| fleet.wait_ready(front, until));
    let fronts = fleet.fronts.iter().map(|f| format!("{}:{FRONT_PORT}", f.ip)).collect();
    let consumer = Arc::new(Consumer { fronts, record: record.clone() });
    let mut first = None;
    while first.is_none() && Instant::now() < until {
        first = consumer.whole(0, PATH, "talk", None, Instant::now(), b"hello");
    }
    let (true, Some(first)) = (is_ready && order.is_some_and(|(_, s, _)| s == 200), first) else {
        fleet.keep_logs();
        return Verdict::NotRun;
    };

    let (results, is_over) = (Results::default(), Arc::new(AtomicBool::new(false)));
    let traffic = {
        let (consumer, results, is_over) = (consumer, results.clone(), is_over.clone());
        thread::spawn(move || send_turns(&consumer, first, &is_over, &results))
    };
    thread::sleep(CALM);
    let mut last_loss = Instant::now();
    let mut back = Instant::now();
    for n in 0..LOSSES {
        let latest = results.lock().expect("results").iter().filter(|r| r.1).map(|r| r.0).max();
        if latest.is_none_or(|at| at.elapsed() > SILENCE) {
            record.line("no turn was served lately: no further loss");
            break;
        }
        if record.seconds() > LATEST_LOSS {
            record.line("the fleet was slow to start: no further loss");
            break;
        }
        last_loss = Instant::now();
        if has_trouble {
            // The store that led last, where that is known.
            let leader = fleet.stores.iter().enumerate().max_by_key(|(_, s)| s.led_at());
            let at = leader.filter(|(_, s)| s.led_at().is_some()).map_or(n % 3, |(at, _)| at);
            let store = &mut fleet.stores[at];
            store.kill();
            store.wipe();
            record.line(&format!("{} loses its disk", store.name));
            thread::sleep(DOWN);
            store.restart();
            record.line(&format!("{} is back with an empty disk", store.name));
        }
        back = Instant::now();
        thread::sleep(CATCH_UP + MARGIN);
    }
    // The last loss is the final fault.
    let judged = back + RECOVER;
    thread::sleep((judged + JUDGED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    traffic.join().expect("the traffic");
    let results = results.lock().expect("results").clone();
    let count = |from: Option<Instant>, to: Option<Instant>| {
        let inside = |at: Instant| from.is_none_or(|f| at > f) && to.is_none_or(|t| at < t);
        let turns: Vec<_> = results.iter().filter(|r| inside(r.0)).collect();
        (turns.iter().filter(|r| r.1).count(), turns.len())
    };
    let (before, after) = (count(None, Some(last_loss)), count(Some(judged), None));
    let ends = fleet.ends();
    record.line(&format!(
        "before the last loss {} of {} turns were answered whole, from recoverS after it on {} of {}; \
         ended by themselves: {ends:?}; {:.0} s in all",
        before.0, before.1, after.0, after.1, record.seconds()
    ));
    fleet.keep_logs();
    if before.0 * 4 < before.1 || after.1 < 5 {
        return Verdict::NotRun;
    }
    if after.0 * 4 < after.1 { Verdict::Broken } else { Verdict::Held }
}
