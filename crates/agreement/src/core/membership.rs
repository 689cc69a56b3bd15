//! Membership changes and leadership transfers.

use log::{info, warn};

use crate::message::Message;
use crate::types::{Membership, Payload, ReplicaId};

use super::Core;
use super::api::{MembershipChange, MembershipChangeError, ProposalResult, Role};
use super::progress::{LeadershipTransfer, Progress};

impl Core {
    pub(super) fn change_membership(&mut self, change: MembershipChange, request_id: u64) {
        if self.role != Role::Leader || self.leader_state.transfer.is_some() {
            let leader = self.leader.filter(|&id| id != self.cfg.id);
            self.out.proposals.push((request_id, ProposalResult::NotLeader { leader }));
            return;
        }
        match self.changed_membership(change) {
            Err(refusal) => {
                self.out.proposals.push((request_id, ProposalResult::Refused(refusal)));
            }
            Ok(membership) => {
                info!("replica {}: proposing membership change {change:?}", self.cfg.id.0);
                self.append_proposal(Payload::Membership(membership), request_id);
                self.update_peers();
                self.replicate();
            }
        }
    }

    /// Returns the membership after a change. Allowing one change at a time keeps the quorums of
    /// successive memberships overlapping. Requiring a commit in the current term ensures that no
    /// change of an earlier leader is in flight.
    fn changed_membership(
        &self,
        change: MembershipChange,
    ) -> Result<Membership, MembershipChangeError> {
        if self.log.membership_index() > self.commit {
            return Err(MembershipChangeError::Pending);
        }
        if !self.has_committed_in_term() {
            return Err(MembershipChangeError::TermNotCommitted);
        }
        let mut m = self.log.membership().clone();
        match change {
            MembershipChange::AddLearner(id) => {
                if m.voters.contains(&id) || !insert(&mut m.learners, id) {
                    return Err(MembershipChangeError::AlreadyMember);
                }
            }
            MembershipChange::PromoteLearner(id) => {
                if !remove(&mut m.learners, id) {
                    return Err(MembershipChangeError::NotMember);
                }
                if !self.has_caught_up(id) {
                    return Err(MembershipChangeError::NotCaughtUp);
                }
                insert(&mut m.voters, id);
            }
            MembershipChange::RemoveVoter(id) | MembershipChange::ReplaceVoter { old: id, .. }
                if id == self.cfg.id =>
            {
                return Err(MembershipChangeError::IsLeader);
            }
            MembershipChange::RemoveVoter(id) => {
                if !remove(&mut m.voters, id) && !remove(&mut m.learners, id) {
                    return Err(MembershipChangeError::NotMember);
                }
            }
            MembershipChange::ReplaceVoter { old, new } => {
                if !remove(&mut m.voters, old) || !remove(&mut m.learners, new) {
                    return Err(MembershipChangeError::NotMember);
                }
                if !self.has_caught_up(new) {
                    return Err(MembershipChangeError::NotCaughtUp);
                }
                insert(&mut m.voters, new);
            }
        }
        Ok(m)
    }

    fn has_caught_up(&self, id: ReplicaId) -> bool {
        self.leader_state.peer(id).is_some_and(|p| {
            p.matched + self.cfg.promote_lag >= self.commit
                && p.acked_round > 0
                && self.now < p.heard_at + self.cfg.election_timeout_min
        })
    }

    /// Updates the peers to the membership in force.
    pub(super) fn update_peers(&mut self) {
        let next = self.log.last().index + 1;
        self.leader_state.set_members(self.cfg.id, self.log.membership(), next, self.now);
        self.advance_commit();
    }

    pub(super) fn transfer_leadership(&mut self, to: ReplicaId) {
        let possible = self.role == Role::Leader
            && self.leader_state.transfer.is_none()
            && to != self.cfg.id
            && self.voters().contains(&to);
        if possible {
            let deadline = self.now + self.cfg.election_timeout_max;
            let round = self.leader_state.round + 1;
            self.leader_state.transfer =
                Some(LeadershipTransfer { to, round, deadline, sent: false });
            self.broadcast_heartbeat();
        }
    }

    /// Tells the target of a transfer to campaign once it has answered and has the whole log. The
    /// lease is released first, because voters may elect the target although they have just heard
    /// from this leader.
    pub(super) fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Some(t) = &mut self.leader_state.transfer else { return };
        let (to, round) = (t.to, t.round);
        let is_ready = |p: &Progress| p.id == to && p.acked_round >= round && p.matched >= last;
        if t.sent || !self.leader_state.peers.iter().any(is_ready) {
            return;
        }
        t.sent = true;
        self.leader_state.lease_released = true;
        self.send(to, Message::TimeoutNow { term: self.hard_state.term });
    }

    /// Abandons a transfer that is not completed in time. If the target was told to campaign, this
    /// replica cannot serve in its term any more. It asks for votes in the next one, at once: the
    /// lease that voters would wait for is its own, and it has been released.
    pub(super) fn abandon_transfer(&mut self) {
        let Some(t) = self.leader_state.transfer.take() else { return };
        if !t.sent {
            return;
        }
        let (id, term) = (self.cfg.id.0, self.hard_state.term);
        warn!("replica {id}: replica {} did not take over; ending term {term}", t.to.0);
        self.become_follower(term, None);
        self.campaign(true);
    }
}

fn insert(ids: &mut Vec<ReplicaId>, id: ReplicaId) -> bool {
    ids.binary_search(&id).map_err(|i| ids.insert(i, id)).is_err()
}

fn remove(ids: &mut Vec<ReplicaId>, id: ReplicaId) -> bool {
    ids.binary_search(&id).map(|i| ids.remove(i)).is_ok()
}
