//! Turns of programs on a route with `retain` and `canResume`. The front that carries them is killed;
//! the consumers resume their streams at the other front, and go on with their next turns.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{Fleet, HOST, KEY, Listed, Size, ZONES},
    http::{self, Answer, Head},
    record,
    servers::{self, Runs, Work, answer_head},
};

const PROGRAMS: usize = 8;
const FRONTS: u8 = 7;
const SERVERS: usize = 3;
const EVENTS: u64 = 16;
const PAUSE: Duration = Duration::from_millis(60);
/// The front is killed once each consumer has had this many events.
const EVENTS_BEFORE: usize = 5;
const TIME_LIMIT_MS: u64 = 4000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-kept","host":"calls.example","prefix":"/kept/","kind":"stream","timeoutMs":4000,"goalMs":200,"priority":0,"service":"models","attempts":2,"retain":true,"retainS":60.0,"public":false,"sticky":true,"canResume":true,"gapTargetMs":300}],"services":[{"name":"models","healthPath":"/healthz","maxConns":610,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":46.0,"engine":{"slots":128,"kvCapacity":1368310,"kvTokenBytes":18432,"linkMbps":1100000.0,"moves":true,"backups":true,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":196,"burst":196}]}"#;

/// Streams events whose data depends on the prompt and their number only, so that a stream that is
/// resumed after an event goes on as the one that broke off would have.
struct Model;

/// Data of an event of the response to a prompt.
fn data(prompt: &[u8], n: u64) -> String {
    let sum = prompt.iter().fold(17u64, |sum, b| (sum * 31 + u64::from(*b)) % 99_991);
    format!("w{sum}-{n}")
}

impl Work for Model {
    fn answer(&self, _: usize, head: &Head, body: &[u8], to: &mut TcpStream) -> io::Result<()> {
        let after = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                    Weight-Versions: 1\r\n\r\n";
        to.write_all(answer_head(head, more).as_bytes())?;
        for n in after + 1..=EVENTS {
            let event = format!("id: {n}\ndata: {}\n\n", data(body, n));
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        to.write_all(b"0\r\n\r\n")
    }
}

/// Sends one attempt of a turn and counts its events.
fn turn(
    fleet: &Fleet,
    front: usize,
    id: &str,
    program: &str,
    input: &str,
    more: &[(&str, &str)],
    seen: &AtomicUsize,
) -> Answer {
    let limit = TIME_LIMIT_MS.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Api-Key", KEY),
        ("Deadline-Ms", &limit),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Program-Deadline-Ms", "30000"),
        ("Token-Budget", "8192"),
        ("Token-Count", "40,256"),
        ("Model", "m"),
    ];
    headers.extend(more);
    record::line(&format!("sent {id} to front {front}: {more:?}, body {input:?}"));
    let address = fleet.front_address(front);
    let timeout = Duration::from_millis(TIME_LIMIT_MS);
    let answer = http::call(address, "POST", "/kept/1", &headers, input.as_bytes(), timeout, |b| {
        seen.store(http::events(b).len(), Ordering::Relaxed);
    });
    record::line(&format!(
        "answer to {id}: {}, whole: {}, {} events {}",
        answer.status,
        answer.whole,
        http::events(&answer.body).len(),
        answer.error
    ));
    answer
}

/// The prompt that a server must get for a turn that goes on from one with this input.
fn expected(input: &str, next: &str) -> String {
    let outputs: String = (1..=EVENTS).map(|n| data(input.as_bytes(), n) + "\n").collect();
    format!("{input}{outputs}{next}")
}

/// Checks that the consumer has all events of its turn, in order and once.
fn is_complete(input: &str, got: &[(u64, String)]) -> bool {
    let all: Vec<_> = (1..=EVENTS).map(|n| (n, data(input.as_bytes(), n))).collect();
    got == all
}

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Arc::new(Fleet::new(Size { cores: 3, stores: 3, fronts: FRONTS }));
    let runs = Runs::default();
    let listed = (0..SERVERS).map(|n| {
        let (id, address) = (format!("i-{n}"), fleet.server_address(n));
        servers::serve(n, id.clone(), address, runs.clone(), Arc::new(Model));
        let zone = ZONES[n % ZONES.len()];
        Listed {
            id,
            service: "models",
            address,
            zone,
            slots: 128,
            cold_until: Duration::ZERO,
            is_leaving: false,
        }
    });
    fleet.list.set(listed.collect());
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(110));
    let none = AtomicUsize::new(0);
    let is_served = |front| {
        let id = format!("warm-{front}-{}", record::now().as_millis());
        turn(&fleet, front, &id, &id, "warm up", &[], &none).status == 200
    };
    for front in 0..2 {
        let tries = (0..10).any(|_| is_served(front));
        if !tries {
            record::fail("turns are not served before the disruption");
        }
    }

    // The consumers' first turns; with the disruption, their channels break.
    let seen: Arc<Vec<AtomicUsize>> =
        Arc::new((0..PROGRAMS).map(|_| AtomicUsize::new(0)).collect());
    let consumers: Vec<_> = (0..PROGRAMS)
        .map(|n| {
            let (seen, fleet) = (seen.clone(), fleet.clone());
            thread::spawn(move || {
                let (id, program) = (format!("a{n}"), format!("p{n}"));
                let input = format!("question {n};");
                let first = turn(&fleet, 0, &id, &program, &input, &[], &seen[n]);
                let mut got = http::events(&first.body);
                if first.whole {
                    return (id, input, got, first.status == 200);
                }
                let Some((last, _)) = got.last().cloned() else { return (id, input, got, false) };
                // The attempt's channel broke: the consumer resumes the stream at another front.
                let (last, again) = (last.to_string(), format!("{id}-again"));
                let more = [("Last-Event-Id", last.as_str()), ("Resumes", id.as_str())];
                thread::sleep(Duration::from_millis(100));
                let none = AtomicUsize::new(0);
                let rest = turn(&fleet, 1, &again, &program, &input, &more, &none);
                got.extend(http::events(&rest.body));
                (again, input, got, rest.whole && rest.status == 200)
            })
        })
        .collect();
    if trouble {
        while seen.iter().any(|s| s.load(Ordering::Relaxed) < EVENTS_BEFORE) {
            thread::sleep(Duration::from_millis(5));
            if consumers.iter().all(thread::JoinHandle::is_finished) {
                record::fail("the first turns ended before the disruption");
            }
        }
        fleet.kill("front", 0);
    }
    let turns: Vec<_> = consumers.into_iter().map(|c| c.join().expect("no panic")).collect();
    if trouble {
        fleet.restart("front", 0);
    }

    // Their next turns, which go on from those that came to their end.
    let mut broken = Vec::new();
    let mut checked = 0;
    for (n, (previous, input, got, is_whole)) in turns.into_iter().enumerate() {
        if !is_whole || !is_complete(&input, &got) {
            record::line(&format!("turn of p{n} did not come to its end: no next turn"));
            continue;
        }
        let (id, program, next) = (format!("b{n}"), format!("p{n}"), format!("and {n} then?"));
        let more = [("Previous-Turn", previous.as_str())];
        let answer = turn(&fleet, 1, &id, &program, &next, &more, &none);
        checked += 1;
        for run in runs.of(&id) {
            let (got, want) =
                (String::from_utf8_lossy(&run.body).into_owned(), expected(&input, &next));
            if got != want {
                broken.push(format!(
                    "{id} goes on from {previous}: the server ran {got:?}, not {want:?}"
                ));
            }
        }
        if matches!(answer.status, 404 | 410) {
            broken.push(format!("{id} goes on from {previous} and is answered {}", answer.status));
        }
    }
    record::say(&format!("{checked} of {PROGRAMS} programs went on to their next turn"));
    if checked == 0 {
        record::fail("no program came to its next turn");
    }
    broken
}
