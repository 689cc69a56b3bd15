//! Guards against responses and requests that never end: the call must end at its timeout, must not
//! be reported as a complete success, and the front must keep its memory limit.

#[path = "support/platform.rs"]
mod platform;

use std::time::{Duration, Instant};

use futures::future::join_all;
use platform::{Call, CallResponse, KEY, RelayFleet, config};
use serde_json::Value;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Memory of the smallest machine that runs a front, in MiB.
const MAX_FRONT_MIB: u64 = 88;
/// Memory of the smallest machine that runs a store, in MiB.
const MAX_STORE_MIB: u64 = 120;
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after its timeout within which a call must have its final response.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const CALLS: usize = 48;
const BODIES: usize = 60;
const BODY_BYTES: usize = 3 << 20;

fn with_timeout() -> Value {
    let mut config = config(3, &[KEY]);
    for route in config["routes"].as_array_mut().expect("no list of routes") {
        route["timeoutMs"] =
            u64::try_from(TIMEOUT.as_millis()).expect("timeout out of range").into();
    }
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    config
}

fn is_complete_success(answer: &CallResponse) -> bool {
    answer.status == 200 && answer.body.is_ok()
}

async fn check_fault(fleet: &RelayFleet, path: &str) {
    let call = async |n: usize| {
        let since = Instant::now();
        let id = format!("{path}-{n}");
        let headers = [("program-id", "p")];
        let call = Call { headers: &headers, ..Call::default() };
        let answer = fleet.call(0, path, &id, call).await;
        assert!(!is_complete_success(&answer), "{path} was reported as a complete success");
        assert!(since.elapsed() < TIMEOUT + ANSWER_GRACE, "{path} took {:?}", since.elapsed());
    };
    let watch_memory = async {
        let mut peak_mib = 0;
        loop {
            peak_mib = fleet.fronts[0].memory_mib().max(peak_mib);
            assert!(peak_mib < MAX_FRONT_MIB, "{path}: {peak_mib} MiB");
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        _ = join_all((0..CALLS).map(call)) => {}
        () = watch_memory => {}
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

/// Events that are recorded at the stores, because their callers may resume the streams, must not
/// exhaust the memory of the stores, nor keep them from recording other streams.
#[tokio::test(flavor = "multi_thread")]
async fn recorded_events() {
    let mut config = with_timeout();
    config["routes"][3]["canResume"] = true.into();
    let fleet = RelayFleet::start(&config).await;
    let watch_memory = async {
        loop {
            for store in &fleet.stores {
                let mib = store.memory_mib();
                assert!(mib < MAX_STORE_MIB, "{mib} MiB");
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let faults = async {
        for path in ["/kept/faulty/events", "/kept/faulty/numbered-events"] {
            check_fault(&fleet, path).await;
        }
    };
    tokio::select! {
        () = faults => {}
        () = watch_memory => {}
    }
    let headers = [("program-id", "p"), ("token-count", "5,100")];
    let call = Call { headers: &headers, ..Call::default() };
    let answer = fleet.call(0, "/kept/events/5", "after", call).await;
    assert!(is_complete_success(&answer), "a sound turn is not served afterwards");
}

/// A refusal whose body never arrives must not delay the call until its timeout.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_body() {
    let fleet = RelayFleet::start(&with_timeout()).await;
    let since = Instant::now();
    let answer = fleet.call(0, "/once/faulty/refusal", "refused", Call::default()).await;
    assert_eq!(answer.status, 503, "the refusal says that the call did not run");
    assert!(since.elapsed() < TIMEOUT, "{:?}", since.elapsed());
}

/// Callers that each send all but one byte of a large body must not exhaust the memory.
#[tokio::test(flavor = "multi_thread")]
async fn from_callers() {
    let fleet = RelayFleet::start(&with_timeout()).await;
    let send = async |n: usize| {
        let mut stream = TcpStream::connect(fleet.front_address(0))
            .await
            .expect("failed to connect to the front");
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: calls.example\r\nrequest-id: large-{n}\r\n\
             api-key: {KEY}\r\ncontent-length: {}\r\n\r\n",
            BODY_BYTES + 1
        );
        // The front may close the connection of a refused caller while it is still sending.
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
    // The memory of the abandoned bodies must be free again.
    sleep(TIMEOUT).await;
    let large = "x".repeat(BODY_BYTES);
    let answer = fleet.call(0, "/safe/x", "after", Call { body: &large, ..Call::default() }).await;
    assert_eq!(answer.status, 200);
}
