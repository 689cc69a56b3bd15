//! Which change of a group's members comes next.
//!
//! One change at a time, and never one after which the voters that answer are no majority. A replica
//! that lost its disk comes back under a new number on the same machine; its former number is
//! removed as soon as the new one votes. A voter that has been silent for long is removed while
//! enough others answer, so that the loss of a further one is borne; it joins again by itself.

use std::{net::Ipv4Addr, time::Duration};

use poplarspan_agreement::ReplicaId;

/// A voter that has been silent for this long may be removed. Long enough for an election and a
/// restart, short enough that a machine that was replaced is gone before the next one may be lost.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A former number of a machine that is back under a new one is removed after this silence.
const REPLACED_VOTER_TIMEOUT: Duration = Duration::from_millis(500);
/// A leader keeps the lead at least this long before it goes back to the group's home; several
/// times what an election takes.
const LEADER_RETURN_DELAY: Duration = Duration::from_secs(5);
/// Voters of a group, as long as so many are there: two of them may be lost at once.
pub(crate) const TARGET_VOTERS: usize = 5;
/// A group is never made smaller than this, so that it bears a loss.
pub(crate) const MIN_VOTERS: usize = 3;

/// What the leader of a group knows of its members.
#[derive(Clone, Debug)]
pub struct Members {
    /// This replica, which leads.
    pub self_id: ReplicaId,
    /// Replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: Vec<ReplicaId>,
    /// Time since each other member answered.
    pub silence: Vec<(ReplicaId, Duration)>,
    /// Replicas that asked to be voters a short while ago.
    pub joining: Vec<ReplicaId>,
    /// Replicas that are to be emptied.
    pub retiring: Vec<ReplicaId>,
    /// Learners whose last promotion was refused because they lag behind.
    pub lagging: Vec<ReplicaId>,
    /// Machine whose replica should lead, if it is a voter.
    pub preferred_leader: Option<Ipv4Addr>,
    /// For how long this replica has led.
    pub time_as_leader: Duration,
}

/// A change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that does not vote yet.
    AddLearner(ReplicaId),
    /// Lets a learner vote.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
    /// Makes another voter the leader, so that this one can be removed.
    HandOver(ReplicaId),
}

/// The machine that a replica's number belongs to.
pub(crate) fn machine(id: ReplicaId) -> Ipv4Addr {
    Ipv4Addr::from((id.0 >> 32) as u32)
}

impl Members {
    /// The next change, if one is due.
    pub fn next_step(&self) -> Option<MembershipChange> {
        self.promotion()
            .or_else(|| self.removal())
            .or_else(|| self.addition())
            .or_else(|| self.retirement())
            .or_else(|| self.leadership_return())
    }

    fn silence_of(&self, id: ReplicaId) -> Duration {
        let found = self.silence.iter().find(|(r, _)| *r == id);
        found.map_or(Duration::ZERO, |(_, silence)| *silence)
    }

    fn is_responsive(&self, id: ReplicaId) -> bool {
        self.silence_of(id) < REPLACED_VOTER_TIMEOUT
    }

    fn responsive_voters(&self) -> usize {
        self.voters.iter().filter(|id| self.is_responsive(**id)).count()
    }

    /// Voters that answer and are not to be emptied.
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
            self.silence_of(id) >= REPLACED_VOTER_TIMEOUT && self.voters.iter().any(same)
        };
        let is_silent = |id: ReplicaId| {
            self.silence_of(id) >= SILENT_VOTER_TIMEOUT && self.responsive_voters() >= MIN_VOTERS
        };
        let gone = self.voters.iter().find(|id| is_replaced(**id) || is_silent(**id));
        let idle = |id: &&ReplicaId| {
            self.silence_of(**id) >= SILENT_VOTER_TIMEOUT && !self.joining.contains(id)
        };
        let gone = gone.filter(|_| self.keeps_majority()).or(self.learners.iter().find(idle));
        gone.map(|id| MembershipChange::Remove(*id))
    }

    /// Whether the voters that answer are a majority after one that does not is removed.
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
        let leaving = self.voters.iter().find(|id| self.retiring.contains(id))?;
        let stays = |id: &&ReplicaId| self.is_responsive(**id) && !self.retiring.contains(id);
        let remaining: Vec<_> = self.voters.iter().filter(stays).collect();
        let is_majority = remaining.len() * 2 > self.voters.len() - 1;
        if remaining.len() < MIN_VOTERS || !is_majority || !self.learners.is_empty() {
            return None;
        }
        if *leaving != self.self_id {
            return Some(MembershipChange::Remove(*leaving));
        }
        remaining
            .into_iter()
            .find(|id| **id != self.self_id)
            .map(|id| MembershipChange::HandOver(*id))
    }

    /// Leadership goes back to the group's home, so that the groups' leaders are on different
    /// machines. Not soon after an election: a home that has just lost the lead may be unwell.
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
