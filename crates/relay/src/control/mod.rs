//! A control replica: replicates the control state and, while it leads, grants leases to the other
//! instances, polls the endpoint list and executes operators' requests.

mod endpoint_list;
mod forwarding;
mod leader_state;
mod loads;
mod operator_api;
mod paces;
mod programs;
mod rollouts;
mod suspects;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_agreement::{Clock, ProposeError, ReplicaId};
use poplarspan_node::peer::{PeerService, Role, failure};
use poplarspan_policy::Name;
use poplarspan_proto::{
    peer::{self, FailureCode, request, response},
    relay::{self as pb, board_command},
};
use prost::Message;

use crate::{
    ControlState, InstanceRole, Protocol, Publication, Settings, control_state,
    groups::group_count,
    now_ms,
    replica::{Replica, membership::machine},
};
use leader_state::LeaderState;
use suspects::Timestamps;

pub(crate) use endpoint_list::EndpointListReader;
pub(crate) use operator_api::OperatorServer;

/// Fraction of the key revocation time that a lease lasts. The rest covers the time until an
/// instance sends its next heartbeat.
const LEASE_FRACTION: f64 = 0.6;

/// Duration of a lease.
pub(crate) fn lease_length(settings: &Settings) -> Duration {
    settings.time_limits.key_revocation.mul_f64(LEASE_FRACTION)
}

/// Handles the peer calls of a control replica.
pub(crate) struct Control {
    settings: Arc<Settings>,
    replica: Arc<Replica>,
    protocol: Arc<dyn Protocol>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    leader: LeaderState,
    /// The publication in force, for its rate limits.
    publication: Option<Arc<Publication>>,
}

impl Control {
    pub(crate) fn new(
        settings: Arc<Settings>,
        replica: Arc<Replica>,
        protocol: Arc<dyn Protocol>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let now = Timestamps { monotonic: clock.now(), epoch_ms: now_ms() };
        let leader = LeaderState::new(0, lease_length(&settings), settings.rollouts, now);
        let state = Mutex::new(State { leader, publication: None });
        Arc::new(Self { settings, replica, protocol, clock, state })
    }

    /// Locks the state of the current term. Returns `None` if this replica does not lead.
    fn leader_state(&self) -> Option<MutexGuard<'_, State>> {
        let term = self.replica.leads()?;
        let mut state = self.state.lock().expect("no panic while locked");
        if state.leader.term != term {
            log::info!(term; "this replica leads the control group");
            metrics::counter!("poplarspan_relay_terms_led_total").increment(1);
            let (lease, rollouts) = (lease_length(&self.settings), self.settings.rollouts);
            state.leader = LeaderState::new(term, lease, rollouts, self.timestamps());
        }
        Some(state)
    }

    /// The publication in force, parsed again when the version has changed.
    fn publication(
        &self,
        state: &mut State,
        control_state: &ControlState,
    ) -> Option<Arc<Publication>> {
        if control_state.version() == 0 {
            return None;
        }
        if state.publication.as_ref().is_none_or(|p| p.version != control_state.version()) {
            match read_publication(&*self.protocol, control_state.version(), control_state.body()) {
                Ok(publication) => state.publication = Some(Arc::new(publication)),
                Err(error) => {
                    let version = control_state.version();
                    log::error!(version, error = error.as_str(); "cannot parse the publication");
                }
            }
        }
        state.publication.clone()
    }

    /// Answers a heartbeat with a lease and the changes since the instance's last heartbeat.
    async fn handle_heartbeat(&self, beat: peer::Beat) -> Result<peer::BeatAnswer, peer::Failure> {
        let control_state = self.control_state().await?;
        let voters = self.replica.voters().await;
        let now = self.clock.now();
        let mut state = self.leader_state().ok_or_else(|| self.replica.not_leader())?;
        let publication = self.publication(&mut state, &control_state);
        let leader = &mut state.leader;
        leader.note_heartbeat(&beat, now).ok_or_else(|| invalid("the address of the instance"))?;
        for (instance, change) in leader.take_changes() {
            log::info!(instance = &*instance; "{change}");
        }
        leader.note_failures(&beat, now);
        leader.note_limits(&beat, now);
        let paces = match self.settings.measures_limits {
            true => leader.update_paces(&beat, now),
            false => Vec::new(),
        };
        let conditions =
            self.settings.measures_limits.then(|| leader.update_loads(&beat, now)).flatten();
        let timestamps = self.timestamps();
        leader.suspects.observe(&control_state, &beat, timestamps);
        let quarantine = leader.suspects.list_for(beat.quarantine, timestamps);
        let rollouts = match beat.duty() {
            peer::Duty::Front => {
                leader.rollouts.sync(&control_state);
                leader.rollouts.record(&beat, now);
                leader.rollouts.allowances(&control_state, &beat.instance)
            }
            _ => Vec::new(),
        };
        let rank = leader.instance_rank(&beat.instance);
        let name = Name::from(&*beat.instance);
        let shares = publication.as_ref().map_or_else(Vec::new, |publication| {
            leader.allocate_shares(&name, &beat.demand, publication, now)
        });
        let programs = beat.programs.as_ref().zip(publication.as_ref());
        let programs = programs
            .and_then(|(load, publication)| leader.limit_programs(&name, load, publication, now));
        let published = (control_state.version() > beat.version).then(|| peer::Published {
            version: control_state.version(),
            body: control_state.body().clone(),
        });
        let names = |list: &[Name]| list.iter().map(|n| n.to_string()).collect();
        Ok(peer::BeatAnswer {
            lease_ms: lease_length(&self.settings).as_millis() as u64,
            publication: published,
            directory: leader.directory_for(beat.directory, now),
            zones_out: names(control_state.zones_out()),
            fronts: rank.count,
            rank: rank.rank,
            shares,
            cores: voters.iter().map(|id| self.control_peer_address(*id)).collect(),
            stores: leader.store_addresses(),
            store_ring: control_state.store_ring().to_vec(),
            retiring: leader.store_replicas(control_state.retiring()),
            group_leaders: leader.group_leaders(control_state.store_groups()),
            quarantine,
            probation: leader.endpoints_on_probation(now),
            limits: leader.endpoint_limits(now),
            detours: match beat.links_cut {
                true => leader.detours(&beat.instance),
                false => Vec::new(),
            },
            rollouts,
            paces,
            programs,
            conditions,
        })
    }

    fn control_peer_address(&self, id: ReplicaId) -> String {
        self.settings.peer_address_of(machine(id), InstanceRole::Control).to_string()
    }

    /// Reads the control state behind a read barrier.
    async fn control_state(&self) -> Result<ControlState, peer::Failure> {
        let control_state = self.replica.query(ControlState::clone).await;
        control_state.ok_or_else(|| self.replica.not_leader())
    }

    async fn borrow(&self, borrow: peer::Borrow) -> Result<peer::Borrowed, peer::Failure> {
        // The read barrier ensures that only a leader with a valid lease lends tokens, so two
        // leaders never do.
        let control_state = self.control_state().await?;
        let now = self.clock.now();
        let mut state = self.leader_state().ok_or_else(|| self.replica.not_leader())?;
        let publication = self.publication(&mut state, &control_state);
        let publication = publication.ok_or_else(|| invalid("no publication is in force"))?;
        let result = state.leader.borrow(&borrow, &publication, now);
        Ok(match result {
            Ok(()) => peer::Borrowed { granted: true, retry_after_ms: 0 },
            Err(after) => {
                let after = after.unwrap_or(Duration::from_secs(1));
                peer::Borrowed { granted: false, retry_after_ms: after.as_millis() as u64 }
            }
        })
    }

    fn timestamps(&self) -> Timestamps {
        Timestamps { monotonic: self.clock.now(), epoch_ms: now_ms() }
    }

    /// Handles events about requests that endpoints terminate under.
    async fn handle_suspect_events(
        &self,
        events: peer::SuspectEvents,
    ) -> Result<peer::SuspectRulings, peer::Failure> {
        let control_state = self.control_state().await?;
        let now = self.timestamps();
        let (mut rulings, mut commands) = (Vec::new(), Vec::new());
        {
            let mut state = self.leader_state().ok_or_else(|| self.replica.not_leader())?;
            for event in &events.events {
                let (ruling, command) =
                    state.leader.suspects.handle_event(event, &control_state, now);
                rulings.push(ruling.into());
                commands.extend(command);
            }
        }
        for command in commands {
            self.commit(command).await.map_err(|e| unavailable(&e.to_string()))?;
        }
        Ok(peer::SuspectRulings { rulings })
    }

    /// Commits a command and returns its result.
    async fn commit(&self, body: board_command::Body) -> Result<pb::BoardResult, ProposeError> {
        let result = self.replica.propose(control_state::encode_command(body)).await?;
        Ok(pb::BoardResult::decode(result).expect("the control state encodes a result"))
    }

    /// Decides about the running rollouts until the task is cancelled.
    pub(crate) async fn run_rollouts(self: Arc<Self>) -> anyhow::Result<()> {
        /// Fronts report every 250 ms each; a decision waits for this part of that at most.
        const INTERVAL: Duration = Duration::from_millis(100);
        /// Time in which a command must commit; it is sent again afterwards.
        const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
        loop {
            tokio::time::sleep(INTERVAL).await;
            for command in self.decide_rollouts().await {
                let id = command.id;
                let stage = match command.stage() {
                    pb::RolloutStage::Completed => "completed",
                    _ => "reverted",
                };
                let commit = self.commit(board_command::Body::AdvanceRollout(command));
                let error = match tokio::time::timeout(COMMIT_TIMEOUT, commit).await {
                    Ok(Ok(_)) => {
                        log::info!(id, stage; "rollout has ended");
                        metrics::counter!("poplarspan_relay_rollouts_ended_total", "stage" => stage)
                            .increment(1);
                        continue;
                    }
                    Ok(Err(e)) => e.to_string(),
                    Err(_) => "timed out".to_owned(),
                };
                log::warn!(id, stage, error = error.as_str(); "cannot record the end of a rollout");
            }
        }
    }

    /// Decides about the running rollouts if this replica leads. Returns commands to be committed.
    async fn decide_rollouts(&self) -> Vec<pb::AdvanceRollout> {
        if self.settings.rollouts.is_none() || self.replica.leads().is_none() {
            return Vec::new();
        }
        // Without the read barrier, a former leader could decide by an old state.
        let Ok(control_state) = self.control_state().await else { return Vec::new() };
        let Some(mut state) = self.leader_state() else { return Vec::new() };
        state.leader.rollouts.sync(&control_state);
        state.leader.decide_rollouts(self.clock.now())
    }

    /// Forms the store groups once the stores are known.
    pub(crate) async fn run_group_formation(self: Arc<Self>) -> anyhow::Result<()> {
        const INTERVAL: Duration = Duration::from_millis(200);
        loop {
            tokio::time::sleep(INTERVAL).await;
            let Ok(control_state) = self.control_state().await else { continue };
            if !control_state.store_ring().is_empty() {
                return Ok(());
            }
            let now = self.clock.now();
            let ring = self.leader_state().and_then(|s| s.leader.store_ring(now));
            let Some(ring) = ring else { continue };
            let (stores, groups) = (ring.len(), group_count(ring.len()));
            match self.commit(board_command::Body::Form(pb::FormStore { ring, groups })).await {
                Ok(_) => log::info!(stores, groups; "formed store groups"),
                Err(e) => {
                    let error = e.to_string();
                    log::warn!(error = error.as_str(); "cannot form store groups");
                }
            }
        }
    }
}

/// Parses and validates a publication.
pub(crate) fn read_publication(
    protocol: &dyn Protocol,
    version: u64,
    body: &Bytes,
) -> Result<Publication, String> {
    let objects = protocol.parse_objects(body).map_err(|e| e.to_string())?;
    let publication = Publication::new(objects).map_err(|e| e.to_string())?;
    if publication.version != version {
        return Err(format!("publication has version {}, expected {version}", publication.version));
    }
    Ok(publication)
}

pub(crate) fn invalid(message: &str) -> peer::Failure {
    peer_failure(FailureCode::Invalid, message)
}

fn unavailable(message: &str) -> peer::Failure {
    peer_failure(FailureCode::Unavailable, message)
}

fn peer_failure(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}

impl PeerService for Control {
    fn call(&self, role: Role, body: request::Body) -> BoxFuture<'_, response::Body> {
        Box::pin(async move {
            if role != Role::Instance {
                return failure(FailureCode::Unauthorized, "only instances may ask for this");
            }
            let started = self.clock.now();
            let kind = call_kind(&body);
            let answer = match body {
                request::Body::Beat(beat) => {
                    self.handle_heartbeat(beat).await.map(response::Body::Beat)
                }
                request::Body::Borrow(borrow) => {
                    self.borrow(borrow).await.map(response::Body::Borrowed)
                }
                request::Body::Suspects(events) => {
                    self.handle_suspect_events(events).await.map(response::Body::Suspects)
                }
                request::Body::Join(join) => {
                    self.replica.join(join).await.map(response::Body::Joined)
                }
                _ => Err(invalid("a control replica does not carry out this call")),
            };
            let took = self.clock.now().saturating_sub(started);
            metrics::histogram!("poplarspan_relay_control_call_seconds", "call" => kind)
                .record(took.as_secs_f64());
            answer.unwrap_or_else(response::Body::Failure)
        })
    }
}

/// Name of a peer call in metrics.
fn call_kind(body: &request::Body) -> &'static str {
    match body {
        request::Body::Beat(_) => "heartbeat",
        request::Body::Borrow(_) => "borrow",
        request::Body::Suspects(_) => "suspects",
        request::Body::Join(_) => "join",
        _ => "other",
    }
}
