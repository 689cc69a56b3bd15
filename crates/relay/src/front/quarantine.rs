//! The front's part of the quarantine of requests that endpoints terminate under.
//!
//! A front reports to the control leader when an endpoint terminated while it may have been running
//! a request. With its lease it receives the lists of suspected and refused requests. A suspect
//! only runs after the leader has confirmed that it runs nowhere else. A request that was recently
//! answered through this front is not reported, so that a request sent by many callers is not
//! suspected when several endpoints terminate for other reasons. If another front, which has not
//! answered it, reports it all the same, this front contradicts when it receives the list.
//!
//! The leader owns the quarantine. A front has the lists of its last heartbeat and the events that
//! it has not delivered yet. Undelivered events are dropped after a while, because a partitioned
//! front cannot tell a terminated endpoint from an unreachable one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use poplarspan_node::{PeerClient, pool::Pool};
use poplarspan_policy::{Name, containment::Fingerprint};
use poplarspan_proto::peer::{
    self, SuspectEvent, SuspectEventKind, SuspectRuling, request, response,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use super::{answered::AnsweredRequests, call::Call, endpoints::ChosenEndpoint, links::Links};
use crate::{
    control_state::write_fingerprint,
    fleet_client::{FleetClient, QuarantineList},
};

/// How long the result of a probe that found an endpoint down is shared with other calls that
/// failed there.
const PROBE_TTL: Duration = Duration::from_secs(1);
/// Number of probes of an endpoint after a run on probation, and the time between them. The
/// endpoint has terminated if it accepts no connection in any of them.
const PROBATION_PROBES: u32 = 3;
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before events are sent, so that those of calls that fail together form one batch.
const BATCH_DELAY: Duration = Duration::from_millis(20);
const RULING_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Undelivered events are dropped after this time, which is longer than an election.
const DROP_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of undelivered events; further ones are dropped.
const MAX_PENDING: usize = 4_096;

/// Decision whether a call may be sent to an endpoint.
pub(crate) enum Admission {
    Free,
    OnProbation(ProbationRun),
    /// Another suspect runs at the endpoint.
    EndpointTaken,
    /// The endpoint accepts no connection.
    EndpointUnreachable,
    /// The request runs elsewhere, or the leader did not answer.
    Busy,
    Refused,
}

/// A run on probation. When it is dropped, the leader is told that the run is over.
pub(crate) struct ProbationRun {
    quarantine: Arc<Quarantine>,
    request: Fingerprint,
    endpoint: Name,
}

impl Drop for ProbationRun {
    fn drop(&mut self) {
        let kind = SuspectEventKind::TrialOver;
        self.quarantine.push(event(kind, self.request, &self.endpoint));
    }
}

struct PendingEvent {
    event: SuspectEvent,
    since: Instant,
}

struct Probe {
    address: SocketAddr,
    at: Instant,
    is_accepting: Shared<BoxFuture<'static, bool>>,
}

/// A front's view of the quarantine.
pub(crate) struct Quarantine {
    fleet: Arc<FleetClient>,
    client: PeerClient,
    pool: Arc<Pool>,
    links: Arc<Links>,
    pending: Mutex<Vec<PendingEvent>>,
    event_added: Notify,
    probes: Mutex<Vec<Probe>>,
    answered: Mutex<AnsweredRequests>,
}

impl Quarantine {
    pub(crate) fn new(
        fleet: Arc<FleetClient>,
        client: PeerClient,
        pool: Arc<Pool>,
        links: Arc<Links>,
    ) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            client,
            pool,
            links,
            pending: Mutex::default(),
            event_added: Notify::new(),
            probes: Mutex::default(),
            answered: Mutex::default(),
        })
    }

    /// Whether the request of a call is refused.
    pub(crate) fn is_refused(&self, call: &Call) -> bool {
        let list = &self.fleet.view().quarantine_list.refused;
        !list.is_empty() && list.binary_search(&call.fingerprint()).is_ok()
    }

    fn is_suspect(&self, call: &Call) -> bool {
        let list = &self.fleet.view().quarantine_list.suspects;
        !list.is_empty() && list.binary_search(&call.fingerprint()).is_ok()
    }

    /// Decides whether a call may be sent to an endpoint, asking the leader if the request is a
    /// suspect.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        call: &Call,
        endpoint: &ChosenEndpoint,
    ) -> Admission {
        if self.is_refused(call) {
            return Admission::Refused;
        }
        if !self.is_suspect(call) {
            return Admission::Free;
        }
        let request = call.fingerprint();
        let run_ms = u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX);
        let begin = event(SuspectEventKind::Begin, request, &endpoint.name);
        let decisions = self.send_events(vec![SuspectEvent { run_ms, ..begin }]).await;
        match decisions.as_deref().and_then(|decisions| decisions.first()) {
            Some(SuspectRuling::Free) => Admission::Free,
            Some(SuspectRuling::OnTrial) => {
                let (quarantine, name) = (self.clone(), endpoint.name.clone());
                let run = ProbationRun { quarantine, request, endpoint: name };
                // If the endpoint is already down, its state says nothing about this run.
                match self.pool.accepts_connections(endpoint.address).await {
                    true => Admission::OnProbation(run),
                    false => Admission::EndpointUnreachable,
                }
            }
            Some(SuspectRuling::EndpointTaken) => Admission::EndpointTaken,
            Some(SuspectRuling::Refused) => Admission::Refused,
            Some(SuspectRuling::Busy | SuspectRuling::Unspecified) | None => Admission::Busy,
        }
    }

    /// Records that an endpoint did not complete its response to a call, and checks in the
    /// background whether the endpoint has terminated.
    pub(crate) fn note_incomplete(
        self: &Arc<Self>,
        call: &Call,
        endpoint: &ChosenEndpoint,
        probation: Option<ProbationRun>,
    ) {
        let (this, request, endpoint) = (self.clone(), call.fingerprint(), endpoint.clone());
        if self.answered_requests().contains(request, Instant::now()) {
            return;
        }
        tokio::spawn(async move {
            let mut has_ended = match &probation {
                Some(_) => this.stays_unreachable(&endpoint).await,
                None => !this.probe(endpoint.address).await,
            };
            // While the front's own links are cut, the probe goes through another front, which can
            // tell an endpoint that has ended from one out of this front's reach.
            if has_ended && this.links.are_cut_after_failure().await {
                has_ended = !this.pool.accepts_connections(endpoint.address).await;
            }
            if has_ended {
                this.push(event(SuspectEventKind::EndpointEnded, request, &endpoint.name));
            }
            // The end of the run is queued after the event, so that the leader handles the event
            // first.
            drop(probation);
        });
    }

    /// Records that a call has a complete response.
    pub(crate) fn answered(&self, call: &Call, probation: Option<ProbationRun>) {
        self.answered_requests().insert(call.fingerprint(), Instant::now());
        if probation.is_some() || self.is_suspect(call) || self.is_refused(call) {
            self.push(event(SuspectEventKind::Answered, call.fingerprint(), ""));
        }
    }

    fn answered_requests(&self) -> MutexGuard<'_, AnsweredRequests> {
        self.answered.lock().expect("no panic while locked")
    }

    /// Whether an endpoint accepts no connection in several probes.
    async fn stays_unreachable(&self, endpoint: &ChosenEndpoint) -> bool {
        for _ in 0..PROBATION_PROBES {
            if self.pool.accepts_connections(endpoint.address).await {
                return false;
            }
            sleep(PROBE_INTERVAL).await;
        }
        true
    }

    /// Whether an endpoint accepts connections. Calls that fail together share a probe.
    fn probe(&self, address: SocketAddr) -> Shared<BoxFuture<'static, bool>> {
        let now = Instant::now();
        let mut probes = self.probes.lock().expect("no panic while locked");
        // A probe that found the endpoint up says nothing about later failures.
        probes.retain(|p| now < p.at + PROBE_TTL && p.is_accepting.peek() != Some(&true));
        if let Some(probe) = probes.iter().find(|probe| probe.address == address) {
            return probe.is_accepting.clone();
        }
        let pool = self.pool.clone();
        let is_accepting = async move { pool.accepts_connections(address).await }.boxed().shared();
        probes.push(Probe { address, at: now, is_accepting: is_accepting.clone() });
        is_accepting
    }

    fn pending(&self) -> MutexGuard<'_, Vec<PendingEvent>> {
        self.pending.lock().expect("no panic while locked")
    }

    fn push(&self, event: SuspectEvent) {
        let mut pending = self.pending();
        if pending.len() >= MAX_PENDING {
            log::warn!("too many undelivered suspect events; dropped one");
            return;
        }
        pending.push(PendingEvent { event, since: Instant::now() });
        drop(pending);
        self.event_added.notify_one();
    }

    /// Reports the requests that the leader suspects or refuses although they were recently
    /// answered here. Each answer is reported once, so that a request that begins to terminate
    /// endpoints is not cleared again and again.
    fn contradict(&self, list: &QuarantineList) {
        for request in list.all() {
            if self.answered_requests().remove(request, Instant::now()) {
                self.push(event(SuspectEventKind::Answered, request, ""));
            }
        }
    }

    /// Sends events to the leader, and checks its lists, until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.fleet.subscribe();
        let mut checked = self.fleet.view().quarantine_list.clone();
        loop {
            if self.pending().is_empty() {
                tokio::select! {
                    () = self.event_added.notified() => {}
                    changed = changes.changed() => changed?,
                }
                let list = self.fleet.view().quarantine_list.clone();
                if !Arc::ptr_eq(&list, &checked) {
                    self.contradict(&list);
                    checked = list;
                }
                if self.pending().is_empty() {
                    continue;
                }
                sleep(BATCH_DELAY).await;
            }
            let events: Vec<_> = self.pending().iter().map(|w| w.event.clone()).collect();
            let count = events.len();
            if count == 0 {
                continue;
            }
            if self.send_events(events).await.is_some() {
                // Other tasks only append events in the meantime.
                self.pending().drain(..count);
                continue;
            }
            sleep(RETRY_PAUSE).await;
            let mut pending = self.pending();
            let before = pending.len();
            pending.retain(|w| w.since.elapsed() < DROP_AFTER);
            let dropped = before - pending.len();
            if dropped > 0 {
                log::warn!(dropped; "dropped suspect events that no control leader accepted");
            }
        }
    }

    /// Sends events to the leader. Returns `None` if it does not answer.
    async fn send_events(&self, events: Vec<SuspectEvent>) -> Option<Vec<SuspectRuling>> {
        let leader = self.fleet.leader()?;
        let body = request::Body::Suspects(peer::SuspectEvents { events });
        match self.client.call(leader, body, RULING_TIMEOUT).await {
            Ok(response::Body::Suspects(decisions)) => Some(decisions.rulings().collect()),
            Ok(_) | Err(_) => None,
        }
    }
}

fn event(kind: SuspectEventKind, request: Fingerprint, endpoint: &str) -> SuspectEvent {
    SuspectEvent {
        kind: kind.into(),
        request: write_fingerprint(request),
        endpoint: endpoint.to_owned(),
        run_ms: 0,
    }
}
