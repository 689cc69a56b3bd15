//! Terms, votes and elections.

use log::warn;

use crate::message::Message;
use crate::types::{LogPosition, Payload, ReplicaId};

use super::Core;
use super::api::{ReadResult, Role};
use super::progress::LeaderState;

/// Votes or pre-votes that a candidate has received.
#[derive(Debug, Default)]
pub(super) struct VoteTally {
    granted: Vec<ReplicaId>,
    refused: Vec<ReplicaId>,
}

impl VoteTally {
    fn count(&mut self, from: ReplicaId, granted: bool) {
        if !self.granted.contains(&from) && !self.refused.contains(&from) {
            if granted { self.granted.push(from) } else { self.refused.push(from) }
        }
    }
}

fn is_majority(ids: &[ReplicaId], voters: &[ReplicaId]) -> bool {
    ids.iter().filter(|id| voters.contains(id)).count() > voters.len() / 2
}

impl Core {
    /// Compares a message's term with the current one and adopts a later term. Returns whether to
    /// handle the message.
    pub(super) fn accept_term(&mut self, from: ReplicaId, message: &Message) -> bool {
        let term = message.term();
        if term < self.hard_state.term {
            self.reject_stale(from, message);
            return false;
        }
        if term == self.hard_state.term {
            return true;
        }
        match message {
            Message::PreVote { .. } | Message::PreVoteAnswer { granted: true, .. } => true,
            Message::Vote { transfer: false, .. } if self.refuses_votes() => false,
            _ => {
                self.become_follower(term, None);
                true
            }
        }
    }

    /// Answers a message of an earlier term with the current term.
    fn reject_stale(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        let answer = match message {
            Message::PreVote { .. } => Message::PreVoteAnswer { term, granted: false },
            Message::Vote { .. } => Message::VoteAnswer { term, granted: false },
            Message::Append { .. } | Message::Heartbeat { .. } | Message::SnapshotChunk { .. } => {
                Message::HeartbeatAnswer { term, round: 0 }
            }
            _ => return,
        };
        self.send_after_vote_sync(from, answer);
    }

    /// Returns whether a leader may hold a lease that relies on this replica not voting. A leader
    /// refuses votes too; it steps down when it loses contact with a quorum.
    fn refuses_votes(&self) -> bool {
        self.role == Role::Leader
            || self.heard_at.is_some_and(|at| self.now < at + self.cfg.election_timeout_min)
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term < self.hard_state.term {
            self.report_violation("term never goes back");
            return;
        }
        if self.role == Role::Leader {
            self.stop_leading(leader);
        }
        if term > self.hard_state.term {
            self.set_term(term, None);
        }
        if self.leader != leader {
            self.partial_snapshot = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    fn set_term(&mut self, term: u64, vote: Option<ReplicaId>) {
        let new_term = term != self.hard_state.term;
        self.hard_state.term = term;
        self.hard_state.vote = vote;
        self.durability.hard_state_changed(new_term);
    }

    fn stop_leading(&mut self, leader: Option<ReplicaId>) {
        let state = std::mem::take(&mut self.leader_state);
        let reads = state.pending_reads.iter().map(|r| r.request_id);
        for request_id in state.deferred_reads.iter().copied().chain(reads) {
            self.out.reads.push((request_id, ReadResult::NotLeader { leader }));
        }
        self.reset_election_timer();
    }

    /// Follows the sender of a message as the leader of the current term. Returns whether to handle
    /// the message.
    pub(super) fn accept_leader_message(&mut self, from: ReplicaId) -> bool {
        if self.role == Role::Leader || self.leader.is_some_and(|id| id != from) {
            self.report_violation("at most one leader a term");
            return false;
        }
        self.become_follower(self.hard_state.term, Some(from));
        self.heard_at = Some(self.now);
        self.reset_election_timer();
        true
    }

    /// Starts a pre-vote if this replica is a voter or its removal is not known to be committed. It
    /// may be the only replica with the entry that removes it, and must then replicate that entry,
    /// because the others cannot win an election against its log.
    pub(super) fn election_timeout(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        if !self.log.is_voter_at_or_after(self.commit, self.cfg.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.tally = VoteTally::default();
        let message = Message::PreVote { term: self.hard_state.term + 1, last: self.log.last() };
        self.ask_voters(message);
        self.count_pre_vote(self.cfg.id, true);
    }

    /// Asks for votes in the next term. With `transfer`, voters do not wait for the lease of the
    /// leader that they know, which has released it.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.reset_election_timer();
        self.role = Role::Candidate;
        self.leader = None;
        self.partial_snapshot = None;
        self.tally = VoteTally::default();
        self.set_term(self.hard_state.term + 1, Some(self.cfg.id));
        let message = Message::Vote { term: self.hard_state.term, last: self.log.last(), transfer };
        self.ask_voters(message);
    }

    fn ask_voters(&mut self, message: Message) {
        for id in self.voters().to_vec() {
            if id != self.cfg.id {
                self.send_after_vote_sync(id, message.clone());
            }
        }
    }

    pub(super) fn handle_pre_vote(&mut self, from: ReplicaId, term: u64, last: LogPosition) {
        let granted =
            term > self.hard_state.term && !self.refuses_votes() && self.is_up_to_date(last);
        let term = if granted { term } else { self.hard_state.term };
        self.send_after_vote_sync(from, Message::PreVoteAnswer { term, granted });
    }

    pub(super) fn handle_pre_vote_answer(&mut self, from: ReplicaId, term: u64, granted: bool) {
        let expected = self.hard_state.term + u64::from(granted);
        if self.role == Role::PreCandidate && term == expected {
            self.count_pre_vote(from, granted);
        }
    }

    fn count_pre_vote(&mut self, from: ReplicaId, granted: bool) {
        self.tally.count(from, granted);
        if is_majority(&self.tally.granted, self.voters()) {
            self.campaign(false);
        }
    }

    pub(super) fn handle_vote(&mut self, from: ReplicaId, last: LogPosition, transfer: bool) {
        let free = match self.hard_state.vote {
            Some(id) => id == from,
            None => self.leader.is_none() && (transfer || !self.refuses_votes()),
        };
        let granted = free && self.is_up_to_date(last);
        if granted && self.hard_state.vote.is_none() {
            self.set_term(self.hard_state.term, Some(from));
            self.reset_election_timer();
        }
        let term = self.hard_state.term;
        self.send_after_vote_sync(from, Message::VoteAnswer { term, granted });
    }

    pub(super) fn handle_vote_answer(&mut self, from: ReplicaId, granted: bool) {
        if self.role == Role::Candidate {
            self.count_vote(from, granted);
        }
    }

    pub(super) fn count_vote(&mut self, from: ReplicaId, granted: bool) {
        self.tally.count(from, granted);
        if is_majority(&self.tally.granted, self.voters()) {
            self.become_leader();
        } else if is_majority(&self.tally.refused, self.voters()) {
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn become_leader(&mut self) {
        if !self.durability.hard_state_synced() {
            // A quorum of other voters is not enough: if this replica crashed before its vote is
            // synced, it could win the same term again with another log.
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.leader_state =
            LeaderState { first_index: self.log.last().index + 1, ..LeaderState::default() };
        self.update_peers();
        self.append(Payload::Empty);
        self.broadcast_heartbeat();
        self.replicate();
    }

    pub(super) fn handle_timeout_now(&mut self, from: ReplicaId) {
        if self.role == Role::Follower && self.leader == Some(from) && self.is_voter() {
            self.campaign(true);
        }
    }

    fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Steps down if this replica may no longer lead; otherwise sends heartbeats and snapshot
    /// chunks that are due.
    pub(super) fn tick_leader(&mut self) {
        if !self.has_recent_quorum() {
            warn!("replica {}: lost contact with a quorum; stepping down", self.cfg.id.0);
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if !self.is_voter() && self.log.membership_index() <= self.commit {
            self.broadcast_heartbeat();
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if self.leader_state.transfer.as_ref().is_some_and(|t| self.now >= t.deadline) {
            self.abandon_transfer();
            if self.role != Role::Leader {
                return;
            }
        }
        self.leader_state.drop_removed_peers(self.now.checked_sub(self.cfg.election_timeout_max));
        if self.now >= self.leader_state.next_heartbeat {
            self.broadcast_heartbeat();
        }
        self.resend_snapshot_chunks();
    }
}
