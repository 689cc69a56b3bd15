//! Deterministic simulation of a group: a lossy network, disks that lose unsynced writes, clocks
//! with different offsets and rates, and checks of the invariants after each step.

mod disk;
pub mod faults;
mod oracle;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use poplarspan_agreement::{
    Core, CoreConfig, Input, Membership, Message, Output, Payload, PersistRequest, ProposalResult,
    ReadResult, ReplicaId, Role, Snapshot,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use disk::Disk;
use oracle::Oracle;

pub const MAX_REPLICAS: usize = 5;
/// Messages in flight beyond which the oldest is dropped.
const MAX_MESSAGES: usize = 80;
/// Simulated time within which a group without further faults must commit a proposal and bring all
/// members up to date: ten times the longest election timeout.
const MAX_RECOVERY: Duration = Duration::from_secs(6);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One replica with its disk, clock and state machine.
pub struct SimReplica {
    pub id: ReplicaId,
    /// `None` while the process is down.
    pub core: Option<Core>,
    pub cfg: CoreConfig,
    pub disk: Disk,
    /// Write in progress that is not yet synced.
    pub pending: Option<PersistRequest>,
    pub applied: u64,
    /// Hash of the applied entries.
    digest: u64,
    /// Offset of the local clock from the simulated time.
    clock_offset: Duration,
    /// Rate of the local clock relative to the simulated time, in thousandths.
    clock_rate_permille: u32,
    pub frozen_until: Duration,
    /// Number of starts of the process.
    incarnation: u64,
    /// Set once the disk is lost: the replica never returns.
    pub lost: Option<LostDisk>,
    /// Index, term and request id of undecided proposals in this replica's log.
    pending_proposals: Vec<(u64, u64, u64)>,
    /// Request ids of pending reads, with the lowest index at which they may be answered.
    reads: Vec<(u64, u64)>,
    snapshot_wanted: bool,
}

impl SimReplica {
    pub fn is_leader(&self) -> bool {
        self.core.as_ref().is_some_and(|c| c.status().role.role == Role::Leader)
    }

    fn snapshot(&self) -> Snapshot {
        let mut data = self.digest.to_be_bytes().to_vec();
        data.extend_from_slice(&self.applied.to_be_bytes());
        let last = poplarspan_agreement::LogPosition { index: self.applied, term: 0 };
        Snapshot { last, membership: Default::default(), data: Bytes::from(data) }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let (digest, applied) = snapshot.data.split_at(8);
        self.digest = u64::from_be_bytes(digest.try_into().expect("digest"));
        self.applied = u64::from_be_bytes(applied.try_into().expect("index"));
        assert_eq!(self.applied, snapshot.last.index, "snapshot data does not match its position");
    }
}

/// What was known when a disk was lost.
pub struct LostDisk {
    /// Replicas that were members of a membership by then. They must not replace the lost one in one
    /// step.
    pub members: BTreeSet<ReplicaId>,
}

pub struct Cluster {
    pub seed: u64,
    pub rng: SmallRng,
    pub now: Duration,
    pub replicas: Vec<SimReplica>,
    /// Messages in flight: sender, receiver, message.
    pub net: Vec<(ReplicaId, ReplicaId, Message)>,
    /// Blocked links, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Probability that a message is lost, in thousandths.
    pub loss_permille: u32,
    /// Probability that a message is duplicated, in thousandths.
    pub duplicate_permille: u32,
    /// Loss of appends if higher than `loss_permille`, so that logs diverge although leaders are
    /// elected.
    pub append_loss_permille: u32,
    /// Whether clocks may jump. Leases are unsafe then, so the configuration has to disable them.
    pub clock_jumps: bool,
    pub oracle: Oracle,
    last_request_id: u64,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {} at {:?}", self.seed, self.now);
        }
    }
}

impl Cluster {
    /// Creates `MAX_REPLICAS` replicas, the first `voters` of which are the voters of a group.
    pub fn new(seed: u64, voters: usize, adjust: impl Fn(&mut CoreConfig)) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ids: Vec<_> = (1..=MAX_REPLICAS as u64).map(ReplicaId).collect();
        let replicas = ids.iter().map(|&id| {
            let mut cfg = CoreConfig::new(id, rng.random());
            adjust(&mut cfg);
            let members = if ids[..voters].contains(&id) { &ids[..voters] } else { &[] };
            SimReplica {
                id,
                core: None,
                cfg,
                disk: Disk::new(members),
                pending: None,
                applied: 0,
                digest: 0,
                clock_offset: ms(rng.random_range(0..100_000)),
                clock_rate_permille: rng.random_range(970..=1030),
                frozen_until: Duration::ZERO,
                incarnation: 0,
                lost: None,
                pending_proposals: Vec::new(),
                reads: Vec::new(),
                snapshot_wanted: false,
            }
        });
        let mut cluster = Self {
            seed,
            replicas: replicas.collect(),
            rng,
            now: Duration::ZERO,
            net: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss_permille: 0,
            duplicate_permille: 0,
            append_loss_permille: 0,
            clock_jumps: false,
            oracle: Oracle::default(),
            last_request_id: 0,
        };
        (0..MAX_REPLICAS).for_each(|i| cluster.start(i));
        cluster
    }

    /// Starts the process of a replica that is down, with the state on its disk.
    pub fn start(&mut self, i: usize) {
        let sim = &mut self.replicas[i];
        if sim.core.is_some() || sim.lost.is_some() {
            return;
        }
        sim.incarnation += 1;
        sim.cfg.seed = sim.cfg.seed.wrapping_add(1);
        (sim.applied, sim.digest) = (0, 0);
        if let Some(snapshot) = sim.disk.snapshot.clone() {
            sim.restore(&snapshot);
        }
        sim.core = Some(Core::new(sim.cfg.clone(), sim.disk.initial_state()));
        self.step(i, Input::Tick);
    }

    /// Kills the process of a replica. A random prefix of its unsynced write survives.
    pub fn crash(&mut self, i: usize) {
        let sim = &mut self.replicas[i];
        if let Some(p) = sim.pending.take() {
            let parts = self.rng.random_range(0..=Disk::parts(&p));
            sim.disk.write(&p, parts);
        }
        sim.core = None;
        sim.pending_proposals.clear();
        sim.reads.clear();
    }

    /// Memberships in the logs of the replicas, on disk and in memory.
    fn memberships(&self) -> Vec<Membership> {
        let intact = self.replicas.iter().filter(|sim| sim.lost.is_none());
        let known = |sim: &SimReplica| {
            let mut all = sim.disk.memberships();
            if let Some(core) = &sim.core {
                all.push(core.status().membership);
                let entries = core.entries_from(core.status().snapshot.index + 1);
                all.extend(entries.into_iter().filter_map(|e| match e.payload {
                    Payload::Membership(m) => Some(m),
                    _ => None,
                }));
            }
            all
        };
        intact.flat_map(known).collect()
    }

    pub fn is_lost(&self, id: ReplicaId) -> bool {
        self.replicas[id.0 as usize - 1].lost.is_some()
    }

    /// Loses the disk of a replica, unless a membership that may be in force would not bear it.
    pub fn lose_disk(&mut self, i: usize) {
        let id = self.replicas[i].id;
        let bears = |m: &Membership| {
            let lost = m.voters.iter().filter(|v| **v == id || self.is_lost(**v)).count();
            lost <= m.voters.len().saturating_sub(1) / 2
        };
        let memberships = self.memberships();
        if self.replicas[i].lost.is_some() || !memberships.iter().all(bears) {
            return;
        }
        self.crash(i);
        let members = memberships.into_iter().flat_map(|m| [m.voters, m.learners].concat());
        self.replicas[i].lost = Some(LostDisk { members: members.collect() });
    }

    fn clock(&self, i: usize) -> Duration {
        self.replicas[i].clock_offset + self.now * self.replicas[i].clock_rate_permille / 1000
    }

    pub fn runs(&self, i: usize) -> bool {
        self.replicas[i].core.is_some() && self.replicas[i].frozen_until <= self.now
    }

    /// Steps a replica and handles the output, unless the replica is down or frozen.
    pub fn step(&mut self, i: usize, input: Input) {
        let now = self.clock(i);
        if !self.runs(i) {
            return;
        }
        let Some(core) = &mut self.replicas[i].core else { return };
        let out = core.step(now, input);
        self.handle(i, out);
    }

    fn handle(&mut self, i: usize, out: Output) {
        let id = self.replicas[i].id;
        for (to, message) in out.messages {
            self.send(id, to, message);
        }
        let sim = &mut self.replicas[i];
        if let Some(p) = out.persist {
            assert!(
                sim.pending.is_none(),
                "a second write was requested before the first was synced"
            );
            sim.pending = Some(p);
        }
        if let Some(snapshot) = &out.install {
            sim.restore(snapshot);
            self.oracle.installed(sim.applied, sim.digest);
        }
        for e in out.apply {
            assert_eq!(e.position.index, sim.applied + 1, "entries were applied out of order");
            sim.applied += 1;
            sim.digest = self.oracle.applied(&e, sim.digest);
            let position = (e.position.index, e.position.term);
            if let Some(k) = sim.pending_proposals.iter().position(|w| (w.0, w.1) == position) {
                let request_id = sim.pending_proposals.swap_remove(k).2;
                self.oracle.acknowledged(&e, request_id);
            }
        }
        self.handle_proposals(i, out.proposals);
        self.handle_reads(i, out.reads);
        let sim = &mut self.replicas[i];
        sim.snapshot_wanted |= out.snapshot_wanted;
        if let (Some(role), Some(core)) = (out.role, &sim.core)
            && role.role == Role::Leader
        {
            self.oracle.elected(core, role.term, id, sim.incarnation);
        }
    }

    fn handle_proposals(&mut self, i: usize, results: Vec<(u64, ProposalResult)>) {
        let pending = &mut self.replicas[i].pending_proposals;
        for (request_id, result) in results {
            match result {
                ProposalResult::Appended(at) => pending.push((at.index, at.term, request_id)),
                ProposalResult::Unknown => pending.retain(|w| w.2 != request_id),
                ProposalResult::NotLeader { .. } | ProposalResult::Refused(_) => {
                    self.oracle.not_applied(request_id);
                }
                ProposalResult::Overwritten => {
                    pending.retain(|w| w.2 != request_id);
                    self.oracle.not_applied(request_id);
                }
            }
        }
    }

    fn handle_reads(&mut self, i: usize, results: Vec<(u64, ReadResult)>) {
        for (request_id, result) in results {
            let reads = &mut self.replicas[i].reads;
            let k = reads.iter().position(|r| r.0 == request_id).expect("read is under way");
            let (_, floor) = reads.swap_remove(k);
            if let ReadResult::Ready { index } = result {
                assert!(
                    index >= floor,
                    "stale read at index {index}; entries up to {floor} were acknowledged before"
                );
                self.oracle.read_floor = self.oracle.read_floor.max(index);
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        let loss = match message {
            Message::Append { .. } => self.loss_permille.max(self.append_loss_permille),
            _ => self.loss_permille,
        };
        if self.blocked_links.contains(&(from, to)) || self.rng.random_ratio(loss, 1000) {
            return;
        }
        if self.net.len() > MAX_MESSAGES {
            self.net.remove(0);
        }
        if self.rng.random_ratio(self.duplicate_permille, 1000) {
            self.net.push((from, to, message.clone()));
        }
        self.net.push((from, to, message));
    }

    /// Delivers the message with index `k`.
    pub fn deliver(&mut self, k: usize) {
        let (from, to, message) = self.net.remove(k);
        self.step(to.0 as usize - 1, Input::Message { from, message });
    }

    /// Completes the unsynced write of a replica.
    pub fn sync(&mut self, i: usize) {
        if !self.runs(i) {
            return;
        }
        if let Some(p) = self.replicas[i].pending.take() {
            self.replicas[i].disk.write(&p, Disk::parts(&p));
            self.oracle.synced(&self.replicas[i].disk, &p);
            self.step(i, Input::Synced { sequence: p.sequence });
        }
    }

    pub fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    pub fn propose(&mut self, i: usize) -> u64 {
        let request_id = self.next_request_id();
        let data = Bytes::copy_from_slice(&request_id.to_be_bytes());
        self.step(i, Input::Propose { data, request_id });
        request_id
    }

    pub fn read(&mut self, i: usize) {
        if self.runs(i) {
            let request_id = self.next_request_id();
            self.replicas[i].reads.push((request_id, self.oracle.read_floor));
            self.step(i, Input::Read { request_id });
        }
    }

    pub fn compact(&mut self, i: usize) {
        self.replicas[i].snapshot_wanted = false;
        let snapshot = self.replicas[i].snapshot();
        self.step(i, Input::Compact { snapshot });
    }

    pub fn leaders(&self) -> Vec<usize> {
        (0..MAX_REPLICAS).filter(|&i| self.replicas[i].is_leader()).collect()
    }

    /// Advances the time without faults: delivers all messages and completes all writes.
    pub fn run_without_faults(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(10);
            for i in 0..MAX_REPLICAS {
                self.step(i, Input::Tick);
                if self.replicas[i].snapshot_wanted {
                    self.compact(i);
                }
            }
            for _ in 0..4 {
                self.deliver_all();
            }
        }
    }

    /// Completes all writes and delivers the messages in flight.
    pub fn deliver_all(&mut self) {
        (0..MAX_REPLICAS).for_each(|i| self.sync(i));
        for (from, to, message) in std::mem::take(&mut self.net) {
            self.step(to.0 as usize - 1, Input::Message { from, message });
        }
    }

    /// Ends all faults and checks that the group recovers within `MAX_RECOVERY`.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        (self.loss_permille, self.duplicate_permille, self.append_loss_permille) = (0, 0, 0);
        for i in 0..MAX_REPLICAS {
            self.replicas[i].frozen_until = Duration::ZERO;
            self.start(i);
        }
        let end = self.now + MAX_RECOVERY;
        while self.now < end {
            self.run_without_faults(ms(100));
            if let &[leader] = &self.leaders()[..] {
                self.propose(leader);
                let acked = self.oracle.acked_index();
                self.run_without_faults(ms(100));
                if self.oracle.acked_index() > acked
                    && self.all_caught_up(leader)
                    && self.may_serve(leader)
                {
                    return self.check_stable(leader);
                }
            }
        }
        panic!("the group did not recover: {:#?}", self.statuses());
    }

    /// Whether a leader serves reads by its lease, if the configuration has leases.
    fn may_serve(&self, leader: usize) -> bool {
        let sim = &self.replicas[leader];
        let has_leases = sim.cfg.drift_margin < sim.cfg.election_timeout_min;
        let now = self.clock(leader);
        !has_leases || sim.core.as_ref().is_some_and(|core| core.lease_valid(now))
    }

    /// Checks that a leader stays in office without faults; removed replicas must not disturb it.
    fn check_stable(&mut self, leader: usize) {
        let role = |c: &Self| c.replicas[leader].core.as_ref().map(|core| core.status().role);
        let before = role(self);
        self.run_without_faults(ms(1000));
        assert_eq!(role(self), before, "a leader was deposed without a fault");
    }

    fn all_caught_up(&self, leader: usize) -> bool {
        let Some(status) = self.replicas[leader].core.as_ref().map(Core::status) else {
            return false;
        };
        let members = status.membership.voters.iter().chain(&status.membership.learners);
        let members = members.filter(|id| !self.is_lost(**id));
        status.commit == status.last.index
            && self.oracle.len() == status.commit
            && members
                .into_iter()
                .all(|id| self.replicas[id.0 as usize - 1].applied == status.commit)
    }

    pub fn statuses(&self) -> Vec<poplarspan_agreement::Status> {
        self.replicas.iter().filter_map(|s| s.core.as_ref().map(Core::status)).collect()
    }
}
