//! Log replication and heartbeats.

use crate::message::{AppendResult, Message};
use crate::types::{Entry, LogPosition, Payload, ReplicaId};

use super::Core;
use super::api::{ProposalResult, Role};
use super::progress::{ProgressState, quorum_value};

impl Core {
    /// Appends an entry to the leader's log.
    pub(super) fn append(&mut self, payload: Payload) -> LogPosition {
        let index = self.log.last().index + 1;
        let position = LogPosition { index, term: self.hard_state.term };
        self.log.append(Entry { position, payload });
        position
    }

    /// Appends a proposal to the leader's log and sends it to the peers without waiting for the
    /// local sync.
    pub(super) fn append_proposal(&mut self, payload: Payload, request_id: u64) {
        let position = self.append(payload);
        self.proposals.push((position, request_id));
        self.out.proposals.push((request_id, ProposalResult::Appended(position)));
        self.replicate();
    }

    /// Sends each peer as many entries as its window of in-flight appends allows.
    pub(super) fn replicate(&mut self) {
        for i in 0..self.leader_state.peers.len() {
            self.replicate_to(i, false);
        }
    }

    /// Sends entries to the peer at index `i`. With `send_empty`, sends an empty append if there is
    /// nothing else to send, so that the peer reports a mismatch if an earlier append was lost.
    fn replicate_to(&mut self, i: usize, send_empty: bool) {
        if self.leader_state.peers[i].next <= self.log.base().index {
            self.start_snapshot(i);
            return;
        }
        let mut sent = false;
        while self.may_append(i) {
            sent = true;
            self.send_append(i);
        }
        if send_empty
            && !sent
            && matches!(self.leader_state.peers[i].state, ProgressState::Replicate { .. })
        {
            self.send_entries(i, Vec::new());
        }
    }

    fn may_append(&self, i: usize) -> bool {
        let p = &self.leader_state.peers[i];
        match &p.state {
            ProgressState::Probe { paused } => !paused,
            ProgressState::Replicate { inflight } => {
                p.next <= self.log.last().index && inflight.len() < self.cfg.max_inflight_appends
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    fn send_append(&mut self, i: usize) {
        let entries = self.log.batch(self.leader_state.peers[i].next, self.cfg.max_append_bytes);
        let last = entries.last().map(|e| e.position.index);
        self.send_entries(i, entries);
        let p = &mut self.leader_state.peers[i];
        match &mut p.state {
            ProgressState::Probe { paused } => *paused = true,
            ProgressState::Replicate { inflight } => {
                inflight.extend(last);
                p.next = last.map_or(p.next, |last| last + 1);
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    fn send_entries(&mut self, i: usize, entries: Vec<Entry>) {
        let p = &self.leader_state.peers[i];
        let (to, index) = (p.id, p.next - 1);
        let Some(term) = self.log.term_at(index) else { return };
        let previous = LogPosition { index, term };
        let (term, commit) = (self.hard_state.term, self.commit);
        self.send(to, Message::Append { term, previous, entries, commit });
    }

    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        previous: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
    ) {
        if !self.accept_leader_message(from) {
            return;
        }
        let result = if previous.index < self.log.base().index {
            AppendResult::Matched(self.commit)
        } else if self.log.matches(previous) {
            let matched = previous.index + entries.len() as u64;
            self.merge_entries(entries);
            self.commit_to(commit.min(matched));
            AppendResult::Matched(matched)
        } else {
            let hint = self.log.last_at_most(previous.index, previous.term);
            AppendResult::Mismatch { rejected: previous.index, hint }
        };
        let term = self.hard_state.term;
        self.send_after_sync(from, Message::AppendAnswer { term, result });
    }

    /// Appends entries that follow a matching position, and replaces entries that conflict with
    /// them.
    fn merge_entries(&mut self, entries: Vec<Entry>) {
        for e in entries {
            if self.log.matches(e.position) {
                continue;
            }
            let index = e.position.index;
            if index <= self.log.last().index {
                if index <= self.commit {
                    self.report_violation("committed entries never change");
                    return;
                }
                self.log.truncate_from(index);
                self.durability.truncated_from(index);
            }
            self.log.append(e);
        }
    }

    /// Advances the commit index to `index`, or to the last entry if the log ends before it.
    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last().index));
    }

    pub(super) fn handle_append_answer(&mut self, from: ReplicaId, result: AppendResult) {
        if self.role != Role::Leader {
            return;
        }
        let Ok(i) = self.leader_state.peers.binary_search_by_key(&from, |p| p.id) else { return };
        self.leader_state.peers[i].heard_at = self.now;
        match result {
            AppendResult::Matched(index) if index > self.log.last().index => {
                self.report_violation("a follower's log matches the leader's");
                return;
            }
            AppendResult::Matched(index) => self.leader_state.peers[i].matched_up_to(index),
            AppendResult::Mismatch { rejected, hint } => {
                let next = self.next_after_mismatch(rejected, hint);
                let p = &mut self.leader_state.peers[i];
                match p.state {
                    ProgressState::Probe { .. } if rejected + 1 == p.next => p.probe_from(next),
                    ProgressState::Replicate { .. } if rejected > p.matched => {
                        p.probe_from(p.matched + 1);
                    }
                    _ => return,
                }
            }
        }
        self.advance_commit();
        self.replicate_to(i, false);
        self.continue_transfer();
    }

    /// Returns the next index to send after a mismatch. Between the hint and the rejected index,
    /// the follower has no entry whose term is at most the rejected one. The leader's entries
    /// between the hint and its own last entry with at most the hint's term cannot match either.
    /// Both are skipped, so that the search takes one message per term and not per entry.
    fn next_after_mismatch(&self, rejected: u64, hint: LogPosition) -> u64 {
        let next = match self.log.term_at(hint.index) {
            Some(_) => self.log.last_at_most(hint.index, hint.term).index + 1,
            None => hint.index + 1,
        };
        next.min(rejected)
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term. An
    /// entry of an earlier term may still be replaced although a quorum has it (section 5.4.2 of
    /// the Raft paper).
    pub(super) fn advance_commit(&mut self) {
        let quorum = quorum_value(self.voters(), |id| {
            if id == self.cfg.id {
                self.durability.stable()
            } else {
                self.leader_state.peer(id).map_or(0, |p| p.matched)
            }
        });
        if let Some(index) = quorum
            && index > self.commit
            && self.log.term_at(index) == Some(self.hard_state.term)
        {
            self.commit_to(index);
            self.start_deferred_reads();
        }
    }

    pub(super) fn broadcast_heartbeat(&mut self) {
        let round = self.leader_state.start_round(self.now);
        self.leader_state.next_heartbeat = self.now + self.cfg.heartbeat_interval;
        let term = self.hard_state.term;
        for i in 0..self.leader_state.peers.len() {
            let p = &mut self.leader_state.peers[i];
            let (to, commit) = (p.id, self.commit.min(p.matched));
            if p.removed_at.is_some() && commit >= self.log.membership_index() {
                p.removal_round = p.removal_round.or(Some(round));
            }
            self.send(to, Message::Heartbeat { term, round, commit });
        }
    }

    pub(super) fn handle_heartbeat(&mut self, from: ReplicaId, round: u64, commit: u64) {
        if !self.accept_leader_message(from) {
            return;
        }
        self.commit_to(commit);
        let term = self.hard_state.term;
        self.send_after_vote_sync(from, Message::HeartbeatAnswer { term, round });
    }

    pub(super) fn handle_heartbeat_answer(&mut self, from: ReplicaId, round: u64) {
        if self.role != Role::Leader {
            return;
        }
        let Ok(i) = self.leader_state.peers.binary_search_by_key(&from, |p| p.id) else { return };
        self.leader_state.round_acked(from, round);
        let p = &mut self.leader_state.peers[i];
        p.heard_at = self.now;
        let behind = p.matched < self.log.last().index;
        if let ProgressState::Probe { paused } = &mut p.state {
            *paused = !behind;
        }
        if behind {
            self.replicate_to(i, true);
        }
        self.leader_state.drop_removed_peers(None);
        self.complete_reads();
        self.continue_transfer();
    }
}
