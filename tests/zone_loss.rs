//! Guards against loss of progress when a whole zone is lost.

mod support;

use support::{Fleet, publisher::Publisher, traffic::Traffic};

const MEMBERS: usize = 6;
const SERVICE: usize = 1;

/// After all instances in the leader's zone are killed at once, the others must serve and publish,
/// and no acknowledged data may be lost.
#[tokio::test(flavor = "multi_thread")]
async fn leaders_zone() {
    let mut fleet = Fleet::start(3, 3).await;
    let status = fleet.status(0);
    assert_eq!(status["warnings"].as_array().map(Vec::len), Some(0), "{}", status["warnings"]);
    let traffic = Traffic::start(&fleet, 2);
    let leader = fleet.wait_group_leader(0, 0).await;
    let zone = fleet.members[leader].zone.clone();
    let (lost, rest): (Vec<usize>, Vec<usize>) =
        (0..MEMBERS).partition(|i| fleet.members[*i].zone == zone);
    assert_eq!(lost.len(), 2);
    let publisher = Publisher::start(&fleet, &rest);
    publisher.wait_for_progress().await;
    traffic.wait_for_progress().await;
    for i in &lost {
        fleet.kill(*i);
    }
    publisher.wait_for_progress().await;
    traffic.wait_for_progress().await;
    let generation = publisher.stop().await;
    for i in rest {
        fleet.wait_generation(i, generation).await;
    }
    traffic.stop_and_check(&fleet, SERVICE).await;
}
