//! A program that goes on without end on a route with `retain`: each of its turns goes on from the one
//! before. Its turns come in through two fronts, one after the other.

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
const TIME_LIMIT_MS: u64 = 4000;
const RETAIN: Duration = Duration::from_secs(60);
/// Turns of the program that goes on without end, until it is stopped, and of one that comes to its end.
const ENDLESS_TURNS: usize = 4_200;
const ENDING_TURNS: usize = 40;
/// Where the program is stopped before, if the machine is slow.
const STOPPED_AFTER: Duration = Duration::from_secs(100);

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

fn turn(fleet: &Fleet, front: usize, n: usize, previous: Option<&str>) -> Answer {
    let (id, limit) = (format!("t{n}"), TIME_LIMIT_MS.to_string());
    // The prompt: 14 tokens of input and 16 of output for each turn so far.
    let tokens = format!("{},16", 30 * n + 14);
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", &*id),
        ("Api-Key", KEY),
        ("Deadline-Ms", &*limit),
        ("Program-Id", "endless"),
        ("Session-Id", "endless"),
        ("Program-Deadline-Ms", "5200"),
        ("Token-Budget", "100000"),
        ("Token-Count", &*tokens),
        ("Model", "m"),
    ];
    headers.extend(previous.map(|p| ("Previous-Turn", p)));
    let timeout = Duration::from_millis(TIME_LIMIT_MS);
    let address = fleet.front_address(front);
    let answer = http::call(address, "POST", "/kept/1", &headers, b"go on;", timeout, |_| {});
    let text = if answer.status == 200 { String::new() } else { answer.text() };
    record::line(&format!(
        "{id} to front {front}, previous turn {previous:?}: {}, whole: {} {text}",
        answer.status, answer.whole
    ));
    answer
}

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Fleet::new(Size { cores: 3, stores: 3, fronts: 2 });
    let runs = Runs::default();
    let listed = (0..SERVERS).map(|n| {
        let (id, address) = (format!("i-{n}"), fleet.server_address(n));
        servers::serve(n, id.clone(), address, runs.clone(), Arc::new(Model));
        let (zone, cold_until) = (ZONES[n % ZONES.len()], Duration::ZERO);
        Listed { id, service: "models", address, zone, slots: 128, cold_until, is_leaving: false }
    });
    fleet.list.set(listed.collect());
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(115));
    let mut broken = Vec::new();
    let mut last: Option<(String, Duration)> = None;
    let turns = if trouble { ENDLESS_TURNS } else { ENDING_TURNS };
    let mut answered = 0;
    for n in 0..turns {
        if record::now() > STOPPED_AFTER {
            record::say("the program is stopped, since time is up");
            break;
        }
        let previous = last.as_ref().map(|(id, _)| id.as_str());
        let answer = turn(&fleet, n % 2, n, previous);
        let now = record::now();
        if answer.status == 200 && answer.whole {
            answered += 1;
            last = Some((format!("t{n}"), now));
            continue;
        }
        let Some((id, at)) = &last else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        if matches!(answer.status, 404 | 410) && now - *at < RETAIN {
            broken.push(format!(
                "turn t{n} names {id}, which was answered whole {:.3} s before, and is answered {}: {}",
                (now - *at).as_secs_f64(),
                answer.status,
                answer.text()
            ));
            // A 404 ends a program.
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    record::say(&format!("{answered} turns were answered whole"));
    if answered < ENDING_TURNS / 2 {
        record::fail("the turns are not served");
    }
    broken
}
