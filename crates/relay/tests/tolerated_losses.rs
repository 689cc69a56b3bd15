//! Guards against the loss of acknowledged state when as many disks are lost as the settings
//! tolerate: a group gave up voters that were only silent, so that its majority went with the disks.
//!
//! Plays the choice of membership changes against freezes, lost disks, departures, retirements and
//! publications. After each event, the voters whose disks are left must be able to elect a leader,
//! and each one that they can elect must have everything that was acknowledged, also after as many
//! further losses as are tolerated.

use std::{net::Ipv4Addr, time::Duration};

use poplarspan_agreement::ReplicaId;
use poplarspan_relay::{Members, MembershipChange, replica_id};
use proptest::{prelude::*, test_runner::RngSeed};

/// Longer than a response takes, and shorter than a silence after which a voter may be removed.
const SHORT: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(9);
/// Membership changes that follow each other when nothing else happens; more than are ever due.
const MAX_CHANGES: usize = 40;

#[derive(Clone, Copy, Debug)]
enum Event {
    Freeze,
    Wake,
    /// A machine loses its disk and returns with an empty one.
    LoseDisk,
    /// A machine never returns, and an empty one starts at another address.
    Depart,
    TimePasses,
    Publish,
    Retire,
    Change,
}

use Event::*;

#[derive(Debug)]
struct Machine {
    id: ReplicaId,
    /// Time since its last response, if it is silent.
    silent: Option<Duration>,
    has_departed: bool,
    /// Number of acknowledged entries on its disk.
    len: u64,
}

#[derive(Debug)]
struct Group {
    tolerated: usize,
    machines: Vec<Machine>,
    voters: Vec<ReplicaId>,
    learners: Vec<ReplicaId>,
    retiring: Vec<ReplicaId>,
    /// Number of acknowledged entries.
    acked: u64,
}

fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

impl Group {
    fn new(tolerated: usize, voters: usize, spares: usize) -> Self {
        let id = |n| replica_id(Ipv4Addr::new(10, 0, 0, n), 0);
        let ids: Vec<_> = (0..(voters + spares) as u8).map(id).collect();
        let machine =
            |id: &ReplicaId| Machine { id: *id, silent: None, has_departed: false, len: 0 };
        Self {
            tolerated,
            machines: ids.iter().map(machine).collect(),
            voters: ids[..voters].to_vec(),
            learners: Vec::new(),
            retiring: Vec::new(),
            acked: 0,
        }
    }

    /// Machines whose disks hold the state of voters.
    fn intact(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter().filter(|m| !m.has_departed && self.voters.contains(&m.id))
    }

    fn lost_voters(&self) -> usize {
        self.voters.len() - self.intact().count()
    }

    /// Whether another disk may be lost: fewer are lost than tolerated, or this one has no vote.
    fn may_lose(&self, at: usize) -> bool {
        self.lost_voters() < self.tolerated || !self.voters.contains(&self.machines[at].id)
    }

    /// A responsive voter that a majority elects, chosen by `pick` among those that can win.
    fn leader(&self, pick: usize) -> Option<usize> {
        let up = |m: &&Machine| m.silent.is_none();
        let wins = |m: &&Machine| {
            let grants = self.intact().filter(up).filter(|other| other.len <= m.len);
            grants.count() >= quorum(self.voters.len())
        };
        let winners: Vec<_> = self.intact().filter(up).filter(wins).map(|m| m.id).collect();
        let id = *winners.get(pick % winners.len().max(1))?;
        self.machines.iter().position(|m| m.id == id)
    }

    /// Commits an entry at the leader and as many other voters as a quorum needs, from `pick` on.
    /// Returns whether enough respond.
    fn commit(&mut self, leader: usize, voters: &[ReplicaId], pick: usize) -> bool {
        let is_up = |m: &Machine| m.silent.is_none() && voters.contains(&m.id);
        let all = self.machines.len();
        let others = (0..all).map(|n| (n + pick) % all).filter(|n| *n != leader);
        let acks: Vec<_> = others.filter(|n| is_up(&self.machines[*n])).collect();
        let needed = quorum(voters.len()) - usize::from(voters.contains(&self.machines[leader].id));
        if acks.len() < needed {
            return false;
        }
        self.acked += 1;
        for at in acks[..needed].iter().chain([&leader]) {
            self.machines[*at].len = self.acked;
        }
        true
    }

    fn members(&self, leader: usize) -> Members {
        let contact = |id: &ReplicaId| {
            let machine = self.machines.iter().find(|m| m.id == *id && !m.has_departed);
            (*id, machine.map_or(LONG, |m| m.silent.unwrap_or_default()))
        };
        let voters = self.voters.iter().chain(&self.learners);
        let asks = |m: &&Machine| m.silent.is_none() && !self.voters.contains(&m.id);
        Members {
            self_id: self.machines[leader].id,
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            last_contact: voters.map(contact).collect(),
            responsive_for: Vec::new(),
            joining: self.machines.iter().filter(asks).map(|m| m.id).collect(),
            retiring: self.retiring.clone(),
            tolerated_losses: self.tolerated,
            lagging: Vec::new(),
            preferred_leader: None,
            time_as_leader: LONG,
        }
    }

    /// Makes the next membership change. Returns whether one was due and committed.
    fn change(&mut self, pick: usize) -> bool {
        let Some(leader) = self.leader(pick) else { return false };
        let Some(change) = self.members(leader).next_change() else { return false };
        let (mut voters, mut learners) = (self.voters.clone(), self.learners.clone());
        match change {
            MembershipChange::AddLearner(id) => learners.push(id),
            MembershipChange::Promote(id) => {
                learners.retain(|l| *l != id);
                voters.push(id);
            }
            MembershipChange::Replace { old, new } => {
                learners.retain(|l| *l != new);
                voters.retain(|v| *v != old);
                voters.push(new);
            }
            MembershipChange::Remove(id) => {
                learners.retain(|l| *l != id);
                voters.retain(|v| *v != id);
            }
            MembershipChange::HandOver(_) => return false,
        }
        if let MembershipChange::Promote(id) | MembershipChange::Replace { new: id, .. } = change {
            let len = self.machines[leader].len;
            self.machines.iter_mut().filter(|m| m.id == id).for_each(|m| m.len = len);
        }
        let is_committed = self.commit(leader, &voters, pick / 7);
        if is_committed {
            (self.voters, self.learners) = (voters, learners);
        }
        is_committed
    }

    fn play(&mut self, event: Event, pick: usize) {
        let at = pick % self.machines.len();
        let (has_departed, id) = (self.machines[at].has_departed, self.machines[at].id);
        match event {
            Freeze if self.machines[at].silent.is_none() => self.machines[at].silent = Some(SHORT),
            Wake if !has_departed => self.machines[at].silent = None,
            LoseDisk if !has_departed && self.may_lose(at) => {
                let id = ReplicaId(id.0 + 1);
                self.machines[at] = Machine { id, silent: None, has_departed, len: 0 };
            }
            Depart if !has_departed && self.may_lose(at) && self.machines.len() < 200 => {
                let ip = Ipv4Addr::new(10, 0, 1, self.machines.len() as u8);
                (self.machines[at].has_departed, self.machines[at].silent) = (true, Some(SHORT));
                let id = replica_id(ip, 1);
                self.machines.push(Machine { id, silent: None, has_departed: false, len: 0 });
            }
            TimePasses => {
                self.machines.iter_mut().filter_map(|m| m.silent.as_mut()).for_each(|s| *s = LONG);
            }
            Publish => {
                if let Some(leader) = self.leader(pick) {
                    let voters = self.voters.clone();
                    self.commit(leader, &voters, pick / 7);
                }
            }
            // Operators may not retire more machines than the group can do without.
            Retire => {
                let stays = |m: &&Machine| !m.has_departed && !self.retiring.contains(&m.id);
                let staying = self.machines.iter().filter(stays).filter(|m| m.id != id).count();
                if !has_departed && staying >= (2 * self.tolerated + 1).max(3) {
                    self.retiring.push(id);
                }
            }
            Change => {
                self.change(pick);
            }
            Freeze | Wake | LoseDisk | Depart => {}
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let further = self.tolerated.saturating_sub(self.lost_voters());
        let (intact, quorum) = (self.intact().count(), quorum(self.voters.len()));
        prop_assert!(intact >= quorum + further, "a majority can be lost: {self:?}");
        let holders = self.intact().filter(|m| m.len == self.acked).count();
        prop_assert!(intact - holders < quorum, "a leader may lack what is acknowledged: {self:?}");
        prop_assert!(holders > further, "the last copy can be lost: {self:?}");
        Ok(())
    }

    /// Ends all freezes and makes the changes that are due.
    fn settle(&mut self) {
        for m in self.machines.iter_mut() {
            m.silent = m.has_departed.then_some(LONG);
        }
        for pick in 0..MAX_CHANGES {
            self.change(pick);
        }
    }
}

fn events() -> impl Strategy<Value = Vec<(Event, usize)>> {
    let event = prop_oneof![
        3 => Just(Freeze),
        2 => Just(Wake),
        2 => Just(LoseDisk),
        1 => Just(Depart),
        2 => Just(TimePasses),
        2 => Just(Publish),
        1 => Just(Retire),
        8 => Just(Change),
    ];
    proptest::collection::vec((event, any::<u16>().prop_map(usize::from)), 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_207),
        failure_persistence: None,
        cases: 4_000,
        ..ProptestConfig::default()
    })]

    /// No membership change lets the tolerated losses take the majority or the last copy, and all
    /// lost voters are replaced once the machines respond.
    #[test]
    fn majority_kept(
        tolerated in 1usize..=2,
        further in 0usize..=2,
        spares in 0usize..=3,
        events in events(),
    ) {
        let voters = (2 * tolerated + 1 + further).min(5);
        let mut group = Group::new(tolerated, voters, spares);
        for (event, pick) in events {
            group.play(event, pick);
            group.check()?;
        }
        group.settle();
        prop_assert_eq!(group.lost_voters(), 0, "a lost voter stays: {:?}", &group);
        prop_assert_eq!(&group.learners, &[], "a learner stays: {:?}", &group);
        group.check()?;
    }
}
