//! Schedules calls on endpoints.
//!
//! While a service is at capacity, its calls wait in a queue that is fair between teams. Within a
//! team, calls of the program with the least time left go first. A call that cannot be served
//! before its deadline is refused immediately, with the time after which to retry.
//!
//! Each front has its own queues. They are lost with it, as are the connections of the waiting
//! callers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use poplarspan_agreement::Clock;
use poplarspan_node::pool::Pool;
use poplarspan_policy::{
    Name,
    fair::{Call, FairQueue, InFlightLimit, LasDeadline, QueueConfig, QueueId},
    route::NoRoute,
};
use poplarspan_proto::peer;
use tokio::{
    sync::oneshot,
    time::{MissedTickBehavior, interval},
};

use super::{
    endpoints::{ChosenEndpoint, Endpoints, Outcome},
    placement::{EndpointFilter, PlacementRequest},
};
use crate::{Load, fleet_client::FleetClient};

const TICK: Duration = Duration::from_millis(100);
/// Maximum number of waiting calls per service.
const MAX_WAITING: usize = 2_048;
/// Weight of a new sample in the moving average of the time that a call occupies its slot.
const HOLD_TIME_GAIN: f64 = 0.05;
/// Assumed time that a call occupies its slot until one has been measured, in seconds.
const INITIAL_HOLD_TIME_S: f64 = 0.2;
/// When to retry while no endpoint of a service is available.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// How long a call waits for an endpoint to become available before it is refused.
const OUTAGE_WAIT: Duration = Duration::from_millis(500);

/// Why a call gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No suitable endpoint is available.
    NoEndpoint { retry_after: Duration },
    /// The call cannot be served before its deadline.
    TooLate { retry_after: Duration },
    /// No endpoint of the software version that began the stream is left.
    SoftwareGone,
}

struct WaitingCall {
    placement: Arc<PlacementRequest>,
    filter: EndpointFilter,
    since: Duration,
    tx: oneshot::Sender<Result<ChosenEndpoint, PlacementError>>,
}

struct ServiceQueue {
    service: Name,
    queue: FairQueue<WaitingCall>,
    /// Moving average of the time that a call occupies its slot, in seconds.
    hold_time_s: f64,
    /// Calls of this front that occupy a slot.
    in_flight: usize,
}

struct State {
    endpoints: Endpoints,
    // Sorted by service.
    queues: Vec<ServiceQueue>,
}

/// Queues and endpoint state of a front.
pub(crate) struct Schedule {
    fleet: Arc<FleetClient>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    this: Weak<Self>,
}

/// A slot at an endpoint; released when dropped.
pub(crate) struct Slot {
    pub(crate) endpoint: ChosenEndpoint,
    placement: Arc<PlacementRequest>,
    schedule: Arc<Schedule>,
    since: Duration,
    outcome: Outcome,
}

impl Slot {
    /// Releases the slot and records the outcome of the call.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records the load that the endpoint reports.
    pub(crate) fn report(&self, load: Load) {
        let schedule = &self.schedule;
        let now = schedule.clock.now();
        schedule.lock().endpoints.report(&self.endpoint.name, load, now);
    }

    /// Records the limit that the endpoint names in an answer, or that it names none.
    pub(crate) fn note_limit(&self, per_second: Option<f64>) {
        let schedule = &self.schedule;
        let now = schedule.clock.now();
        let name = &self.endpoint.name;
        schedule.lock().endpoints.note_limit(name, per_second, self.since, now);
    }

    /// Records that the endpoint announced its stop.
    pub(crate) fn note_leaving(&self) {
        self.schedule.lock().endpoints.note_leaving(&self.endpoint.name);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.schedule.clone().release(self);
    }
}

/// Concurrency limit that always has room. The endpoints enforce their own limits when a call is
/// placed.
struct AlwaysRoom;

impl InFlightLimit for AlwaysRoom {
    fn has_room(&self, _now: Duration) -> bool {
        true
    }

    // Calls are counted per endpoint instead.
    fn acquire(&mut self, _cost: u64) {}
    fn release(&mut self, _cost: u64) {}
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

    /// Follows changes of the fleet view and handles timeouts, until the task is cancelled.
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
            let placed = {
                let mut state = self.lock();
                state.endpoints.observe(&view, now);
                state.endpoints.tick(now);
                state.refuse_expired(now);
                state.serve_all(&self.fleet, now)
            };
            self.notify_placed(placed);
        }
    }

    /// Waits for a slot at an endpoint that the filter allows.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        placement: &Arc<PlacementRequest>,
        filter: &EndpointFilter,
    ) -> Result<Slot, PlacementError> {
        let now = self.clock.now();
        let (id, rx) = {
            let view = self.fleet.view();
            let mut state = self.lock();
            state.endpoints.observe(&view, now);
            let service = &placement.service;
            if filter.software.is_some() && !state.endpoints.has_software(service, filter) {
                return Err(PlacementError::SoftwareGone);
            }
            let at = state.queue(service);
            if state.queues[at].queue.is_empty() {
                let publication = view.publication.as_deref();
                match state.endpoints.place(placement, filter, publication, now) {
                    Ok(endpoint) => {
                        state.queues[at].in_flight += 1;
                        drop(state);
                        return Ok(self.slot(endpoint, placement));
                    }
                    Err(NoRoute::Full) => {}
                    Err(NoRoute::NoneAvailable) if filter.tried.is_empty() => {}
                    // A stream that breaks off is lost work, so it waits for an endpoint that is
                    // paused after a failure.
                    Err(NoRoute::NoneAvailable)
                        if filter.software.is_some()
                            && state.endpoints.has_candidate(service, filter) => {}
                    Err(NoRoute::NoneAvailable) => {
                        return Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER });
                    }
                }
            }
            state.push(at, placement, filter, now)?
        };
        let mut guard = DequeueOnDrop { schedule: self, service: &placement.service, id: Some(id) };
        let result = rx.await;
        guard.id = None;
        match result {
            Ok(Ok(endpoint)) => Ok(self.slot(endpoint, placement)),
            Ok(Err(e)) => Err(e),
            // The queue is only dropped at the end of the process.
            Err(_) => Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER }),
        }
    }

    fn slot(self: &Arc<Self>, endpoint: ChosenEndpoint, placement: &Arc<PlacementRequest>) -> Slot {
        let (placement, schedule) = (placement.clone(), self.clone());
        Slot { endpoint, placement, since: self.clock.now(), schedule, outcome: Outcome::Abandoned }
    }

    fn release(&self, slot: &Slot) {
        let now = self.clock.now();
        let occupied = now.saturating_sub(slot.since);
        let placed = {
            let mut state = self.lock();
            state.endpoints.end(&slot.endpoint.name, slot.outcome, occupied, now);
            let at = state.queue(&slot.placement.service);
            let queue = &mut state.queues[at];
            queue.in_flight = queue.in_flight.saturating_sub(1);
            if slot.outcome == Outcome::Answered {
                queue.hold_time_s += HOLD_TIME_GAIN * (occupied.as_secs_f64() - queue.hold_time_s);
            }
            state.serve(at, &self.fleet, now)
        };
        self.notify_placed(placed);
    }

    /// Notifies waiting calls of their slots. Must not be called with the lock held: a slot whose
    /// caller is gone is released, which takes the lock.
    fn notify_placed(&self, placed: Vec<(WaitingCall, ChosenEndpoint)>) {
        for (waiting, endpoint) in placed {
            let WaitingCall { placement, tx, .. } = waiting;
            if let Err(Ok(endpoint)) = tx.send(Ok(endpoint))
                && let Some(this) = self.this.upgrade()
            {
                drop(this.slot(endpoint, &placement));
            }
        }
    }

    /// Whether a call may still be sent to its chosen endpoint.
    pub(crate) fn may_receive(&self, chosen: &ChosenEndpoint) -> bool {
        let view = self.fleet.view();
        let mut state = self.lock();
        state.endpoints.observe(&view, self.clock.now());
        state.endpoints.may_receive(chosen)
    }

    /// Takes the failures of endpoints that have not been reported yet. They are lost if the
    /// heartbeat that reports them is not answered; endpoints that still fail are reported again.
    pub(crate) fn take_failures(&self) -> Vec<peer::EndpointFailures> {
        let failures = self.lock().endpoints.take_failures();
        let report = |(endpoint, count): (Name, u32)| peer::EndpointFailures {
            endpoint: endpoint.to_string(),
            count,
        };
        failures.into_iter().map(report).collect()
    }

    /// Takes the limits that endpoints have named since the last call.
    pub(crate) fn take_limits(&self) -> Vec<peer::EndpointLimit> {
        let limits = self.lock().endpoints.take_limits();
        let report = |(endpoint, per_second): (Name, Option<f64>)| peer::EndpointLimit {
            endpoint: endpoint.to_string(),
            per_second,
        };
        limits.into_iter().map(report).collect()
    }

    /// Takes the results of calls at endpoints whose service has an endpoint with a pace. They are
    /// lost if the heartbeat that reports them is not answered.
    pub(crate) fn take_paced(&self) -> Vec<peer::PacedResults> {
        self.lock().endpoints.take_paced()
    }

    /// Forgets the failures of endpoints, which the loss of the front's own links has caused.
    pub(crate) fn forget_failures(&self) {
        let now = self.clock.now();
        let placed = {
            let mut state = self.lock();
            state.endpoints.forget_failures();
            state.serve_all(&self.fleet, now)
        };
        self.notify_placed(placed);
    }

    /// Addresses of up to `count` endpoints at random, those that take calls first.
    pub(crate) fn sample_endpoints(&self, count: usize) -> Vec<SocketAddr> {
        self.lock().endpoints.sample(count)
    }

    /// Number of waiting calls.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().queues.iter().map(|q| q.queue.len()).sum()
    }
}

impl State {
    /// Index of a service's queue, which is created if necessary.
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

    /// Queues a call, unless it cannot be served in time.
    fn push(
        &mut self,
        at: usize,
        placement: &Arc<PlacementRequest>,
        filter: &EndpointFilter,
        now: Duration,
    ) -> Result<(QueueId, oneshot::Receiver<Result<ChosenEndpoint, PlacementError>>), PlacementError>
    {
        let queue = &mut self.queues[at];
        let wait_for_limits =
            self.endpoints.wait_for_limits(&queue.service, queue.queue.len(), now);
        let wait = queue.expected_wait().max(wait_for_limits.unwrap_or_default());
        let needed = Duration::from_secs_f64(queue.hold_time_s / 2.0);
        if now + wait + needed > placement.deadline {
            return Err(PlacementError::TooLate { retry_after: wait.max(RETRY_AFTER) });
        }
        let (tx, rx) = oneshot::channel();
        let call = Call {
            team: placement.team.clone(),
            weight: 1,
            program: placement.program.clone(),
            cost: placement.cost,
            deadline: placement.deadline,
            payload: WaitingCall {
                placement: placement.clone(),
                filter: filter.clone(),
                since: now,
                tx,
            },
        };
        match queue.queue.push(call, now) {
            Ok(id) => Ok((id, rx)),
            Err(_) => Err(PlacementError::TooLate { retry_after: wait.max(RETRY_AFTER) }),
        }
    }

    /// Assigns free slots to waiting calls.
    fn serve(
        &mut self,
        at: usize,
        fleet: &FleetClient,
        now: Duration,
    ) -> Vec<(WaitingCall, ChosenEndpoint)> {
        let Self { endpoints, queues } = self;
        let ServiceQueue { queue, in_flight, .. } = &mut queues[at];
        let mut placed = Vec::new();
        if queue.is_empty() {
            return placed;
        }
        let view = fleet.view();
        let publication = view.publication.as_deref();
        let mut skipped = Vec::new();
        while let Some(entry) = queue.pop(&mut AlwaysRoom, now) {
            let waiting = &entry.call.payload;
            if waiting.tx.is_closed() {
                continue;
            }
            match endpoints.place(&waiting.placement, &waiting.filter, publication, now) {
                Ok(endpoint) => {
                    *in_flight += 1;
                    placed.push((entry.call.payload, endpoint));
                }
                Err(_) => {
                    // A call that may not go to all endpoints may find no slot while others could.
                    let filter = &waiting.filter;
                    let is_unrestricted = filter.tried.is_empty() && filter.software.is_none();
                    skipped.push(entry);
                    if is_unrestricted {
                        break;
                    }
                }
            }
        }
        for entry in skipped {
            queue.put_back(entry, &mut AlwaysRoom, now);
        }
        placed
    }

    fn serve_all(
        &mut self,
        fleet: &FleetClient,
        now: Duration,
    ) -> Vec<(WaitingCall, ChosenEndpoint)> {
        (0..self.queues.len()).flat_map(|at| self.serve(at, fleet, now)).collect()
    }

    /// Refuses calls that can no longer be served in time.
    fn refuse_expired(&mut self, now: Duration) {
        let Self { endpoints, queues } = self;
        for queue in queues {
            let service = &queue.service;
            let is_open = |filter: &EndpointFilter| match filter.software {
                Some(_) => endpoints.has_available(service, filter),
                None => endpoints.capacity(service) > 0,
            };
            let needed = Duration::from_secs_f64(queue.hold_time_s / 4.0);
            let expired = queue.queue.expire(now);
            let too_late = queue.queue.remove_where(|call| {
                let w = &call.payload;
                let is_late = now + needed > w.placement.deadline;
                is_late || (!is_open(&w.filter) && now > w.since + OUTAGE_WAIT)
            });
            for entry in expired.into_iter().chain(too_late) {
                let retry_after = RETRY_AFTER;
                let error = if is_open(&entry.call.payload.filter) {
                    PlacementError::TooLate { retry_after }
                } else {
                    PlacementError::NoEndpoint { retry_after }
                };
                // Fails if the caller has disconnected.
                let _ = entry.call.payload.tx.send(Err(error));
            }
        }
    }
}

impl ServiceQueue {
    /// Expected time until a call queued now gets a slot, assuming that the calls of this front
    /// keep completing at the current rate.
    fn expected_wait(&self) -> Duration {
        let ahead = (self.queue.len() + 1) as f64;
        let per_second = self.in_flight.max(1) as f64 / self.hold_time_s;
        Duration::from_secs_f64((ahead / per_second).min(3600.0))
    }
}

/// Removes a call from the queue if its caller disconnects.
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
