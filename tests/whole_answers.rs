//! Guards against truncated responses, or responses to other calls, that a caller takes for the
//! complete response to its own call.

mod support;

use serde_json::{Value, json};
use support::{Fleet, calls::CallResponse};

const FAULTS: [&str; 5] = ["truncate", "crossed", "silent", "crash", "late:5000"];

fn engines() -> [(&'static str, &'static str, &'static [&'static str]); 2] {
    let flags: &[&str] = &["--token-interval", "2ms", "--restart-after", "100ms"];
    [("engine-1", "engine", flags), ("engine-2", "engine", flags)]
}

/// Checks that a response is complete, or is a refusal, or has a body that ends in an error.
fn check(what: &str, response: &CallResponse, stream: bool) {
    let Ok(body) = &response.body else { return };
    if response.status != 200 {
        assert!(!response.code().is_empty(), "{what}: {response:?}");
        return;
    }
    if stream {
        assert!(body.ends_with("data: [DONE]\n\n"), "{what}: {response:?}");
        assert!(body.matches("data: ").count() >= 4, "{what}: {response:?}");
    } else {
        let body: Value = serde_json::from_str(body).expect("incomplete JSON");
        assert_eq!(body["usage"]["completion_tokens"], 4, "{what}: {response:?}");
    }
}

/// A truncated, crossed or late response must not be passed on as complete or recorded for resends.
#[tokio::test(flavor = "multi_thread")]
async fn failing_answers() {
    let fleet = Fleet::with_mock_endpoints(1, &engines()).await;
    for fault in FAULTS {
        for stream in [false, true] {
            for program in [false, true] {
                let what = format!("{fault} stream={stream} program={program}");
                let id = format!("program-{}", what.replace([' ', '='], "-"));
                let call = |i: usize| {
                    let call = fleet.chat_with(i, &what, json!({"stream": stream}));
                    let call = call.header("x-poplarspan-deadline", 1500);
                    if program { call.header("x-poplarspan-program", &id) } else { call }
                };
                let response = CallResponse::fetch(call(1).header("x-standin-fault", fault)).await;
                check(&what, &response, stream);
                assert!(response.status != 200 || response.body.is_err(), "{what}: {response:?}");
                let again = CallResponse::fetch(call(0).header("idempotency-key", "other")).await;
                check(&what, &again, stream);
            }
        }
    }
}

/// A truncated stream must end in an error at the caller.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let flags: &[&str] = &["--token-interval", "20ms"];
    let mut fleet = Fleet::with_mock_endpoints(1, &[("engine-1", "engine", flags)]).await;
    for http2 in [false, true] {
        let client = reqwest::Client::builder().no_proxy();
        let client = if http2 { client.http2_prior_knowledge() } else { client };
        let url = format!("http://{}/v1/chat/completions", fleet.members[1].entry);
        let body = json!({"model": "chat-model", "max_tokens": 500, "stream": true,
            "messages": [{"role": "user", "content": format!("http2 {http2}")}]});
        let client = client.build().expect("failed to build the HTTP client");
        let call = client.post(url).bearer_auth(fleet.objects.team_key()).json(&body);
        let mut answer = call.send().await.expect("no response head");
        assert_eq!(answer.status(), 200);
        answer
            .chunk()
            .await
            .expect("failed to read the first event")
            .expect("failed to read the first event");
        fleet.kill_mock_endpoint(0);
        let rest = answer.text().await;
        assert!(rest.is_err(), "http2={http2}: {rest:?}");
        fleet.start_mock_endpoint(0);
        fleet.warm_up().await;
    }
}

/// A call that may be repeated must be retried at another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn retried_call() {
    let mut fleet = Fleet::with_mock_endpoints(1, &engines()).await;
    for killed in [0, 1] {
        fleet.kill_mock_endpoint(killed);
        for program in [false, true] {
            for n in 0..4 {
                let what = format!("killed={killed} program={program} {n}");
                let call = fleet.chat_with(1, &what, json!({"stream": n % 2 == 1}));
                let call = if program {
                    call.header("x-poplarspan-program", what.replace([' ', '='], "-"))
                } else {
                    call
                };
                let response = CallResponse::fetch(call).await;
                assert_eq!(response.status, 200, "{what}: {response:?}");
                check(&what, &response, n % 2 == 1);
            }
        }
        fleet.start_mock_endpoint(killed);
        fleet.warm_up().await;
    }
}
