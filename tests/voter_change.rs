//! Guards against a voter replacement that never completes while the old replica is still running.

mod support;

use support::Fleet;

const ENTRY: usize = 3;

/// The leader of group 0 is replaced while it runs, so it must transfer its leadership first. A new
/// leader that is not yet a member of the other groups must find their leaders.
#[tokio::test(flavor = "multi_thread")]
async fn leader_replaced() {
    let mut fleet = Fleet::start(3, 1).await;
    let leader = fleet.leader(ENTRY, 0).expect("no leader");
    let old = fleet.members[leader].replica.expect("instance is not a replica").to_string();
    let new = fleet.add_replica(4, "zone-1").await;
    fleet.start_member(new);
    let address = fleet.members[new].advertised.to_string();
    let replace = ["replace-voter", "--old", &old, "--new", "4", "--new-address", &address];
    fleet.operate(ENTRY, &replace).success();
    let status = fleet.status(ENTRY);
    let replicas = status["replicas"].as_array().expect("no list of replicas");
    for group in 0..3 {
        let mut voters: Vec<u64> = replicas
            .iter()
            .filter(|r| r["group"] == group && r["voter"] == true)
            .filter_map(|r| r["replica"].as_u64())
            .collect();
        voters.sort_unstable();
        let kept = (1..=4).filter(|r| r.to_string() != old);
        assert_eq!(voters, kept.collect::<Vec<u64>>(), "group {group}");
    }
}
