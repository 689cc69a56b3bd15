//! Guards against calls that hang, run twice or hold engine memory after their instance was killed.

mod support;

use support::{
    Fleet, eventually,
    traffic::{CallOutcome, send_call},
};

const ENTRY: usize = 3;
const OTHER: usize = 0;
const ENGINE: usize = 0;
const SERVICE: usize = 1;
const ORDER: &str = "order-1";

/// After the loss of the instance another one must take over an idempotent turn, a call that must
/// run at most once must have an unknown outcome, and engines must release the program's memory at
/// its end.
#[tokio::test(flavor = "multi_thread")]
async fn open_calls() {
    let mut fleet = Fleet::prepare(3, 1).await;
    fleet.add_mock_endpoint("engine-1", "engine", &["--token-interval", "700ms"]);
    fleet.add_mock_endpoint("orders-1", "service", &["--delay", "4s"]);
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    let turn = |i: usize| {
        let call = fleet.chat(i, "a long question").header("x-poplarspan-program", "trip");
        call.header("x-poplarspan-turn", 1)
    };
    let turn_at = |i: usize| send_call(turn(i));
    let order_at = |i: usize| send_call(fleet.order(i, ORDER, "{}"));
    let lost = [tokio::spawn(turn_at(ENTRY)), tokio::spawn(order_at(ENTRY))];
    eventually("both calls to reach their endpoints", async || {
        fleet.executions(SERVICE, ORDER).await == 1
            && fleet.query_mock_endpoint(ENGINE, "/held").await
                == serde_json::json!(["team-a/trip"])
    })
    .await;
    let calls = (turn(OTHER), fleet.order(OTHER, ORDER, "{}"));
    fleet.kill(ENTRY);
    for call in lost {
        assert_eq!(
            call.await.expect("task panicked"),
            CallOutcome::default(),
            "a call must fail with its instance"
        );
    }
    let (turn, order) = tokio::join!(until_settled(calls.0), until_settled(calls.1));
    assert_eq!(turn.status, 200, "{turn:?}");
    assert!(order.is("outcome_unknown", "unknown"), "{order:?}");
    assert_eq!(fleet.executions(SERVICE, ORDER).await, 1);
    assert_eq!(fleet.history("trip").await, [(1, "a long question".to_owned())]);
    assert_ne!(
        fleet.query_mock_endpoint(ENGINE, "/held").await,
        serde_json::json!([]),
        "an open program keeps its memory"
    );
    let url = format!("http://{}/v1/programs/trip/finish", fleet.members[OTHER].entry);
    let finish = fleet.client.post(url).bearer_auth(fleet.objects.team_key());
    assert_eq!(send_call(finish).await.status, 200);
    eventually("the engine to release its memory", async || {
        fleet.query_mock_endpoint(ENGINE, "/held").await == serde_json::json!([])
    })
    .await;
    let again = send_call(fleet.order(1, ORDER, "{}")).await;
    assert!(again.is("outcome_unknown", "unknown"), "the outcome must stay unknown: {again:?}");
}

/// Resends a call until the ledger no longer considers it running.
async fn until_settled(call: reqwest::RequestBuilder) -> CallOutcome {
    let mut last = CallOutcome::default();
    eventually("the end of the lease", async || {
        last = send_call(call.try_clone().expect("body cannot be cloned")).await;
        last.code != "conflict"
    })
    .await;
    last
}
