//! A store is retired and removed, another one loses its disk right after, and an empty store is added.
//! Meanwhile the leading core machine is stopped and started. Played on several fleets, one after the other.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    fleet::{Fleet, HOST, KEY, Listed, Size, ZONES},
    http::{self, Answer, Head},
    record,
    servers::{self, Runs, Work, answer_head},
};

const SERVERS: usize = 3;
const STORES: usize = 4;
const PROGRAMS: usize = 16;
const TIME_LIMIT: Duration = Duration::from_millis(3000);
/// The leading core machine is stopped this long after the order to retire a store was acknowledged, in a
/// fleet of its own each.
const STOP_AFTER: [Duration; 6] = [
    Duration::from_millis(300),
    Duration::from_millis(350),
    Duration::from_millis(250),
    Duration::from_millis(400),
    Duration::from_millis(300),
    Duration::from_millis(350),
];
/// No further fleet is started after this time.
const LAST_START: Duration = Duration::from_secs(72);
/// Time that a script may take.
const TIME: Duration = Duration::from_secs(118);
/// Time in which a new fleet forms its groups of stores and moves their leads.
const SETTLE: Duration = Duration::from_secs(5);
/// Time from the answer that a store is empty until its machine is gone.
const REMOVAL: Duration = Duration::from_millis(200);
/// Pause of the operator between two questions.
const QUESTIONS: Duration = Duration::from_millis(30);
const OVER: Duration = Duration::from_secs(10);
/// `catchupS` and `recoverS` of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVER: Duration = Duration::from_secs(12);
/// A turn is tried this often in the last 4 s.
const TRIES: usize = 5;
const TRY_LIMIT: Duration = Duration::from_millis(700);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-kept","host":"calls.example","prefix":"/kept/","kind":"stream","timeoutMs":4000,"goalMs":200,"priority":0,"service":"models","attempts":2,"retain":true,"retainS":60.0,"public":false,"sticky":true,"canResume":false,"gapTargetMs":300}],"services":[{"name":"models","healthPath":"/healthz","maxConns":610,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":46.0,"engine":{"slots":128,"kvCapacity":1368310,"kvTokenBytes":18432,"linkMbps":1100000.0,"moves":true,"backups":true,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":0,"burst":0}]}"#;

/// Answers with one event.
struct Model;

impl Work for Model {
    fn answer(&self, _: usize, head: &Head, _: &[u8], to: &mut TcpStream) -> io::Result<()> {
        let event = "id: 1\ndata: next\n\n";
        let more = format!(
            "Content-Type: text/event-stream\r\nContent-Length: {}\r\n\
             Weight-Versions: 1\r\n\r\n{event}",
            event.len()
        );
        to.write_all(answer_head(head, &more).as_bytes())
    }
}

fn turn(
    fleet: &Fleet,
    front: usize,
    id: &str,
    program: &str,
    previous: Option<&str>,
    limit: Duration,
) -> Answer {
    let limit_ms = limit.as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Api-Key", KEY),
        ("Deadline-Ms", &*limit_ms),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Program-Deadline-Ms", "30000"),
        ("Token-Budget", "4736"),
        ("Token-Count", "100,16"),
        ("Model", "m"),
    ];
    headers.extend(previous.map(|p| ("Previous-Turn", p)));
    let address = fleet.front_address(front);
    let timeout = limit + Duration::from_millis(500);
    let answer = http::call(address, "POST", "/kept/1", &headers, b"go on;", timeout, |_| {});
    let text = if answer.status == 200 { String::new() } else { answer.text() };
    record::line(&format!(
        "{id} to front {front}, previous turn {previous:?}: {}, whole: {} {text}",
        answer.status, answer.whole
    ));
    answer
}

/// Sends a first turn of each program. Returns those that were answered whole.
fn first_turns(fleet: &Arc<Fleet>, round: usize) -> Vec<(String, String)> {
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|n| {
            let fleet = fleet.clone();
            thread::spawn(move || {
                let (id, program) = (format!("a{round}-{n}"), format!("p{round}-{n}"));
                let answer = turn(&fleet, n % 2, &id, &program, None, TIME_LIMIT);
                (answer.status == 200 && answer.whole).then_some((id, program))
            })
        })
        .collect();
    programs.into_iter().filter_map(|p| p.join().expect("no panic")).collect()
}

/// Replaces a store, and wipes another one right after.
fn replace(fleet: &Arc<Fleet>, trouble: bool, stop_after: Duration, old: usize, wiped: usize) {
    let path = format!("/-/retire/{}", fleet.name("storage", old));
    if !fleet.order("POST", &path, "{\"overS\":8}") {
        record::fail("the order to retire a store is not acknowledged");
    }
    thread::sleep(stop_after);
    let leader = fleet.leader();
    if trouble {
        fleet.terminate("core", leader);
    }
    let until = record::now() + OVER;
    loop {
        let answer = fleet.ask(&path);
        record::line(&format!("state of store {old}: {answer:?}"));
        if answer.is_some_and(|text| text.contains("completed")) {
            break;
        }
        if record::now() > until {
            record::fail("the store is not empty in time");
        }
        thread::sleep(QUESTIONS);
    }
    thread::sleep(REMOVAL);
    fleet.remove("storage", old);
    fleet.wipe("storage", wiped);
    fleet.add_store(old % ZONES.len());
    if trouble {
        thread::sleep(Duration::from_secs(1));
        fleet.restart("core", leader);
    }
}

/// Starts a fleet whose stores have formed their groups.
fn start(runs: &Runs) -> Arc<Fleet> {
    let fleet = Fleet::new(Size { cores: 3, stores: STORES as u8, fronts: 2 });
    let listed = (0..SERVERS).map(|n| {
        let (id, address) = (format!("i-{n}"), fleet.server_address(n));
        servers::serve(n, id.clone(), address, runs.clone(), Arc::new(Model));
        let (zone, cold_until) = (ZONES[n % ZONES.len()], Duration::ZERO);
        Listed { id, service: "models", address, zone, slots: 128, cold_until, is_leaving: false }
    });
    fleet.list.set(listed.collect());
    fleet.start(CONFIG);
    fleet.watch_time(TIME.saturating_sub(record::now()));
    thread::sleep(SETTLE);
    Arc::new(fleet)
}

/// The last 4 s: each program goes on from its turn that was answered whole. Returns those turns that no
/// turn which goes on from them reaches a server.
fn lost_turns(fleet: &Arc<Fleet>, runs: &Runs, whole: Vec<(String, String)>) -> Vec<String> {
    let tries = whole.into_iter().enumerate().map(|(n, (previous, program))| {
        let fleet = fleet.clone();
        thread::spawn(move || {
            let ids: Vec<_> = (0..TRIES).map(|k| format!("b-{previous}-{k}")).collect();
            for (k, id) in ids.iter().enumerate() {
                turn(&fleet, (n + k) % 2, id, &program, Some(&previous), TRY_LIMIT);
            }
            (previous, ids)
        })
    });
    let tries: Vec<_> = tries.collect();
    let tries = tries.into_iter().map(|t| t.join().expect("no panic"));
    let reach_none = |ids: &[String]| ids.iter().all(|id| runs.of(id).is_empty());
    tries.filter(|(_, ids)| reach_none(ids)).map(|(previous, _)| previous).collect()
}

pub fn run(trouble: bool) -> Vec<String> {
    let runs = Runs::default();
    for (round, stop_after) in STOP_AFTER.iter().enumerate() {
        if record::now() > LAST_START {
            break;
        }
        let fleet = start(&runs);
        let whole = first_turns(&fleet, round);
        if whole.len() < PROGRAMS {
            record::fail("turns are not served before the disruption");
        }
        let (old, wiped) = (round % STORES, (round + 2) % STORES);
        replace(&fleet, trouble, *stop_after, old, wiped);
        let back = record::now();
        thread::sleep(CATCH_UP + Duration::from_millis(300));
        let after = first_turns(&fleet, round + 100).len();
        record::say(&format!("fleet {round}: {after} of {PROGRAMS} first turns served after it"));
        if after == PROGRAMS {
            continue;
        }
        thread::sleep((back + RECOVER).saturating_sub(record::now()));
        let lost = lost_turns(&fleet, &runs, whole);
        record::say(&format!("{} of {PROGRAMS} programs do not go on", lost.len()));
        (0..=STORES).for_each(|n| fleet.note_log("storage", n, "membership change"));
        let text =
            |turn| format!("no turn that goes on from {turn} reaches a server in {TRIES} tries");
        return lost.into_iter().map(text).collect();
    }
    Vec::new()
}
