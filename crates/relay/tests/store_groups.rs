//! Assignment of programs to groups and of groups to stores.

use std::net::Ipv4Addr;

use poplarspan_agreement::ReplicaId;
use poplarspan_relay::{group_count, group_of, initial_voters, preferred_leader, replica_id};

fn ring(stores: u8) -> Vec<ReplicaId> {
    (1..=stores).map(|n| replica_id(Ipv4Addr::new(10, 0, 0, n), u32::from(n))).collect()
}

/// The preferred leaders of all groups are on different machines.
#[test]
fn preferred_leaders_differ() {
    for stores in 1..=32 {
        let ring = ring(stores);
        let mut leaders: Vec<_> = (0..group_count(ring.len()))
            .map(|g| preferred_leader(&ring, g).expect("a preferred leader"))
            .collect();
        let count = leaders.len();
        leaders.sort_unstable();
        leaders.dedup();
        assert_eq!(leaders.len(), count, "{stores} stores");
    }
}

/// Each group starts with five distinct voters, or with all stores if there are fewer.
#[test]
fn enough_initial_voters() {
    for stores in 1..=32u8 {
        let ring = ring(stores);
        for group in 0..group_count(ring.len()) {
            let mut voters = initial_voters(&ring, group);
            assert_eq!(voters.len(), ring.len().min(5));
            voters.sort_unstable();
            voters.dedup();
            assert_eq!(voters.len(), ring.len().min(5), "{stores} stores, group {group}");
        }
    }
}

/// A majority of each group survives the loss of a zone if the stores are in four zones and
/// neighbors in the ring are in different ones.
#[test]
fn zone_loss() {
    let stores = ring(11);
    let zone = |id: &ReplicaId| (stores.iter().position(|r| r == id).expect("a store")) % 4;
    for group in 0..group_count(stores.len()) {
        let voters = initial_voters(&stores, group);
        for lost in 0..4 {
            let left = voters.iter().filter(|v| zone(v) != lost).count();
            assert!(left * 2 > voters.len(), "group {group} without zone {lost}");
        }
    }
}

/// Programs are spread evenly, including those of one team.
#[test]
fn even_spread() {
    const GROUPS: u32 = 5;
    const PROGRAMS: usize = 5_000;
    let mut counts = [0usize; GROUPS as usize];
    for n in 0..PROGRAMS {
        counts[group_of("team", &format!("program-{n}"), GROUPS) as usize] += 1;
    }
    let even = PROGRAMS / GROUPS as usize;
    assert!(counts.iter().all(|c| c.abs_diff(even) < even / 5), "{counts:?}");
    assert_ne!(
        (0..64).map(|n| group_of("a", &format!("b{n}"), GROUPS)).collect::<Vec<_>>(),
        (0..64).map(|n| group_of("ab", &n.to_string(), GROUPS)).collect::<Vec<_>>(),
        "the boundary between team and program matters"
    );
}
