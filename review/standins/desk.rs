//! A plain service under a steady load from many consumers, and the counts of what its servers get.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    fleet::{Fleet, HOST, KEY},
    http::{self, Head},
    record,
    servers::{Runs, Work, answer_head},
};

/// What a cold server bears in a second, as a multiple of what it tolerates, before it crashes.
const CRASH_FACTOR: f64 = 2.5;
/// Time until a server that has crashed is back.
const CRASHED: Duration = Duration::from_secs(2);

/// State of one server.
#[derive(Default)]
struct Place {
    running: AtomicU32,
    cold: Mutex<Cold>,
}

#[derive(Default)]
struct Cold {
    until: Duration,
    came: Vec<Duration>,
    down_until: Duration,
    crashes: usize,
}

/// Answers after its work. While it is cold, a server crashes when it gets too many requests in a second:
/// the requests that it runs are lost, and it is down for a while.
pub struct Desk {
    work: Duration,
    slots: u32,
    cold_per_s: f64,
    places: Vec<Place>,
}

impl Desk {
    pub fn new(servers: usize, work: Duration, slots: u32, cold_per_s: f64) -> Self {
        let places = (0..servers).map(|_| Place::default()).collect();
        Self { work, slots, cold_per_s, places }
    }

    fn cold(&self, server: usize) -> MutexGuard<'_, Cold> {
        self.places[server].cold.lock().expect("no panic while locked")
    }

    pub fn set_cold(&self, server: usize, until: Duration) {
        self.cold(server).until = until;
    }

    pub fn crashes(&self) -> usize {
        (0..self.places.len()).map(|n| self.cold(n).crashes).sum()
    }

    /// Counts a request that came. Returns whether the server is down.
    fn note(&self, server: usize) -> bool {
        let now = record::now();
        let mut cold = self.cold(server);
        if now < cold.down_until {
            return true;
        }
        if now >= cold.until {
            return false;
        }
        cold.came.retain(|at| now - *at < Duration::from_secs(1));
        cold.came.push(now);
        if cold.came.len() as f64 <= self.cold_per_s * CRASH_FACTOR {
            return false;
        }
        record::line(&format!("server {server} crashes: {} requests in 1 s", cold.came.len()));
        cold.down_until = now + CRASHED;
        cold.crashes += 1;
        true
    }
}

impl Work for Desk {
    fn is_down(&self, server: usize) -> bool {
        record::now() < self.cold(server).down_until
    }

    fn answer(&self, server: usize, head: &Head, _: &[u8], to: &mut TcpStream) -> io::Result<()> {
        if self.note(server) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let running = &self.places[server].running;
        let now = running.fetch_add(1, Ordering::Relaxed) + 1;
        // Requests beyond the slots wait for them.
        let rounds = now.div_ceil(self.slots);
        thread::sleep(self.work * rounds);
        let left = running.fetch_sub(1, Ordering::Relaxed) - 1;
        if self.is_down(server) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let (busy, waiting) = (left.min(self.slots), left.saturating_sub(self.slots));
        let body = "x".repeat(800);
        let more = format!(
            "Server-Load: {busy},{waiting},{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.slots,
            body.len()
        );
        let text = answer_head(head, &more);
        to.write_all(text.as_bytes())
    }
}

/// Requests that consumers have sent: id, and when.
#[derive(Clone, Default)]
pub struct Sent(Arc<Mutex<Vec<(String, Duration, u16)>>>);

impl Sent {
    pub fn all(&self) -> Vec<(String, Duration, u16)> {
        self.0.lock().expect("no panic while locked").clone()
    }
}

/// Consumers, each of which sends requests at a steady rate until the load ends.
pub struct Load {
    pub sent: Sent,
    is_over: Arc<AtomicBool>,
    consumers: Vec<JoinHandle<()>>,
}

pub struct Consumers {
    pub per_front: usize,
    /// Pause of a consumer between the starts of two requests.
    pub pause: Duration,
    pub time_limit: Duration,
}

impl Load {
    pub fn start(fleet: &Arc<Fleet>, fronts: &[usize], load: &Consumers) -> Self {
        let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
        let mut consumers = Vec::new();
        for front in fronts {
            for n in 0..load.per_front {
                let (fleet, sent, is_over) = (fleet.clone(), sent.clone(), is_over.clone());
                let (front, pause, time_limit) = (*front, load.pause, load.time_limit);
                let first = pause.mul_f64(n as f64 / load.per_front as f64);
                consumers.push(thread::spawn(move || {
                    thread::sleep(first);
                    let mut next = record::now();
                    for k in 0.. {
                        if is_over.load(Ordering::Relaxed) {
                            return;
                        }
                        thread::sleep(next.saturating_sub(record::now()));
                        next = (next + pause).max(record::now());
                        let id = format!("r{front}-{n}-{k}");
                        let at = record::now();
                        let limit = time_limit.as_millis().to_string();
                        let headers = [
                            ("Host", HOST),
                            ("Request-Id", &*id),
                            ("Api-Key", KEY),
                            ("Deadline-Ms", &*limit),
                        ];
                        let address = fleet.front_address(front);
                        let answer = http::call(
                            address,
                            "GET",
                            "/desk/1",
                            &headers,
                            b"",
                            time_limit,
                            |_| {},
                        );
                        record::line(&format!(
                            "{id} sent at {:.3}: {}",
                            at.as_secs_f64(),
                            answer.status
                        ));
                        sent.0.lock().expect("no panic while locked").push((id, at, answer.status));
                    }
                }));
            }
        }
        Self { sent, is_over, consumers }
    }

    /// Ends the load and returns what was sent, with the time.
    pub fn end(self) -> Vec<(String, Duration, u16)> {
        self.is_over.store(true, Ordering::Relaxed);
        for consumer in self.consumers {
            consumer.join().expect("no panic");
        }
        self.sent.all()
    }
}

/// The most requests that were both sent and came to a server to run in one window that begins at `from`
/// or later and ends by `until`, and when that window began.
pub fn most_in_window(
    runs: &Runs,
    sent: &[(String, Duration, u16)],
    server: usize,
    window: Duration,
    (from, until): (Duration, Duration),
) -> (usize, Duration) {
    let mut sent_at: Vec<(&str, Duration)> =
        sent.iter().map(|(id, at, _)| (id.as_str(), *at)).collect();
    sent_at.sort_unstable();
    let of = |id: &str| {
        sent_at.binary_search_by(|(other, _)| (*other).cmp(id)).ok().map(|at| sent_at[at].1)
    };
    let came: Vec<(Duration, Duration)> = runs
        .all()
        .into_iter()
        .filter(|r| r.server == server)
        .filter_map(|r| Some((of(&r.id)?, r.at)))
        .collect();
    let begins =
        came.iter().map(|(sent, _)| *sent).filter(|at| *at >= from && *at + window <= until);
    let count = |begin: Duration| {
        let end = begin + window;
        (came.iter().filter(|(sent, at)| *sent >= begin && *at < end).count(), begin)
    };
    begins.map(count).max().unwrap_or_default()
}
