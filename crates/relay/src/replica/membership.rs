//! Chooses the next membership change of a group.
//!
//! Changes are made one at a time, and none leaves the responsive voters without a majority. A
//! replica that lost its disk returns with a new id on the same machine. It becomes a voter in place
//! of the old id in one step: with both as voters, the group would be weaker in between. The new id
//! can only ask to join after the disk was lost, as the step requires.
//!
//! Silence does not prove that a disk is lost: a silent voter may return with everything that it
//! acknowledged. It is removed only if the voters that remain, responsive or not, keep a majority
//! without as many disks as the settings allow to be lost. A group of the smallest such size first
//! needs a spare that votes; without one, the silent voter stays. It rejoins when it is back.
//!
//! The spare is not put in the place of a silent voter in one step: a majority that includes the
//! silent voter would not overlap with one that includes the spare. The number of voters is even in
//! between, which raises the quorum by one, as it does the number of voters that can form it.

use std::{net::Ipv4Addr, time::Duration};

use poplarspan_agreement::ReplicaId;

/// A voter that has been silent for this long may be removed if the others bear it. This is longer
/// than an election or a restart, and short enough that a replaced machine is removed before the
/// next one may be lost.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A member that has not responded for this long counts as unresponsive; several heartbeats.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time that a leader keeps its role before leadership returns to the preferred machine,
/// and that this machine has responded without a pause: one that has just started may end again.
/// Several times the length of an election.
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
    /// How long other members have responded without a pause. Empty for those that do not.
    pub responsive_for: Vec<(ReplicaId, Duration)>,
    /// Replicas that recently asked to become voters; the latest one of each machine.
    pub joining: Vec<ReplicaId>,
    /// Replicas that are being drained.
    pub retiring: Vec<ReplicaId>,
    /// Number of disks whose loss the group must bear at any time.
    pub tolerated_losses: usize,
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
    /// Make a learner a voter in place of the one that lost its disk on the same machine.
    Replace {
        /// Voter whose disk is lost.
        old: ReplicaId,
        /// Learner that takes its place.
        new: ReplicaId,
    },
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

/// Whether two different replicas have the same machine. One of them has lost its disk.
fn is_same_machine(a: ReplicaId, b: ReplicaId) -> bool {
    a != b && machine(a) == machine(b)
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

    pub(crate) fn is_responsive(&self, id: ReplicaId) -> bool {
        self.time_since_contact(id) < RESPONSE_TIMEOUT
    }

    fn has_been_responsive(&self, id: ReplicaId, time: Duration) -> bool {
        self.responsive_for.iter().any(|(r, elapsed)| *r == id && *elapsed >= time)
    }

    fn responsive_voters(&self) -> usize {
        self.voters.iter().filter(|id| self.is_responsive(**id)).count()
    }

    /// Number of voters that respond and are not being drained.
    pub(crate) fn remaining_voters(&self) -> usize {
        let stays = |id: &&ReplicaId| self.is_responsive(**id) && !self.retiring.contains(id);
        self.voters.iter().filter(stays).count()
    }

    /// Whether so many voters keep a majority without the disks whose loss is tolerated.
    fn bear_losses(&self, voters: usize) -> bool {
        voters >= MIN_VOTERS.max(2 * self.tolerated_losses + 1)
    }

    /// Voters whose disk is not known to be lost.
    fn intact_voters(&self) -> impl Iterator<Item = ReplicaId> {
        let is_lost = |id: ReplicaId| {
            let mut known = self.voters.iter().chain(&self.learners).chain(&self.joining);
            !self.is_responsive(id) && known.any(|other| is_same_machine(*other, id))
        };
        self.voters.iter().copied().filter(move |id| !is_lost(*id))
    }

    /// The voter that had the machine of a replica before it.
    fn predecessor(&self, id: ReplicaId) -> Option<ReplicaId> {
        self.voters.iter().find(|v| is_same_machine(**v, id)).copied()
    }

    /// Whether a later replica of the same machine has asked to join.
    fn is_superseded(&self, id: ReplicaId) -> bool {
        self.joining.iter().any(|j| is_same_machine(*j, id))
    }

    /// Promotes a learner that replaces a lost disk, or a spare while a voter is missing. A spare
    /// that is no longer needed, because the voter is back, is removed: a further voter would only
    /// raise the quorum.
    fn promotion(&self) -> Option<MembershipChange> {
        let ready = |id: &&ReplicaId| {
            self.is_responsive(**id) && !self.lagging.contains(id) && !self.is_superseded(**id)
        };
        let new = *self.learners.iter().find(ready)?;
        if let Some(old) = self.predecessor(new) {
            // Without a request of the learner, either of the two may be the later one.
            let is_later = self.joining.contains(&new) || !self.is_responsive(old);
            return is_later.then_some(MembershipChange::Replace { old, new });
        }
        if self.remaining_voters() < TARGET_VOTERS {
            Some(MembershipChange::Promote(new))
        } else {
            Some(MembershipChange::Remove(new))
        }
    }

    fn removal(&self) -> Option<MembershipChange> {
        let is_replaced = |id: ReplicaId| !self.is_responsive(id) && self.predecessor(id).is_some();
        let is_silent = |id: ReplicaId| {
            self.time_since_contact(id) >= SILENT_VOTER_TIMEOUT
                && self.responsive_voters() >= MIN_VOTERS
                && self.bear_losses(self.intact_voters().filter(|v| *v != id).count())
        };
        let gone = self.voters.iter().find(|id| is_replaced(**id) || is_silent(**id));
        let idle = |id: &&ReplicaId| {
            self.is_superseded(**id)
                || self.time_since_contact(**id) >= SILENT_VOTER_TIMEOUT
                    && !self.joining.contains(id)
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
        let returns = |id: &&ReplicaId| has_room || self.predecessor(**id).is_some();
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
        let staying = self.intact_voters().filter(|v| !self.retiring.contains(v));
        if !self.bear_losses(staying.count()) {
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
            machine(**id) == preferred
                && self.has_been_responsive(**id, LEADER_RETURN_DELAY)
                && !self.retiring.contains(id)
        };
        self.voters.iter().find(is_preferred).map(|id| MembershipChange::HandOver(*id))
    }
}
