//! Guards against input that makes an instance crash, hang or grow in memory.

mod support;

use futures::future::join_all;
use serde_json::json;
use support::{
    Fleet,
    calls::{CallFleet, CallResponse},
    raw::{read_to_close, send_raw, send_slowly},
};
use tokio::net::{TcpStream, UdpSocket};

const ENGINE: [(&str, &str, &[&str]); 1] = [("engine-1", "engine", &["--token-interval", "1ms"])];
const MAX_GROWTH_BYTES: u64 = 64 << 20;

async fn fleet() -> CallFleet {
    Fleet::with_mock_endpoints(1, &ENGINE).await
}

async fn check_serving(fleet: &Fleet) {
    let response = CallResponse::fetch(fleet.chat(1, "still there?")).await;
    assert_eq!(response.status, 200, "{response:?}\n{}", fleet.log(1));
}

/// A malformed call must be refused with a specific error and must not be executed.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_calls() {
    let fleet = fleet().await;
    let (chat, key) = (|| fleet.chat(1, "question"), fleet.objects.team_key());
    let with_body = |body: &'static str| chat().body(body);
    let url = format!("http://{}/nowhere", fleet.members[1].entry);
    let own = format!("http://{}/v1/models", fleet.members[1].entry);
    let cases = [
        ("two keys", chat().header("authorization", "Bearer ps_unknown"), 401, "unauthorized"),
        ("unknown key", fleet.client.get(&own).bearer_auth("ps_unknown"), 401, "unauthorized"),
        ("no key", fleet.client.get(&own), 401, "unauthorized"),
        ("unknown route", fleet.client.get(&url).bearer_auth(key), 404, "not_found"),
        ("no JSON", with_body("{"), 400, "bad_request"),
        ("no messages", with_body("{\"model\": \"chat-model\"}"), 400, "bad_request"),
        ("wrong type", with_body("{\"messages\": 7}"), 400, "bad_request"),
        ("unknown model", fleet.chat_with(1, "", json!({"model": "none"})), 404, "not_found"),
        ("bad turn", chat().header("x-poplarspan-turn", "first"), 400, "bad_request"),
        ("bad program", chat().header("x-poplarspan-program", "a//b"), 400, "bad_request"),
        ("bad deadline", chat().header("x-poplarspan-deadline", "-1"), 400, "bad_request"),
        ("long key", chat().header("idempotency-key", "k".repeat(300)), 400, "bad_request"),
        ("large body", chat().body("a".repeat(9 << 20)), 413, "too_large"),
        (
            "endless body",
            chat().body(reqwest::Body::wrap_stream(futures::stream::repeat_with(|| {
                Ok::<_, std::io::Error>(vec![b'a'; 1 << 16])
            }))),
            413,
            "too_large",
        ),
    ];
    let before = fleet.try_query_mock_endpoint(0, "/load").await;
    for (what, call, status, code) in cases {
        // The instance may respond and close while the refused body is still being sent.
        let Ok(answer) = call.send().await else {
            assert!(what.ends_with("body"), "{what}");
            continue;
        };
        assert_eq!(answer.status(), status, "{what}");
        let answer: serde_json::Value = answer.json().await.expect("refusal is not JSON");
        assert_eq!(answer["error"]["code"], code, "{what}");
        assert_eq!(answer["error"]["ran"], "no", "{what}");
    }
    assert!(before.is_some());
    check_serving(&fleet).await;
}

/// Bytes that are not HTTP, oversized heads and slow senders must neither hold connections forever
/// nor crash the instance.
#[tokio::test(flavor = "multi_thread")]
async fn raw_bytes() {
    let fleet = fleet().await;
    let (entry, probe) = (fleet.members[1].entry, fleet.members[1].probe);
    let garbage: Vec<u8> =
        (0..65_536_u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    let large_head = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let broken_frames = [&preface[..], &garbage].concat();
    let memory = fleet.resident_bytes(1);
    for address in [entry, probe] {
        for bytes in [&garbage[..], large_head.as_bytes(), &broken_frames] {
            let answer = send_raw(address, bytes).await.expect("connection was not closed");
            assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
        }
        let slow = ["", "PRI * HTT", "GET /healthz HTTP/1.1\r\nhost: a\r\nx: "];
        let slow = slow.map(|start| send_slowly(address, start.as_bytes()));
        for answer in join_all(slow).await {
            assert!(!answer.expect("connection was not closed").starts_with("HTTP/1.1 2"));
        }
        // A connection without any data must be closed, too.
        let silent = TcpStream::connect(address).await.expect("failed to connect");
        assert!(read_to_close(silent).await.is_some());
    }
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: 100000\r\n\r\n",
        fleet.objects.team_key()
    );
    let answer = send_slowly(entry, head.as_bytes()).await.expect("connection was not closed");
    assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("bad_request"), "{answer}");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("failed to bind a UDP socket");
    for chunk in garbage.chunks(1200).cycle().take(2000) {
        socket.send_to(chunk, fleet.members[1].peer).await.expect("failed to send");
    }
    check_serving(&fleet).await;
    assert!(fleet.resident_bytes(1) < memory + MAX_GROWTH_BYTES, "{memory}");
}

/// Callers above the limits on connections and memory must be refused at once, and must not keep
/// others from being served afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn too_many() {
    let mut fleet = fleet().await;
    fleet.restart_with(1, &["--max-connections", "20", "--max-held", "1048576"]).await;
    let memory = fleet.resident_bytes(1);
    let entry = fleet.members[1].entry;
    let fresh = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    fleet.client = fresh.expect("failed to build the HTTP client");
    let mut open = Vec::new();
    for _ in 0..60 {
        open.push(TcpStream::connect(entry).await.expect("failed to connect"));
    }
    let answers = join_all(open.into_iter().map(read_to_close)).await;
    let rejected = answers.iter().flatten().filter(|answer| answer.contains("overloaded")).count();
    assert!(answers.iter().all(Option::is_some), "a connection was not closed");
    assert!(rejected >= 30, "only {rejected} callers were refused as overloaded");
    check_serving(&fleet).await;
    let large = "a".repeat(300_000);
    let calls = (0..12).map(|n| CallResponse::fetch(fleet.chat(1, &format!("{n} {large}"))));
    for response in join_all(calls).await {
        let clear = ["overloaded", "too_large"].contains(&response.code().as_str());
        assert!(response.status == 200 || (clear && response.ran() == "no"), "{response:?}");
    }
    check_serving(&fleet).await;
    assert!(fleet.resident_bytes(1) < memory + MAX_GROWTH_BYTES, "{memory}");
}
