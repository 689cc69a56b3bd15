//! Guards against an unreported placement of control replicas that cannot survive the loss of a
//! zone.

mod support;

use support::{Fleet, eventually};

/// `status` must print a warning and exit with status 3 if one zone holds a majority of the voters.
#[tokio::test(flavor = "multi_thread")]
async fn majority_in_one_zone() {
    let mut fleet = Fleet::prepare(3, 0).await;
    "zone-1".clone_into(&mut fleet.members[1].zone);
    fleet.add_mock_endpoint("engine-1", "engine", &[]);
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    let expected = "zone zone-1 holds 2 of 3 voters";
    eventually("the warning", async || {
        let status = fleet.status(0);
        let warnings = status["warnings"].as_array().cloned().unwrap_or_default();
        warnings.len() == 1 && warnings[0].as_str().is_some_and(|w| w.starts_with(expected))
    })
    .await;
    let outcome = fleet.operate(2, &["status"]);
    assert!(outcome.stdout.contains(expected), "{}", outcome.stdout);
    assert_eq!(outcome.status.code(), Some(3), "the exit status must report the warning");
}
