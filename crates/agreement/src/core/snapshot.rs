//! Log compaction and snapshot transfer.

use std::sync::Arc;

use bytes::Bytes;
use log::{error, info};

use crate::message::{AppendResult, Message};
use crate::types::{LogPosition, Membership, ReplicaId, Snapshot, SnapshotSource};

use super::Core;
use super::api::{ProposalResult, Role};
use super::memory_log::MemoryLog;
use super::progress::{ProgressState, SnapshotTransfer};

/// While a snapshot is being sent, so many times `trailing_bytes` of older entries stay in memory:
/// a peer that takes several seconds for a snapshot can then continue with the log.
const TRANSFER_TRAILING_FACTOR: usize = 8;

/// The received part of a snapshot from the current leader.
#[derive(Debug)]
pub(super) struct PartialSnapshot {
    last: LogPosition,
    received: u64,
    /// Empty if the parts are passed on.
    data: Vec<u8>,
}

/// A snapshot for other replicas.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) last: LogPosition,
    pub(super) membership: Membership,
    pub(super) source: Arc<dyn SnapshotSource>,
}

impl Core {
    /// Records a snapshot of the state machine and compacts the log in memory.
    pub(super) fn compact(&mut self, mut snapshot: Snapshot) {
        let source = self.source.take().unwrap_or_else(|| Arc::new(snapshot.data.clone()));
        let index = snapshot.last.index;
        let current = self.log.snapshot();
        if index < current.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        snapshot.last.term = term;
        snapshot.membership = self.log.membership_at(index).clone();
        let (last, membership) = (snapshot.last, snapshot.membership.clone());
        if index > current.index {
            self.log.compact(last, self.keep_after(index));
            self.durability.snapshot_taken(snapshot);
        }
        self.snapshot = Some(OutgoingSnapshot { last, membership, source });
        if self.role == Role::Leader {
            self.replicate();
        }
        // The transfers that need the snapshot hold it. Another copy of the whole state is not kept
        // for later ones, which ask the driver for a new snapshot.
        self.snapshot = None;
    }

    /// Returns the index up to which the log may be dropped after a snapshot at `index`. A peer that
    /// receives an earlier snapshot needs the entries after that one next; without them it would
    /// have to receive another snapshot, possibly without end.
    fn keep_after(&self, index: u64) -> u64 {
        let bytes = self.cfg.trailing_bytes;
        let trailing = self.log.tail_start(index, self.cfg.trailing_entries, bytes);
        let sending = self.leader_state.peers.iter().filter_map(|p| match &p.state {
            ProgressState::Snapshot(t) => Some(t.snapshot.last.index),
            _ => None,
        });
        let Some(sending) = sending.min() else { return trailing };
        let bytes = bytes.saturating_mul(TRANSFER_TRAILING_FACTOR);
        trailing.min(sending.max(self.log.tail_start(index, u64::MAX, bytes)))
    }

    /// Starts to send the snapshot to the peer at index `i`, or asks the driver for one.
    pub(super) fn start_snapshot(&mut self, i: usize) {
        if matches!(self.leader_state.peers[i].state, ProgressState::Snapshot(_)) {
            return;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            self.out.snapshot_wanted = true;
            return;
        };
        info!(
            "replica {}: sending snapshot at index {} ({} B) to replica {}",
            self.cfg.id.0,
            snapshot.last.index,
            snapshot.source.len(),
            self.leader_state.peers[i].id.0
        );
        let transfer = SnapshotTransfer { snapshot, offset: 0, sent_at: self.now };
        self.leader_state.peers[i].state = ProgressState::Snapshot(transfer);
        self.send_chunk(i);
    }

    fn send_chunk(&mut self, i: usize) {
        let (now, term) = (self.now, self.hard_state.term);
        let p = &mut self.leader_state.peers[i];
        let to = p.id;
        let ProgressState::Snapshot(t) = &mut p.state else { return };
        t.sent_at = now;
        let data = match t.snapshot.source.read(t.offset, self.cfg.snapshot_chunk_bytes) {
            Ok(data) => data,
            Err(e) => {
                // The chunk is read again when its resend is due.
                error!("replica {}: cannot read a snapshot to send: {e}", self.cfg.id.0);
                return;
            }
        };
        let message = Message::SnapshotChunk {
            term,
            last: t.snapshot.last,
            membership: t.snapshot.membership.clone(),
            offset: t.offset,
            done: t.offset + data.len() as u64 >= t.snapshot.source.len(),
            data,
        };
        self.send(to, message);
    }

    /// Resends chunks that were not answered within the shortest election timeout.
    pub(super) fn resend_snapshot_chunks(&mut self) {
        for i in 0..self.leader_state.peers.len() {
            if let ProgressState::Snapshot(t) = &self.leader_state.peers[i].state
                && self.now >= t.sent_at + self.cfg.election_timeout_min
            {
                self.send_chunk(i);
            }
        }
    }

    pub(super) fn handle_snapshot_answer(
        &mut self,
        from: ReplicaId,
        last: LogPosition,
        received: u64,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let Ok(i) = self.leader_state.peers.binary_search_by_key(&from, |p| p.id) else { return };
        let p = &mut self.leader_state.peers[i];
        p.heard_at = self.now;
        if let ProgressState::Snapshot(t) = &mut p.state
            && t.snapshot.last == last
            && t.offset != received
            && received < t.snapshot.source.len()
        {
            t.offset = received;
            self.send_chunk(i);
        }
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: Snapshot,
        offset: u64,
        done: bool,
    ) {
        if !self.accept_leader_message(from) {
            return;
        }
        let term = self.hard_state.term;
        let last = chunk.last;
        if last.index > self.commit && !self.log.matches(last) {
            let partial = match &mut self.partial_snapshot {
                Some(p) if p.last == last => p,
                p => p.insert(PartialSnapshot { last, received: 0, data: Vec::new() }),
            };
            let fits = partial.received == offset;
            if fits {
                partial.received += chunk.data.len() as u64;
                if self.cfg.passes_snapshot_parts {
                    self.out.snapshot_parts.push((offset, chunk.data.clone()));
                } else {
                    partial.data.extend_from_slice(&chunk.data);
                }
            }
            if !fits || !done {
                let received = partial.received;
                self.send_after_vote_sync(from, Message::SnapshotAnswer { term, last, received });
                return;
            }
            let data = Bytes::from(std::mem::take(&mut partial.data));
            self.install(Snapshot { data, ..chunk });
        }
        self.partial_snapshot = None;
        self.commit_to(last.index);
        let result = AppendResult::Matched(last.index);
        self.send_after_sync(from, Message::AppendAnswer { term, result });
    }

    /// Replaces the whole log with a snapshot.
    fn install(&mut self, snapshot: Snapshot) {
        let commit = self.commit;
        self.log = MemoryLog::new(snapshot.last, snapshot.membership.clone());
        self.durability.snapshot_installed(snapshot.clone(), commit);
        let Self { proposals, out, .. } = self;
        proposals.retain(|&(position, request_id)| {
            let covered = position.index <= snapshot.last.index;
            if covered {
                out.proposals.push((request_id, ProposalResult::Unknown));
            }
            !covered
        });
        self.commit = snapshot.last.index;
        self.applied = snapshot.last.index;
        self.out.install = Some(snapshot);
    }
}
