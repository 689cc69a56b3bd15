//! Guards against a replica that votes after it has lost what it promised, and against a repair
//! that loses what was acknowledged.

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

/// A lost folder is not made anew by itself, its number never votes again, another number takes
/// its place while traffic runs, and the loss of one more replica right after loses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_voter() {
    let mut fleet = Fleet::start(3, 1).await;
    let traffic = Traffic::start(&fleet, 2);
    let publisher = Publisher::start(&fleet, &[ENTRY]);
    traffic.wait_for_progress().await;
    fleet.kill(LOST);
    std::fs::remove_dir_all(fleet.data_folder(1)).expect("the folder exists");
    fleet.start_member(LOST);
    eventually("the end of a process without its folder", async || {
        fleet.members[LOST].process.as_mut().is_some_and(Process::has_ended)
    })
    .await;
    assert!(!fleet.data_folder(1).exists(), "serve must not make a folder");
    fleet.init_replica(1, Some(3));
    fleet.start_member(LOST);
    for i in [1, 2] {
        eventually("the refusal of the new folder", async || {
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
    let voters = status["replicas"].as_array().expect("replicas").iter();
    let of_group = |r: &&serde_json::Value| r["group"] == 0 && r["voter"] == true;
    let voters: Vec<u64> = voters.filter(of_group).filter_map(|r| r["replica"].as_u64()).collect();
    assert_eq!(voters, [2, 3, NEW_REPLICA]);
    fleet.start_member(1);
    fleet.wait_ready(1).await;
    publisher.stop().await;
    traffic.stop_and_check(&fleet, SERVICE).await;
}

/// With one of the two remaining voters down there is no majority, unless the replica with the new
/// folder counts.
async fn check_no_vote(fleet: &mut Fleet, generation: u64) {
    fleet.kill(2);
    let operator = fleet.operator().with_timeout("5s");
    let text = fleet.objects.text();
    let outcome = operator.publish(ENTRY, &text, generation, "without-majority", &["--no-wait"]);
    assert!(!outcome.status.success(), "{}", outcome.stdout);
    fleet.start_member(2);
    fleet.wait_ready(2).await;
    fleet.set_published_generation(generation);
    // The outcome of the publication was unknown; this settles it.
    let settled = fleet.operator().publish(ENTRY, &text, generation, "settling", &[]);
    let current = fleet.status(ENTRY)["generation"].as_u64().expect("a generation");
    assert_eq!(current, generation + 1, "{}", settled.stderr);
    fleet.set_published_generation(current);
}

/// A folder for a replica can't be made over another one.
#[test]
fn init_twice() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let data = folder.path().join("data");
    let data = data.to_str().expect("plain path");
    let init = ["init", "--data-dir", data, "--replica", "1", "--voters", "1"];
    run(&init).success();
    assert!(!run(&init).status.success(), "a second init must not replace the first");
}
