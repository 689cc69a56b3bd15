//! Operators' orders at replicas that do not lead: each is carried to the one that does.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use nix::sys::signal::Signal;
use platform::{Call, KEY, RelayFleet, config, eventually};
use reqwest::Method;
use serde_json::Value;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

/// An operator turns to another replica after this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which an order has an ack although one replica is silent.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Long enough for an election.
const FREEZE_TIME: Duration = Duration::from_millis(2_500);

/// Sends an order to one replica; None if there is no answer in time. No redirect is followed.
async fn request_at(
    fleet: &RelayFleet,
    replica: u8,
    method: Method,
    path: &str,
    body: &str,
) -> Option<u16> {
    let client = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .pool_max_idle_per_host(0)
        .timeout(REQUEST_TIMEOUT)
        .build()
        .expect("a client");
    let url = format!("http://{}{path}", fleet.control_address(replica));
    let answer = client.request(method, url).body(body.to_owned()).send().await.ok()?;
    Some(answer.status().as_u16())
}

async fn publish_at(fleet: &RelayFleet, replica: u8, config: &Value) -> Option<u16> {
    request_at(fleet, replica, Method::PUT, "/-/config", &config.to_string()).await
}

/// Sends an order without waiting for its answer.
async fn send_raw(
    fleet: &RelayFleet,
    replica: u8,
    method: &str,
    path: &str,
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.control_address(replica)).await.expect("a replica");
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: core\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// The first replica that has led, by its log.
fn leader(fleet: &RelayFleet) -> u8 {
    for replica in 0..3 {
        let text = std::fs::read_to_string(fleet.log_of(&format!("core-{}", 10 + replica)));
        if text.is_ok_and(|text| text.contains("leads the control group")) {
            return replica;
        }
    }
    panic!("no replica leads");
}

#[tokio::test(flavor = "multi_thread")]
async fn acked_by_each() {
    let logs = tempfile::tempdir().expect("temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    for replica in 0..3u8 {
        let version = 10 + u64::from(replica);
        assert_eq!(
            publish_at(&fleet, replica, &config(version, &[KEY])).await,
            Some(200),
            "{replica}"
        );
        assert_eq!(request_at(&fleet, replica, Method::GET, "/-/config", "").await, Some(200));
        let invalid = config(version, &[KEY]).to_string().replace("\"s\"", "\"nowhere\"");
        assert_eq!(request_at(&fleet, replica, Method::GET, "/-/retire/none", "").await, Some(404));
        assert!(
            publish_at(&fleet, replica, &Value::String(invalid)).await.is_some_and(|s| s == 400)
        );
    }
    // An ack that is lost: the same order again, at another replica.
    let lost = config(20, &[KEY]).to_string();
    let stream = send_raw(&fleet, 0, "PUT", "/-/config", &lost).await;
    sleep(REQUEST_TIMEOUT / 4).await;
    drop(stream);
    for replica in [1, 2, 0] {
        assert_eq!(request_at(&fleet, replica, Method::PUT, "/-/config", &lost).await, Some(200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_leader() {
    let logs = tempfile::tempdir().expect("temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    let frozen = leader(&fleet);
    fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGSTOP);
    let others: Vec<u8> = (0..3).filter(|replica| *replica != frozen).collect();
    let since = Instant::now();
    let changed = config(30, &[KEY]);
    let mut acked = false;
    for turn in 0.. {
        let status = publish_at(&fleet, others[turn % 2], &changed).await;
        assert_ne!(status, Some(307), "an operator was led astray");
        acked = status == Some(200);
        if acked || since.elapsed() > ACK_TIMEOUT {
            break;
        }
    }
    assert!(acked && since.elapsed() < ACK_TIMEOUT, "{:?}", since.elapsed());
    // The other one does as well, and keeps to what was ordered.
    assert_eq!(publish_at(&fleet, others[0], &config(29, &[KEY])).await, Some(200));
    assert_eq!(publish_at(&fleet, others[1], &changed).await, Some(200));
    fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGCONT);
}

/// An order that waited at a frozen replica does not undo a later one.
#[tokio::test(flavor = "multi_thread")]
async fn order_from_before_suspension() {
    let logs = tempfile::tempdir().expect("temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    let lead = leader(&fleet);
    for frozen in [(lead + 1) % 3, lead] {
        fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGSTOP);
        // The operator turns elsewhere, but its connection stays open.
        let waiting = send_raw(&fleet, frozen, "POST", "/-/evacuate/z1", "").await;
        let other = (0..3).find(|replica| *replica != frozen).expect("another replica");
        for method in [Method::POST, Method::DELETE] {
            let done = async || {
                request_at(&fleet, other, method.clone(), "/-/evacuate/z1", "").await == Some(200)
            };
            eventually("the other replicas carry it out", done).await;
        }
        sleep(FREEZE_TIME).await;
        fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGCONT);
        sleep(FREEZE_TIME).await;
        drop(waiting);
        let id = format!("after-{frozen}");
        let answer = fleet.call(0, "/safe/x", &id, Call::default()).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
