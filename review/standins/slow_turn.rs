//! Programs whose second turns take long, since a server turns slow, and their third turns.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
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

const PROGRAMS: usize = 24;
const SERVERS: usize = 7;
const EVENTS: u64 = 40;
const RETAIN: Duration = Duration::from_secs(60);
/// Time of a short turn's event and of a long one's: a short turn takes 2 s and a long one 10 s.
const SHORT_PAUSE: Duration = Duration::from_millis(50);
const LONG_PAUSE: Duration = Duration::from_millis(250);
/// How long after the end of its first turn a program begins its second one.
const THINK: Duration = Duration::from_millis(58_500);
/// The disruption: this server turns slow.
const SLOW_FACTOR: f64 = 5.0;
const SLOW_TIME: Duration = Duration::from_millis(6_500);
const TIME_LIMIT_MS: u64 = 20_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-kept","host":"calls.example","prefix":"/kept/","kind":"stream","timeoutMs":20000,"goalMs":400,"priority":0,"service":"models","attempts":1,"retain":true,"retainS":60.0,"public":false,"sticky":true,"canResume":false,"gapTargetMs":3000}],"services":[{"name":"models","healthPath":"/healthz","maxConns":610,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":46.0,"engine":{"slots":128,"kvCapacity":1368310,"kvTokenBytes":18432,"linkMbps":1100000.0,"moves":true,"backups":true,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":196,"burst":196}]}"#;

/// Streams events. While a server is slow, its work takes `SLOW_FACTOR` times as long.
struct Model {
    is_slow: Arc<[AtomicBool; SERVERS]>,
}

impl Model {
    fn work(&self, server: usize, time: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let mut done = Duration::ZERO;
        while done < time {
            thread::sleep(STEP);
            let is_slow = self.is_slow[server].load(Ordering::Relaxed);
            done += if is_slow { STEP.div_f64(SLOW_FACTOR) } else { STEP };
        }
    }
}

impl Work for Model {
    fn answer(&self, server: usize, head: &Head, _: &[u8], to: &mut TcpStream) -> io::Result<()> {
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                    Weight-Versions: 1\r\n\r\n";
        to.write_all(answer_head(head, more).as_bytes())?;
        let is_long = head.first.contains("/long");
        for n in 1..=EVENTS {
            let event = format!("id: {n}\ndata: w{n}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            self.work(server, if is_long { LONG_PAUSE } else { SHORT_PAUSE });
        }
        to.write_all(b"0\r\n\r\n")
    }
}

fn turn(
    fleet: &Fleet,
    front: usize,
    path: &str,
    id: &str,
    program: &str,
    previous: Option<&str>,
) -> Answer {
    let limit = TIME_LIMIT_MS.to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Api-Key", KEY),
        ("Deadline-Ms", &limit),
        ("Program-Id", program),
        ("Session-Id", program),
        ("Program-Deadline-Ms", "110000"),
        ("Token-Budget", "16384"),
        ("Token-Count", "40,640"),
        ("Model", "m"),
    ];
    headers.extend(previous.map(|p| ("Previous-Turn", p)));
    record::line(&format!("sent {id} to front {front}, previous turn {previous:?}"));
    let address = fleet.front_address(front);
    let timeout = Duration::from_millis(TIME_LIMIT_MS);
    let body = format!("input of {id};");
    let answer = http::call(address, "POST", path, &headers, body.as_bytes(), timeout, |_| {});
    let text = if answer.status == 200 { String::new() } else { answer.text() };
    record::line(&format!("answer to {id}: {}, whole: {} {text}", answer.status, answer.whole));
    answer
}

/// A turn that was answered whole, and when.
struct Whole {
    id: String,
    at: Duration,
}

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Fleet::new(Size { cores: 3, stores: 3, fronts: 2 });
    let runs = Runs::default();
    let is_slow: Arc<[AtomicBool; SERVERS]> = Arc::default();
    let listed = (0..SERVERS).map(|n| {
        let (id, address) = (format!("i-{n}"), fleet.server_address(n));
        let model = Model { is_slow: is_slow.clone() };
        servers::serve(n, id.clone(), address, runs.clone(), Arc::new(model));
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
    fleet.watch_time(Duration::from_secs(118));
    let fleet = Arc::new(fleet);
    let warm = (0..10).any(|n| {
        turn(&fleet, n % 2, "/kept/short", &format!("warm{n}"), "warm", None).status == 200
    });
    if !warm {
        record::fail("turns are not served before the disruption");
    }

    // Other programs, whose turns the stores commit all the while.
    let is_over = Arc::new(AtomicBool::new(false));
    let (other, over) = (fleet.clone(), is_over.clone());
    let others = thread::spawn(move || {
        for n in 0.. {
            if over.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("other{n}");
            turn(&other, n % 2, "/kept/short", &id, &id, None);
        }
    });

    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let begin = record::now();
    let second = begin + Duration::from_millis(2_500) + THINK;
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|n| {
            let (fleet, broken) = (fleet.clone(), broken.clone());
            thread::spawn(move || {
                let program = format!("p{n}");
                // Some lines of turns come in through another zone from one turn to the next.
                let front = |turn: usize| (n + turn) % 2;
                thread::sleep(Duration::from_millis(20 * n as u64));
                let (a, b, c) = (format!("a{n}"), format!("b{n}"), format!("c{n}"));
                let first = turn(&fleet, front(0), "/kept/short", &a, &program, None);
                if first.status != 200 || !first.whole {
                    return false;
                }
                let first = Whole { id: a, at: record::now() };
                thread::sleep(THINK);
                if record::now() - first.at >= RETAIN {
                    return false;
                }
                let answer = turn(&fleet, front(1), "/kept/long", &b, &program, Some(&first.id));
                if answer.status != 200 || !answer.whole {
                    return false;
                }
                let whole = Whole { id: b, at: record::now() };
                thread::sleep(Duration::from_millis(200));
                let age = record::now() - whole.at;
                let answer = turn(&fleet, front(2), "/kept/short", &c, &program, Some(&whole.id));
                if matches!(answer.status, 404 | 410) && age < RETAIN {
                    let text = format!(
                        "{c} names {}, which was answered whole {:.1} s before, and is answered {}: {}",
                        whole.id,
                        age.as_secs_f64(),
                        answer.status,
                        answer.text()
                    );
                    broken.lock().expect("no panic while locked").push(text);
                }
                true
            })
        })
        .collect();
    if trouble {
        thread::sleep((second + Duration::from_secs(1)).saturating_sub(record::now()));
        // The server with the most second turns turns slow.
        let count = |server: usize| {
            runs.all().iter().filter(|r| r.server == server && r.id.starts_with('b')).count()
        };
        let slow = (0..SERVERS).max_by_key(|n| count(*n)).unwrap_or(0);
        record::say(&format!("server {slow} turns slow under {} turns", count(slow)));
        is_slow[slow].store(true, Ordering::Relaxed);
        thread::sleep(SLOW_TIME);
        is_slow[slow].store(false, Ordering::Relaxed);
        record::line(&format!("server {slow} is as fast as before"));
    }
    let done = programs.into_iter().map(|p| p.join().expect("no panic")).filter(|d| *d).count();
    is_over.store(true, Ordering::Relaxed);
    others.join().expect("no panic");
    record::say(&format!("{done} of {PROGRAMS} programs came to their third turn"));
    if done < PROGRAMS / 2 {
        record::fail("too few programs came to their third turn");
    }
    let broken = broken.lock().expect("no panic while locked").clone();
    broken
}
