//! Linearizable reads by leader lease or heartbeat round.

use std::time::Duration;

use super::Core;
use super::api::{ReadResult, Role};
use super::progress::{PendingRead, quorum_value};

impl Core {
    /// Returns whether this replica holds the leader lease at `now`. If so, no other replica can
    /// have been elected, and the commit index covers everything acknowledged before.
    ///
    /// The lease starts when the last heartbeat round acknowledged by a quorum was sent. The
    /// acknowledging voters refuse other candidates for the shortest election timeout from when
    /// they received the heartbeat, which is later.
    pub fn lease_valid(&self, now: Duration) -> bool {
        if self.role != Role::Leader
            || self.leader_state.lease_released
            || !self.has_committed_in_term()
        {
            return false;
        }
        let length = self.cfg.election_timeout_min.saturating_sub(self.cfg.drift_margin);
        let start = quorum_value(self.voters(), |id| {
            if id == self.cfg.id {
                Some(now)
            } else {
                self.leader_state.peer(id).and_then(|p| p.acked_sent_at)
            }
        });
        start.flatten().is_some_and(|start| now < start + length)
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.commit >= self.leader_state.first_index
    }

    /// Returns whether a quorum has answered within the shortest election timeout.
    pub(super) fn has_recent_quorum(&self) -> bool {
        let heard_at = quorum_value(self.voters(), |id| {
            if id == self.cfg.id {
                self.now
            } else {
                self.leader_state.peer(id).map_or(Duration::ZERO, |p| p.heard_at)
            }
        });
        heard_at.is_some_and(|at| self.now < at + self.cfg.election_timeout_min)
    }

    pub(super) fn read(&mut self, request_id: u64) {
        if self.role != Role::Leader {
            let leader = self.leader;
            self.out.reads.push((request_id, ReadResult::NotLeader { leader }));
        } else if !self.has_committed_in_term() {
            self.leader_state.deferred_reads.push(request_id);
        } else if self.lease_valid(self.now) {
            self.out.reads.push((request_id, ReadResult::Ready { index: self.commit }));
        } else {
            self.read_by_quorum(request_id);
        }
    }

    fn read_by_quorum(&mut self, request_id: u64) {
        let first = self.leader_state.pending_reads.is_empty();
        let round = self.leader_state.round + 1;
        self.leader_state.pending_reads.push_back(PendingRead {
            request_id,
            index: self.commit,
            round,
        });
        if first {
            self.broadcast_heartbeat();
            self.complete_reads();
        }
    }

    /// Starts the reads that waited for the first commit of the term.
    pub(super) fn start_deferred_reads(&mut self) {
        if self.has_committed_in_term() {
            for request_id in std::mem::take(&mut self.leader_state.deferred_reads) {
                self.read(request_id);
            }
        }
    }

    /// Completes the reads whose round a quorum has acknowledged, and starts a round for the reads
    /// that arrived in the meantime.
    pub(super) fn complete_reads(&mut self) {
        let own = self.leader_state.round;
        let acked = quorum_value(self.voters(), |id| {
            if id == self.cfg.id {
                own
            } else {
                self.leader_state.peer(id).map_or(0, |p| p.acked_round)
            }
        });
        let acked = acked.unwrap_or(0);
        while let Some(r) = self.leader_state.pending_reads.pop_front_if(|r| r.round <= acked) {
            self.out.reads.push((r.request_id, ReadResult::Ready { index: r.index }));
        }
        if self.leader_state.pending_reads.front().is_some_and(|r| r.round > own) {
            self.broadcast_heartbeat();
        }
    }
}
