//! Guards against streams that hold events from servers of two software versions.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use platform::{
    Call, CallResponse, HOST, KEY, RelayFleet, config, eventually,
    servers::{self, SERVERS},
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Two of the three servers have the old software.
const SOFTWARE: [&str; SERVERS] = ["old", "old", "new"];
const STREAMS: usize = 24;
/// Longer than the platform's list takes to reach the fronts.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
const PATH: &str = "/stream/paced/events/20";

fn resumable_config() -> Value {
    let mut config = config(3, &[KEY]);
    config["routes"][2]["canResume"] = true.into();
    config
}

async fn start_mixed() -> RelayFleet {
    let fleet = RelayFleet::start(&resumable_config()).await;
    for (server, version) in SOFTWARE.into_iter().enumerate() {
        fleet.servers.set_software(server, Some(version));
    }
    sleep(LIST_DELAY).await;
    // A new fleet forms its groups of stores first.
    for front in 0..2 {
        eventually("the stores record streams", async || {
            let id = format!("probe-{front}-{}", fleet.servers.runs().len());
            begin(&fleet, front, &id).await;
            resume(&fleet, front, &format!("{id}-resumed"), &[("resumes", &id)]).await.status == 200
        })
        .await;
    }
    fleet
}

/// Starts a stream and leaves it after its first event.
async fn begin(fleet: &RelayFleet, front: u8, id: &str) {
    let mut stream =
        TcpStream::connect(fleet.front_address(front)).await.expect("failed to connect");
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\napi-key: {KEY}\r\n\
         content-length: 2\r\n\r\nin"
    );
    stream.write_all(head.as_bytes()).await.expect("failed to send");
    let (mut received, mut buf) = (String::new(), [0; 4096]);
    while !received.contains("data: out1\n") {
        let len = stream.read(&mut buf).await.expect("stream broke off");
        assert!(len > 0, "stream ended before its first event: {received}");
        received.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
}

/// Resumes a stream after its first event.
async fn resume(fleet: &RelayFleet, front: u8, id: &str, headers: &[(&str, &str)]) -> CallResponse {
    let mut all = vec![("last-event-id", "1")];
    all.extend(headers);
    fleet.call(front, PATH, id, Call { headers: &all, ..Call::default() }).await
}

/// Checks one take-up, and returns whether the stream went on.
fn check_resumed(fleet: &RelayFleet, began: &str, resumed: &str, answer: &CallResponse) -> bool {
    let software = |id: &str| -> Vec<_> {
        fleet.servers.runs_of(id).iter().map(|run| SOFTWARE[run.server]).collect()
    };
    let (first, second) = (software(began), software(resumed));
    if answer.status == 503 {
        assert!(second.is_empty(), "{resumed} was answered 503 and has run");
        return false;
    }
    assert_eq!(answer.status, 200, "{resumed}");
    assert_eq!(first, second, "{began} goes on as {resumed} at another version");
    true
}

/// The rule asks for half of the share of new streams that begin, which is all of them here.
fn assert_most_went_on(went_on: usize) {
    assert!(2 * went_on >= STREAMS, "{went_on} of {STREAMS} streams went on");
}

async fn begin_all(fleet: &RelayFleet) {
    for n in 0..STREAMS {
        begin(fleet, (n % 2) as u8, &format!("began-{n}")).await;
    }
    let runs = fleet.servers.runs();
    for version in ["old", "new"] {
        let mut began = runs.iter().filter(|run| run.id.starts_with("began-"));
        let is_used = began.any(|run| SOFTWARE[run.server] == version);
        assert!(is_used, "no stream began at version {version}");
    }
}

async fn resume_all(fleet: &RelayFleet) -> usize {
    let mut went_on = 0;
    for n in 0..STREAMS {
        let (began, resumed) = (format!("began-{n}"), format!("resumed-{n}"));
        let front = ((n + 1) % 2) as u8;
        let answer = resume(fleet, front, &resumed, &[("resumes", &began)]).await;
        went_on += usize::from(check_resumed(fleet, &began, &resumed, &answer));
    }
    went_on
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_at_other_front() {
    let fleet = start_mixed().await;
    begin_all(&fleet).await;
    assert_most_went_on(resume_all(&fleet).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_after_all_fronts_killed() {
    let mut fleet = start_mixed().await;
    begin_all(&fleet).await;
    for front in &mut fleet.fronts {
        front.signal(Signal::SIGKILL);
    }
    for front in &mut fleet.fronts {
        front.kill();
        front.restart();
    }
    for front in 0..2 {
        fleet.wait_ready(front).await;
    }
    assert_most_went_on(resume_all(&fleet).await);
}

/// The only server of the version that began the streams has left while no front ran.
#[tokio::test(flavor = "multi_thread")]
async fn version_left_while_fronts_were_down() {
    let mut fleet = start_mixed().await;
    begin_all(&fleet).await;
    for front in &mut fleet.fronts {
        front.kill();
    }
    fleet.servers.set_software(2, None);
    sleep(LIST_DELAY).await;
    for front in &mut fleet.fronts {
        front.restart();
    }
    for front in 0..2 {
        fleet.wait_ready(front).await;
    }
    resume_all(&fleet).await;
}

/// A front stands still while the only server of a new version joins. Streams that began there
/// through the other front are resumed at the moment it goes on, and once it knows the server.
#[tokio::test(flavor = "multi_thread")]
async fn version_joined_while_front_was_frozen() {
    let fleet = start_mixed().await;
    fleet.servers.set_software(2, None);
    sleep(LIST_DELAY).await;
    fleet.fronts[1].signal(Signal::SIGSTOP);
    fleet.servers.set_software(2, Some("new"));
    sleep(LIST_DELAY).await;
    for n in 0..2 * STREAMS {
        begin(&fleet, 0, &format!("began-{n}")).await;
    }
    let runs = fleet.servers.runs();
    let is_new = |run: &&servers::Run| run.id.starts_with("began-") && run.server == 2;
    assert!(runs.iter().any(|run| is_new(&run)), "no stream began at the new version");
    fleet.fronts[1].signal(Signal::SIGCONT);
    let at_once = (0..STREAMS).map(async |n| {
        let (began, resumed) = (format!("began-{n}"), format!("resumed-{n}"));
        let answer = resume(&fleet, 1, &resumed, &[("resumes", &began)]).await;
        check_resumed(&fleet, &began, &resumed, &answer);
    });
    join_all(at_once).await;
    sleep(LIST_DELAY).await;
    let mut went_on = 0;
    for n in STREAMS..2 * STREAMS {
        let (began, resumed) = (format!("began-{n}"), format!("resumed-{n}"));
        let answer = resume(&fleet, 1, &resumed, &[("resumes", &began)]).await;
        went_on += usize::from(check_resumed(&fleet, &began, &resumed, &answer));
    }
    assert_most_went_on(went_on);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream() {
    let fleet = start_mixed().await;
    let unnamed = resume(&fleet, 0, "unnamed", &[]).await;
    assert_eq!(unnamed.status, 503, "the stream is not named");
    let unknown = resume(&fleet, 0, "unknown", &[("resumes", "never-began")]).await;
    assert_eq!(unknown.status, 503, "nobody knows the stream");
    for id in ["unnamed", "unknown"] {
        assert!(fleet.servers.runs_of(id).is_empty(), "{id} was refused and has run");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_within_answer() {
    let fleet = start_mixed().await;
    let mut went_on = 0;
    for n in 0..STREAMS {
        let id = format!("broken-{n}");
        let answer = fleet.call(0, "/stream/broken/then/whole", &id, Call::default()).await;
        let runs = fleet.servers.runs_of(&id);
        let software: Vec<_> = runs.iter().map(|run| SOFTWARE[run.server]).collect();
        let is_joined = software.iter().any(|version| *version != software[0]);
        assert!(!is_joined, "{id} ran at {software:?}");
        // No other server has the new software.
        assert_eq!(answer.body.is_ok(), software.len() == 2, "{id} ran at {software:?}");
        assert!(software.len() == 2 || software[0] == "new", "{id} did not go on");
        went_on += software.len() - 1;
    }
    assert!(went_on > 0, "no stream broke off at the old version");
}
