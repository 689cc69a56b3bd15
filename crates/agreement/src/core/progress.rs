//! State that a leader keeps about its peers and its term.

use std::collections::VecDeque;
use std::time::Duration;

use super::snapshot::OutgoingSnapshot;
use crate::types::{Membership, ReplicaId};

/// Number of recent heartbeat rounds whose send times a leader keeps. An answer to an older round
/// does not extend the lease.
const MAX_TRACKED_ROUNDS: usize = 256;

/// How the log is sent to a peer.
#[derive(Debug)]
pub(super) enum ProgressState {
    /// The matching position is unknown; one append at a time is sent to find it.
    Probe {
        /// Whether an append is unanswered.
        paused: bool,
    },
    /// Appends are pipelined without waiting for answers.
    Replicate {
        /// Last index of each unanswered append.
        inflight: VecDeque<u64>,
    },
    /// The peer needs entries that are no longer in memory and receives a snapshot.
    Snapshot(SnapshotTransfer),
}

/// A snapshot that is being sent to a peer, with one chunk in flight.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: OutgoingSnapshot,
    /// Offset of the last chunk sent.
    pub(super) offset: u64,
    /// When that chunk was sent.
    pub(super) sent_at: Duration,
}

/// Replication state of a peer.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) id: ReplicaId,
    /// Last index up to which the peer's log is synced and matches the leader's.
    pub(super) matched: u64,
    /// Next index to send.
    pub(super) next: u64,
    pub(super) state: ProgressState,
    /// When the peer last answered in this term, or when it became a peer.
    pub(super) heard_at: Duration,
    /// Last heartbeat round that the peer acknowledged.
    pub(super) acked_round: u64,
    /// When `acked_round` was sent.
    pub(super) acked_sent_at: Option<Duration>,
    /// When the peer was removed from the membership, if it was.
    pub(super) removed_at: Option<Duration>,
    /// First heartbeat round that told the peer that its removal is committed.
    pub(super) removal_round: Option<u64>,
}

impl Progress {
    fn new(id: ReplicaId, next: u64, now: Duration) -> Self {
        Self {
            id,
            matched: 0,
            next,
            state: ProgressState::Probe { paused: false },
            heard_at: now,
            acked_round: 0,
            acked_sent_at: None,
            removed_at: None,
            removal_round: None,
        }
    }

    /// Returns to the `Probe` state, sending from `next` but not from an index known to match.
    pub(super) fn probe_from(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.state = ProgressState::Probe { paused: false };
    }

    /// Records that the peer's log matches up to `index`.
    pub(super) fn matched_up_to(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.state {
            ProgressState::Replicate { inflight } => {
                while inflight.front().is_some_and(|&last| last <= index) {
                    inflight.pop_front();
                }
            }
            ProgressState::Snapshot(t) if self.matched < t.snapshot.last.index => {}
            ProgressState::Probe { .. } | ProgressState::Snapshot(_) => {
                self.next = self.matched + 1;
                self.state = ProgressState::Replicate { inflight: VecDeque::new() };
            }
        }
    }
}

/// A read that waits for a quorum to acknowledge a heartbeat round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) request_id: u64,
    /// Commit index when the read arrived.
    pub(super) index: u64,
    /// First heartbeat round sent after the read arrived.
    pub(super) round: u64,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) to: ReplicaId,
    /// Heartbeat round that the target must answer first. An earlier answer may be the last one of a
    /// process that has ended.
    pub(super) round: u64,
    /// When the transfer is abandoned.
    pub(super) deadline: Duration,
    /// Whether `TimeoutNow` has been sent.
    pub(super) sent: bool,
}

/// State that exists only while this replica leads.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    /// Voters and learners other than the leader, and recently removed ones; sorted by id.
    pub(super) peers: Vec<Progress>,
    /// Index of the first entry of the term.
    pub(super) first_index: u64,
    /// Last heartbeat round.
    pub(super) round: u64,
    /// Numbers of recent rounds and when they were sent.
    pub(super) rounds: VecDeque<(u64, Duration)>,
    pub(super) next_heartbeat: Duration,
    /// Request ids of reads that wait for the first commit of the term.
    pub(super) deferred_reads: Vec<u64>,
    /// Reads that wait for a heartbeat round, in ascending order of the round.
    pub(super) pending_reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// Set for the rest of the term once `TimeoutNow` has been sent: a delayed or duplicated copy
    /// of it may let another replica win an election at any time. The term ends with the transfer's
    /// deadline.
    pub(super) lease_released: bool,
}

impl LeaderState {
    pub(super) fn peer(&self, id: ReplicaId) -> Option<&Progress> {
        self.peers.binary_search_by_key(&id, |p| p.id).ok().map(|i| &self.peers[i])
    }

    pub(super) fn peer_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        self.peers.binary_search_by_key(&id, |p| p.id).ok().map(|i| &mut self.peers[i])
    }

    /// Adds the members other than the leader as peers. Removed members remain peers for a while,
    /// so that they learn of their removal and stop campaigning.
    pub(super) fn set_members(
        &mut self,
        leader: ReplicaId,
        membership: &Membership,
        next: u64,
        now: Duration,
    ) {
        let is_member =
            |id: &ReplicaId| membership.voters.contains(id) || membership.learners.contains(id);
        for p in &mut self.peers {
            p.removed_at = if is_member(&p.id) { None } else { p.removed_at.or(Some(now)) };
            p.removal_round = None;
        }
        for &id in membership.voters.iter().chain(&membership.learners) {
            if id != leader
                && let Err(i) = self.peers.binary_search_by_key(&id, |p| p.id)
            {
                self.peers.insert(i, Progress::new(id, next, now));
            }
        }
    }

    /// Drops the removed peers that know of their removal, and those that were removed at or before
    /// `removed_before`.
    pub(super) fn drop_removed_peers(&mut self, removed_before: Option<Duration>) {
        self.peers.retain(|p| {
            let informed = p.removal_round.is_some_and(|round| p.acked_round >= round);
            p.removed_at.is_none_or(|at| !informed && removed_before.is_none_or(|by| at > by))
        });
    }

    /// Starts a heartbeat round and returns its number.
    pub(super) fn start_round(&mut self, now: Duration) -> u64 {
        self.round += 1;
        if self.rounds.len() == MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((self.round, now));
        self.round
    }

    /// Records that a peer acknowledged a round.
    pub(super) fn round_acked(&mut self, from: ReplicaId, round: u64) {
        let first = self.rounds.front().map_or(0, |r| r.0);
        let sent_at =
            round.checked_sub(first).and_then(|i| self.rounds.get(i as usize)).map(|r| r.1);
        if let Some(p) = self.peer_mut(from)
            && p.acked_round < round
        {
            p.acked_round = round;
            p.acked_sent_at = sent_at.or(p.acked_sent_at);
        }
    }
}

/// Returns the largest value that a majority of the voters has reached, or `None` without voters.
pub(super) fn quorum_value<T: Ord + Copy>(
    voters: &[ReplicaId],
    value: impl Fn(ReplicaId) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(|&id| value(id)).collect();
    values.sort_unstable();
    let majority = voters.len() / 2 + 1;
    values.len().checked_sub(majority).map(|i| values[i])
}
