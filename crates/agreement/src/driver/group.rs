//! One group of a node: its core, its state machine and its pending requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::handle::{Query, Reply, Request, Responder};
use super::{GroupStatus, Leadership, NodeConfig, NodeError, ProposeError, ReadError};
use super::{StateMachine, Transport};
use crate::{
    Core, CoreConfig, Entry, GroupId, InitialState, Input, LogPosition, Membership, Message,
    Output, Payload, PeerMessage, PersistRequest, ProposalResult, ReadResult, ReplicaId, Role,
    SavedState, Snapshot, SnapshotSource, Status, StoredGroup, SyncFiles,
};

/// Pause after a snapshot that could not be taken, usually because the disk is full.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Requests to storage that the cores have produced and that are not yet submitted.
#[derive(Default)]
pub(crate) struct StorageWork {
    pub(crate) persists: Vec<(GroupId, PersistRequest)>,
    pub(crate) snapshots: Vec<(GroupId, Snapshot, Option<SyncFiles>)>,
    /// Files to which the snapshots in `persists` refer.
    pub(crate) syncs: Vec<SyncFiles>,
    /// Whether a snapshot of any group is waiting to be saved or being saved.
    pub(crate) is_saving: bool,
}

/// A proposal that has been appended to this leader's log and is not yet decided.
struct PendingProposal {
    position: LogPosition,
    request_id: u64,
    responder: Responder,
}

/// Entries applied since the last snapshot, which determine when the next one is due.
#[derive(Default)]
struct SinceSnapshot {
    entries: u64,
    bytes: u64,
    /// Size of the last snapshot. The next one is taken only after the log has grown by as much, so
    /// that snapshots at most double the bytes written.
    last_bytes: u64,
    /// Whether a snapshot is being saved.
    saving: bool,
    /// Earliest time of the next snapshot after one could not be taken.
    retry_at: Duration,
}

pub(crate) struct Group {
    id: GroupId,
    core: Core,
    machine: Box<dyn StateMachine>,
    transport: Arc<dyn Transport>,
    cfg: Arc<NodeConfig>,
    leadership: watch::Sender<Leadership>,
    applied: LogPosition,
    /// Membership at `applied`.
    membership: Membership,
    next_request_id: u64,
    /// Undecided proposals, ordered by index.
    proposals: VecDeque<PendingProposal>,
    /// Request id and responder of the proposal that the current step passes to the core.
    proposing: Option<(u64, Responder)>,
    /// Pending reads by request id.
    reads: Vec<(u64, Query)>,
    /// Target, deadline and reply of the leadership transfer in progress.
    transfer: Option<(ReplicaId, Duration, Reply<(), ProposeError>)>,
    /// When this replica stopped leading, until the proposals undecided at that time expire.
    stepped_down_at: Option<Duration>,
    since_snapshot: SinceSnapshot,
    /// Content for other replicas of the snapshot that is being saved.
    source: Option<Arc<dyn SnapshotSource>>,
    /// The installed snapshot as this replica stores it, and its files, until it is persisted.
    installed: Option<(LogPosition, SavedState)>,
    /// Position of the last snapshot in storage.
    saved: LogPosition,
}

impl Group {
    pub(crate) fn new(
        id: GroupId,
        replica: ReplicaId,
        mut machine: Box<dyn StateMachine>,
        stored: StoredGroup,
        transport: Arc<dyn Transport>,
        cfg: Arc<NodeConfig>,
    ) -> Result<(Self, watch::Receiver<Leadership>), NodeError> {
        let StoredGroup { hard_state, snapshot, entries } = stored;
        let mut initial = InitialState { hard_state, entries, ..InitialState::default() };
        let mut since_snapshot = SinceSnapshot::default();
        if let Some(s) = snapshot {
            // The initial snapshot of a new group holds only its membership.
            if s.last.index > 0 {
                machine.load(s.last.index, &s.data).map_err(restore_error(id))?;
            }
            since_snapshot.last_bytes = s.data.len() as u64;
            initial.snapshot = s.last;
            initial.membership = s.membership;
        }
        let (applied, membership) = (initial.snapshot, initial.membership.clone());
        let passes_snapshot_parts = machine.receives_parts();
        let core_cfg = CoreConfig { passes_snapshot_parts, ..core_config(id, replica, &cfg) };
        let core = Core::new(core_cfg, initial);
        let (leadership, rx) = watch::channel(leadership(&core, Duration::ZERO));
        let group = Self {
            id,
            core,
            machine,
            transport,
            cfg,
            leadership,
            applied,
            membership,
            next_request_id: 1,
            proposals: VecDeque::new(),
            proposing: None,
            reads: Vec::new(),
            transfer: None,
            stepped_down_at: None,
            since_snapshot,
            source: None,
            installed: None,
            saved: applied,
        };
        Ok((group, rx))
    }

    pub(crate) fn id(&self) -> GroupId {
        self.id
    }

    pub(crate) fn leads(&self) -> bool {
        self.core.status().role.role == Role::Leader
    }

    pub(crate) fn has_pending_proposals(&self) -> bool {
        !self.proposals.is_empty()
    }

    pub(crate) fn has_other_voters(&self) -> bool {
        let status = self.core.status();
        status.membership.voters.iter().any(|id| *id != status.id)
    }

    /// Handles a tick: steps the core, expires requests and publishes the leadership.
    pub(crate) fn tick(&mut self, now: Duration, work: &mut StorageWork) -> Result<(), NodeError> {
        self.step(now, Input::Tick, work)?;
        self.expire_requests(now);
        let leadership = leadership(&self.core, now);
        self.leadership.send_if_modified(|old| std::mem::replace(old, leadership) != leadership);
        Ok(())
    }

    /// Answers proposals and transfers that are unlikely to be decided any more.
    fn expire_requests(&mut self, now: Duration) {
        // A new leader is normally elected within two election timeouts, and its commits decide
        // most of the pending proposals.
        let timeout = 2 * self.cfg.election_timeout_max;
        if self.stepped_down_at.is_some_and(|at| now >= at + timeout) {
            self.stepped_down_at = None;
            for a in self.proposals.drain(..) {
                a.responder.send(Err(ProposeError::Unknown));
            }
        }
        if self.transfer.as_ref().is_some_and(|(_, deadline, _)| now >= *deadline)
            && let Some((_, _, reply)) = self.transfer.take()
        {
            let _ = reply.send(Err(ProposeError::Unknown));
        }
    }

    pub(crate) fn message(
        &mut self,
        now: Duration,
        from: ReplicaId,
        message: Message,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        self.step(now, Input::Message { from, message }, work)
    }

    pub(crate) fn synced(
        &mut self,
        now: Duration,
        sequence: u64,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        self.step(now, Input::Synced { sequence }, work)
    }

    pub(crate) fn request(
        &mut self,
        now: Duration,
        request: Request,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        match request {
            Request::Propose(data, mut responder) => {
                responder.submitted = true;
                self.proposing = Some((request_id, responder));
                self.step(now, Input::Propose { data, request_id }, work)
            }
            Request::Change(change, mut responder) => {
                responder.submitted = true;
                self.proposing = Some((request_id, responder));
                self.step(now, Input::ChangeMembership { change, request_id }, work)
            }
            Request::Read(query) => {
                self.reads.push((request_id, query));
                self.step(now, Input::Read { request_id }, work)
            }
            Request::Status(reply) => {
                let lease = self.core.lease_valid(now);
                let core = self.core.status();
                let _ = reply.send(GroupStatus { core, applied: self.applied.index, lease });
                Ok(())
            }
            Request::Transfer(to, reply) => self.transfer(now, to, reply, work),
        }
    }

    fn transfer(
        &mut self,
        now: Duration,
        to: ReplicaId,
        reply: Reply<(), ProposeError>,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let role = self.core.status().role;
        if role.leader == Some(to) {
            let _ = reply.send(Ok(()));
        } else if role.role != Role::Leader || self.transfer.is_some() {
            let _ = reply.send(Err(ProposeError::NotLeader { leader: role.leader }));
        } else {
            self.transfer = Some((to, now + 2 * self.cfg.election_timeout_max, reply));
            self.step(now, Input::TransferLeadership { to }, work)?;
        }
        Ok(())
    }

    /// The voter to which leadership is best transferred, with its last matching index: the one
    /// with the most complete log among those that respond, or among all if none does.
    fn heir(&self, status: &Status) -> Option<(ReplicaId, u64)> {
        let responds = |id: ReplicaId| {
            let contact = status.last_contact.iter().find(|(peer, _)| *peer == id);
            contact.is_some_and(|(_, elapsed)| *elapsed < self.cfg.election_timeout_min)
        };
        let voters = status.peers.iter().filter(|(id, _)| status.membership.voters.contains(id));
        voters.max_by_key(|(id, matched)| (responds(*id), *matched)).copied()
    }

    /// Transfers leadership to the responsive voter with the most complete log.
    pub(crate) fn transfer_to_most_complete(
        &mut self,
        now: Duration,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let status = self.core.status();
        let heir = self.heir(&status).filter(|_| status.role.role == Role::Leader);
        let Some((to, _)) = heir else { return Ok(()) };
        self.step(now, Input::TransferLeadership { to }, work)
    }

    /// Transfers leadership while this replica's disk is stalled. The target's disk must work, so
    /// it must have synced more of the log than this replica, or as much if this replica has synced
    /// all of it.
    pub(crate) fn transfer_off_stalled_disk(
        &mut self,
        now: Duration,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let status = self.core.status();
        if status.role.role != Role::Leader || status.transfer.is_some() {
            return Ok(());
        }
        let is_synced = status.stable == status.last.index;
        let Some((to, matched)) = self.heir(&status) else { return Ok(()) };
        if matched < status.stable || (matched == status.stable && !is_synced) {
            return Ok(());
        }
        let (group, heir) = (self.id.0, to.0);
        log::warn!(group, heir; "disk is stalled; transferring leadership");
        self.step(now, Input::TransferLeadership { to }, work)
    }

    /// Records that storage has saved a snapshot, and compacts the log.
    pub(crate) fn snapshot_saved(
        &mut self,
        now: Duration,
        snapshot: Snapshot,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        (self.since_snapshot.saving, work.is_saving) = (false, false);
        if snapshot.last.index > self.saved.index {
            self.saved = snapshot.last;
        }
        self.machine.saved(snapshot.last.index);
        if let Some(source) = self.source.take() {
            self.core.set_snapshot_source(source);
        }
        self.step(now, Input::Compact { snapshot }, work)
    }

    fn step(
        &mut self,
        now: Duration,
        input: Input,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let out = self.core.step(now, input);
        let Output { messages, persist, apply, proposals, reads, role, snapshot_wanted, .. } = out;
        for (to, message) in messages {
            self.transport.send(to, PeerMessage { group: self.id, message });
        }
        for (offset, part) in &out.snapshot_parts {
            self.machine.receive_part(*offset, part).map_err(restore_error(self.id))?;
        }
        if let Some(snapshot) = &out.install {
            self.install(snapshot)?;
        }
        if let Some(mut persist) = persist {
            // The core also requests the snapshots that `Storage::save_snapshot` has already saved.
            persist.snapshot.take_if(|s| s.last == self.saved);
            if let Some(s) = &mut persist.snapshot
                && let Some((_, own)) = self.installed.take_if(|(last, _)| *last == s.last)
            {
                s.data = own.data;
                work.syncs.extend(own.sync);
            }
            work.persists.push((self.id, persist));
        }
        for entry in &apply {
            self.apply(entry);
        }
        for (request_id, result) in proposals {
            self.proposal_result(request_id, result);
        }
        for (request_id, result) in reads {
            self.read_result(request_id, result);
        }
        if let Some(role) = role {
            let led = self.leadership.borrow().role == Role::Leader;
            if led && role.role != Role::Leader {
                self.stepped_down_at = Some(now);
            } else if role.role == Role::Leader {
                self.stepped_down_at = None;
            }
            if let Some((_, _, reply)) = self.transfer.take_if(|t| role.leader == Some(t.0)) {
                let _ = reply.send(Ok(()));
            }
            self.leadership.send_replace(leadership(&self.core, now));
        }
        self.take_snapshot_if_due(now, snapshot_wanted, work)
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), NodeError> {
        let mut last_bytes = snapshot.data.len() as u64;
        if self.machine.receives_parts() {
            let installed = self.machine.install_parts();
            let own = installed.and_then(|()| self.machine.save(snapshot.last.index));
            let own = own.map_err(restore_error(self.id))?;
            last_bytes = own.data.len() as u64;
            self.installed = Some((snapshot.last, own));
        } else if snapshot.last.index > 0 {
            self.machine.restore_shared(&snapshot.data).map_err(restore_error(self.id))?;
        }
        self.applied = snapshot.last;
        self.membership = snapshot.membership.clone();
        let saving = self.since_snapshot.saving;
        self.since_snapshot = SinceSnapshot { saving, last_bytes, ..SinceSnapshot::default() };
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let index = entry.position.index;
        let result = match &entry.payload {
            Payload::Empty => Bytes::new(),
            Payload::Command(data) => {
                self.since_snapshot.bytes += data.len() as u64;
                self.machine.apply_shared(index, data)
            }
            Payload::Membership(membership) => {
                self.membership = membership.clone();
                Bytes::new()
            }
        };
        self.since_snapshot.entries += 1;
        self.applied = entry.position;
        // The core reports a proposal that was overwritten by an entry of another term.
        if let Some(i) = self.find_proposal(|a| a.position == entry.position)
            && let Some(a) = self.proposals.remove(i)
        {
            a.responder.send(Ok(result));
        }
    }

    /// Returns the index of an undecided proposal. The next ones to be decided are at the front.
    fn find_proposal(&self, f: impl FnMut(&PendingProposal) -> bool) -> Option<usize> {
        self.proposals.iter().position(f)
    }

    fn proposal_result(&mut self, request_id: u64, result: ProposalResult) {
        let responder = match self.proposing.take_if(|(t, _)| *t == request_id) {
            Some((_, responder)) => responder,
            None => {
                let Some(i) = self.find_proposal(|a| a.request_id == request_id) else {
                    return;
                };
                let Some(a) = self.proposals.remove(i) else {
                    return;
                };
                a.responder
            }
        };
        let error = match result {
            ProposalResult::Appended(position) => {
                self.proposals.push_back(PendingProposal { position, request_id, responder });
                return;
            }
            ProposalResult::NotLeader { leader } => ProposeError::NotLeader { leader },
            ProposalResult::Refused(refusal) => ProposeError::Refused(refusal),
            // Another entry was committed at its index, so it will never be applied.
            ProposalResult::Overwritten => {
                ProposeError::NotLeader { leader: self.core.status().role.leader }
            }
            ProposalResult::Unknown => ProposeError::Unknown,
        };
        responder.send(Err(error));
    }

    fn read_result(&mut self, request_id: u64, result: ReadResult) {
        let Some(i) = self.reads.iter().position(|(t, _)| *t == request_id) else {
            return;
        };
        let (_, query) = self.reads.swap_remove(i);
        match result {
            ReadResult::Ready { index } => {
                // Entries are applied in the step that commits them.
                debug_assert!(
                    index <= self.applied.index,
                    "a read index is applied when the read completes"
                );
                query(Ok(self.machine.as_ref()));
            }
            ReadResult::NotLeader { leader } => query(Err(ReadError::NotLeader { leader })),
        }
    }

    fn take_snapshot_if_due(
        &mut self,
        now: Duration,
        wanted: bool,
        work: &mut StorageWork,
    ) -> Result<(), NodeError> {
        let s = &self.since_snapshot;
        let due = (s.entries >= self.cfg.snapshot_entries || s.bytes >= self.cfg.snapshot_bytes)
            && s.bytes >= s.last_bytes;
        let due = due || (s.entries > 0 && self.machine.wants_snapshot());
        // Each encoded snapshot is a copy of its group's state, so only one is in memory at a time.
        if s.saving || work.is_saving || now < s.retry_at || !(due || wanted) {
            return Ok(());
        }
        let SavedState { data, source, sync } = match self.machine.save(self.applied.index) {
            Ok(state) => state,
            Err(e) => {
                let (group, error) = (self.id.0, format!("{e:#}"));
                log::warn!(group, error = error.as_str(); "cannot take a snapshot; trying again");
                self.since_snapshot.retry_at = now + SNAPSHOT_RETRY_PAUSE;
                return Ok(());
            }
        };
        self.source = Some(source);
        let last_bytes = data.len() as u64;
        self.since_snapshot =
            SinceSnapshot { last_bytes, saving: true, ..SinceSnapshot::default() };
        let snapshot = Snapshot { last: self.applied, membership: self.membership.clone(), data };
        if self.applied == self.saved {
            return self.snapshot_saved(now, snapshot, work);
        }
        work.is_saving = true;
        work.snapshots.push((self.id, snapshot, sync));
        Ok(())
    }

    /// Answers all pending requests when the task ends. Dropping a proposal answers it.
    pub(crate) fn stop(&mut self) {
        self.proposals.clear();
        for (_, query) in self.reads.drain(..) {
            query(Err(ReadError::Stopped));
        }
    }
}

fn restore_error(group: GroupId) -> impl Fn(anyhow::Error) -> NodeError {
    move |source| NodeError::Restore { group, source: Arc::new(source) }
}

fn leadership(core: &Core, now: Duration) -> Leadership {
    let role = core.status().role;
    let lease = core.lease_valid(now);
    Leadership { leader: role.leader, term: role.term, role: role.role, lease }
}

fn core_config(id: GroupId, replica: ReplicaId, cfg: &NodeConfig) -> CoreConfig {
    let seed = cfg.seed ^ replica.0.rotate_left(32) ^ u64::from(id.0);
    CoreConfig {
        heartbeat_interval: cfg.heartbeat_interval,
        election_timeout_min: cfg.election_timeout_min,
        election_timeout_max: cfg.election_timeout_max,
        drift_margin: cfg.drift_margin,
        trailing_entries: cfg.trailing_entries,
        trailing_bytes: cfg.trailing_bytes,
        ..CoreConfig::new(replica, seed)
    }
}
