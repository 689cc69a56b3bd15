//! Raft as a pure state machine: no I/O, no clock, no threads.
//!
//! The core owns a replica's term, vote, role and the log in memory; the driver owns storage,
//! transport, clock and state machine. After a restart, a replica is rebuilt from what storage had
//! synced. This is safe because the core emits no message that depends on unsynced state.

use std::sync::Arc;
use std::time::Duration;

use log::{error, info};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::message::Message;
use crate::types::{Entry, HardState, LogPosition, Payload, ReplicaId, Snapshot, SnapshotSource};

mod api;
mod durability;
mod election;
mod membership;
mod memory_log;
mod progress;
mod reads;
mod replication;
mod snapshot;

pub use api::{
    CoreConfig, InitialState, Input, MembershipChange, MembershipChangeError, Output,
    ProposalResult, ReadResult, Role, RoleChange, Status,
};

use durability::Durability;
use election::VoteTally;
use memory_log::MemoryLog;
use progress::LeaderState;
use snapshot::{OutgoingSnapshot, PartialSnapshot};

/// Counter of violated invariants, by name.
const VIOLATIONS_METRIC: &str = "poplarspan_agreement_invariant_violations_total";

/// One replica of a group.
#[derive(Debug)]
pub struct Core {
    cfg: CoreConfig,
    rng: SmallRng,
    now: Duration,
    /// Whether the first step has initialised the timers.
    started: bool,
    hard_state: HardState,
    role: Role,
    leader: Option<ReplicaId>,
    /// When this replica last heard from a leader. A restarted replica uses its start time, because
    /// it may have acknowledged a heartbeat just before the restart.
    heard_at: Option<Duration>,
    election_deadline: Duration,
    tally: VoteTally,
    leader_state: LeaderState,
    log: MemoryLog,
    commit: u64,
    applied: u64,
    durability: Durability,
    /// Snapshot at the log's snapshot position, while the driver hands it over.
    snapshot: Option<OutgoingSnapshot>,
    /// Content for other replicas of the snapshot in the next `Input::Compact`.
    source: Option<Arc<dyn SnapshotSource>>,
    partial_snapshot: Option<PartialSnapshot>,
    /// Proposals of this replica whose index is not yet committed, with their request ids.
    proposals: Vec<(LogPosition, u64)>,
    reported_role: RoleChange,
    out: Output,
    violations: u64,
}

impl Core {
    /// Creates a replica from its durable state. It starts as a follower.
    pub fn new(cfg: CoreConfig, initial: InitialState) -> Self {
        let InitialState { hard_state, snapshot, membership, entries } = initial;
        let mut log = MemoryLog::new(snapshot, membership);
        for e in entries {
            if e.position.index == log.last().index + 1 {
                log.append(e);
            }
        }
        Self {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            now: Duration::ZERO,
            started: false,
            hard_state,
            role: Role::Follower,
            leader: None,
            heard_at: None,
            election_deadline: Duration::ZERO,
            tally: VoteTally::default(),
            leader_state: LeaderState::default(),
            commit: snapshot.index,
            applied: snapshot.index,
            durability: Durability::new(log.last().index),
            log,
            snapshot: None,
            source: None,
            partial_snapshot: None,
            proposals: Vec::new(),
            reported_role: RoleChange { role: Role::Follower, term: hard_state.term, leader: None },
            out: Output::default(),
            violations: 0,
        }
    }

    /// Handles one input.
    ///
    /// `now` is the time of the replica's monotonic clock, read after the input arrived. If it were
    /// read earlier, a follower could consider a heartbeat older than it is and vote while the
    /// leader's lease is still valid. A time before that of an earlier step counts as that step's
    /// time.
    ///
    /// # Panics
    ///
    /// Panics if `election_timeout_min` exceeds `election_timeout_max`. Debug builds also panic
    /// when an invariant is violated.
    pub fn step(&mut self, now: Duration, input: Input) -> Output {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.heard_at = (self.hard_state.term > 0).then_some(self.now);
            self.reset_election_timer();
        }
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.receive(from, message),
            Input::Synced { sequence } => self.synced(sequence),
            Input::Propose { data, request_id } => self.propose(data, request_id),
            Input::Read { request_id } => self.read(request_id),
            Input::ChangeMembership { change, request_id } => {
                self.change_membership(change, request_id)
            }
            Input::TransferLeadership { to } => self.transfer_leadership(to),
            Input::Compact { snapshot } => self.compact(snapshot),
        }
        self.finish()
    }

    /// Sets the content to send to other replicas for the snapshot in the next `Input::Compact`. By
    /// default, the snapshot's `data` is sent.
    pub fn set_snapshot_source(&mut self, source: Arc<dyn SnapshotSource>) {
        self.source = Some(source);
    }

    /// Returns the state of the replica.
    pub fn status(&self) -> Status {
        Status {
            id: self.cfg.id,
            role: self.role_change(),
            commit: self.commit,
            last: self.log.last(),
            stable: self.durability.stable(),
            snapshot: self.log.snapshot(),
            membership: self.log.membership().clone(),
            membership_committed: self.log.membership_index() <= self.commit,
            peers: self.leader_state.peers.iter().map(|p| (p.id, p.matched)).collect(),
            last_contact: self
                .leader_state
                .peers
                .iter()
                .map(|p| (p.id, self.now.saturating_sub(p.heard_at)))
                .collect(),
            transfer: self.leader_state.transfer.as_ref().map(|t| t.to),
            violations: self.violations,
        }
    }

    /// Returns the entries from index `from` on that are in memory.
    pub fn entries_from(&self, from: u64) -> Vec<Entry> {
        self.log.range(from, self.log.last().index)
    }

    fn tick(&mut self) {
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.election_timeout();
        }
    }

    fn receive(&mut self, from: ReplicaId, message: Message) {
        if !self.accept_term(from, &message) {
            return;
        }
        match message {
            Message::PreVote { term, last } => self.handle_pre_vote(from, term, last),
            Message::PreVoteAnswer { term, granted } => {
                self.handle_pre_vote_answer(from, term, granted);
            }
            Message::Vote { last, transfer, .. } => self.handle_vote(from, last, transfer),
            Message::VoteAnswer { granted, .. } => self.handle_vote_answer(from, granted),
            Message::Append { previous, entries, commit, .. } => {
                self.handle_append(from, previous, entries, commit);
            }
            Message::AppendAnswer { result, .. } => self.handle_append_answer(from, result),
            Message::Heartbeat { round, commit, .. } => self.handle_heartbeat(from, round, commit),
            Message::HeartbeatAnswer { round, .. } => self.handle_heartbeat_answer(from, round),
            Message::SnapshotChunk { last, membership, offset, data, done, .. } => {
                let chunk = Snapshot { last, membership, data };
                self.handle_snapshot_chunk(from, chunk, offset, done);
            }
            Message::SnapshotAnswer { last, received, .. } => {
                self.handle_snapshot_answer(from, last, received);
            }
            Message::TimeoutNow { .. } => self.handle_timeout_now(from),
        }
    }

    fn synced(&mut self, sequence: u64) {
        let Some(messages) = self.durability.synced(sequence) else { return };
        self.out.messages.extend(messages);
        match self.role {
            Role::Candidate if self.durability.hard_state_synced() => {
                self.count_vote(self.cfg.id, true);
            }
            Role::Leader => self.advance_commit(),
            _ => {}
        }
    }

    fn propose(&mut self, data: bytes::Bytes, request_id: u64) {
        if self.role != Role::Leader || self.leader_state.transfer.is_some() {
            let leader = self.leader.filter(|&id| id != self.cfg.id);
            self.out.proposals.push((request_id, ProposalResult::NotLeader { leader }));
            return;
        }
        self.append_proposal(Payload::Command(data), request_id);
    }

    fn finish(&mut self) -> Output {
        if self.commit < self.applied {
            self.report_violation("commit index never goes back");
        } else if self.applied < self.commit {
            self.out.apply = self.log.range(self.applied + 1, self.commit);
            self.applied = self.commit;
            self.report_overwritten_proposals();
        }
        self.out.persist = self.durability.next_persist(self.hard_state, &self.log);
        let role = self.role_change();
        if role != self.reported_role {
            info!(
                "replica {}: changed to role {:?} in term {}, leader {:?}",
                self.cfg.id.0, role.role, role.term, role.leader
            );
            self.reported_role = role;
            self.out.role = Some(role);
        }
        std::mem::take(&mut self.out)
    }

    /// Reports the proposals whose index was committed with another entry. Truncation alone does
    /// not decide a proposal: another replica may still have its entry, which may then be
    /// committed.
    fn report_overwritten_proposals(&mut self) {
        let Self { proposals, log, out, commit, .. } = self;
        proposals.retain(|&(position, request_id)| {
            let committed = position.index <= *commit;
            if committed && !log.matches(position) {
                out.proposals.push((request_id, ProposalResult::Overwritten));
            }
            !committed
        });
    }

    fn role_change(&self) -> RoleChange {
        RoleChange { role: self.role, term: self.hard_state.term, leader: self.leader }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        self.out.messages.push((to, message));
    }

    /// Sends a message once the current term and vote are synced.
    fn send_after_vote_sync(&mut self, to: ReplicaId, message: Message) {
        self.send_after(self.durability.hard_state_sequence(), to, message);
    }

    /// Sends a message once the hard state, the snapshot and all entries are synced.
    fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        self.send_after(self.durability.full_sequence(&self.log), to, message);
    }

    fn send_after(&mut self, sequence: u64, to: ReplicaId, message: Message) {
        if self.durability.is_synced(sequence) {
            self.send(to, message);
        } else {
            self.durability.defer(sequence, to, message);
        }
    }

    fn voters(&self) -> &[ReplicaId] {
        &self.log.membership().voters
    }

    fn is_voter(&self) -> bool {
        self.voters().contains(&self.cfg.id)
    }

    fn reset_election_timer(&mut self) {
        let timeout =
            self.rng.random_range(self.cfg.election_timeout_min..=self.cfg.election_timeout_max);
        self.election_deadline = self.now + timeout;
    }

    /// Reports a violated invariant: counts and logs it, and panics in debug builds.
    fn report_violation(&mut self, invariant: &'static str) {
        self.violations += 1;
        metrics::counter!(VIOLATIONS_METRIC, "invariant" => invariant).increment(1);
        error!("replica {}: invariant violated: {invariant}", self.cfg.id.0);
        debug_assert!(false, "replica {}: invariant violated: {invariant}", self.cfg.id.0);
    }
}
