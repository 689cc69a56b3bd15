//! The stores are replaced one after the other: one is retired and removed, another one loses its disk
//! right after, and an empty store is added. Meanwhile the core machines are stopped and started in turn.

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
/// The stores are replaced this many times at most.
const ROUNDS: usize = 10;
/// The leading core machine is stopped this long after the order to retire a store was acknowledged.
const STOP_AFTER: Duration = Duration::from_millis(300);
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

/// Replaces a store. Returns the new one, or `None` if the old one is not empty in time.
fn replace(fleet: &Arc<Fleet>, trouble: bool, old: usize, wiped: usize) -> Option<usize> {
    let path = format!("/-/retire/{}", fleet.name("storage", old));
    if !fleet.order("POST", &path, "{\"overS\":10}") {
        record::fail("the order to retire a store is not acknowledged");
    }
    thread::sleep(STOP_AFTER);
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
            return None;
        }
        thread::sleep(QUESTIONS);
    }
    thread::sleep(REMOVAL);
    fleet.remove("storage", old);
    fleet.wipe("storage", wiped);
    let new = fleet.add_store(old % ZONES.len());
    if trouble {
        thread::sleep(Duration::from_secs(1));
        fleet.restart("core", leader);
    }
    Some(new)
}

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Fleet::new(Size { cores: 3, stores: STORES as u8, fronts: 2 });
    let runs = Runs::default();
    let listed = (0..SERVERS).map(|n| {
        let (id, address) = (format!("i-{n}"), fleet.server_address(n));
        servers::serve(n, id.clone(), address, runs.clone(), Arc::new(Model));
        let (zone, cold_until) = (ZONES[n % ZONES.len()], Duration::ZERO);
        Listed { id, service: "models", address, zone, slots: 128, cold_until, is_leaving: false }
    });
    fleet.list.set(listed.collect());
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(118));
    let fleet = Arc::new(fleet);
    thread::sleep(Duration::from_secs(5));
    let mut stores: Vec<usize> = (0..STORES).collect();
    let mut whole = first_turns(&fleet, 0);
    if whole.len() < PROGRAMS {
        record::fail("turns are not served before the disruption");
    }
    let mut back = record::now();
    for round in 1..=ROUNDS {
        let old = stores.remove(0);
        let wiped = stores[1];
        let Some(new) = replace(&fleet, trouble, old, wiped) else {
            record::say(&format!("round {round}: store {old} is not empty in time"));
            break;
        };
        stores.push(new);
        back = record::now();
        thread::sleep(CATCH_UP + Duration::from_millis(300));
        let next = first_turns(&fleet, round);
        if next.len() < PROGRAMS {
            record::say(&format!("round {round}: {} of {PROGRAMS} first turns served", next.len()));
            break;
        }
        whole = next;
    }
    thread::sleep((back + RECOVER).saturating_sub(record::now()));

    // The last 4 s: each program goes on from its turn that was answered whole.
    let tries: Vec<_> = whole
        .into_iter()
        .enumerate()
        .map(|(n, (previous, program))| {
            let fleet = fleet.clone();
            thread::spawn(move || {
                let ids: Vec<_> = (0..TRIES).map(|k| format!("b{n}-{k}")).collect();
                for (k, id) in ids.iter().enumerate() {
                    turn(&fleet, (n + k) % 2, id, &program, Some(&previous), TRY_LIMIT);
                }
                (previous, ids)
            })
        })
        .collect();
    let tries: Vec<_> = tries.into_iter().map(|t| t.join().expect("no panic")).collect();
    let mut broken = Vec::new();
    for (previous, ids) in &tries {
        if ids.iter().all(|id| runs.of(id).is_empty()) {
            broken.push(format!(
                "no turn that goes on from {previous} reaches a server in {TRIES} tries"
            ));
        }
    }
    record::say(&format!("{} of {} programs went on", tries.len() - broken.len(), tries.len()));
    let count = STORES + ROUNDS.min(stores.iter().max().unwrap_or(&0) + 1 - STORES);
    (0..count).for_each(|n| fleet.note_log("storage", n, "membership change"));
    broken
}
