//! Stand-ins of the users' servers and of the platform's list of servers.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Record,
    http::{Channel, Head},
};

/// How long the list lags (`maxLagMs`).
const LIST_LAG: Duration = Duration::from_millis(800);
const STACK_BYTES: usize = 128 * 1024;

/// What a server answers to one request, after its work.
pub enum Reply {
    /// 200 with a seal and this body.
    Whole(Vec<u8>),
    /// Written by the hook itself; the channel is kept if true.
    Written(bool),
}

/// Behaviour of a server for requests that it runs. It is called when the server begins the work.
pub type Hook = Arc<dyn Fn(&Arc<Server>, &mut Channel, &Head, &[u8], bool) -> Reply + Send + Sync>;

/// One arrival of a request at a server that is named in it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub path: String,
    /// Whether the server began to work on it.
    pub has_run: bool,
    pub was_cold: bool,
}

pub struct State {
    pub is_listed: bool,
    pub is_draining: bool,
    pub cold_until: Option<Instant>,
    pub limit: Option<String>,
    pub version: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born: u128,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// `coldPerS` of the service, if it has one.
    cold_crash_above: Option<f64>,
    pub state: Mutex<State>,
    pub running: AtomicUsize,
    waiting: AtomicUsize,
    has_crashed: AtomicBool,
    pub arrivals: Mutex<Vec<Arrival>>,
    hook: Mutex<Option<Hook>>,
    /// Until when the process is down, after a crash.
    down_until: Mutex<Option<Instant>>,
    next_version: Mutex<Option<String>>,
    channels: Mutex<Vec<TcpStream>>,
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: usize,
        work: Duration,
        cold_for: Option<Duration>,
        cold_per_s: f64,
    ) -> Arc<Self> {
        let socket = TcpListener::bind(address)
            .unwrap_or_else(|e| crate::cannot_run(&format!("server {id} at {address}: {e}")));
        let state = State {
            is_listed: true,
            is_draining: false,
            cold_until: cold_for.map(|d| Instant::now() + d),
            limit: None,
            version: "v1".to_owned(),
            born: unix_ms(),
        };
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            work,
            cold_crash_above: Some(cold_per_s).filter(|n| *n > 0.0),
            state: Mutex::new(state),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            has_crashed: AtomicBool::new(false),
            arrivals: Mutex::default(),
            hook: Mutex::new(None),
            down_until: Mutex::new(None),
            next_version: Mutex::new(None),
            channels: Mutex::default(),
        });
        let accepting = server.clone();
        spawn(move || accepting.run(socket));
        server
    }

    fn run(self: Arc<Self>, mut socket: TcpListener) {
        loop {
            socket.set_nonblocking(true).expect("a listener");
            while self.down_until.lock().unwrap().is_none() {
                match socket.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            self.channels.lock().unwrap().push(copy);
                        }
                        let server = self.clone();
                        spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(socket);
            for channel in self.channels.lock().unwrap().drain(..) {
                let _ = channel.shutdown(std::net::Shutdown::Both);
            }
            let until = self.down_until.lock().unwrap().unwrap_or_else(Instant::now);
            thread::sleep(until.saturating_duration_since(Instant::now()));
            socket = loop {
                match TcpListener::bind(self.address) {
                    Ok(socket) => break socket,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            let mut state = self.state.lock().unwrap();
            state.born = unix_ms();
            if let Some(version) = self.next_version.lock().unwrap().take() {
                state.version = version;
            }
            drop(state);
            *self.down_until.lock().unwrap() = None;
        }
    }

    /// Ends the process with its channels; it starts again under its id after a while.
    pub fn crash(&self, down_for: Duration) {
        self.next_version.lock().unwrap().take();
        self.stop(down_for);
    }

    /// Like `crash`, but the process that starts again has other software.
    pub fn crash_and_update(&self, down_for: Duration, version: &str) {
        *self.next_version.lock().unwrap() = Some(version.to_owned());
        self.stop(down_for);
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    fn stop(&self, down_for: Duration) {
        self.has_crashed.store(true, Ordering::SeqCst);
        self.down_until.lock().unwrap().get_or_insert(Instant::now() + down_for);
    }

    pub fn set_hook(&self, hook: Hook) {
        *self.hook.lock().unwrap() = Some(hook);
    }

    pub fn is_cold(&self) -> bool {
        self.state.lock().unwrap().cold_until.is_some_and(|until| Instant::now() < until)
    }

    fn load(&self) -> String {
        let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
        format!("{},{},{}", count(&self.running), count(&self.waiting), self.slots)
    }

    /// Headers of all answers.
    pub fn common(&self, id: &str) -> String {
        let mut text = format!("Request-Id: {id}\r\nServer-Load: {}\r\nKeep-Alive: timeout=30\r\n", self.load());
        if let Some(limit) = &self.state.lock().unwrap().limit {
            text += &format!("Server-Limit: {limit}\r\n");
        }
        text
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        let mut is_first = true;
        while let Some(head) = channel.read_head(None) {
            let Some(body) = channel.read_body(&head, None) else { return };
            if !self.answer(&mut channel, &head, &body, is_first) {
                return;
            }
            is_first = false;
        }
    }

    fn answer(self: &Arc<Self>, channel: &mut Channel, head: &Head, body: &[u8], is_first: bool) -> bool {
        let path = head.first.get(1).map_or("", |p| &**p);
        if path == "/healthz" {
            let is_draining = self.state.lock().unwrap().is_draining;
            let status = if is_draining { "503 Service Unavailable" } else { "200 OK" };
            let text = format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nServer-Load: {}\r\nCold-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load(),
                self.cold_left().as_millis()
            );
            return channel.write(text.as_bytes());
        }
        let id = head.get("request-id").unwrap_or("").to_owned();
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            let text =
                format!("HTTP/1.1 421 Misdirected Request\r\n{}Content-Length: 0\r\n\r\n", self.common(&id));
            return channel.write(text.as_bytes());
        }
        let mut arrival = Arrival {
            at: Instant::now(),
            server: self.id.clone(),
            id: id.clone(),
            path: path.to_owned(),
            has_run: false,
            was_cold: self.is_cold(),
        };
        let at = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(arrival.clone());
            arrivals.len() - 1
        };
        // The pages: a cold server crashes at a rate well above `coldPerS`. Here, at twice that.
        if let Some(per_s) = self.cold_crash_above
            && self.cold_arrivals_within(Duration::from_secs(1)) as f64 > 2.0 * per_s
        {
            self.crash(Duration::from_secs(3));
            return false;
        }
        // A queue as long as four times the slots.
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= 4 * self.slots {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{}Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                self.common(&id)
            );
            return channel.write(text.as_bytes());
        }
        let since = Instant::now();
        while self
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < self.slots).then_some(n + 1))
            .is_err()
        {
            if since.elapsed() > Duration::from_secs(10) {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return false;
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        arrival.has_run = true;
        self.arrivals.lock().unwrap()[at].has_run = true;
        let hook = self.hook.lock().unwrap().clone();
        let reply = match hook {
            Some(hook) => hook(self, channel, head, body, is_first),
            None => {
                thread::sleep(self.work);
                Reply::Whole(format!("done {id}").into_bytes())
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        match reply {
            Reply::Written(is_kept) => is_kept,
            Reply::Whole(body) => channel.write(&self.success(&id, &body)),
        }
    }

    pub fn success(&self, id: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Server-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n",
            self.common(id),
            self.id,
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    fn cold_arrivals_within(&self, time: Duration) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().rev().take_while(|a| a.was_cold && a.at.elapsed() < time).count()
    }

    pub fn cold_left(&self) -> Duration {
        let until = self.state.lock().unwrap().cold_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }
}

/// The platform's list of servers, which lags.
pub struct List {
    servers: Mutex<Vec<Arc<Server>>>,
    /// Past contents and when they began.
    history: Mutex<Vec<(Instant, String)>>,
}

impl List {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let socket =
            TcpListener::bind(address).unwrap_or_else(|e| crate::cannot_run(&format!("list at {address}: {e}")));
        let list = Arc::new(Self { servers: Mutex::default(), history: Mutex::default() });
        let writer = list.clone();
        spawn(move || {
            loop {
                writer.write();
                thread::sleep(Duration::from_millis(20));
            }
        });
        let accepting = list.clone();
        spawn(move || {
            while let Ok((stream, _)) = socket.accept() {
                let list = accepting.clone();
                spawn(move || list.serve(stream));
            }
        });
        list
    }

    pub fn add(&self, server: &Arc<Server>) {
        self.servers.lock().unwrap().push(server.clone());
    }

    fn write(&self) {
        let servers = self.servers.lock().unwrap().clone();
        let entries: Vec<_> = servers.iter().filter_map(|s| entry(s)).collect();
        let page = format!("{{\"instances\":[{}],\"nextToken\":null}}", entries.join(","));
        let mut history = self.history.lock().unwrap();
        history.push((Instant::now(), page));
        // Keeps one that is older than the lag.
        while history.len() > 2 && history[1].0.elapsed() > LIST_LAG {
            history.remove(0);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Some(head) = channel.read_head(None) {
            if channel.read_body(&head, None).is_none() {
                return;
            }
            let page = {
                let history = self.history.lock().unwrap();
                let old = history.iter().rev().find(|(at, _)| at.elapsed() >= LIST_LAG);
                old.or(history.first()).map_or_else(String::new, |(_, page)| page.clone())
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{page}",
                page.len()
            );
            if !channel.write(text.as_bytes()) {
                return;
            }
        }
    }
}

fn entry(server: &Server) -> Option<String> {
    let cold_ms = server.cold_left().as_millis();
    let state = server.state.lock().unwrap();
    state.is_listed.then(|| {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{}\",\"coldLeftMs\":{cold_ms},\"born\":{},\"id\":\"{}\"}}",
            server.service,
            server.address,
            server.zone,
            state.version,
            server.slots,
            if state.is_draining { "draining" } else { "ready" },
            state.born,
            server.id,
        )
    })
}

/// Largest number of arrivals in a window, and when it began.
pub fn most_in_window(at: &[Instant], window: Duration) -> (usize, Option<Instant>) {
    let mut at = at.to_vec();
    at.sort_unstable();
    let mut most = (0, None);
    let mut end = 0;
    for (start, from) in at.iter().enumerate() {
        while end < at.len() && at[end] < *from + window {
            end += 1;
        }
        if end - start > most.0 {
            most = (end - start, Some(*from));
        }
    }
    most
}

/// Largest number of requests that were both sent and arrived within a window, from the times at which
/// each was sent and arrived; and when the window began.
pub fn most_sent_in_window(requests: &[(Instant, Instant)], window: Duration) -> (usize, Option<Instant>) {
    let mut most = (0, None);
    for (from, _) in requests {
        let counts = |(sent, arrived): &&(Instant, Instant)| sent >= from && *arrived < *from + window;
        let count = requests.iter().filter(counts).count();
        if count > most.0 {
            most = (count, Some(*from));
        }
    }
    most
}

/// Consumers that send requests to the fronts until they are stopped, each on kept channels.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub answers: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// A request of a consumer and its answer; status 0 if there was none.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub front: usize,
    pub id: String,
    pub status: u16,
    pub limit: bool,
    pub took: Duration,
}

pub struct Plan {
    pub fronts: Vec<SocketAddr>,
    pub consumers_per_front: usize,
    /// Pause of each consumer between two requests.
    pub pause: Duration,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub prefix: &'static str,
}

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key0red";

impl Load {
    pub fn start(plan: Plan) -> Self {
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let plan = Arc::new(plan);
        let mut threads = Vec::new();
        for (front, address) in plan.fronts.iter().enumerate() {
            for n in 0..plan.consumers_per_front {
                let (plan, stop, answers, address) = (plan.clone(), stop.clone(), answers.clone(), *address);
                threads.push(spawn(move || consume(&plan, front, n, address, &stop, &answers)));
            }
        }
        Self { stop, answers, threads }
    }

    pub fn end(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let answers = self.answers.lock().unwrap();
        answers.clone()
    }
}

fn consume(plan: &Plan, front: usize, n: usize, address: SocketAddr, stop: &AtomicBool, answers: &Mutex<Vec<Sent>>) {
    // Consumers don't begin at the same moment.
    let share = n as f64 / plan.consumers_per_front as f64;
    thread::sleep(plan.pause.mul_f64(share));
    let mut channel: Option<Channel> = None;
    let mut call = 0u64;
    while !stop.load(Ordering::SeqCst) {
        call += 1;
        let id = format!("{}{front:02x}{n:03x}{call:06x}", plan.prefix);
        let deadline = plan.deadline_ms.to_string();
        let headers = [("Request-Id", &*id), ("Deadline-Ms", &*deadline), ("Api-Key", KEY)];
        let since = Instant::now();
        let until = since + Duration::from_millis(plan.deadline_ms + 500);
        let body: &[u8] = if plan.method == "GET" { b"" } else { b"book" };
        let request = crate::http::request(plan.method, plan.path, HOST, &headers, body);
        let kept = channel.take().or_else(|| Channel::connect(address, Duration::from_secs(1)));
        let answer = kept.and_then(|mut kept| {
            let answer = kept.write(&request).then(|| crate::http::read_answer(&mut kept, until)).flatten()?;
            let closes = answer.head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            if !closes {
                channel = Some(kept);
            }
            Some(answer)
        });
        let header = |name: &str| answer.as_ref().is_some_and(|a| a.head.get(name).is_some());
        let sent = Sent {
            at: since,
            front,
            status: answer.as_ref().map_or(0, |a| a.status),
            limit: header("server-limit"),
            took: since.elapsed(),
            id,
        };
        answers.lock().unwrap().push(sent);
        thread::sleep(plan.pause);
    }
}

pub fn spawn(f: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(f).unwrap_or_else(|e| crate::cannot_run(&format!("no thread: {e}")))
}

pub fn status_counts(sent: &[Sent]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for s in sent {
        *counts.entry(s.status).or_insert(0) += 1;
    }
    let parts: Vec<_> = counts.iter().map(|(status, n)| format!("{status}: {n}")).collect();
    parts.join(", ")
}

pub fn record_all(record: &Record, sent: &[Sent], servers: &[Arc<Server>]) {
    for s in sent {
        record.line_at(
            s.at,
            &format!("sent {} to front {}: {} after {} ms", s.id, s.front, s.status, s.took.as_millis()),
        );
    }
    for server in servers {
        for a in server.arrivals.lock().unwrap().iter() {
            let cold = if a.was_cold { ", cold" } else { "" };
            let what = if a.has_run { "ran" } else { "got" };
            record.line_at(a.at, &format!("{what} {} {} at {}{cold}", a.id, a.path, a.server));
        }
    }
}
