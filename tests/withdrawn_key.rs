//! Guards against calls that run under a withdrawn key.

mod support;

use std::time::{Duration, Instant};

use support::{
    Fleet, eventually,
    traffic::{CallOutcome, send_call},
};
use tokio::task::JoinSet;

const ENGINE: usize = 0;
const SERVICE: usize = 1;
const CALLS: usize = 40;
/// Time within which an accepted publication must be in force everywhere (design, section 1). The
/// test measures the whole operator command, which takes longer.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(7);

fn unauthorized() -> CallOutcome {
    CallOutcome { status: 401, code: "unauthorized".to_owned(), ran: "no".to_owned() }
}

/// A withdrawn key must be refused within seconds, also on open connections and for queued calls.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_calls() {
    let mut fleet = Fleet::prepare(1, 1).await;
    fleet.add_mock_endpoint(
        "engine-1",
        "engine",
        &["--capacity", "4", "--token-interval", "800ms"],
    );
    fleet.add_mock_endpoint("orders-1", "service", &["--delay", "3s"]);
    fleet.objects.capacity = 4;
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    // Opens connections that the calls after the withdrawal reuse.
    for i in 0..2 {
        let url = format!("http://{}/v1/models", fleet.members[i].entry);
        let models = fleet.client.get(url).bearer_auth(fleet.objects.team_key());
        assert_eq!(send_call(models).await.status, 200);
    }
    let mut calls = JoinSet::new();
    for n in 0..CALLS {
        let program = fleet.chat(n % 2, "waits").header("x-poplarspan-program", format!("p-{n}"));
        calls.spawn(send_call(if n % 4 < 2 { program } else { fleet.chat(n % 2, "waits") }));
        calls.spawn(send_call(fleet.order(n % 2, &format!("order-{n}"), "{}")));
    }
    eventually("calls to reach both endpoints", async || {
        !fleet.all_executions(SERVICE).await.is_empty()
            && fleet.query_mock_endpoint(ENGINE, "/load").await["running"] != 0
    })
    .await;
    fleet.objects.withdrawn = true;
    let started = Instant::now();
    fleet.publish(0, 1, "withdrawal").success();
    let took = started.elapsed();
    assert!(took < IN_FORCE_WITHIN, "in force after {took:?}");
    let ran = fleet.all_executions(SERVICE).await;
    for i in 0..2 {
        assert_eq!(send_call(fleet.chat(i, "late")).await, unauthorized());
        assert_eq!(send_call(fleet.order(i, "late", "{}")).await, unauthorized());
    }
    let mut refused = 0;
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("task panicked");
        assert!(answer.status == 200 || answer == unauthorized(), "{answer:?}");
        refused += usize::from(answer == unauthorized());
    }
    assert_eq!(fleet.all_executions(SERVICE).await, ran, "orders that ran after the withdrawal");
    assert!(refused >= CALLS, "only {refused} of {} calls were refused", 2 * CALLS);
}
