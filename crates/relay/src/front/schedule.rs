//! Decides which call goes next, and to which endpoint.
//!
//! It answers bursts: while a service is full, calls wait in a queue that is fair between teams and,
//! within a team, puts the call first whose program has least time left. A call that cannot be
//! served before its deadline is refused at once, with the time after which there will be room.
//!
//! Owner: each front for itself. Its queue is lost with it, and with it the callers' connections.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use poplarspan_agreement::Clock;
use poplarspan_node::pool::Pool;
use poplarspan_policy::{
    Name,
    fair::{Call, FairQueue, InFlight, LasDeadline, QueueConfig, QueueId},
    route::NoRoute,
};
use tokio::{
    sync::oneshot,
    time::{MissedTickBehavior, interval},
};

use super::endpoints::{ChosenEndpoint, Endpoints, Outcome};
use crate::{Load, PromptPart, fleet_client::FleetClient};

const TICK: Duration = Duration::from_millis(100);
/// Calls that may wait at one front.
const MAX_WAITING: usize = 2_048;
/// Weight of a new measurement in the average time that a call holds its place.
const HOLD_TIME_GAIN: f64 = 0.05;
/// Time that a call is assumed to hold its place until one has been measured, in seconds.
const INITIAL_HOLD_TIME_S: f64 = 0.2;
/// Come back when no endpoint of a service is open.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// A call waits this long for an endpoint to open before it is refused.
const OUTAGE_WAIT: Duration = Duration::from_millis(500);

/// What the scheduler needs to know of a call.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRequest {
    pub(crate) service: Name,
    /// Empty on open routes.
    pub(crate) team: Name,
    pub(crate) program: Option<Name>,
    /// Line of turns that the call continues.
    pub(crate) conversation: Option<Name>,
    /// Parts of the prompt, in order.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Blocks of the whole prompt.
    pub(crate) blocks: Arc<[u64]>,
    pub(crate) prompt_tokens: u32,
    /// Estimated service, in tokens.
    pub(crate) cost: u64,
    /// When the caller gives up, by the front's clock.
    pub(crate) deadline: Duration,
}

/// Why a call gets no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// There is no endpoint that may take it.
    NoEndpoint { retry_after: Duration },
    /// It cannot be served in time.
    TooLate { retry_after: Duration },
}

struct WaitingCall {
    want: Arc<PlacementRequest>,
    tried: Vec<Name>,
    since: Duration,
    tx: oneshot::Sender<Result<ChosenEndpoint, PlacementError>>,
}

struct ServiceQueue {
    service: Name,
    queue: FairQueue<WaitingCall>,
    /// Average time that a call holds its place, in seconds.
    hold_time_s: f64,
    /// Calls of this front that hold a place.
    in_flight: usize,
}

struct State {
    endpoints: Endpoints,
    // Sorted by service.
    queues: Vec<ServiceQueue>,
}

/// Queues and endpoints of a front.
pub(crate) struct Schedule {
    fleet: Arc<FleetClient>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    this: Weak<Self>,
}

/// A place at an endpoint. Dropping it gives the place back.
pub(crate) struct Slot {
    pub(crate) endpoint: ChosenEndpoint,
    want: Arc<PlacementRequest>,
    schedule: Arc<Schedule>,
    since: Duration,
    outcome: Outcome,
}

impl Slot {
    /// Ends the call.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Takes note of the load that the endpoint reports.
    pub(crate) fn report(&self, load: Load) {
        let schedule = &self.schedule;
        let now = schedule.clock.now();
        schedule.lock().endpoints.report(&self.endpoint.name, load, now);
    }

    /// Takes note that the endpoint has said that it is about to stop.
    pub(crate) fn note_leaving(&self) {
        self.schedule.lock().endpoints.note_leaving(&self.endpoint.name);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.schedule.clone().release(self);
    }
}

/// Whether the queue may hand out a call, as decided before.
struct AlwaysRoom;

impl InFlight for AlwaysRoom {
    fn has_room(&self, _now: Duration) -> bool {
        true
    }

    // The endpoints count the calls themselves.
    fn began(&mut self, _cost: u64) {}
    fn ended(&mut self, _cost: u64) {}
}

impl Schedule {
    pub(crate) fn new(
        zone: Name,
        fleet: Arc<FleetClient>,
        pool: Arc<Pool>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let state = State { endpoints: Endpoints::new(zone, pool), queues: Vec::new() };
        Arc::new_cyclic(|this| Self { fleet, clock, state: Mutex::new(state), this: this.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Follows changes of the fleet and the passing of time, until the task is ended.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.fleet.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = changes.changed() => changed?,
            }
            let now = self.clock.now();
            let view = self.fleet.view();
            let decided = {
                let mut state = self.lock();
                state.endpoints.observe(&view, now);
                state.endpoints.tick(now);
                state.refuse_expired(now);
                state.serve_all(&self.fleet, now)
            };
            self.notify_placed(decided);
        }
    }

    /// Waits for a place at an endpoint that is not in `tried`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        want: &Arc<PlacementRequest>,
        tried: &[Name],
    ) -> Result<Slot, PlacementError> {
        let now = self.clock.now();
        let (id, rx) = {
            let view = self.fleet.view();
            let mut state = self.lock();
            state.endpoints.observe(&view, now);
            let at = state.queue(&want.service);
            if state.queues[at].queue.is_empty() {
                let publication = view.publication.as_deref();
                match state.endpoints.place(want, tried, publication, now) {
                    Ok(endpoint) => {
                        state.queues[at].in_flight += 1;
                        drop(state);
                        return Ok(self.slot(endpoint, want));
                    }
                    Err(NoRoute::Full) => {}
                    Err(NoRoute::NoneOpen) if tried.is_empty() => {}
                    Err(NoRoute::NoneOpen) => {
                        return Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER });
                    }
                }
            }
            state.push(at, want, tried, now)?
        };
        let mut guard = DequeueOnDrop { schedule: self, service: &want.service, id: Some(id) };
        let result = rx.await;
        guard.id = None;
        match result {
            Ok(Ok(endpoint)) => Ok(self.slot(endpoint, want)),
            Ok(Err(e)) => Err(e),
            // The queue was dropped, which only happens at the end of the process.
            Err(_) => Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER }),
        }
    }

    fn slot(self: &Arc<Self>, endpoint: ChosenEndpoint, want: &Arc<PlacementRequest>) -> Slot {
        let (want, schedule) = (want.clone(), self.clone());
        Slot { endpoint, want, since: self.clock.now(), schedule, outcome: Outcome::Abandoned }
    }

    fn release(&self, slot: &Slot) {
        let now = self.clock.now();
        let held = now.saturating_sub(slot.since);
        let decided = {
            let mut state = self.lock();
            state.endpoints.end(&slot.endpoint.name, slot.outcome, held, now);
            let at = state.queue(&slot.want.service);
            let queue = &mut state.queues[at];
            queue.in_flight = queue.in_flight.saturating_sub(1);
            if slot.outcome == Outcome::Answered {
                queue.hold_time_s += HOLD_TIME_GAIN * (held.as_secs_f64() - queue.hold_time_s);
            }
            state.serve(at, &self.fleet, now)
        };
        self.notify_placed(decided);
    }

    /// Tells waiting calls of their places. Not under the lock, since a place that nobody takes is
    /// given back, which takes the lock.
    fn notify_placed(&self, decided: Vec<(WaitingCall, ChosenEndpoint)>) {
        for (waiting, endpoint) in decided {
            let WaitingCall { want, tx, .. } = waiting;
            if let Err(Ok(endpoint)) = tx.send(Ok(endpoint))
                && let Some(this) = self.this.upgrade()
            {
                drop(this.slot(endpoint, &want));
            }
        }
    }

    /// Whether an endpoint that was chosen may still be sent a call.
    pub(crate) fn may_receive(&self, chosen: &ChosenEndpoint) -> bool {
        let view = self.fleet.view();
        let mut state = self.lock();
        state.endpoints.observe(&view, self.clock.now());
        state.endpoints.may_receive(chosen)
    }

    /// Calls that wait, for metrics.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().queues.iter().map(|q| q.queue.len()).sum()
    }
}

impl State {
    /// Position of a service's queue.
    fn queue(&mut self, service: &Name) -> usize {
        self.queues.binary_search_by(|q| q.service.cmp(service)).unwrap_or_else(|at| {
            let cfg = QueueConfig { max_total: MAX_WAITING, ..QueueConfig::default() };
            let queue = FairQueue::new(cfg, Box::new(LasDeadline::default()));
            self.queues.insert(
                at,
                ServiceQueue {
                    service: service.clone(),
                    queue,
                    hold_time_s: INITIAL_HOLD_TIME_S,
                    in_flight: 0,
                },
            );
            at
        })
    }

    /// Queues a call, unless it could not be served in time.
    fn push(
        &mut self,
        at: usize,
        want: &Arc<PlacementRequest>,
        tried: &[Name],
        now: Duration,
    ) -> Result<(QueueId, oneshot::Receiver<Result<ChosenEndpoint, PlacementError>>), PlacementError>
    {
        let queue = &mut self.queues[at];
        let wait = queue.expected_wait();
        let needed = Duration::from_secs_f64(queue.hold_time_s / 2.0);
        if now + wait + needed > want.deadline {
            return Err(PlacementError::TooLate { retry_after: wait.max(RETRY_AFTER) });
        }
        let (tx, rx) = oneshot::channel();
        let call = Call {
            team: want.team.clone(),
            weight: 1,
            program: want.program.clone(),
            cost: want.cost,
            deadline: want.deadline,
            payload: WaitingCall { want: want.clone(), tried: tried.to_vec(), since: now, tx },
        };
        match queue.queue.push(call, now) {
            Ok(id) => Ok((id, rx)),
            Err(_) => Err(PlacementError::TooLate { retry_after: wait.max(RETRY_AFTER) }),
        }
    }

    /// Gives free places to waiting calls.
    fn serve(
        &mut self,
        at: usize,
        fleet: &FleetClient,
        now: Duration,
    ) -> Vec<(WaitingCall, ChosenEndpoint)> {
        let Self { endpoints, queues } = self;
        let ServiceQueue { queue, in_flight, .. } = &mut queues[at];
        let mut decided = Vec::new();
        if queue.is_empty() {
            return decided;
        }
        let view = fleet.view();
        let publication = view.publication.as_deref();
        let mut passed = Vec::new();
        while let Some(entry) = queue.pop(&mut AlwaysRoom, now) {
            let waiting = &entry.call.payload;
            if waiting.tx.is_closed() {
                continue;
            }
            match endpoints.place(&waiting.want, &waiting.tried, publication, now) {
                Ok(endpoint) => {
                    *in_flight += 1;
                    decided.push((entry.call.payload, endpoint));
                }
                Err(_) => {
                    // A call that was tried elsewhere may find nothing although others would.
                    let is_first = waiting.tried.is_empty();
                    passed.push(entry);
                    if is_first {
                        break;
                    }
                }
            }
        }
        for entry in passed {
            queue.put_back(entry, &mut AlwaysRoom, now);
        }
        decided
    }

    fn serve_all(
        &mut self,
        fleet: &FleetClient,
        now: Duration,
    ) -> Vec<(WaitingCall, ChosenEndpoint)> {
        (0..self.queues.len()).flat_map(|at| self.serve(at, fleet, now)).collect()
    }

    /// Refuses the calls that cannot be served in time any more.
    fn refuse_expired(&mut self, now: Duration) {
        for queue in &mut self.queues {
            let is_open = self.endpoints.capacity(&queue.service) > 0;
            let needed = Duration::from_secs_f64(queue.hold_time_s / 4.0);
            let expired = queue.queue.expire(now);
            let hopeless = queue.queue.remove_where(|call| {
                let w = &call.payload;
                let is_late = now + needed > w.want.deadline;
                is_late || (!is_open && now > w.since + OUTAGE_WAIT)
            });
            for entry in expired.into_iter().chain(hopeless) {
                let retry_after = RETRY_AFTER;
                let why = if is_open {
                    PlacementError::TooLate { retry_after }
                } else {
                    PlacementError::NoEndpoint { retry_after }
                };
                // Fails when the caller has gone.
                let _ = entry.call.payload.tx.send(Err(why));
            }
        }
    }
}

impl ServiceQueue {
    /// Time until a call that is queued now gets a place, if the calls of this front go on to end as
    /// often as they do.
    fn expected_wait(&self) -> Duration {
        let ahead = (self.queue.len() + 1) as f64;
        let per_second = self.in_flight.max(1) as f64 / self.hold_time_s;
        Duration::from_secs_f64((ahead / per_second).min(3600.0))
    }
}

/// Leaves the queue when the caller goes away.
struct DequeueOnDrop<'a> {
    schedule: &'a Schedule,
    service: &'a Name,
    id: Option<QueueId>,
}

impl Drop for DequeueOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let mut state = self.schedule.lock();
            let at = state.queue(self.service);
            state.queues[at].queue.remove(id);
        }
    }
}
