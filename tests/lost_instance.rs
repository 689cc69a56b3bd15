//! Guards against calls that hang, run twice or hold memory after their instance was killed.

mod support;

use support::{
    Fleet, eventually,
    traffic::{Answer, answer},
};

const ENTRY: usize = 3;
const OTHER: usize = 0;
const ENGINE: usize = 0;
const SERVICE: usize = 1;
const ORDER: &str = "order-1";

/// Another instance takes an idempotent turn over, a call that must run at most once has an unknown
/// outcome, and engines release what the program held.
#[tokio::test(flavor = "multi_thread")]
async fn open_calls() {
    let mut fleet = Fleet::prepare(3, 1).await;
    fleet.add_stand_in("engine-1", "engine", &["--token-interval", "700ms"]);
    fleet.add_stand_in("orders-1", "service", &["--delay", "4s"]);
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    let turn = |i: usize| {
        let call = fleet.chat(i, "a long question").header("x-poplarspan-program", "trip");
        call.header("x-poplarspan-turn", 1)
    };
    let turn_at = |i: usize| answer(turn(i));
    let order_at = |i: usize| answer(fleet.order(i, ORDER, "{}"));
    let lost = [tokio::spawn(turn_at(ENTRY)), tokio::spawn(order_at(ENTRY))];
    eventually("the calls at their endpoints", async || {
        fleet.executions(SERVICE, ORDER).await == 1
            && fleet.ask(ENGINE, "/held").await == serde_json::json!(["team-a/trip"])
    })
    .await;
    let calls = (turn(OTHER), fleet.order(OTHER, ORDER, "{}"));
    fleet.kill(ENTRY);
    for call in lost {
        assert_eq!(call.await.expect("no panic"), Answer::default(), "cut with its instance");
    }
    let (turn, order) = tokio::join!(until_settled(calls.0), until_settled(calls.1));
    assert_eq!(turn.status, 200, "{turn:?}");
    assert!(order.is("outcome_unknown", "unknown"), "{order:?}");
    assert_eq!(fleet.executions(SERVICE, ORDER).await, 1);
    assert_eq!(fleet.history("trip").await, [(1, "a long question".to_owned())]);
    assert_ne!(fleet.ask(ENGINE, "/held").await, serde_json::json!([]), "the program goes on");
    let url = format!("http://{}/v1/programs/trip/finish", fleet.members[OTHER].entry);
    let finish = fleet.client.post(url).bearer_auth(fleet.objects.team_key());
    assert_eq!(answer(finish).await.status, 200);
    eventually("the release", async || fleet.ask(ENGINE, "/held").await == serde_json::json!([]))
        .await;
    let again = answer(fleet.order(1, ORDER, "{}")).await;
    assert!(again.is("outcome_unknown", "unknown"), "stays unknown: {again:?}");
}

/// Resends a call while the ledger still counts it as running.
async fn until_settled(call: reqwest::RequestBuilder) -> Answer {
    let mut last = Answer::default();
    eventually("the end of the lease", async || {
        last = answer(call.try_clone().expect("a body in memory")).await;
        last.code != "conflict"
    })
    .await;
    last
}
