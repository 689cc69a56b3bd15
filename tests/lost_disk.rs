//! Guards against a replica that votes after the loss of its data folder, and against a replacement
//! that loses acknowledged data.

mod support;

use support::{
    Fleet, eventually,
    process::{Process, run},
    publisher::Publisher,
    traffic::Traffic,
};

const SERVICE: usize = 1;
const ENTRY: usize = 3;
const LOST: usize = 0;
const NEW_REPLICA: u64 = 4;

/// A lost data folder must not be recreated by `serve`, and its replica number must never vote
/// again. A replica with another number replaces it under traffic, and the loss of one more replica
/// right afterwards must lose nothing.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_voter() {
    let mut fleet = Fleet::start(3, 1).await;
    let traffic = Traffic::start(&fleet, 2);
    let publisher = Publisher::start(&fleet, &[ENTRY]);
    traffic.wait_for_progress().await;
    fleet.kill(LOST);
    std::fs::remove_dir_all(fleet.data_folder(1)).expect("failed to remove the data folder");
    fleet.start_member(LOST);
    eventually("a process without its data folder to exit", async || {
        fleet.members[LOST].process.as_mut().is_some_and(Process::has_ended)
    })
    .await;
    assert!(!fleet.data_folder(1).exists(), "serve must not create a data folder");
    fleet.init_replica(1, Some(3));
    fleet.start_member(LOST);
    for i in [1, 2] {
        eventually("the refusal of the new data folder", async || {
            fleet.log(i).contains("replica 1 has another data folder")
        })
        .await;
    }
    publisher.wait_for_progress().await;
    let generation = publisher.stop().await;
    check_no_vote(&mut fleet, generation).await;

    let publisher = Publisher::start(&fleet, &[ENTRY]);
    fleet.kill(LOST);
    let new = fleet.add_replica(NEW_REPLICA, "zone-1").await;
    fleet.start_member(new);
    let address = fleet.members[new].advertised.to_string();
    let replace = ["replace-voter", "--old", "1", "--new", "4", "--new-address", &address];
    fleet.operate(ENTRY, &replace).success();
    fleet.kill(1);
    traffic.wait_for_progress().await;
    publisher.wait_for_progress().await;
    let status = fleet.status(ENTRY);
    let voters = status["replicas"].as_array().expect("no list of replicas").iter();
    let of_group = |r: &&serde_json::Value| r["group"] == 0 && r["voter"] == true;
    let voters: Vec<u64> = voters.filter(of_group).filter_map(|r| r["replica"].as_u64()).collect();
    assert_eq!(voters, [2, 3, NEW_REPLICA]);
    fleet.start_member(1);
    fleet.wait_ready(1).await;
    publisher.stop().await;
    traffic.stop_and_check(&fleet, SERVICE).await;
}

/// Checks that nothing is committed while one of the two remaining voters is down: there is no
/// majority unless the replica with the new folder votes.
async fn check_no_vote(fleet: &mut Fleet, generation: u64) {
    fleet.kill(2);
    let operator = fleet.operator().with_timeout("5s");
    let text = fleet.objects.text();
    let outcome = operator.publish(ENTRY, &text, generation, "without-majority", &["--no-wait"]);
    assert!(!outcome.status.success(), "{}", outcome.stdout);
    fleet.start_member(2);
    fleet.wait_ready(2).await;
    fleet.set_published_generation(generation);
    // The first publication may still be committed or not; after this one the generation is known.
    let settled = fleet.operator().publish(ENTRY, &text, generation, "settling", &[]);
    let current = fleet.status(ENTRY)["generation"].as_u64().expect("no generation");
    assert_eq!(current, generation + 1, "{}", settled.stderr);
    fleet.set_published_generation(current);
}

/// `init` must not overwrite an existing data folder.
#[test]
fn init_twice() {
    let folder = tempfile::tempdir().expect("failed to create a temporary folder");
    let data = folder.path().join("data");
    let data = data.to_str().expect("path is not UTF-8");
    let init = ["init", "--data-dir", data, "--replica", "1", "--voters", "1"];
    run(&init).success();
    assert!(!run(&init).status.success(), "a second init must not replace the first");
}
