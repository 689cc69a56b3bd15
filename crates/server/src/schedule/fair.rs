//! The scheduler of an instance: fair queues in front of cost-based routing.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use futures::future::BoxFuture;
use poplarspan_objects::{Name, ObjectSet, Serves, ZoneState};
use poplarspan_policy::{fair::QueueId, route::CacheEvent};
use tokio::time::{Instant, MissedTickBehavior};

use super::{
    CallSpec, Chosen, DispatchOutcome, Placed, Release, Scheduler, Slot, SlotEnd,
    endpoints::{Endpoints, Report},
    model_group,
    queues::{Decided, Queues},
    service_group,
};
use crate::{
    entry::{Code, Refusal},
    membership::Membership,
};

const TICK: Duration = Duration::from_millis(50);
const COME_BACK: Duration = Duration::from_secs(1);

struct State {
    endpoints: Endpoints,
    queues: Queues,
}

/// Queues and endpoints of this instance.
pub(crate) struct FairScheduler {
    membership: Arc<Membership>,
    start: Instant,
    state: Mutex<State>,
    this: Weak<Self>,
}

impl FairScheduler {
    pub(crate) fn new(me: Name, zone: Name, membership: Arc<Membership>) -> Arc<Self> {
        let state = State { endpoints: Endpoints::new(me, zone), queues: Queues::default() };
        Arc::new_cyclic(|this| Self {
            membership,
            start: Instant::now(),
            state: Mutex::new(state),
            this: this.clone(),
        })
    }

    /// Follows ramps, deadlines and changes of the objects, until the task is ended.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.membership.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = changes.changed() => changed?,
            }
            let now = self.now();
            let decided = {
                let mut state = self.locked(now);
                state.endpoints.refresh_caps(now);
                let mut decided = state.queues.expire(now);
                let State { endpoints, queues } = &mut *state;
                decided.extend(queues.give_up(endpoints, now));
                for group in state.queues.waiting_groups() {
                    let State { endpoints, queues } = &mut *state;
                    decided.extend(queues.serve(&group, endpoints, now));
                }
                decided
            };
            self.tell(decided);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The state, brought up to the objects in force.
    fn locked(&self, now: Duration) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no panic while locked");
        state.endpoints.observe(&self.membership.load(), now);
        state
    }

    /// Endpoints to ask for their load.
    pub(super) fn endpoints(&self) -> Vec<Chosen> {
        self.locked(self.now()).endpoints.list()
    }

    /// The run of the endpoint's process that was seen last.
    pub(crate) fn run_of(&self, endpoint: &Name) -> Option<u64> {
        self.locked(self.now()).endpoints.run_of(endpoint)
    }

    /// Whether the endpoint serves models, and so has a prefix cache.
    pub(super) fn is_engine(&self, endpoint: &str) -> bool {
        let known = self.membership.load();
        let found = known.objects.endpoint(endpoint);
        found.is_some_and(|e| matches!(e.serves, Serves::Models(_)))
    }

    /// Takes note of a load report, or of its absence.
    pub(super) fn report(&self, endpoint: &Name, report: Option<Report>) {
        let now = self.now();
        self.locked(now).endpoints.report(endpoint, report, now);
    }

    /// Applies cache events of an endpoint, each with its age.
    pub(super) fn cache_events(
        &self,
        endpoint: &Name,
        events: impl Iterator<Item = (Duration, CacheEvent)>,
    ) {
        let now = self.now();
        let mut state = self.locked(now);
        for (age, mut event) in events {
            event.occurred_at = now.saturating_sub(age);
            state.endpoints.cache_event(endpoint, &event);
        }
    }

    /// Tells waiting calls of their places. Not under the lock, since a place that nobody takes is
    /// given back, which takes the lock.
    fn tell(&self, decided: Vec<Decided>) {
        for (placed, spec) in decided.into_iter().filter_map(Decided::tell) {
            drop(self.slot(placed, &spec));
        }
    }

    fn slot(&self, placed: Placed, spec: &Arc<CallSpec>) -> Slot {
        let release = self.this.upgrade().expect("called through an Arc");
        Slot::new(placed, spec.clone(), release)
    }

    /// Refuses at once when no endpoint of the group can ever take the call.
    fn check_served(&self, spec: &CallSpec, tried: &[Name]) -> Result<(), Refusal> {
        let known = self.membership.load();
        if serving(&known.objects, &spec.group).any(|name| !tried.contains(name)) {
            return Ok(());
        }
        Err(Refusal::not_run(Code::Unavailable, "no endpoint can take this call")
            .retry_after(COME_BACK))
    }
}

/// Endpoints that serve the group and may take new work.
pub(crate) fn serving<'a>(
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

/// Leaves the queue when the caller goes away.
struct LeaveOnDrop<'a> {
    scheduler: &'a FairScheduler,
    group: &'a Name,
    id: Option<QueueId>,
}

impl Drop for LeaveOnDrop<'_> {
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
            let (id, mut rx, decided) = {
                let mut state = self.locked(now);
                let State { endpoints, queues } = &mut *state;
                let capacity = endpoints.capacity(&spec.group);
                let (id, rx) = queues.push(spec, tried, capacity, deadline, now)?;
                (id, rx, queues.serve(&spec.group, endpoints, now))
            };
            self.tell(decided);
            // Mostly the place is there at once.
            let result = match rx.try_recv() {
                Ok(result) => result,
                Err(_) => {
                    let mut guard =
                        LeaveOnDrop { scheduler: self, group: &spec.group, id: Some(id) };
                    let result = rx.await;
                    guard.id = None;
                    result.unwrap_or_else(|_| {
                        Err(Refusal::not_run(Code::ShuttingDown, "the instance is stopping"))
                    })
                }
            };
            result.map(|placed| self.slot(placed, spec))
        })
    }
}

impl Release for FairScheduler {
    fn release(&self, end: &SlotEnd<'_>) {
        let now = self.now();
        let decided = {
            let mut state = self.locked(now);
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
            queues.serve(&end.spec.group, endpoints, now)
        };
        self.tell(decided);
    }
}
