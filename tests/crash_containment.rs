//! Guards against a single request that crashes one endpoint after another.

mod support;

use std::time::Duration;

use futures::future::join_all;
use support::{
    Fleet,
    calls::{CallFleet, CallResponse},
};

const FLAGS: &[&str] = &["--restart-after", "200ms"];

async fn engines() -> CallFleet {
    let names = ["engine-1", "engine-2", "engine-3", "engine-4", "engine-5"];
    let engines = names.map(|name| (name, "engine", FLAGS));
    Fleet::with_mock_endpoints(2, &engines).await
}

/// Number of endpoints that have crashed.
fn crashed(fleet: &Fleet) -> usize {
    let crashes = |i: &usize| fleet.mock_endpoint_log(*i).contains("mock endpoint crashed");
    (0..fleet.mock_endpoints.len()).filter(crashes).count()
}

/// A request that crashes endpoints must reach at most two of them, also if its caller resends it
/// to other instances, and must get a final error.
#[tokio::test(flavor = "multi_thread")]
async fn resent_request() {
    let fleet = engines().await;
    let refused = ("request_crashes_endpoints".to_owned(), "unknown".to_owned());
    let first = CallResponse::fetch(fleet.chat(1, "crash-me")).await;
    assert_eq!(first.refusal(), refused, "{first:?}");
    assert_eq!(crashed(&fleet), 2);
    for i in [2, 0, 1] {
        let again = CallResponse::fetch(fleet.chat(i, "crash-me")).await;
        assert_eq!(again.refusal(), (refused.0.clone(), "no".to_owned()), "{again:?}");
    }
    let copies = (0..12).map(|i| CallResponse::fetch(fleet.chat(i % 3, "crash-me")));
    let copies = tokio::spawn(join_all(copies));
    let others = (0..12).map(|i| CallResponse::fetch(fleet.chat(i % 3, "another question")));
    for other in join_all(others).await {
        assert_eq!(other.status, 200, "{other:?}");
    }
    for copy in copies.await.expect("task panicked") {
        assert_eq!(copy.code(), refused.0, "{copy:?}");
    }
    assert_eq!(crashed(&fleet), 2);
}

/// Copies sent to all instances in parallel, after the request has crashed one endpoint, must
/// crash at most one more in total.
#[tokio::test(flavor = "multi_thread")]
async fn parallel_resends() {
    let names = ["orders-1", "orders-2", "orders-3", "orders-4", "orders-5"];
    let services = names.map(|name| (name, "service", FLAGS));
    let fleet = Fleet::with_mock_endpoints(2, &services).await;
    let first = CallResponse::fetch(fleet.order(1, "order-1", "crash-me")).await;
    assert_eq!(first.code(), "outcome_unknown", "{first:?}");
    assert_eq!(crashed(&fleet), 1);
    for round in 0..3 {
        let order = |i: usize| fleet.order(i % 3, &format!("copy-{round}-{i}"), "crash-me");
        let copies = join_all((0..9).map(|i| CallResponse::fetch(order(i)))).await;
        let final_codes = ["outcome_unknown", "request_crashes_endpoints"];
        for copy in copies {
            assert!(final_codes.contains(&copy.code().as_str()), "{copy:?}");
        }
        assert!(crashed(&fleet) <= 2, "round {round}");
    }
    assert_eq!(crashed(&fleet), 2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let other = CallResponse::fetch(fleet.order(2, "order-2", "{}")).await;
    assert_eq!(other.status, 200, "{other:?}");
}

/// A request that was refused for crashing endpoints must stay refused after a restart of all
/// instances.
#[tokio::test(flavor = "multi_thread")]
async fn refused_after_restart() {
    let mut fleet = engines().await;
    let refused = CallResponse::fetch(fleet.chat(1, "crash-me")).await;
    assert_eq!(refused.code(), "request_crashes_endpoints", "{refused:?}");
    let instances = fleet.members.len();
    for i in 0..instances {
        fleet.kill(i);
    }
    fleet.start_all().await;
    fleet.wait_ready(1).await;
    fleet.warm_up().await;
    let again = CallResponse::fetch(fleet.chat(1, "crash-me")).await;
    let not_run = ("request_crashes_endpoints".to_owned(), "no".to_owned());
    assert_eq!(again.refusal(), not_run, "{again:?}");
}
