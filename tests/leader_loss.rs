//! Guards against lost acknowledgements and loss of progress when the leader of a group is killed.

mod support;

use support::{Fleet, publisher::Publisher, traffic::Traffic};

const ENTRY: usize = 3;
const SERVICE: usize = 1;

/// Kills the leader of a group while publications and calls of programs run.
async fn check_leader_loss(group: u64) {
    let mut fleet = Fleet::start(3, 1).await;
    let traffic = Traffic::start(&fleet, 3);
    let publisher = Publisher::start(&fleet, &[ENTRY]);
    traffic.wait_for_progress().await;
    publisher.wait_for_progress().await;
    let leader = fleet.wait_group_leader(ENTRY, group).await;
    fleet.kill(leader);
    traffic.wait_for_progress().await;
    publisher.wait_for_progress().await;
    fleet.start_member(leader);
    fleet.wait_ready(leader).await;
    let generation = publisher.stop().await;
    for i in 0..4 {
        fleet.wait_generation(i, generation).await;
    }
    traffic.stop_and_check(&fleet, SERVICE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn catalog_leader() {
    check_leader_loss(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn first_program_leader() {
    check_leader_loss(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_program_leader() {
    check_leader_loss(2).await;
}
