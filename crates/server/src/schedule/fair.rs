//! Scheduler with fair queues and cost-based routing.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use futures::future::BoxFuture;
use poplarspan_objects::{Name, ObjectSet, Serves, ZoneState};
use poplarspan_policy::{fair::QueueId, route::CacheEvent};
use tokio::time::{Instant, MissedTickBehavior};

use super::{
    Assignment, CallSpec, DispatchOutcome, EndpointRef, Release, Scheduler, Slot, SlotEnd,
    endpoints::{Endpoints, Report},
    model_group,
    queues::{Queues, Resolution},
    service_group,
};
use crate::{
    entry::{Code, Refusal},
    membership::Membership,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

struct State {
    endpoints: Endpoints,
    queues: Queues,
}

/// Scheduler of this instance.
pub(crate) struct FairScheduler {
    membership: Arc<Membership>,
    start: Instant,
    state: Mutex<State>,
    weak_self: Weak<Self>,
}

impl FairScheduler {
    pub(crate) fn new(local_name: Name, zone: Name, membership: Arc<Membership>) -> Arc<Self> {
        let state =
            State { endpoints: Endpoints::new(local_name, zone), queues: Queues::default() };
        Arc::new_cyclic(|weak_self| Self {
            membership,
            start: Instant::now(),
            state: Mutex::new(state),
            weak_self: weak_self.clone(),
        })
    }

    /// Processes ramps, deadlines and changes of the objects until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.membership.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = changes.changed() => changed?,
            }
            let now = self.now();
            let resolved = {
                let mut state = self.updated_state(now);
                state.endpoints.refresh_caps(now);
                let mut resolved = state.queues.expire(now);
                let State { endpoints, queues } = &mut *state;
                resolved.extend(queues.refuse_unserved(endpoints, now));
                for group in state.queues.waiting_groups() {
                    let State { endpoints, queues } = &mut *state;
                    resolved.extend(queues.assign(&group, endpoints, now));
                }
                resolved
            };
            self.notify(resolved);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the state and updates it to the current membership.
    fn updated_state(&self, now: Duration) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no panic while locked");
        state.endpoints.update(&self.membership.load(), now);
        state
    }

    /// Returns the endpoints to poll for their load.
    pub(super) fn endpoints(&self) -> Vec<EndpointRef> {
        self.updated_state(self.now()).endpoints.list()
    }

    /// Returns the last reported run of the endpoint's process.
    pub(crate) fn run_of(&self, endpoint: &Name) -> Option<u64> {
        self.updated_state(self.now()).endpoints.run_of(endpoint)
    }

    /// Whether the endpoint serves models and therefore has a prefix cache.
    pub(super) fn is_engine(&self, endpoint: &str) -> bool {
        let snapshot = self.membership.load();
        let found = snapshot.objects.endpoint(endpoint);
        found.is_some_and(|e| matches!(e.serves, Serves::Models(_)))
    }

    /// Records a load report; `None` counts as a failure.
    pub(super) fn report(&self, endpoint: &Name, report: Option<Report>) {
        let now = self.now();
        self.updated_state(now).endpoints.report(endpoint, report, now);
    }

    /// Applies cache events of an endpoint, each given with its age.
    pub(super) fn cache_events(
        &self,
        endpoint: &Name,
        events: impl Iterator<Item = (Duration, CacheEvent)>,
    ) {
        let now = self.now();
        let mut state = self.updated_state(now);
        for (age, mut event) in events {
            event.occurred_at = now.saturating_sub(age);
            state.endpoints.cache_event(endpoint, &event);
        }
    }

    /// Sends results to queued calls. Must be called without the lock, since a slot whose caller
    /// has disconnected is released immediately, which acquires the lock.
    fn notify(&self, resolved: Vec<Resolution>) {
        for (assignment, spec) in resolved.into_iter().filter_map(Resolution::notify) {
            drop(self.slot(assignment, &spec));
        }
    }

    fn slot(&self, assignment: Assignment, spec: &Arc<CallSpec>) -> Slot {
        let release = self.weak_self.upgrade().expect("called through an Arc");
        Slot::new(assignment, spec.clone(), release)
    }

    /// Fails if every endpoint of the group was tried, is leaving, or is in a zone that is out.
    fn check_served(&self, spec: &CallSpec, tried: &[Name]) -> Result<(), Refusal> {
        let snapshot = self.membership.load();
        if serving_endpoints(&snapshot.objects, &spec.group).any(|name| !tried.contains(name)) {
            return Ok(());
        }
        Err(Refusal::not_run(Code::Unavailable, "no endpoint can take this call")
            .retry_after(DEFAULT_RETRY_AFTER))
    }
}

/// Returns the endpoints of the group that accept new calls.
pub(crate) fn serving_endpoints<'a>(
    objects: &'a ObjectSet,
    group: &'a str,
) -> impl Iterator<Item = &'a Name> {
    let in_group = move |serves: &Serves| match serves {
        Serves::Models(models) => models.iter().any(|m| *model_group(m) == *group),
        Serves::Service(service) => *service_group(service) == *group,
    };
    objects
        .endpoints()
        .iter()
        .filter(move |e| in_group(&e.serves) && !e.leaving)
        .filter(|e| objects.zone(&e.zone).is_some_and(|z| z.state == ZoneState::In))
        .map(|e| &e.name)
}

/// Removes a call from its queue if the caller disconnects.
struct DequeueOnDrop<'a> {
    scheduler: &'a FairScheduler,
    group: &'a Name,
    id: Option<QueueId>,
}

impl Drop for DequeueOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let mut state = self.scheduler.state.lock().expect("no panic while locked");
            state.queues.remove(self.group, id);
        }
    }
}

impl Scheduler for FairScheduler {
    fn acquire<'a>(
        &'a self,
        spec: &'a Arc<CallSpec>,
        tried: &'a [Name],
    ) -> BoxFuture<'a, Result<Slot, Refusal>> {
        Box::pin(async move {
            self.check_served(spec, tried)?;
            let now = self.now();
            let deadline = spec.deadline.saturating_duration_since(self.start);
            let (id, mut rx, resolved) = {
                let mut state = self.updated_state(now);
                let State { endpoints, queues } = &mut *state;
                let capacity = endpoints.capacity(&spec.group);
                let (id, rx) = queues.push(spec, tried, capacity, deadline, now)?;
                (id, rx, queues.assign(&spec.group, endpoints, now))
            };
            self.notify(resolved);
            // In most cases a slot is available immediately.
            let result = match rx.try_recv() {
                Ok(result) => result,
                Err(_) => {
                    let mut dequeue =
                        DequeueOnDrop { scheduler: self, group: &spec.group, id: Some(id) };
                    let result = rx.await;
                    dequeue.id = None;
                    result.unwrap_or_else(|_| {
                        Err(Refusal::not_run(Code::ShuttingDown, "the instance is stopping"))
                    })
                }
            };
            result.map(|assignment| self.slot(assignment, spec))
        })
    }
}

impl Release for FairScheduler {
    fn release(&self, end: &SlotEnd<'_>) {
        let now = self.now();
        let resolved = {
            let mut state = self.updated_state(now);
            let State { endpoints, queues } = &mut *state;
            endpoints.end(end, now);
            let actual = match end.outcome {
                DispatchOutcome::Answered { tokens, .. } => {
                    tokens.unwrap_or_else(|| end.spec.cost())
                }
                DispatchOutcome::Abandoned => 0,
                DispatchOutcome::Refused | DispatchOutcome::Failed => end.spec.prompt_tokens,
            };
            queues.settle(end.spec, actual, end.held, now);
            queues.assign(&end.spec.group, endpoints, now)
        };
        self.notify(resolved);
    }
}
