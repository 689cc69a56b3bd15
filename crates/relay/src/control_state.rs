//! State machine of the control group: the publication, zones taken out of service, the layout of
//! the store groups, blocked requests, and rollouts.
//!
//! The state lives in the replicated log of the control replicas. The publication with the highest
//! version is in force, whatever the order of arrival; a version that is not higher changes
//! nothing.

use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use poplarspan_agreement::StateMachine;
use poplarspan_policy::{Name, containment::Fingerprint};
use poplarspan_proto::relay::{self as pb, RolloutStage, board_command::Body};
use prost::Message;

/// How long a request is blocked the first, the second and every further time, in milliseconds. A
/// block expires because the request may not have caused the endpoints to terminate, or the defect
/// may have been fixed.
const BLOCK_DURATIONS_MS: [u64; 3] = [60 * 1000, 600 * 1000, BLOCK_HISTORY_MS];
/// How long the record of a blocked request is kept, in milliseconds.
const BLOCK_HISTORY_MS: u64 = 7 * 24 * 3600 * 1000;
/// Maximum number of blocked requests. When it is exceeded, the one that was blocked the longest
/// ago is dropped and may run again.
const MAX_BLOCKED_REQUESTS: usize = 4_096;

/// Maximum number of rollouts that are kept for each service: the newest one, and earlier ones whose
/// reverted versions still get no calls.
const MAX_ROLLOUTS_PER_SERVICE: usize = 8;

/// A request that endpoints terminated under. It is refused for a while and then runs on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedRequest {
    /// Digest of the request.
    pub request: Fingerprint,
    /// When it was last blocked, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How often it was blocked.
    pub times: u32,
}

impl BlockedRequest {
    /// When it may run on trial, in milliseconds since the Unix epoch.
    pub fn blocked_until_ms(&self) -> u64 {
        let earlier = usize::try_from(self.times.saturating_sub(1)).unwrap_or(usize::MAX);
        self.at_ms.saturating_add(BLOCK_DURATIONS_MS[earlier.min(BLOCK_DURATIONS_MS.len() - 1)])
    }
}

/// State machine of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    version: u64,
    body: Bytes,
    // Sorted.
    zones_out: Vec<Name>,
    stores: pb::FormStore,
    // Sorted.
    retiring: Vec<Name>,
    // Sorted by request.
    blocked: Arc<Vec<BlockedRequest>>,
    // Sorted by id; of each service, the newest one comes last.
    rollouts: Vec<pb::Rollout>,
}

impl ControlState {
    /// Version of the publication in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Body of the publication in force, as the operator sent it.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Zones that operators took out of service, sorted.
    pub fn zones_out(&self) -> &[Name] {
        &self.zones_out
    }

    /// The stores in the order in which groups take their initial voters. Empty until the groups
    /// are formed.
    pub fn store_ring(&self) -> &[u64] {
        &self.stores.ring
    }

    /// Number of groups that programs are divided into; 0 until the groups are formed.
    pub fn store_groups(&self) -> u32 {
        self.stores.groups
    }

    /// Instances to be drained, sorted.
    pub fn retiring(&self) -> &[Name] {
        &self.retiring
    }

    /// Blocked requests, sorted by request. Includes those whose block has expired but whose record
    /// is still kept.
    pub fn blocked(&self) -> &Arc<Vec<BlockedRequest>> {
        &self.blocked
    }

    /// Rollouts, sorted by id. The newest one of a service comes last.
    pub fn rollouts(&self) -> &[pb::Rollout] {
        &self.rollouts
    }

    /// The newest rollout of a service.
    pub fn rollout(&self, service: &str) -> Option<&pb::Rollout> {
        self.rollouts.iter().rfind(|r| r.service == service)
    }

    /// Record of a request that was blocked.
    pub fn blocked_request(&self, request: Fingerprint) -> Option<BlockedRequest> {
        let at = self.blocked.binary_search_by_key(&request, |c| c.request).ok()?;
        Some(self.blocked[at])
    }

    fn block(&mut self, request: Fingerprint, at_ms: u64) {
        let blocked = Arc::make_mut(&mut self.blocked);
        blocked.retain(|c| c.at_ms.saturating_add(BLOCK_HISTORY_MS) > at_ms);
        match blocked.binary_search_by_key(&request, |c| c.request) {
            // A repeated report while the block is in force does not extend it.
            Ok(at) if at_ms < blocked[at].blocked_until_ms() => {}
            Ok(at) => {
                blocked[at].at_ms = at_ms;
                blocked[at].times += 1;
            }
            Err(at) => blocked.insert(at, BlockedRequest { request, at_ms, times: 1 }),
        }
        if blocked.len() > MAX_BLOCKED_REQUESTS
            && let Some(oldest) = (0..blocked.len()).min_by_key(|at| blocked[*at].at_ms)
        {
            blocked.remove(oldest);
        }
    }

    fn unblock(&mut self, request: Fingerprint) {
        if self.blocked_request(request).is_some() {
            Arc::make_mut(&mut self.blocked).retain(|c| c.request != request);
        }
    }

    /// Executes a command. Returns whether it was refused, because it conflicts with a rollout.
    fn apply_command(&mut self, index: u64, body: Body) -> bool {
        match body {
            Body::Publish(publish) if publish.version > self.version => {
                self.version = publish.version;
                self.body = publish.body;
            }
            Body::Publish(_) => {}
            Body::Zone(zone) => set_membership(&mut self.zones_out, zone.zone.into(), zone.out),
            Body::Form(form) if self.stores.ring.is_empty() => self.stores = form,
            Body::Form(_) => {}
            Body::Retire(retire) => {
                set_membership(&mut self.retiring, retire.instance.into(), true)
            }
            Body::Condemn(condemn) => match read_fingerprint(&condemn.request) {
                Some(request) => self.block(request, condemn.at_ms),
                None => log::error!("ignored a command with a malformed request digest"),
            },
            Body::Acquit(acquit) => match read_fingerprint(&acquit.request) {
                Some(request) => self.unblock(request),
                None => log::error!("ignored a command with a malformed request digest"),
            },
            Body::StartRollout(start) => return !self.start_rollout(index, start),
            Body::AdvanceRollout(advance) => self.advance_rollout(advance),
        }
        false
    }

    /// Starts a rollout. Returns false if another one of the service is running.
    fn start_rollout(&mut self, index: u64, start: pb::StartRollout) -> bool {
        let pb::StartRollout { service, target, over_ms, started_ms, repeat_ms } = start;
        if let Some(newest) = self.rollout(&service) {
            let is_same = newest.target == target;
            if newest.stage() == RolloutStage::Running {
                return is_same;
            }
            // An order may be sent again after its acknowledgement was lost.
            if is_same && started_ms < newest.started_ms.saturating_add(repeat_ms) {
                return true;
            }
        }
        // A version that is to be served again is no longer excluded, neither as a reverted target
        // nor as a retired version.
        self.rollouts.retain(|r| r.service != service || r.target != target);
        for earlier in self.rollouts.iter_mut().filter(|r| r.service == service) {
            earlier.retired.retain(|version| *version != target);
        }
        let of_service = self.rollouts.iter().filter(|r| r.service == service).count();
        if of_service >= MAX_ROLLOUTS_PER_SERVICE
            && let Some(oldest) = self.rollouts.iter().position(|r| r.service == service)
        {
            self.rollouts.remove(oldest);
        }
        let stage = RolloutStage::Running.into();
        let retired = Vec::new();
        let rollout =
            pb::Rollout { id: index, service, target, over_ms, started_ms, stage, retired };
        self.rollouts.push(rollout);
        true
    }

    fn advance_rollout(&mut self, advance: pb::AdvanceRollout) {
        let Some(rollout) = self.rollouts.iter_mut().find(|r| r.id == advance.id) else { return };
        let is_end = matches!(advance.stage(), RolloutStage::Completed | RolloutStage::Reverted);
        if rollout.stage() == RolloutStage::Running && is_end {
            (rollout.stage, rollout.retired) = (advance.stage, advance.retired);
        }
    }
}

/// Inserts `name` into a sorted list, or removes it.
fn set_membership(list: &mut Vec<Name>, name: Name, present: bool) {
    match (list.binary_search(&name), present) {
        (Err(at), true) => list.insert(at, name),
        (Ok(at), false) => {
            list.remove(at);
        }
        _ => {}
    }
}

/// Decodes the digest of a request. Returns `None` if the length is wrong.
pub(crate) fn read_fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    bytes.try_into().ok().map(Fingerprint)
}

/// Encodes the digest of a request.
pub(crate) fn write_fingerprint(request: Fingerprint) -> Bytes {
    Bytes::copy_from_slice(&request.0)
}

pub(crate) fn encode_command(body: Body) -> Bytes {
    pb::BoardCommand { body: Some(body) }.encode_to_vec().into()
}

impl StateMachine for ControlState {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        let mut rollout_conflict = false;
        match pb::BoardCommand::decode(data) {
            Ok(pb::BoardCommand { body: Some(body) }) => {
                rollout_conflict = self.apply_command(index, body);
            }
            Ok(_) => log::error!(index; "ignored a command of unknown type"),
            Err(e) => {
                let error = e.to_string();
                log::error!(index, error = error.as_str(); "ignored a malformed command");
            }
        }
        pb::BoardResult { version: self.version, rollout_conflict }.encode_to_vec().into()
    }

    fn snapshot(&self) -> Bytes {
        let names = |list: &[Name]| list.iter().map(|n| n.to_string()).collect();
        pb::BoardSnapshot {
            version: self.version,
            body: self.body.clone(),
            zones_out: names(&self.zones_out),
            stores: Some(self.stores.clone()),
            retiring: names(&self.retiring),
            condemned: self.blocked.iter().map(write_blocked).collect(),
            rollouts: self.rollouts.clone(),
        }
        .encode_to_vec()
        .into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        let snapshot = pb::BoardSnapshot::decode(snapshot)?;
        let pb::BoardSnapshot { version, body, zones_out, stores, retiring, condemned, rollouts } =
            snapshot;
        let names = |list: Vec<String>| list.into_iter().map(Name::from).collect();
        let (zones_out, retiring) = (names(zones_out), names(retiring));
        let read = |c: &pb::Condemn| {
            let request =
                read_fingerprint(&c.request).context("malformed request digest in the snapshot")?;
            Ok(BlockedRequest { request, at_ms: c.at_ms, times: c.times })
        };
        let blocked = condemned.iter().map(read).collect::<anyhow::Result<Vec<_>>>()?.into();
        let stores = stores.unwrap_or_default();
        *self = Self { version, body, zones_out, stores, retiring, blocked, rollouts };
        Ok(())
    }
}

fn write_blocked(blocked: &BlockedRequest) -> pb::Condemn {
    let BlockedRequest { request, at_ms, times } = *blocked;
    pb::Condemn { request: write_fingerprint(request), at_ms, times }
}
