//! Guards against calls to a server that has announced in a response that it is leaving.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, KEY, RelayFleet, config, eventually};

/// Calls after the announcement; with three servers some would reach the leaving one.
const CALLS: usize = 30;

async fn check_unused(fleet: &RelayFleet, leaving: usize, what: &str) {
    for n in 0..CALLS {
        let id = format!("{what}-{n}");
        assert_eq!(fleet.call(0, "/safe/x", &id, Call::default()).await.status, 200, "{id}");
        let runs = fleet.servers.runs_of(&id);
        assert!(runs.iter().all(|run| run.server != leaving), "{id} reached the leaving server");
    }
}

/// The announcement must hold although the list still names the server as ready, both while the
/// front cannot reach a control replica and afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_answer() {
    let mut fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for replica in &mut fleet.control_replicas {
        replica.kill();
    }
    let answer = fleet.call(0, "/safe/leaving", "last", Call::default()).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let leaving = fleet.servers.runs_of("last")[0].server;
    check_unused(&fleet, leaving, "cut-off").await;

    for replica in &mut fleet.control_replicas {
        replica.restart();
    }
    let served = async || fleet.call(0, "/safe/x", "back", Call::default()).await.status == 200;
    eventually("calls are served after the restart of control", served).await;
    check_unused(&fleet, leaving, "in-touch").await;
}

/// An announcement from another server at the address of a listed one must not affect the listed
/// server.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_another() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    let answer = fleet.call(0, "/once/misdirected", "other", Call::default()).await;
    assert_eq!(answer.status, 503, "the call did not run");
    let served = async || fleet.call(0, "/safe/x", "own", Call::default()).await.status == 200;
    eventually("the listed servers are used", served).await;
}
