//! Choice of the next membership change of a group.

use std::{net::Ipv4Addr, time::Duration};

use poplarspan_agreement::ReplicaId;
use poplarspan_relay::{Members, MembershipChange, replica_id};
use proptest::{prelude::*, test_runner::RngSeed};

const NOW: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(9);

fn id(machine: u8, nonce: u32) -> ReplicaId {
    replica_id(Ipv4Addr::new(10, 0, 0, machine), nonce)
}

fn members(voters: &[ReplicaId]) -> Members {
    Members {
        self_id: voters[0],
        voters: voters.to_vec(),
        learners: Vec::new(),
        last_contact: Vec::new(),
        responsive_for: Vec::new(),
        joining: Vec::new(),
        retiring: Vec::new(),
        tolerated_losses: 1,
        lagging: Vec::new(),
        preferred_leader: None,
        time_as_leader: LONG,
    }
}

/// A replica that lost its disk returns with a new id, which becomes a voter in place of the old one.
/// Guards against a group of four voters in between, of which one has no disk any more.
#[test]
fn lost_disk() {
    let (a, b, c, new) = (id(1, 0), id(2, 0), id(3, 0), id(3, 7));
    let mut m = members(&[a, b, c]);
    m.last_contact = vec![(c, LONG)];
    assert_eq!(m.next_change(), None, "a group of three is not shrunk");
    m.joining = vec![new];
    assert_eq!(m.next_change(), Some(MembershipChange::AddLearner(new)));
    m.learners = vec![new];
    m.lagging = vec![new];
    assert_eq!(m.next_change(), None, "the learner has not caught up");
    m.lagging.clear();
    assert_eq!(m.next_change(), Some(MembershipChange::Replace { old: c, new }));
    m.last_contact.clear();
    assert_eq!(m.next_change(), Some(MembershipChange::Replace { old: c, new }), "c may be recent");
    m.joining.clear();
    assert_eq!(m.next_change(), None, "either may be the later one");
}

/// Of two replicas that had a machine one after the other, the later one is made a voter. Guards
/// against steps for a replica whose disk was lost meanwhile.
#[test]
fn lost_twice() {
    let (a, b, c) = (id(1, 0), id(2, 0), id(3, 0));
    let (lost, latest) = (id(3, 7), id(3, 8));
    let mut m = members(&[a, b, c]);
    m.last_contact = vec![(c, LONG)];
    m.learners = vec![lost];
    m.joining = vec![latest];
    assert_eq!(m.next_change(), Some(MembershipChange::Remove(lost)));
    m.learners.clear();
    assert_eq!(m.next_change(), Some(MembershipChange::AddLearner(latest)));
    m.learners.push(latest);
    assert_eq!(m.next_change(), Some(MembershipChange::Replace { old: c, new: latest }));
}

/// Both replicas of a machine vote, as a leader of an earlier build left them.
#[test]
fn both_vote() {
    let (a, b, c, new) = (id(1, 0), id(2, 0), id(3, 0), id(3, 7));
    let mut m = members(&[a, b, c, new]);
    m.last_contact = vec![(c, LONG)];
    assert_eq!(m.next_change(), Some(MembershipChange::Remove(c)));
}

/// A machine that was replaced by one with another address is removed once the new one votes.
#[test]
fn replaced_machine() {
    let (a, b, c, d) = (id(1, 0), id(2, 0), id(3, 0), id(4, 9));
    let mut m = members(&[a, b, c, d]);
    m.last_contact = vec![(c, LONG)];
    assert_eq!(m.next_change(), Some(MembershipChange::Remove(c)));
}

/// A store is drained only while enough other voters remain, and transfers leadership first.
#[test]
fn drained_store() {
    let (a, b, c, d) = (id(1, 0), id(2, 0), id(3, 0), id(4, 0));
    let mut m = members(&[a, b, c]);
    m.retiring = vec![b];
    assert_eq!(m.next_change(), None);
    let mut m = members(&[a, b, c, d]);
    m.retiring = vec![b];
    assert_eq!(m.next_change(), Some(MembershipChange::Remove(b)));
    m.retiring = vec![a];
    assert!(matches!(m.next_change(), Some(MembershipChange::HandOver(to)) if to != a));
}

/// A group grows to five voters, which tolerate the loss of two, and no further.
#[test]
fn enough_voters() {
    let voters: Vec<_> = (1..=5).map(|n| id(n, 0)).collect();
    let mut m = members(&voters);
    m.joining = vec![id(6, 1)];
    assert_eq!(m.next_change(), None);
    m.voters.pop();
    assert_eq!(m.next_change(), Some(MembershipChange::AddLearner(id(6, 1))));
}

/// A store is not drained if the responsive voters would lose their majority without it. A case
/// that `keeps_majority` found.
#[test]
fn drained_among_unresponsive() {
    let voters: Vec<_> = (0..7).map(|n| id(n, 0)).collect();
    let mut m = members(&voters);
    m.last_contact = [1, 3, 5].map(|at| (voters[at], LONG)).to_vec();
    m.retiring = vec![voters[6]];
    assert_ne!(m.next_change(), Some(MembershipChange::Remove(voters[6])));
}

/// A store is drained after its replacement has become a voter, so that the group tolerates as many
/// losses meanwhile.
#[test]
fn emptied_after_successor() {
    let voters: Vec<_> = (1..=5).map(|n| id(n, 0)).collect();
    let mut m = members(&voters);
    m.retiring = vec![voters[4]];
    m.joining = vec![id(6, 1)];
    assert_eq!(m.next_change(), Some(MembershipChange::AddLearner(id(6, 1))));
    m.learners = vec![id(6, 1)];
    assert_eq!(m.next_change(), Some(MembershipChange::Promote(id(6, 1))));
    m.learners.clear();
    m.voters.push(id(6, 1));
    assert_eq!(m.next_change(), Some(MembershipChange::Remove(voters[4])));
}

/// Leadership returns to the preferred machine, but not soon after an election and not to a machine
/// that is unresponsive, has just started or is being drained.
#[test]
fn back_home() {
    let voters: Vec<_> = (1..=5).map(|n| id(n, 0)).collect();
    let mut m = members(&voters);
    m.preferred_leader = Some(Ipv4Addr::new(10, 0, 0, 2));
    m.responsive_for = vec![(voters[1], Duration::from_secs(1))];
    assert_eq!(m.next_change(), None, "it may end again");
    m.responsive_for = vec![(voters[1], LONG)];
    assert_eq!(m.next_change(), Some(MembershipChange::HandOver(voters[1])));
    m.time_as_leader = Duration::from_millis(500);
    assert_eq!(m.next_change(), None);
    m.time_as_leader = LONG;
    m.last_contact = vec![(voters[1], Duration::from_secs(1))];
    m.responsive_for.clear();
    assert_eq!(m.next_change(), None);
    m.last_contact.clear();
    m.responsive_for = vec![(voters[1], LONG)];
    m.retiring = vec![voters[1]];
    assert_ne!(m.next_change(), Some(MembershipChange::HandOver(voters[1])));
    m.retiring.clear();
    m.self_id = voters[1];
    assert_eq!(m.next_change(), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No removal leaves the responsive voters without a majority, shrinks the group below three
    /// responsive voters, or removes the leader.
    #[test]
    fn keeps_majority(
        count in 3u8..8,
        silent in proptest::collection::vec(any::<bool>(), 8),
        leaving in proptest::collection::vec(any::<bool>(), 8),
        joins in 0u8..3,
    ) {
        let voters: Vec<_> = (0..count).map(|n| id(n, 0)).collect();
        let mut m = members(&voters);
        let is_silent = |id: &ReplicaId| {
            let at = voters.iter().position(|v| v == id).unwrap_or(0);
            at > 0 && silent[at]
        };
        m.last_contact = voters.iter().map(|v| (*v, if is_silent(v) { LONG } else { NOW })).collect();
        m.retiring = voters.iter().enumerate().filter(|(at, _)| leaving[*at]).map(|(_, v)| *v).collect();
        m.joining = (0..joins).map(|n| id(20 + n, 1)).collect();
        if let Some(MembershipChange::Remove(gone)) = m.next_change() {
            prop_assert_ne!(gone, m.self_id);
            let left: Vec<_> = voters.iter().filter(|v| **v != gone).collect();
            let answering = left.iter().filter(|v| !is_silent(v)).count();
            prop_assert!(answering * 2 > left.len(), "{answering} of {} answer", left.len());
            prop_assert!(answering >= 3);
        }
    }
}
