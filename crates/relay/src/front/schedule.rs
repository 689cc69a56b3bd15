//! Schedules calls on endpoints.
//!
//! While a service is at capacity, its calls wait in a queue that is fair between teams. Within a
//! team, calls of the program with the least time left go first. A call that cannot be served
//! before its deadline is refused immediately, with the time after which to retry.
//!
//! Each front has its own queues. They are lost with it, as are the connections of the waiting
//! callers.

mod slot;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak, atomic::Ordering},
    time::Duration,
};

use poplarspan_agreement::Clock;
use poplarspan_node::pool::Pool;
use poplarspan_policy::{
    Name,
    fair::{Call, FairQueue, InFlightLimit, LasDeadline, QueueConfig, QueueId},
    route::NoRoute,
    version_split::VersionSplits,
};
use poplarspan_proto::peer;
use tokio::{
    sync::oneshot,
    time::{MissedTickBehavior, interval},
};

use super::{
    endpoints::{AnsweredCall, ChosenEndpoint, Endpoints, Outcome},
    placement::{EndpointFilter, PlacementRequest},
    rollouts::{self, OpenCall},
};
use crate::{PromptPart, fleet_client::FleetClient};
pub(crate) use slot::{Claim, Slot};

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

/// Number of calls without a slot after which no further ones are tried, if calls are divided
/// between software versions. Bounds the work per free slot while one version is full.
const MAX_SKIPPED: usize = 64;

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
    /// Whether the speed of endpoints is reported, and all fronts send the turns of a program to the
    /// same engine.
    measures_speed: bool,
    state: Mutex<State>,
    this: Weak<Self>,
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
        measures_speed: bool,
    ) -> Arc<Self> {
        let endpoints = Endpoints::new(zone, pool, measures_speed);
        let state = State { endpoints, queues: Vec::new() };
        Arc::new_cyclic(|this| Self {
            fleet,
            clock,
            measures_speed,
            state: Mutex::new(state),
            this: this.clone(),
        })
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
            if filter.software.is_some() && !state.endpoints.has_software(placement, filter) {
                return Err(PlacementError::SoftwareGone);
            }
            let at = state.queue(service);
            let publication = view.publication.as_deref();
            let is_first = state.queues[at].queue.is_empty();
            let placed = match is_first {
                true => state.endpoints.place(placement, filter, publication, now),
                false => state.endpoints.place_at_target(placement, filter, publication, now),
            };
            match placed {
                Ok(endpoint) => {
                    state.queues[at].in_flight += 1;
                    drop(state);
                    return Ok(self.slot(endpoint, placement, filter));
                }
                Err(NoRoute::Full) => {}
                Err(NoRoute::NoneAvailable) if !is_first || filter.tried.is_empty() => {}
                // A stream that breaks off is lost work, so it waits for an endpoint that is
                // paused after a failure.
                Err(NoRoute::NoneAvailable)
                    if filter.software.is_some()
                        && state.endpoints.has_candidate(placement, filter) => {}
                Err(NoRoute::NoneAvailable) => {
                    return Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER });
                }
            }
            state.push(at, placement, filter, now)?
        };
        let mut queued = QueuedCall { schedule: self, placement, filter, id: Some(id), rx };
        let result = (&mut queued.rx).await;
        queued.id = None;
        match result {
            Ok(Ok(endpoint)) => Ok(self.slot(endpoint, placement, filter)),
            Ok(Err(e)) => Err(e),
            // The queue is only dropped at the end of the process.
            Err(_) => Err(PlacementError::NoEndpoint { retry_after: RETRY_AFTER }),
        }
    }

    fn slot(
        self: &Arc<Self>,
        endpoint: ChosenEndpoint,
        placement: &Arc<PlacementRequest>,
        filter: &EndpointFilter,
    ) -> Slot {
        Slot {
            endpoint,
            placement: placement.clone(),
            since: self.clock.now(),
            schedule: self.clone(),
            is_resumed: filter.software.is_some(),
            is_server_error: false,
            outcome: Outcome::Abandoned,
        }
    }

    fn release(&self, slot: &Slot) {
        let now = self.clock.now();
        let occupied = now.saturating_sub(slot.since);
        let placed = {
            let mut state = self.lock();
            state.note_evidence(slot, occupied);
            if self.measures_speed {
                state.note_speed(slot, occupied);
            }
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
            let WaitingCall { placement, filter, tx, .. } = waiting;
            if let Err(Ok(endpoint)) = tx.send(Ok(endpoint))
                && let Some(this) = self.this.upgrade()
            {
                drop(this.slot(endpoint, &placement, &filter));
            }
        }
    }

    /// Whether a call may still be sent to its chosen endpoint. If so, it counts as sent.
    pub(crate) fn may_receive(&self, claim: &Claim) -> bool {
        let Claim { endpoint, placement, filter, is_counted } = claim;
        let view = self.fleet.view();
        let mut state = self.lock();
        state.endpoints.observe(&view, self.clock.now());
        let may_receive = state.endpoints.may_receive(endpoint, placement, filter);
        if may_receive && !is_counted.swap(true, Ordering::Relaxed) {
            let splits = state.endpoints.splits();
            rollouts::note_sent(splits.call_sent(&placement.service, endpoint.software.as_ref()));
        }
        may_receive
    }

    /// Counts a call that needs a software version, until the result is dropped.
    pub(crate) fn hold_version(self: &Arc<Self>, service: &Name, software: &Name) -> OpenCall {
        OpenCall::new(self.clone(), service.clone(), software.clone())
    }

    /// Accesses the rollouts, brought up to date with the view.
    pub(super) fn with_splits<T>(&self, f: impl FnOnce(&mut VersionSplits) -> T) -> T {
        let view = self.fleet.view();
        let mut state = self.lock();
        state.endpoints.observe(&view, self.clock.now());
        f(state.endpoints.splits())
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

    /// Takes the calls that ended since the last report. They are lost if the heartbeat that reports
    /// them is not answered.
    pub(crate) fn take_work(&self) -> Vec<peer::EndpointWork> {
        self.lock().endpoints.take_work()
    }

    /// Takes whether calls have been sent to endpoints since the last heartbeat.
    pub(crate) fn take_sends_calls(&self) -> bool {
        self.lock().endpoints.take_sends_calls()
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

    /// Number of parts of a prompt after the leading ones that many conversations share.
    pub(crate) fn own_parts(&self, parts: &[PromptPart]) -> usize {
        self.lock().endpoints.own_parts(parts)
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

    /// Records the end of a slot's call for the rollouts.
    fn note_evidence(&mut self, slot: &Slot, took: Duration) {
        let Slot { endpoint, placement, .. } = slot;
        let is_cold = self.endpoints.was_cold(&endpoint.name, slot.since);
        let (service, software) = (&placement.service, endpoint.software.as_ref());
        let splits = self.endpoints.splits();
        splits.call_closed(service, software);
        if let Some(result) = slot.evidence(took, is_cold) {
            splits.call_ended(service, &placement.route, &endpoint.name, software, result);
        }
    }

    /// Records the duration of a slot's call, unless it says nothing about the endpoint: a resumed
    /// stream is only a part of its call, and a cold endpoint is slow for a while only.
    fn note_speed(&mut self, slot: &Slot, took: Duration) {
        let Slot { endpoint, placement, .. } = slot;
        let is_whole = slot.outcome == Outcome::Answered && !slot.is_resumed;
        let is_cold = self.endpoints.was_cold(&endpoint.name, slot.since);
        if is_whole && !slot.is_server_error && !is_cold {
            self.endpoints.note_speed(&AnsweredCall {
                route: &placement.route,
                endpoint: &endpoint.name,
                cost: placement.cost,
                took,
            });
        }
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
            self.endpoints.wait_for_limits(placement, filter, queue.queue.len(), now);
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
        let ServiceQueue { service, queue, in_flight, .. } = &mut queues[at];
        let mut placed = Vec::new();
        if queue.is_empty() {
            return placed;
        }
        let view = fleet.view();
        let publication = view.publication.as_deref();
        let mut skipped = Vec::new();
        let is_divided = endpoints.is_divided(service);
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
                    let is_any_left = is_divided && skipped.len() < MAX_SKIPPED;
                    if is_unrestricted && !is_any_left {
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
            let is_open = |w: &WaitingCall| endpoints.has_available(&w.placement, &w.filter);
            let needed = Duration::from_secs_f64(queue.hold_time_s / 4.0);
            let expired = queue.queue.expire(now);
            let too_late = queue.queue.remove_where(|call| {
                let w = &call.payload;
                let is_late = now + needed > w.placement.deadline;
                is_late || (!is_open(w) && now > w.since + OUTAGE_WAIT)
            });
            for entry in expired.into_iter().chain(too_late) {
                let retry_after = RETRY_AFTER;
                let error = if is_open(&entry.call.payload) {
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

/// A call that waits. If its caller disconnects, it leaves the queue, or gives back its slot.
struct QueuedCall<'a> {
    schedule: &'a Arc<Schedule>,
    placement: &'a Arc<PlacementRequest>,
    filter: &'a EndpointFilter,
    id: Option<QueueId>,
    rx: oneshot::Receiver<Result<ChosenEndpoint, PlacementError>>,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        {
            let mut state = self.schedule.lock();
            let at = state.queue(&self.placement.service);
            state.queues[at].queue.remove(id);
        }
        self.rx.close();
        // A slot that was assigned but not yet received would stay occupied for ever.
        if let Ok(Ok(endpoint)) = self.rx.try_recv() {
            drop(self.schedule.slot(endpoint, self.placement, self.filter));
        }
    }
}
