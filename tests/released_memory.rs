//! Guards against engine memory and streams that are not released when they are no longer needed.

mod support;

use serde_json::{Value, json};
use support::{Fleet, calls::CallResponse, eventually};

const ENGINE: [(&str, &str, &[&str]); 1] =
    [("engine-1", "engine", &["--token-interval", "20ms", "--capacity", "16"])];

async fn wait_released(fleet: &Fleet) {
    eventually("the engine to release its memory", async || {
        fleet.try_query_mock_endpoint(0, "/held").await == Some(json!([]))
            && fleet
                .try_query_mock_endpoint(0, "/load")
                .await
                .is_some_and(|load| load["running"] == 0)
    })
    .await;
}

async fn wait_held(fleet: &Fleet, program: &str) {
    eventually("the engine to hold memory of the program", async || {
        let held = fleet.try_query_mock_endpoint(0, "/held").await.unwrap_or(Value::Null);
        let held = held.as_array().cloned().unwrap_or_default();
        held.iter().any(|name| name.as_str() == Some(&format!("team-a/{program}")))
    })
    .await;
}

async fn finish(fleet: &Fleet, i: usize, program: &str) {
    let url = format!("http://{}/v1/programs/{program}/finish", fleet.members[i].entry);
    let finish =
        CallResponse::fetch(fleet.client.post(url).bearer_auth(fleet.objects.team_key())).await;
    assert_eq!(finish.status, 200, "{finish:?}");
}

/// The end of a program must release its memory and that of its sub-agents, and end its open
/// stream.
#[tokio::test(flavor = "multi_thread")]
async fn finished_program() {
    let fleet = Fleet::with_mock_endpoints(1, &ENGINE).await;
    let question = "a question that is longer than a block ".repeat(40);
    let root = fleet.chat(1, &question).header("x-poplarspan-program", "trip");
    assert_eq!(CallResponse::fetch(root).await.status, 200);
    let child = fleet.chat(0, &question).header("x-poplarspan-program", "hotel");
    assert_eq!(CallResponse::fetch(child.header("x-poplarspan-parent", "trip")).await.status, 200);
    wait_held(&fleet, "trip").await;
    let stream = fleet.chat_with(1, "go on", json!({"stream": true, "max_tokens": 4000}));
    let stream =
        stream.header("x-poplarspan-program", "trip").send().await.expect("no response head");
    assert_eq!(stream.status(), 200);
    finish(&fleet, 0, "trip").await;
    wait_released(&fleet).await;
    assert!(stream.text().await.is_err(), "the stream of a finished program looks complete");
}

/// A stream must be cancelled at its engine after its caller disconnects or its instance is killed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_streams() {
    let mut fleet = Fleet::with_mock_endpoints(2, &ENGINE).await;
    let long = json!({"stream": true, "max_tokens": 4000});
    let start = async |i: usize, program: &str| {
        let call = fleet.chat_with(i, program, long.clone());
        let mut answer =
            call.header("x-poplarspan-program", program).send().await.expect("no response head");
        answer.chunk().await.expect("failed to read an event").expect("failed to read an event");
        answer
    };
    let hung_up = start(2, "hung-up").await;
    wait_held(&fleet, "hung-up").await;
    drop(hung_up);
    eventually("the cancelled stream", async || {
        fleet.try_query_mock_endpoint(0, "/load").await.is_some_and(|load| load["running"] == 0)
    })
    .await;
    let lost = start(1, "lost").await;
    wait_held(&fleet, "lost").await;
    fleet.kill(1);
    assert!(lost.text().await.is_err());
    eventually("the cancelled stream", async || {
        fleet.try_query_mock_endpoint(0, "/load").await.is_some_and(|load| load["running"] == 0)
    })
    .await;
    for program in ["hung-up", "lost"] {
        finish(&fleet, 0, program).await;
    }
    wait_released(&fleet).await;
}
