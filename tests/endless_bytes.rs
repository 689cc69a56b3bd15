//! Bytes that never end, from servers in trouble and from callers: the call ends in its time, nothing
//! of them passes for a whole answer, and the front keeps within its memory.

#[path = "support/platform.rs"]
mod platform;

use std::time::{Duration, Instant};

use futures::future::join_all;
use platform::{Answer, Call, KEY, RelayFleet, config};
use serde_json::Value;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Memory of the smallest machines with a front.
const MAX_FRONT_MIB: u64 = 88;
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after its timeout in which a call has its final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const CALLS: usize = 48;
const BODIES: usize = 60;
const BODY_BYTES: usize = 3 << 20;

fn with_timeout() -> Value {
    let mut config = config(3, &[KEY]);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = u64::try_from(TIMEOUT.as_millis()).expect("small").into();
    }
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    config
}

fn is_whole_success(answer: &Answer) -> bool {
    answer.status == 200 && answer.body.is_ok()
}

async fn check_fault(fleet: &RelayFleet, path: &str) {
    let call = async |n: usize| {
        let since = Instant::now();
        let id = format!("{path}-{n}");
        let answer = fleet.call(0, path, &id, Call::default()).await;
        assert!(!is_whole_success(&answer), "{path} passed for an answer");
        assert!(since.elapsed() < TIMEOUT + ANSWER_GRACE, "{path} took {:?}", since.elapsed());
    };
    let most = async {
        let mut most = 0;
        loop {
            most = fleet.fronts[0].memory_mib().max(most);
            assert!(most < MAX_FRONT_MIB, "{path}: {most} MiB");
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        _ = join_all((0..CALLS).map(call)) => {}
        () = most => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn from_servers() {
    let fleet = RelayFleet::start(&with_timeout()).await;
    for path in [
        "/once/faulty/head",
        "/once/faulty/heads",
        "/safe/faulty/body",
        "/once/faulty/chunks",
        "/safe/faulty/chunks",
        "/once/faulty/extension",
        "/once/faulty/trailer",
        "/stream/faulty/event",
        "/stream/faulty/events",
        "/kept/faulty/events",
    ] {
        check_fault(&fleet, path).await;
    }
}

/// A refusal whose body never comes holds the call up no longer than a moment.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_body() {
    let fleet = RelayFleet::start(&with_timeout()).await;
    let since = Instant::now();
    let answer = fleet.call(0, "/once/faulty/refusal", "refused", Call::default()).await;
    assert_eq!(answer.status, 503, "nothing has run");
    assert!(since.elapsed() < TIMEOUT, "{:?}", since.elapsed());
}

/// Callers that send most of a large body each, and no more.
#[tokio::test(flavor = "multi_thread")]
async fn from_callers() {
    let fleet = RelayFleet::start(&with_timeout()).await;
    let send = async |n: usize| {
        let mut stream = TcpStream::connect(fleet.front_address(0)).await.expect("a front");
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: large-{n}\r\n\
             api-key: {KEY}\r\ncontent-length: {}\r\n\r\n",
            BODY_BYTES + 1
        );
        // A refused caller's connection is closed before it has sent everything.
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b'a'; BODY_BYTES]).await;
        stream
    };
    let streams = join_all((0..BODIES).map(send)).await;
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        let now = fleet.fronts[0].memory_mib();
        assert!(now < MAX_FRONT_MIB, "{now} MiB");
        sleep(Duration::from_millis(20)).await;
    }
    drop(streams);
    // What they held is free again.
    sleep(TIMEOUT).await;
    let large = "x".repeat(BODY_BYTES);
    let answer = fleet.call(0, "/safe/x", "after", Call { body: &large, ..Call::default() }).await;
    assert_eq!(answer.status, 200);
}
