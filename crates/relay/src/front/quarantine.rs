//! The front's part in the quarantine of requests under which endpoints end.
//!
//! A front tells the leader of the control group when an endpoint has ended while it may have been
//! running a request, and learns with its lease which requests are suspects and which are refused.
//! A suspect runs only with the leader's word that it runs nowhere else. A request that was answered
//! here a short time ago is no reason for the end of an endpoint, so that the same request of many
//! callers is not suspected when several endpoints end.
//!
//! Owner: the leader; a front only has the list of its last lease, and the events that it has not
//! passed on yet. These are dropped when they cannot be passed on in time: a front that is cut off
//! cannot tell an endpoint that has ended from one that it does not reach.

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

use super::{answered::Answered, attempt::Call, endpoints::Chosen};
use crate::{board::write_fingerprint, fleet::Fleet};

/// A look that finds that an endpoint has ended serves all calls that are lost there within this time.
const LOOK_VALID: Duration = Duration::from_secs(1);
/// Looks at an endpoint after a trial, and the time between two. It has ended if it accepts no
/// connection in any of them.
const TRIAL_LOOKS: u32 = 3;
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Events of calls that are lost together go to the leader together.
const GATHERING: Duration = Duration::from_millis(20);
const RULING_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY: Duration = Duration::from_millis(60);
/// Events that no leader has taken for this long are dropped; longer than an election takes.
const DROP_AFTER: Duration = Duration::from_secs(2);
/// Events that wait; further ones are dropped.
const MAX_WAITING: usize = 4_096;

/// Whether a call may be sent to an endpoint.
pub(crate) enum Entry {
    Free,
    OnTrial(Trial),
    /// Another suspect runs at the endpoint.
    EndpointTaken,
    /// The endpoint accepts no connection.
    EndpointAway,
    /// The request runs elsewhere, or no leader answers.
    NotNow,
    Refused,
}

/// A run on trial. Dropping it says that the trial has shown nothing.
pub(crate) struct Trial {
    quarantine: Arc<Quarantine>,
    request: Fingerprint,
    endpoint: Name,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let kind = SuspectEventKind::TrialOver;
        self.quarantine.push(event(kind, self.request, &self.endpoint));
    }
}

struct Waiting {
    event: SuspectEvent,
    since: Instant,
}

struct Look {
    address: SocketAddr,
    at: Instant,
    is_accepting: Shared<BoxFuture<'static, bool>>,
}

/// Quarantine as a front sees it.
pub(crate) struct Quarantine {
    fleet: Arc<Fleet>,
    client: PeerClient,
    pool: Arc<Pool>,
    waiting: Mutex<Vec<Waiting>>,
    is_waiting: Notify,
    looks: Mutex<Vec<Look>>,
    answered: Mutex<Answered>,
}

impl Quarantine {
    pub(crate) fn new(fleet: Arc<Fleet>, client: PeerClient, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            client,
            pool,
            waiting: Mutex::default(),
            is_waiting: Notify::new(),
            looks: Mutex::default(),
            answered: Mutex::default(),
        })
    }

    /// Whether the request of a call is refused.
    pub(crate) fn is_refused(&self, call: &Call) -> bool {
        let list = &self.fleet.view().quarantined.refused;
        !list.is_empty() && list.binary_search(&call.fingerprint()).is_ok()
    }

    fn is_suspect(&self, call: &Call) -> bool {
        let list = &self.fleet.view().quarantined.suspects;
        !list.is_empty() && list.binary_search(&call.fingerprint()).is_ok()
    }

    /// Asks whether a call may be sent to an endpoint.
    pub(crate) async fn enter(self: &Arc<Self>, call: &Call, endpoint: &Chosen) -> Entry {
        if self.is_refused(call) {
            return Entry::Refused;
        }
        if !self.is_suspect(call) {
            return Entry::Free;
        }
        let request = call.fingerprint();
        let run_ms = u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX);
        let begin = event(SuspectEventKind::Begin, request, &endpoint.name);
        let rulings = self.tell(vec![SuspectEvent { run_ms, ..begin }]).await;
        match rulings.as_deref().and_then(|rulings| rulings.first()) {
            Some(SuspectRuling::Free) => Entry::Free,
            Some(SuspectRuling::OnTrial) => {
                let (quarantine, name) = (self.clone(), endpoint.name.clone());
                let trial = Trial { quarantine, request, endpoint: name };
                // An endpoint that has ended before says nothing of this run.
                match self.pool.is_accepting(endpoint.address).await {
                    true => Entry::OnTrial(trial),
                    false => Entry::EndpointAway,
                }
            }
            Some(SuspectRuling::EndpointTaken) => Entry::EndpointTaken,
            Some(SuspectRuling::Refused) => Entry::Refused,
            Some(SuspectRuling::Busy | SuspectRuling::Unspecified) | None => Entry::NotNow,
        }
    }

    /// Takes note that an endpoint has given no whole answer to a call, and finds out meanwhile
    /// whether it has ended.
    pub(crate) fn lost(self: &Arc<Self>, call: &Call, endpoint: &Chosen, trial: Option<Trial>) {
        let (this, request, endpoint) = (self.clone(), call.fingerprint(), endpoint.clone());
        if self.answered_requests().contains(request, Instant::now()) {
            return;
        }
        tokio::spawn(async move {
            let has_ended = match &trial {
                Some(_) => this.has_ended_for_good(&endpoint).await,
                None => !this.look(endpoint.address).await,
            };
            if has_ended {
                this.push(event(SuspectEventKind::EndpointEnded, request, &endpoint.name));
            }
            // The trial is over only after the leader has the event.
            drop(trial);
        });
    }

    /// Takes note that a call has a whole answer.
    pub(crate) fn answered(&self, call: &Call, trial: Option<Trial>) {
        self.answered_requests().insert(call.fingerprint(), Instant::now());
        if trial.is_some() || self.is_suspect(call) || self.is_refused(call) {
            self.push(event(SuspectEventKind::Answered, call.fingerprint(), ""));
        }
    }

    fn answered_requests(&self) -> MutexGuard<'_, Answered> {
        self.answered.lock().expect("no panic while locked")
    }

    /// Whether an endpoint accepts no connection, and goes on so for a while.
    async fn has_ended_for_good(&self, endpoint: &Chosen) -> bool {
        for _ in 0..TRIAL_LOOKS {
            if self.pool.is_accepting(endpoint.address).await {
                return false;
            }
            sleep(LOOK_INTERVAL).await;
        }
        true
    }

    /// Whether an endpoint accepts connections. Calls that are lost together share a look.
    fn look(&self, address: SocketAddr) -> Shared<BoxFuture<'static, bool>> {
        let now = Instant::now();
        let mut looks = self.looks.lock().expect("no panic while locked");
        // One that has found an endpoint up says nothing of what came after it.
        looks.retain(|l| now < l.at + LOOK_VALID && l.is_accepting.peek() != Some(&true));
        if let Some(look) = looks.iter().find(|look| look.address == address) {
            return look.is_accepting.clone();
        }
        let pool = self.pool.clone();
        let is_accepting = async move { pool.is_accepting(address).await }.boxed().shared();
        looks.push(Look { address, at: now, is_accepting: is_accepting.clone() });
        is_accepting
    }

    fn waiting(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().expect("no panic while locked")
    }

    fn push(&self, event: SuspectEvent) {
        let mut waiting = self.waiting();
        if waiting.len() >= MAX_WAITING {
            log::warn!("too many events of suspects wait; one is dropped");
            return;
        }
        waiting.push(Waiting { event, since: Instant::now() });
        drop(waiting);
        self.is_waiting.notify_one();
    }

    /// Passes events on to the leader, until the task is ended.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        loop {
            if self.waiting().is_empty() {
                self.is_waiting.notified().await;
                sleep(GATHERING).await;
            }
            let events: Vec<_> = self.waiting().iter().map(|w| w.event.clone()).collect();
            let count = events.len();
            if count == 0 {
                continue;
            }
            if self.tell(events).await.is_some() {
                // Events are only added at the end meanwhile.
                self.waiting().drain(..count);
                continue;
            }
            sleep(RETRY).await;
            let mut waiting = self.waiting();
            let before = waiting.len();
            waiting.retain(|w| w.since.elapsed() < DROP_AFTER);
            let dropped = before - waiting.len();
            if dropped > 0 {
                log::warn!(dropped; "no leader takes the events of suspects; the oldest are dropped");
            }
        }
    }

    /// Tells the leader of events. None when it does not answer.
    async fn tell(&self, events: Vec<SuspectEvent>) -> Option<Vec<SuspectRuling>> {
        let leader = self.fleet.leader()?;
        let body = request::Body::Suspects(peer::SuspectEvents { events });
        match self.client.call(leader, body, RULING_TIMEOUT).await {
            Ok(response::Body::Suspects(rulings)) => Some(rulings.rulings().collect()),
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
