//! Guards against kept turns that lack the events from before a break, after their callers have
//! resumed them: the next turn would continue a part of the answer only.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use platform::{Call, CallResponse, HOST, KEY, RelayFleet, config, eventually};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const PROGRAMS: usize = 8;
const EVENTS: usize = 60;
/// Callers leave a stream that brings no event for this long.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Each server event names the request that produced it.
const PATH: &str = "/kept/paced/signed/events/60";

fn resumable_config() -> Value {
    let mut config = config(3, &[KEY]);
    config["routes"][3]["canResume"] = true.into();
    config
}

/// Values of the `data` fields.
fn data(text: &str) -> Vec<String> {
    text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
}

fn complete_events(text: &str) -> Vec<String> {
    data(text.rfind("\n\n").map_or("", |end| &text[..end]))
}

/// A stream that its caller is reading.
struct OpenStream {
    stream: TcpStream,
    received: String,
}

impl OpenStream {
    async fn send(fleet: &RelayFleet, front: u8, id: &str, headers: &str) -> Self {
        let address = fleet.front_address(front);
        let mut stream = TcpStream::connect(address).await.expect("failed to connect");
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\napi-key: {KEY}\r\n\
             token-count: 5,300\r\ncontent-length: 3\r\n{headers}\r\nin;"
        );
        stream.write_all(head.as_bytes()).await.expect("failed to send");
        Self { stream, received: String::new() }
    }

    /// Reads until `count` events have arrived. Returns false if the stream breaks off before.
    async fn read(&mut self, count: usize) -> bool {
        let mut buf = [0; 4096];
        while complete_events(&self.received).len() < count {
            match self.stream.read(&mut buf).await {
                Ok(len) if len > 0 => {
                    self.received.push_str(&String::from_utf8_lossy(&buf[..len]));
                }
                Ok(_) | Err(_) => return false,
            }
        }
        true
    }

    /// Reads the end of a complete response.
    async fn read_end(&mut self) {
        let mut buf = [0; 4096];
        while !self.received.ends_with("\r\n0\r\n\r\n") {
            let len = self.stream.read(&mut buf).await.expect("stream broke off");
            assert!(len > 0, "stream broke off");
            self.received.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
    }
}

/// A turn of a program and the events that its caller has received.
struct Turn {
    program: String,
    stream: String,
    received: Vec<String>,
}

impl Turn {
    async fn begin(fleet: &RelayFleet, front: u8, n: usize) -> (Self, OpenStream) {
        let turn =
            Self { program: format!("p{n}"), stream: format!("turn-{n}"), received: Vec::new() };
        let headers = format!("program-id: {}\r\n", turn.program);
        let open = OpenStream::send(fleet, front, &turn.stream, &headers).await;
        (turn, open)
    }

    fn headers(&self) -> String {
        let (program, stream) = (&self.program, &self.stream);
        let last = self.received.len();
        format!("program-id: {program}\r\nresumes: {stream}\r\nlast-event-id: {last}\r\n")
    }

    /// Resumes the turn at a front and reads to its end.
    async fn resume(&mut self, fleet: &RelayFleet, front: u8, id: &str) -> CallResponse {
        let last = self.received.len().to_string();
        let headers = [
            ("program-id", &*self.program),
            ("token-count", "5,300"),
            ("resumes", &*self.stream),
            ("last-event-id", &*last),
        ];
        let call = Call { headers: &headers, body: "in;", ..Call::default() };
        let answer = fleet.call(front, PATH, id, call).await;
        self.received.extend(data(answer.body.as_deref().unwrap_or("")));
        answer
    }

    /// Checks that the next turn gets exactly what the caller has received.
    async fn check_next(&self, fleet: &RelayFleet, front: u8, previous: &str) {
        assert_eq!(self.received.len(), EVENTS, "{:?}", self.received);
        let id = format!("after-{previous}");
        let headers =
            [("program-id", &*self.program), ("token-count", "5,300"), ("previous-turn", previous)];
        let call = Call { headers: &headers, body: "next", ..Call::default() };
        assert_eq!(fleet.call(front, "/kept/x", &id, call).await.status, 200, "{id}");
        let output: String = self.received.iter().map(|data| format!("{data}\n")).collect();
        let runs = fleet.servers.runs_of(&id);
        assert_eq!(String::from_utf8_lossy(&runs[0].body), format!("in;{output}next"), "{id}");
    }
}

async fn start_fleet() -> RelayFleet {
    let fleet = RelayFleet::start(&resumable_config()).await;
    // A new fleet forms its groups of stores first.
    for front in 0..2 {
        let mut tries = 100 * (usize::from(front) + 1);
        eventually("the stores record streams", async || {
            tries += 1;
            let (mut turn, mut open) = Turn::begin(&fleet, front, tries).await;
            assert!(open.read(2).await, "the stream broke off");
            turn.received = complete_events(&open.received);
            turn.resume(&fleet, 1 - front, &format!("probe-{tries}")).await.status == 200
        })
        .await;
    }
    fleet
}

/// The front that carries the streams is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_front() {
    let mut fleet = start_fleet().await;
    let mut turns = Vec::new();
    for n in 0..PROGRAMS {
        turns.push(Turn::begin(&fleet, 0, n).await);
    }
    for (n, (_, open)) in turns.iter_mut().enumerate() {
        assert!(open.read(3 + n).await, "a stream broke off early");
    }
    fleet.fronts[0].kill();
    let mut turns = join_all(turns.into_iter().map(async |(mut turn, mut open)| {
        assert!(!open.read(EVENTS).await, "the stream ended before the kill");
        turn.received = complete_events(&open.received);
        turn
    }))
    .await;
    for turn in &mut turns {
        let id = format!("{}-again", turn.stream);
        let answer = turn.resume(&fleet, 1, &id).await;
        assert_eq!(answer.status, 200, "{id}");
        turn.check_next(&fleet, 1, &id).await;
    }
}

/// The caller leaves twice, the second time a stream that it has resumed. Both times the fronts have
/// recorded further events by then.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_twice() {
    let fleet = start_fleet().await;
    for n in 0..PROGRAMS {
        let (mut turn, mut open) = Turn::begin(&fleet, 0, n).await;
        assert!(open.read(5).await, "the stream broke off");
        turn.received = complete_events(&open.received)[..4].to_vec();
        let headers = turn.headers();
        let mut again = OpenStream::send(&fleet, 1, &format!("again-{n}"), &headers).await;
        drop(open);
        assert!(again.read(5).await, "the resumed stream broke off");
        turn.received.extend(complete_events(&again.received)[..4].to_vec());
        drop(again);
        let last = format!("last-{n}");
        assert_eq!(turn.resume(&fleet, 0, &last).await.status, 200);
        turn.check_next(&fleet, 1, &last).await;
    }
}

/// The stores stand still for a while: the events are passed on all the same, and are recorded
/// later, so that the turn can still be resumed and continued.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_stores() {
    let fleet = start_fleet().await;
    let (mut turn, mut open) = Turn::begin(&fleet, 0, 0).await;
    assert!(open.read(3).await, "the stream broke off");
    for store in &fleet.stores {
        store.signal(Signal::SIGSTOP);
    }
    for count in 4..EVENTS - 5 {
        let passed_on = timeout(MAX_PAUSE, open.read(count)).await;
        assert!(passed_on.expect("the stream stalls"), "the stream broke off");
    }
    for store in &fleet.stores {
        store.signal(Signal::SIGCONT);
    }
    assert!(open.read(EVENTS).await, "the stream broke off");
    turn.received = complete_events(&open.received);
    open.read_end().await;
    turn.check_next(&fleet, 1, "turn-0").await;
    assert_eq!(turn.resume(&fleet, 1, "again").await.status, 200);
    turn.check_next(&fleet, 0, "again").await;
}

/// A stream is not resumed after an event that nobody has recorded.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_event() {
    let fleet = start_fleet().await;
    let (mut turn, mut open) = Turn::begin(&fleet, 0, 0).await;
    assert!(open.read(2).await, "the stream broke off");
    drop(open);
    turn.received = vec![String::new(); EVENTS - 1];
    let answer = turn.resume(&fleet, 1, "unknown").await;
    assert_eq!(answer.status, 503);
    assert!(fleet.servers.runs_of("unknown").is_empty(), "a refused call has run");
}
