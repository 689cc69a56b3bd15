//! The cases.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Channel},
    fleet::{FRONT_PORT, Fleet, Record, SERVER_PORT, free_subnet},
    platform::{HOST, KEY, List, Load, Plan, Reply, Sent, Server, most_in_window, most_sent_in_window, record_all, status_counts},
};

const SECOND: Duration = Duration::from_secs(1);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A config with a safe, an unsafe and a stream route to the service `desk`.
fn config(version: u64, cold_per_s: f64) -> String {
    // Routes whose turns the system keeps don't let consumers resume a stream, as on the sheets.
    let route = |name: &str, kind: &str| {
        let is_kept = name == "kept";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":3000,\"goalMs\":500,\"priority\":2,\"service\":\"desk\",\"attempts\":1,\
             \"retain\":{is_kept},\"retainS\":60.0,\"public\":false,\"sticky\":false,\"canResume\":{},\"gapTargetMs\":250}}",
            kind == "stream" && !is_kept
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":3.0,\"coldPerS\":{cold_per_s:.1}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}}]}}",
        route("safe", "safe"),
        route("once", "unsafe"),
        route("talk", "stream"),
        route("kept", "stream"),
    )
}

struct Setup {
    fleet: Fleet,
    list: Arc<List>,
    cold_per_s: f64,
}

impl Setup {
    fn new(cold_per_s: f64) -> Self {
        let fleet = Fleet::new(free_subnet());
        let list = List::start(fleet.list_address());
        Self { fleet, list, cold_per_s }
    }

    fn server(&self, n: u8, zone: &str, slots: usize, work: Duration, cold: Option<Duration>) -> Arc<Server> {
        let address = SocketAddr::from((self.fleet.ip(100 + n), SERVER_PORT));
        let server = Server::start(&format!("i-{n}"), "desk", zone, address, slots, work, cold, self.cold_per_s);
        self.list.add(&server);
        server
    }

    /// Starts the processes, publishes the config and waits until the fronts are ready.
    fn start(&mut self, record: &Record, fronts: u8) {
        self.fleet.start(3, 3, fronts);
        sleep(SECOND);
        let (status, at) = self.fleet.order("PUT", "/-/config", &config(3, self.cold_per_s));
        record.line_at(at, &format!("PUT /-/config: {status}"));
        if status != 200 {
            crate::cannot_run("the config is refused");
        }
        self.fleet.wait_ready();
        // The core is stable and the list has been read.
        sleep(millis(2500));
        record.line("fronts are ready");
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.fleet.fronts.iter().map(|f| SocketAddr::from((f.ip, FRONT_PORT))).collect()
    }
}

/// FAILBACK: most requests that were sent and reached a cold server within a second.
fn cold_rule_broken(record: &Record, sent: &[Sent], servers: &[Arc<Server>], cold_per_s: f64) -> bool {
    let sent_at: HashMap<&str, Instant> = sent.iter().map(|s| (&*s.id, s.at)).collect();
    let allowed = cold_per_s * 1.5 + 5.0;
    let mut broken = false;
    for server in servers {
        let arrivals = server.arrivals.lock().unwrap();
        let cold = arrivals.iter().filter(|a| a.was_cold);
        let at: Vec<_> = cold.filter_map(|a| Some((*sent_at.get(&*a.id)?, a.at))).collect();
        let (most, from) = most_sent_in_window(&at, SECOND);
        let text = format!(
            "check FAILBACK: {} got {} requests while cold, at most {most} sent and arrived in one second; allowed {allowed}{}",
            server.id,
            at.len(),
            if server.has_crashed() { "; it crashed" } else { "" }
        );
        record.line_at(from.unwrap_or_else(Instant::now), &text);
        println!("{text}");
        broken |= most as f64 > allowed;
    }
    broken
}

/// A zone is evacuated and taken back; its server has become cold shortly before.
pub fn returned_zone(record: &Record, trouble: bool) -> bool {
    const COLD_PER_S: f64 = 26.0;
    let mut setup = Setup::new(COLD_PER_S);
    let servers = vec![
        setup.server(1, "z1", 16, millis(20), None),
        setup.server(2, "z2", 16, millis(20), None),
        setup.server(3, "z2", 16, millis(20), None),
    ];
    setup.start(record, 4);
    let load = Load::start(Plan {
        fronts: setup.fronts(),
        consumers_per_front: 12,
        pause: millis(200),
        method: "GET",
        path: "/safe/2f",
        deadline_ms: 3000,
        prefix: "a",
    });
    sleep(3 * SECOND);
    let (status, at) = setup.fleet.order("POST", "/-/evacuate/z1", "");
    record.line_at(at, &format!("POST /-/evacuate/z1: {status}"));
    sleep(millis(7500));
    if trouble {
        servers[0].state.lock().unwrap().cold_until = Some(Instant::now() + 3 * SECOND);
        record.line("i-1 is cold for 3 s");
    }
    sleep(millis(500));
    let (status, at) = setup.fleet.order("DELETE", "/-/evacuate/z1", "");
    record.line_at(at, &format!("DELETE /-/evacuate/z1: {status}"));
    sleep(5 * SECOND);
    let sent = load.end();
    println!("answers: {}", status_counts(&sent));
    record_all(record, &sent, &servers);
    let broken = cold_rule_broken(record, &sent, &servers, COLD_PER_S);
    setup.fleet.end();
    broken
}

/// The only server of a service is replaced by a new one, which is cold; meanwhile the leading core
/// machine's process is killed.
pub fn lost_leader(record: &Record, trouble: bool) -> bool {
    const COLD_PER_S: f64 = 26.0;
    let mut setup = Setup::new(COLD_PER_S);
    let old = setup.server(1, "z1", 64, millis(20), None);
    setup.start(record, 8);
    let load = Load::start(Plan {
        fronts: setup.fronts(),
        consumers_per_front: 60,
        pause: millis(400),
        method: "GET",
        path: "/safe/2f",
        deadline_ms: 800,
        prefix: "a",
    });
    sleep(3 * SECOND);
    let new = setup.server(2, "z1", 64, millis(20), Some(3 * SECOND));
    old.state.lock().unwrap().is_draining = true;
    record.line("i-2 has started and is cold for 3 s; i-1 drains");
    sleep(millis(1500));
    let leader = setup.fleet.leading_core();
    if trouble {
        setup.fleet.cores[leader].kill();
        record.line(&format!("SIGKILL to {}", setup.fleet.cores[leader].name));
    }
    sleep(SECOND);
    if trouble {
        setup.fleet.cores[leader].restart();
        record.line(&format!("{} starts again", setup.fleet.cores[leader].name));
    }
    sleep(4 * SECOND);
    let sent = load.end();
    println!("answers: {}", status_counts(&sent));
    let servers = vec![old, new];
    record_all(record, &sent, &servers);
    let broken = cold_rule_broken(record, &sent, &servers, COLD_PER_S);
    setup.fleet.end();
    broken
}

/// A server in need, which has memory for a few requests only, names a low limit for a while.
pub fn low_limit(record: &Record, trouble: bool) -> bool {
    const LIMIT: f64 = 0.4;
    const STABLE: Duration = Duration::from_secs(3);
    /// The pages: a server crashes if the requests that it holds exceed its memory.
    const MOST_HELD: usize = 16;
    let mut setup = Setup::new(0.0);
    let servers = vec![
        setup.server(1, "z1", 32, millis(200), None),
        setup.server(2, "z1", 32, millis(100), None),
        setup.server(3, "z2", 32, millis(100), None),
    ];
    setup.start(record, 8);
    let load = Load::start(Plan {
        fronts: setup.fronts(),
        consumers_per_front: 20,
        pause: millis(300),
        method: "POST",
        path: "/once/2f",
        deadline_ms: 3000,
        prefix: "a",
    });
    sleep(3 * SECOND);
    if trouble {
        servers[0].set_hook(Arc::new(|server, _channel, head, _body, _is_first| {
            if server.running.load(Ordering::SeqCst) > MOST_HELD {
                server.crash(3 * SECOND);
                return Reply::Written(false);
            }
            sleep(server.work);
            Reply::Whole(format!("done {}", head.get("request-id").unwrap_or("")).into_bytes())
        }));
        servers[0].state.lock().unwrap().limit = Some(format!("{LIMIT}"));
        record.line(&format!("i-1 names Server-Limit: {LIMIT}"));
    }
    let named = Instant::now();
    sleep(30 * SECOND);
    let sent = load.end();
    println!("answers: {}", status_counts(&sent));
    record_all(record, &sent, &servers);
    let allowed = LIMIT * 1.5 * 4.0 + 5.0;
    // Fronts that had passed on an answer with the limit half a second before a request came.
    let first = |front: usize| {
        let told = sent.iter().filter(|s| s.front == front && s.limit).map(|s| s.at + s.took);
        told.min()
    };
    let told: Vec<_> = (0..setup.fleet.fronts.len()).map(first).collect();
    let front_of = |id: &str| usize::from_str_radix(&id[1..3], 16).expect("a front");
    let arrivals = servers[0].arrivals.lock().unwrap();
    let counted = arrivals.iter().filter(|a| {
        a.at >= named + STABLE + millis(500)
            && told[front_of(&a.id)].is_some_and(|at| at + millis(500) <= a.at)
    });
    let at: Vec<_> = counted.map(|a| a.at).collect();
    let (most, from) = most_in_window(&at, 4 * SECOND);
    let text = format!(
        "check LIMIT: i-1 got {} requests from {:?} after it first named its limit on, at most {most} in 4 s; allowed {allowed}{}",
        at.len(),
        STABLE,
        if servers[0].has_crashed() { "; it crashed" } else { "" }
    );
    record.line_at(from.unwrap_or_else(Instant::now), &text);
    println!("{text}");
    let broken = trouble && most as f64 > allowed;
    setup.fleet.end();
    broken
}

/// A faulty server sends additional bytes after a complete answer. They arrive late, when the next
/// request of the channel is running.
pub fn late_bytes(record: &Record, trouble: bool) -> bool {
    let mut setup = Setup::new(0.0);
    let servers = vec![setup.server(1, "z1", 32, millis(50), None), setup.server(2, "z2", 32, millis(50), None)];
    // Three of a hundred answers of the faulty server.
    const ONE_IN: usize = 34;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(AtomicUsize::new(0));
    {
        let (is_faulty, requests) = (is_faulty.clone(), requests.clone());
        servers[0].set_hook(Arc::new(move |server, channel, head, _body, is_first| {
            let id = head.get("request-id").unwrap_or("").to_owned();
            let is_hit = is_faulty.load(Ordering::SeqCst)
                && !is_first
                && requests.fetch_add(1, Ordering::SeqCst) % ONE_IN == 0;
            if is_hit && !channel.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") {
                return Reply::Written(false);
            }
            sleep(server.work);
            Reply::Whole(format!("done {id}").into_bytes())
        }));
    }
    setup.start(record, 2);
    let load = Load::start(Plan {
        fronts: setup.fronts(),
        consumers_per_front: 16,
        pause: millis(100),
        method: "POST",
        path: "/once/2f",
        deadline_ms: 3000,
        prefix: "a",
    });
    sleep(3 * SECOND);
    if trouble {
        is_faulty.store(true, Ordering::SeqCst);
        record.line("i-1 sends additional bytes for 5 s");
    }
    sleep(5 * SECOND);
    is_faulty.store(false, Ordering::SeqCst);
    sleep(2 * SECOND);
    let sent = load.end();
    println!("answers: {}", status_counts(&sent));
    record_all(record, &sent, &servers);
    let mut refused = 0;
    for s in sent.iter().filter(|s| [408, 421, 429, 503].contains(&s.status)) {
        let has_run = |server: &Arc<Server>| server.arrivals.lock().unwrap().iter().any(|a| a.id == s.id && a.has_run);
        if servers.iter().any(has_run) {
            refused += 1;
            record.line_at(s.at, &format!("{} was answered {} and has run", s.id, s.status));
        }
    }
    let text = format!("check REFUSED: {refused} requests were answered 408, 421, 429 or 503 and have run; allowed 0");
    record.line(&text);
    println!("{text}");
    setup.fleet.end();
    refused > 0
}

/// A lookup that many consumers send is answered, until it begins to crash each server that runs it.
pub fn bad_record(record: &Record, trouble: bool) -> bool {
    const PATH: &str = "/safe/record/17";
    const STABLE: Duration = Duration::from_secs(3);
    let mut setup = Setup::new(0.0);
    let is_bad = Arc::new(AtomicBool::new(false));
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let zones = ["z1", "z2"];
    let servers: Vec<_> =
        (1..=6).map(|n| setup.server(n, zones[usize::from(n) % 2], 16, millis(20), None)).collect();
    for server in &servers {
        let (is_bad, crashes) = (is_bad.clone(), crashes.clone());
        server.set_hook(Arc::new(move |server, _channel, head, _body, _is_first| {
            let path = head.first.get(1).map_or("", |p| &**p);
            if path == PATH && is_bad.load(Ordering::SeqCst) {
                crashes.lock().unwrap().push(Instant::now());
                server.crash(3 * SECOND);
                return Reply::Written(false);
            }
            sleep(server.work);
            Reply::Whole(format!("done {}", head.get("request-id").unwrap_or("")).into_bytes())
        }));
    }
    setup.start(record, 4);
    let plan = |path, consumers_per_front, pause, prefix| Plan {
        fronts: setup.fronts(),
        consumers_per_front,
        pause,
        method: "GET",
        path,
        deadline_ms: 1200,
        prefix,
    };
    let others = Load::start(plan("/safe/other", 4, millis(100), "a"));
    let lookups = Load::start(plan(PATH, 1, millis(500), "b"));
    sleep(6 * SECOND);
    if trouble {
        is_bad.store(true, Ordering::SeqCst);
        record.line(&format!("from now on, {PATH} crashes each server that runs it"));
    }
    sleep(25 * SECOND);
    let (lookups, others) = (lookups.end(), others.end());
    println!("lookups: {}; others: {}", status_counts(&lookups), status_counts(&others));
    record_all(record, &lookups, &servers);
    let crashes = crashes.lock().unwrap();
    for at in crashes.iter() {
        record.line_at(*at, "a server crashed");
    }
    let third = crashes.get(2).copied();
    let reached = |id: &str, since: Instant| {
        servers.iter().any(|s| s.arrivals.lock().unwrap().iter().any(|a| a.id == id && a.at >= since))
    };
    let retries = third.map_or(0, |third| {
        let later = lookups.iter().filter(|s| s.at > third + STABLE);
        later.filter(|s| reached(&s.id, third)).count()
    });
    let text = format!(
        "check BUDGET: {} crashes; {retries} retries that were sent later than {STABLE:?} after the third crash reached servers; allowed 3",
        crashes.len()
    );
    record.line(&text);
    println!("{text}");
    setup.fleet.end();
    retries > 3
}

/// What a consumer received of one stream, over all its tries.
struct Received {
    id: String,
    /// Software versions that the events name.
    versions: Vec<String>,
    events: usize,
    tries: usize,
    is_whole: bool,
}

/// Reads events until the stream ends or breaks off. Returns the last number, and whether the stream
/// is whole.
fn read_events(channel: &mut Channel, until: Instant, received: &mut Received, mut last: u64) -> (u64, bool) {
    let mut text = String::new();
    loop {
        let Some(chunk) = channel.read_chunk(Some(until)) else { return (last, false) };
        if chunk.is_empty() {
            return (last, true);
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name)).unwrap_or("").to_owned();
            last = field("id: ").parse().unwrap_or(last);
            let version = field("data: ").split(' ').next().unwrap_or("").to_owned();
            received.events += 1;
            if !received.versions.contains(&version) {
                received.versions.push(version);
            }
        }
    }
}

/// One stream: a broken one is taken up after its last event at another front, within the time limit.
fn stream_once(fronts: &[SocketAddr], first: usize, id: &str, record: &Record) -> Received {
    const DEADLINE: Duration = Duration::from_secs(3);
    let until = Instant::now() + DEADLINE;
    let mut received =
        Received { id: id.to_owned(), versions: Vec::new(), events: 0, tries: 0, is_whole: false };
    let (mut last, mut brought_first) = (0, String::new());
    while received.tries < 4 && Instant::now() + millis(100) < until {
        let try_id = format!("{id}{}", received.tries);
        let front = fronts[(first + received.tries) % fronts.len()];
        received.tries += 1;
        let (left, after) = (until.saturating_duration_since(Instant::now()).as_millis().to_string(), last.to_string());
        let mut headers = vec![
            ("Request-Id", &*try_id),
            ("Deadline-Ms", &*left),
            ("Api-Key", KEY),
            ("Model", "m"),
            ("Token-Count", "400,288"),
            ("Prompt-Prefix", "5c1e07a2:400"),
        ];
        if last > 0 {
            headers.extend([("Last-Event-Id", &*after), ("Resumes", &*brought_first)]);
        }
        let request = http::request("POST", "/talk/4b", HOST, &headers, b"hello");
        let mut pause = millis(200);
        let status = Channel::connect(front, SECOND).and_then(|mut channel| {
            if !channel.write(&request) {
                return None;
            }
            let head = channel.read_head(Some(until))?;
            let status: u16 = head.first.get(1)?.parse().ok()?;
            if status == 200 {
                let before = last;
                (last, received.is_whole) = read_events(&mut channel, until, &mut received, last);
                if before == 0 && last > 0 {
                    brought_first = try_id.clone();
                }
            } else if let Some(after) = head.get("retry-after").and_then(|v| v.parse().ok()) {
                pause = Duration::from_secs_f64(after);
            }
            Some(status)
        });
        record.line(&format!(
            "try {try_id} after event {after}: {}, now at event {last} with versions {:?}{}",
            status.unwrap_or(0),
            received.versions,
            if received.is_whole { ", whole" } else { "" }
        ));
        if received.is_whole {
            break;
        }
        sleep(pause);
    }
    received
}

/// One server of seven crashes and starts again under its id with other software, several times.
pub fn new_software(record: &Record, trouble: bool) -> bool {
    const EVENTS: u64 = 12;
    let mut setup = Setup::new(0.0);
    let servers: Vec<_> =
        (1..=7).map(|n| setup.server(n, ["z1", "z2"][usize::from(n) % 2], 64, millis(100), None)).collect();
    for server in &servers {
        server.set_hook(Arc::new(|server, channel, head, _body, _is_first| {
            let id = head.get("request-id").unwrap_or("").to_owned();
            let version = server.state.lock().unwrap().version.clone();
            let text = format!(
                "HTTP/1.1 200 OK\r\n{}Server-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                server.common(&id),
                server.id
            );
            if !channel.write(text.as_bytes()) {
                return Reply::Written(false);
            }
            let after = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            for n in after + 1..=EVENTS {
                sleep(server.work);
                let event = format!("id: {n}\ndata: {version} {n}\n\n");
                if !channel.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                    return Reply::Written(false);
                }
            }
            Reply::Written(channel.write(b"0\r\n\r\n"))
        }));
    }
    setup.start(record, 8);
    let (stop, streams) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let fronts = setup.fronts();
    std::thread::scope(|scope| {
        for n in 0..80usize {
            let (stop, streams, fronts) = (stop.clone(), streams.clone(), &fronts);
            scope.spawn(move || {
                sleep(millis(18 * n as u64));
                for call in 0u32.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let received = stream_once(fronts, n, &format!("c{n:02x}{call:04x}"), record);
                    streams.lock().unwrap().push(received);
                    sleep(millis(100));
                }
            });
        }
        sleep(4 * SECOND);
        for version in ["v2", "v3", "v4", "v5", "v6"] {
            if trouble {
                servers[0].crash_and_update(SECOND, version);
                record.line(&format!("i-1 crashes; it is back in 1 s with software {version}"));
            }
            sleep(7 * SECOND);
        }
        stop.store(true, Ordering::SeqCst);
    });
    let streams = streams.lock().unwrap();
    let whole = streams.iter().filter(|s| s.is_whole).count();
    let resumed = streams.iter().filter(|s| s.tries > 1 && s.is_whole).count();
    let mixed: Vec<_> = streams.iter().filter(|s| s.versions.len() > 1).collect();
    for s in &mixed {
        record.line(&format!("stream {} has {} events of {:?}", s.id, s.events, s.versions));
    }
    let text = format!(
        "check ORDER: {} streams, {whole} whole, {resumed} of them after a break; {} hold events of two software versions; allowed 2",
        streams.len(),
        mixed.len()
    );
    record.line(&text);
    println!("{text}");
    setup.fleet.end();
    mixed.len() > 2
}

/// A program whose turns bring long inputs goes on and on.
pub fn long_history(record: &Record, trouble: bool) -> bool {
    const TURNS: usize = 18;
    const TRIES: usize = 6;
    let mut setup = Setup::new(0.0);
    let server = setup.server(1, "z1", 16, millis(5), None);
    let got: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let bodies = got.clone();
    server.set_hook(Arc::new(move |server, channel, head, body, _is_first| {
        let id = head.get("request-id").unwrap_or("").to_owned();
        bodies.lock().unwrap().push((id.clone(), body.len()));
        let event = "id: 1\ndata: fine\n\n";
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}Server-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{event}",
            server.common(&id),
            server.id,
            event.len()
        );
        Reply::Written(channel.write(text.as_bytes()))
    }));
    setup.start(record, 2);
    let fronts = setup.fronts();
    // Text of 1 MiB a turn, or of 16 KiB.
    let input = vec![b'x'; if trouble { 1 << 20 } else { 16 << 10 }];
    let turn = |front: usize, program: &str, id: &str, previous: Option<&str>, tokens: usize, body: &[u8]| {
        let tokens = format!("{tokens},24");
        let mut headers = vec![
            ("Request-Id", id),
            ("Deadline-Ms", "3000"),
            ("Api-Key", KEY),
            ("Model", "m"),
            ("Token-Count", &*tokens),
            ("Program-Id", program),
            ("Session-Id", program),
            ("Program-Deadline-Ms", "60000"),
        ];
        headers.extend(previous.map(|p| ("Previous-Turn", p)));
        let answer = http::send(fronts[front], "POST", "/kept/4b", HOST, &headers, body, millis(3500));
        let status = answer.map_or(0, |a| a.status);
        let reached = got.lock().unwrap().iter().find(|(i, _)| i == id).map(|(_, len)| *len);
        let after = previous.unwrap_or("none");
        record.line(&format!(
            "turn {id} after {after} with {} bytes to front {front}: {status}, reached a server: {reached:?}",
            body.len()
        ));
        (status, reached)
    };
    let mut previous: Option<String> = None;
    let mut broken = false;
    for n in 0..TURNS {
        // 16 bytes a token: all prompts stay below the memory of a server.
        let tokens = (n + 1) * input.len() / 16;
        let (mut misses, mut is_whole) = (0, false);
        for attempt in 0..TRIES {
            let id = format!("t{n:02}x{attempt}");
            let (status, reached) = turn((n + attempt) % 2, "p1", &id, previous.as_deref(), tokens, &input);
            if status == 200 {
                previous = Some(id);
                is_whole = true;
                break;
            }
            misses += usize::from(reached.is_none());
            sleep(millis(300));
        }
        if !is_whole {
            let first_turns = (0..10).filter(|k| {
                let id = format!("f{k}");
                turn(k % 2, &format!("other{k}"), &id, None, 1000, b"hello").1.is_some()
            });
            let first_turns = first_turns.count();
            let text = format!(
                "check LOST: turn {n} goes on from a turn that was answered whole and reached no server in {misses} of {TRIES} tries; \
                 {first_turns} of 10 first turns reached one"
            );
            record.line(&text);
            println!("{text}");
            broken = misses >= 5 && first_turns >= 9;
            break;
        }
    }
    let text = format!("check LOST: last turn that was answered whole: {previous:?}");
    record.line(&text);
    println!("{text}");
    setup.fleet.end();
    broken
}
