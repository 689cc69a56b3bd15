//! Guards against operator requests that are lost at control replicas that do not lead: each must
//! be forwarded to the leader.

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

/// Time after which an operator tries another replica.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a request must be acknowledged although one replica is suspended.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Suspension that is long enough for an election.
const FREEZE_TIME: Duration = Duration::from_millis(2_500);

/// Sends a request to one replica and returns the status; None if there is no response within
/// [`REQUEST_TIMEOUT`]. Redirects are not followed.
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
        .expect("failed to build the HTTP client");
    let url = format!("http://{}{path}", fleet.control_address(replica));
    let answer = client.request(method, url).body(body.to_owned()).send().await.ok()?;
    Some(answer.status().as_u16())
}

async fn publish_at(fleet: &RelayFleet, replica: u8, config: &Value) -> Option<u16> {
    request_at(fleet, replica, Method::PUT, "/-/config", &config.to_string()).await
}

/// Sends a request without waiting for the response.
async fn send_raw(
    fleet: &RelayFleet,
    replica: u8,
    method: &str,
    path: &str,
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.control_address(replica))
        .await
        .expect("failed to connect to the replica");
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: core\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.expect("failed to send");
    stream
}

/// First replica whose log says that it leads.
fn leader(fleet: &RelayFleet) -> u8 {
    for replica in 0..3 {
        let text = std::fs::read_to_string(fleet.log_of(&format!("core-{}", 10 + replica)));
        if text.is_ok_and(|text| text.contains("leads the control group")) {
            return replica;
        }
    }
    panic!("no replica has become leader");
}

#[tokio::test(flavor = "multi_thread")]
async fn acked_by_each() {
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
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
    // The acknowledgement is lost, so the same request is sent to another replica.
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
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    let frozen = leader(&fleet);
    fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGSTOP);
    let others: Vec<u8> = (0..3).filter(|replica| *replica != frozen).collect();
    let since = Instant::now();
    let changed = config(30, &[KEY]);
    let mut acked = false;
    for turn in 0.. {
        let status = publish_at(&fleet, others[turn % 2], &changed).await;
        assert_ne!(status, Some(307), "an operator was redirected");
        acked = status == Some(200);
        if acked || since.elapsed() > ACK_TIMEOUT {
            break;
        }
    }
    assert!(acked && since.elapsed() < ACK_TIMEOUT, "{:?}", since.elapsed());
    // Both replicas acknowledge, and the lower version changes nothing.
    assert_eq!(publish_at(&fleet, others[0], &config(29, &[KEY])).await, Some(200));
    assert_eq!(publish_at(&fleet, others[1], &changed).await, Some(200));
    fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGCONT);
}

/// A request that was queued at a suspended replica must not undo a later one.
#[tokio::test(flavor = "multi_thread")]
async fn order_from_before_suspension() {
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
    let fleet = RelayFleet::start_linked(&config(3, &[KEY]), logs.path()).await;
    let lead = leader(&fleet);
    for frozen in [(lead + 1) % 3, lead] {
        fleet.control_replicas[usize::from(frozen)].signal(Signal::SIGSTOP);
        // The operator tries another replica, but this connection stays open.
        let waiting = send_raw(&fleet, frozen, "POST", "/-/evacuate/z1", "").await;
        let other = (0..3).find(|replica| *replica != frozen).expect("no other replica");
        for method in [Method::POST, Method::DELETE] {
            let done = async || {
                request_at(&fleet, other, method.clone(), "/-/evacuate/z1", "").await == Some(200)
            };
            eventually("the other replicas apply the request", done).await;
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
