//! Replicas of groups that form, grow and replace members on their own.
//!
//! The id of a replica contains the address of its machine and a random part that is drawn for each
//! new data folder. A replica that lost its disk therefore returns with a new id and never votes
//! under the old one. The bootstrap members of the control group have 0 as the random part, so that
//! all of them know the initial voters. All replicas on a machine have the same id in every group.
//!
//! The durable state is the folder with the replicated logs. Join requests are only kept in the
//! leader's memory; replicas repeat them.

mod folder;
mod gap;
mod join_steps;
pub(crate) mod membership;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use poplarspan_agreement::{
    Clock, DataDir, GroupHandle, GroupId, MembershipChangeError, Node, NodeConfig, NodeError,
    ProposeError, ReplicaId, Role, StateMachine,
};
use poplarspan_node::{
    PeerClient,
    peer::{AgreementSink, AgreementTransport, ReplicaLookup},
};
use poplarspan_proto::peer::{self, FailureCode, request, response};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

pub(crate) use folder::ReplicaFolder;

use crate::{LostSegment, Settings};
use gap::ServiceGap;
use join_steps::JoinSteps;
use membership::{Members, MembershipChange, TARGET_VOTERS, machine};

/// How long a join request is valid. Replicas repeat it more often than that.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(5);
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a request that no leader has taken. Shorter than an election, which a lost disk of the
/// leader causes.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a replica asks the leader that another one has named.
const HINT_PAUSE: Duration = Duration::from_millis(20);
/// Time between join requests to a group that has all its voters.
const SPARE_JOIN_INTERVAL: Duration = Duration::from_secs(2);
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// A replica that has had no leader for this long asks to join, because it may have been removed.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_000);
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before the next promotion attempt for a lagging learner.
const LAGGING_PAUSE: Duration = Duration::from_millis(300);
/// Bytes of commands after which a group takes a snapshot. The log in memory holds the entries since
/// the last one, for each group, and a small store has about 100 MB for all of them. A state that
/// is larger than this is written again only after as many bytes of log, so snapshots at most
/// double the bytes written.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// Bytes of entries before the last snapshot that stay in memory for slow followers: the log of
/// about half a second while many turns are kept. A follower that is further behind gets a snapshot.
const TRAILING_BYTES: usize = 1 << 20;

/// Timing of the replicated log. Each heartbeat costs a message to every other replica, and the
/// election timeout bounds the outage after the loss of a leader. Both are short compared with the
/// time limits for acknowledging an operator's request.
fn node_config(clock: Arc<dyn Clock>) -> NodeConfig {
    NodeConfig {
        clock,
        tick_interval: Duration::from_millis(20),
        heartbeat_interval: Duration::from_millis(75),
        election_timeout_min: Duration::from_millis(350),
        election_timeout_max: Duration::from_millis(600),
        drift_margin: Duration::from_millis(75),
        snapshot_bytes: SNAPSHOT_BYTES,
        trailing_bytes: TRAILING_BYTES,
        ..NodeConfig::default()
    }
}

/// Initial state of a group.
pub(crate) struct GroupStart {
    /// Initial voters of a new group. May be empty if this replica is not one of them.
    pub(crate) initial_voters: Vec<ReplicaId>,
    pub(crate) state: Box<dyn StateMachine>,
    /// Highest version of the rules for commands that the state machine knows. The same for all
    /// groups of a folder.
    pub(crate) rules: u32,
}

/// Ids of the groups of a folder, in order.
fn group_ids() -> impl Iterator<Item = GroupId> {
    (0..).map(GroupId)
}

/// Id of the bootstrap member on a machine.
pub(crate) fn bootstrap_id(ip: Ipv4Addr) -> ReplicaId {
    replica_id(ip, 0)
}

/// Id of a replica on a machine. `nonce` is 0 for the bootstrap members of the control group and
/// random for all others.
pub fn replica_id(ip: Ipv4Addr, nonce: u32) -> ReplicaId {
    ReplicaId(u64::from(u32::from(ip)) << 32 | u64::from(nonce))
}

/// A running replica of one group.
pub(crate) struct Replica {
    id: ReplicaId,
    group: GroupId,
    peer_port: u16,
    node: Arc<Node>,
    handle: GroupHandle,
    /// Replicas that asked to join.
    joining: Mutex<Vec<JoinRequest>>,
    /// Version of the rules for commands that all members know, while this replica leads.
    common_rules: AtomicU32,
    /// Highest version that this build knows.
    known_rules: u32,
    /// Wakes the task that changes the membership.
    join_requested: Notify,
    goals: Mutex<MembershipGoals>,
    /// Number of lost disks that the group must bear at any time.
    tolerated_losses: usize,
    /// Holds the lock on the folder.
    _dir: Arc<DataDir>,
}

/// The last request of a replica to join.
#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    replica: ReplicaId,
    /// Highest version of the rules for commands that the replica knows.
    rules: u32,
    at: Instant,
}

/// Desired membership of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipGoals {
    /// Replicas to be removed.
    pub(crate) retiring: Vec<ReplicaId>,
    /// Machine whose replica should lead.
    pub(crate) preferred_leader: Option<Ipv4Addr>,
}

impl Replica {
    /// Starts the replicas of all groups in a folder. All members listen on the peer port of the
    /// settings.
    pub(crate) async fn start(
        folder: ReplicaFolder,
        groups: Vec<GroupStart>,
        settings: &Settings,
        client: PeerClient,
        clock: Arc<dyn Clock>,
    ) -> Result<Vec<Arc<Self>>> {
        let peer_port = settings.peer_address().port();
        let rules = groups.first().map_or(0, |g| g.rules);
        let (initial_voters, states): (Vec<_>, Vec<_>) =
            groups.into_iter().map(|g| (g.initial_voters, g.state)).unzip();
        let store = folder.open_log_when_space(&initial_voters).await?;
        metrics::gauge!("poplarspan_store_disk_refuses").set(0.0);
        let id = folder.replica();
        let find: ReplicaLookup =
            Arc::new(move |id| Some(SocketAddr::from((machine(ReplicaId(id)), peer_port))));
        let transport = AgreementTransport::new(id, folder.dir.folder(), None, rules, client, find);
        let mut builder = Node::builder(id, Box::new(store), transport)
            .peers(folder.dir.peers()?)
            .config(node_config(clock));
        for (id, state) in group_ids().zip(states) {
            builder = builder.group(id, state);
        }
        let node = match builder.start().await {
            Ok(node) => Arc::new(node),
            Err(e) => {
                if let NodeError::Restore { source, .. } = &e
                    && let Some(lost) = source.downcast_ref::<LostSegment>()
                {
                    let error = lost.to_string();
                    log::error!(
                        error = error.as_str();
                        "a part of the disk is lost; the next start has an empty replica"
                    );
                    folder.dir.discard()?;
                }
                return Err(e).context("cannot start the replicated log");
            }
        };
        let dir = Arc::new(folder.dir);
        let replica = |group| {
            let handle = node.group(group).context("group is missing from the node")?;
            Ok(Arc::new(Self {
                id,
                group,
                peer_port,
                node: node.clone(),
                handle,
                joining: Mutex::default(),
                common_rules: AtomicU32::new(0),
                known_rules: rules,
                join_requested: Notify::new(),
                goals: Mutex::default(),
                tolerated_losses: settings.tolerated_losses,
                _dir: dir.clone(),
            }))
        };
        group_ids().take(initial_voters.len()).map(replica).collect()
    }

    pub(crate) fn group(&self) -> u32 {
        self.group.0
    }

    /// The term in which this replica leads, as of the last tick. `None` if it does not lead or its
    /// lease has expired.
    pub(crate) fn leads(&self) -> Option<u64> {
        let view = *self.handle.watch().borrow();
        (view.role == Role::Leader && view.lease).then_some(view.term)
    }

    /// Peer address of the leader, if it is another replica.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let leader = self.handle.watch().borrow().leader?;
        (leader != self.id).then(|| SocketAddr::from((machine(leader), self.peer_port)))
    }

    /// Commits a command and returns its result.
    pub(crate) async fn propose(&self, command: Bytes) -> Result<Bytes, ProposeError> {
        self.handle.propose(command).await
    }

    /// Reads the state behind a read barrier. Returns `None` if this replica does not lead.
    pub(crate) async fn query<M: StateMachine, R: Send + 'static>(
        &self,
        f: impl FnOnce(&M) -> R + Send + 'static,
    ) -> Option<R> {
        self.handle.query(f).await.ok()
    }

    /// Voters of the group as far as this replica knows.
    pub(crate) async fn voters(&self) -> Vec<ReplicaId> {
        let status = self.handle.status().await;
        status.map_or_else(Vec::new, |s| s.core.membership.voters)
    }

    /// Sets the desired membership.
    pub(crate) fn set_goals(&self, goals: MembershipGoals) {
        *self.goals.lock().expect("no panic while locked") = goals;
    }

    /// Transfers leadership of all groups in the folder and stops.
    pub(crate) async fn shutdown(&self) {
        self.node.shutdown().await;
    }

    /// Waits until the log has failed.
    pub(crate) async fn failed(&self) -> anyhow::Error {
        self.node.failed().await.into()
    }

    /// Failure for a call that only the leader can handle.
    pub(crate) fn not_leader(&self) -> peer::Failure {
        peer::Failure {
            code: FailureCode::NotLeader.into(),
            message: "this replica does not lead the group".to_owned(),
            leader_address: self.leader().map(|a| a.to_string()).unwrap_or_default(),
        }
    }

    /// Records a join request.
    pub(crate) async fn join(&self, join: peer::Join) -> Result<peer::Joined, peer::Failure> {
        if self.leads().is_none() {
            return Err(self.not_leader());
        }
        let id = ReplicaId(join.replica);
        {
            let now = Instant::now();
            let mut joining = self.joining.lock().expect("no panic while locked");
            // A machine runs one replica of a group; earlier ones have lost their disks.
            joining.retain(|j| machine(j.replica) != machine(id) && now < j.at + JOIN_REQUEST_TTL);
            joining.push(JoinRequest { replica: id, rules: join.rules, at: now });
        }
        self.join_requested.notify_one();
        let Some(members) = self.members(&[], Duration::ZERO).await else {
            return Err(self.not_leader());
        };
        let complete = members.remaining_voters() >= TARGET_VOTERS;
        Ok(peer::Joined { voter: members.voters.contains(&id), complete })
    }

    /// Adds, promotes and removes members while this replica leads.
    pub(crate) async fn run_membership(self: Arc<Self>) -> Result<()> {
        let mut lagging: Vec<(ReplicaId, Instant)> = Vec::new();
        let mut responsive: Vec<(ReplicaId, Instant)> = Vec::new();
        let mut leader_since = None;
        loop {
            tokio::select! {
                () = sleep(MEMBERSHIP_INTERVAL) => {}
                () = self.join_requested.notified() => {}
            }
            if self.leads().is_none() {
                leader_since = None;
                responsive.clear();
                self.common_rules.store(0, Ordering::Relaxed);
                continue;
            }
            let now = Instant::now();
            lagging.retain(|(_, until)| now < *until);
            let time_as_leader = now - *leader_since.get_or_insert(now);
            let Some(mut members) = self.members(&lagging, time_as_leader).await else { continue };
            self.update_common_rules(&members);
            responsive.retain(|(id, _)| members.is_responsive(*id));
            for (id, _) in &members.last_contact {
                if members.is_responsive(*id) && responsive.iter().all(|(r, _)| r != id) {
                    responsive.push((*id, now));
                }
            }
            members.responsive_for = responsive.iter().map(|(id, at)| (*id, now - *at)).collect();
            let Some(change) = members.next_change() else { continue };
            let (group, name) = (self.group.0, format!("{change:?}"));
            match self.apply(change).await {
                Ok(()) => log::info!(group, step = name.as_str(); "membership changed"),
                Err(e) => {
                    let error = e.to_string();
                    log::info!(
                        group, step = name.as_str(), error = error.as_str();
                        "membership change refused"
                    );
                    if let (
                        MembershipChange::Promote(id) | MembershipChange::Replace { new: id, .. },
                        ProposeError::Refused(MembershipChangeError::NotCaughtUp),
                    ) = (change, &e)
                    {
                        lagging.push((id, now + LAGGING_PAUSE));
                    }
                    // Delays the next attempt to transfer leadership to the preferred machine.
                    leader_since = Some(now);
                }
            }
        }
    }

    fn update_common_rules(&self, members: &Members) {
        let others = members.voters.iter().chain(&members.learners).filter(|id| **id != self.id);
        let known = others.map(|id| self.node.rules_of(*id).unwrap_or(0)).min();
        let rules = known.unwrap_or(self.known_rules).min(self.known_rules);
        if self.common_rules.swap(rules, Ordering::Relaxed) != rules {
            log::info!(group = self.group.0, rules; "all members know the rules for commands");
        }
    }

    /// Version of the rules for commands that all members know. 0 unless this replica leads.
    pub(crate) fn common_rules(&self) -> u32 {
        self.common_rules.load(Ordering::Relaxed)
    }

    async fn members(
        &self,
        lagging: &[(ReplicaId, Instant)],
        time_as_leader: Duration,
    ) -> Option<Members> {
        let core = self.handle.status().await?.core;
        let now = Instant::now();
        let goals = self.goals.lock().expect("no panic while locked").clone();
        let joining = self.joining.lock().expect("no panic while locked");
        // A replica that does not know the rules in force would come to another state.
        let rules = self.common_rules();
        let joining = joining.iter().filter(|j| now < j.at + JOIN_REQUEST_TTL && j.rules >= rules);
        Some(Members {
            self_id: self.id,
            voters: core.membership.voters,
            learners: core.membership.learners,
            last_contact: core.last_contact,
            responsive_for: Vec::new(),
            joining: joining.map(|j| j.replica).collect(),
            retiring: goals.retiring,
            tolerated_losses: self.tolerated_losses,
            lagging: lagging.iter().map(|(id, _)| *id).collect(),
            preferred_leader: goals.preferred_leader,
            time_as_leader,
        })
    }

    async fn apply(&self, change: MembershipChange) -> Result<(), ProposeError> {
        match change {
            MembershipChange::AddLearner(id) => self.handle.add_learner(id).await,
            MembershipChange::Promote(id) => self.handle.promote_learner(id).await,
            MembershipChange::Replace { old, new } => self.handle.replace_voter(old, new).await,
            MembershipChange::Remove(id) => self.handle.remove_member(id).await,
            MembershipChange::HandOver(id) => self.handle.transfer_leadership(id).await,
        }
    }

    /// Asks to join the group while this replica is not a voter or has no leader. `peers` returns
    /// the addresses to ask.
    pub(crate) async fn run_join(
        self: Arc<Self>,
        client: PeerClient,
        peers: impl Fn() -> Vec<SocketAddr>,
    ) -> Result<()> {
        let mut last_leader_at = Instant::now();
        let mut next_peer = 0usize;
        let mut hint = None;
        let mut pause = Duration::ZERO;
        let mut steps = JoinSteps::new(self.group.0);
        let mut gap = ServiceGap::new(self.group.0);
        loop {
            sleep(pause).await;
            pause = JOIN_INTERVAL;
            let view = *self.handle.watch().borrow();
            let is_led = view.leader.is_some();
            if is_led {
                last_leader_at = Instant::now();
            }
            let is_voter = self.voters().await.contains(&self.id);
            steps.check(is_led, is_voter);
            gap.check(view, is_voter);
            if last_leader_at.elapsed() < LEADERLESS_TIMEOUT && is_voter {
                continue;
            }
            let me = SocketAddr::from((machine(self.id), self.peer_port));
            let peers: Vec<_> = peers().into_iter().filter(|a| *a != me).collect();
            next_peer = next_peer.wrapping_add(1);
            let next = || peers.get(next_peer % peers.len().max(1)).copied();
            let Some(address) = hint.take().or_else(next) else { continue };
            let join =
                peer::Join { replica: self.id.0, group: self.group.0, rules: self.known_rules };
            match client.call(address, request::Body::Join(join), JOIN_TIMEOUT).await {
                Ok(response::Body::Joined(joined)) => {
                    hint = Some(address);
                    steps.asked();
                    if joined.complete {
                        pause = SPARE_JOIN_INTERVAL;
                    }
                }
                Err(poplarspan_node::CallError::Failed(f)) => {
                    let leader = f.leader_address.parse().ok();
                    hint = leader.filter(|leader| ![me, address].contains(leader));
                    pause = if hint.is_some() { HINT_PAUSE } else { JOIN_RETRY_PAUSE };
                }
                Ok(_) | Err(_) => pause = JOIN_RETRY_PAUSE,
            }
        }
    }

    /// Receiver for messages of the replicated log.
    pub(crate) fn sink(&self) -> Arc<dyn AgreementSink> {
        self.node.clone()
    }
}
