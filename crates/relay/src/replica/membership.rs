//! Chooses the next membership change of a group.
//!
//! Changes are made one at a time, and none leaves the responsive voters without a majority. A
//! replica that lost its disk returns with a new id on the same machine, and its old id is removed
//! once the new one votes. A voter that has been silent for long is removed while enough others
//! respond, so that the group can tolerate a further loss. It rejoins when it is back.

use std::{net::Ipv4Addr, time::Duration};

use poplarspan_agreement::ReplicaId;

/// A voter that has been silent for this long may be removed. This is longer than an election or a
/// restart, and short enough that a replaced machine is removed before the next one may be lost.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The old id of a machine that has a new one is removed after this much silence.
const REPLACED_VOTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time that a leader keeps its role before leadership returns to the preferred machine;
/// several times the length of an election.
const LEADER_RETURN_DELAY: Duration = Duration::from_secs(5);
/// Number of voters that a group aims for, so that it tolerates the loss of two.
pub(crate) const TARGET_VOTERS: usize = 5;
/// Minimum number of voters. Groups are not shrunk below it, so that they tolerate the loss of one.
pub(crate) const MIN_VOTERS: usize = 3;

/// What the leader of a group knows of its members.
#[derive(Clone, Debug)]
pub struct Members {
    /// This replica, which is the leader.
    pub self_id: ReplicaId,
    /// Replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: Vec<ReplicaId>,
    /// Time since each other member last responded.
    pub last_contact: Vec<(ReplicaId, Duration)>,
    /// Replicas that recently asked to become voters.
    pub joining: Vec<ReplicaId>,
    /// Replicas that are being drained.
    pub retiring: Vec<ReplicaId>,
    /// Learners whose last promotion failed because their log lagged behind.
    pub lagging: Vec<ReplicaId>,
    /// Machine whose replica should lead while it is a voter.
    pub preferred_leader: Option<Ipv4Addr>,
    /// How long this replica has been the leader.
    pub time_as_leader: Duration,
}

/// A membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Add a replica as a learner.
    AddLearner(ReplicaId),
    /// Make a learner a voter.
    Promote(ReplicaId),
    /// Remove a replica.
    Remove(ReplicaId),
    /// Transfer leadership to another voter, because this one is being drained or is not on the
    /// preferred machine.
    HandOver(ReplicaId),
}

/// Returns the machine of a replica, which is the upper half of its id.
pub(crate) fn machine(id: ReplicaId) -> Ipv4Addr {
    Ipv4Addr::from((id.0 >> 32) as u32)
}

impl Members {
    /// Returns the next change, if one is due.
    pub fn next_change(&self) -> Option<MembershipChange> {
        self.promotion()
            .or_else(|| self.removal())
            .or_else(|| self.addition())
            .or_else(|| self.retirement())
            .or_else(|| self.leadership_return())
    }

    fn time_since_contact(&self, id: ReplicaId) -> Duration {
        let found = self.last_contact.iter().find(|(r, _)| *r == id);
        found.map_or(Duration::ZERO, |(_, elapsed)| *elapsed)
    }

    fn is_responsive(&self, id: ReplicaId) -> bool {
        self.time_since_contact(id) < REPLACED_VOTER_TIMEOUT
    }

    fn responsive_voters(&self) -> usize {
        self.voters.iter().filter(|id| self.is_responsive(**id)).count()
    }

    /// Number of voters that respond and are not being drained.
    pub(crate) fn remaining_voters(&self) -> usize {
        let stays = |id: &&ReplicaId| self.is_responsive(**id) && !self.retiring.contains(id);
        self.voters.iter().filter(stays).count()
    }

    fn promotion(&self) -> Option<MembershipChange> {
        let ready = |id: &&ReplicaId| self.is_responsive(**id) && !self.lagging.contains(id);
        self.learners.iter().find(ready).map(|id| MembershipChange::Promote(*id))
    }

    fn removal(&self) -> Option<MembershipChange> {
        let is_replaced = |id: ReplicaId| {
            let same = |other: &ReplicaId| *other != id && machine(*other) == machine(id);
            self.time_since_contact(id) >= REPLACED_VOTER_TIMEOUT && self.voters.iter().any(same)
        };
        let is_silent = |id: ReplicaId| {
            self.time_since_contact(id) >= SILENT_VOTER_TIMEOUT
                && self.responsive_voters() >= MIN_VOTERS
        };
        let gone = self.voters.iter().find(|id| is_replaced(**id) || is_silent(**id));
        let idle = |id: &&ReplicaId| {
            self.time_since_contact(**id) >= SILENT_VOTER_TIMEOUT && !self.joining.contains(id)
        };
        let gone = gone.filter(|_| self.keeps_majority()).or(self.learners.iter().find(idle));
        gone.map(|id| MembershipChange::Remove(*id))
    }

    /// Whether the responsive voters are a majority after an unresponsive one is removed.
    fn keeps_majority(&self) -> bool {
        self.responsive_voters() * 2 > self.voters.len() - 1
    }

    fn addition(&self) -> Option<MembershipChange> {
        let has_room = self.remaining_voters() + self.learners.len() < TARGET_VOTERS;
        let is_new = |id: &&ReplicaId| {
            !self.voters.contains(id) && !self.learners.contains(id) && !self.retiring.contains(id)
        };
        let returns = |id: &&ReplicaId| {
            let same = |v: &ReplicaId| machine(*v) == machine(**id);
            has_room || self.voters.iter().any(same)
        };
        self.joining
            .iter()
            .find(|id| is_new(id) && returns(id))
            .map(|id| MembershipChange::AddLearner(*id))
    }

    fn retirement(&self) -> Option<MembershipChange> {
        let retiring = self.voters.iter().find(|id| self.retiring.contains(id))?;
        let stays = |id: &&ReplicaId| self.is_responsive(**id) && !self.retiring.contains(id);
        let remaining: Vec<_> = self.voters.iter().filter(stays).collect();
        let is_majority = remaining.len() * 2 > self.voters.len() - 1;
        if remaining.len() < MIN_VOTERS || !is_majority || !self.learners.is_empty() {
            return None;
        }
        if *retiring != self.self_id {
            return Some(MembershipChange::Remove(*retiring));
        }
        remaining
            .into_iter()
            .find(|id| **id != self.self_id)
            .map(|id| MembershipChange::HandOver(*id))
    }

    /// Returns leadership to the preferred machine, so that the leaders of the groups are on
    /// different machines. Waits after an election, because a machine that has just lost leadership
    /// may be faulty.
    fn leadership_return(&self) -> Option<MembershipChange> {
        let preferred =
            self.preferred_leader.filter(|preferred| *preferred != machine(self.self_id))?;
        if self.time_as_leader < LEADER_RETURN_DELAY || !self.learners.is_empty() {
            return None;
        }
        let is_preferred = |id: &&ReplicaId| {
            machine(**id) == preferred && self.is_responsive(**id) && !self.retiring.contains(id)
        };
        self.voters.iter().find(is_preferred).map(|id| MembershipChange::HandOver(*id))
    }
}
