//! Queues of calls that wait for a slot, one per endpoint group.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use poplarspan_objects::Name;
use poplarspan_policy::{
    fair::{
        Call, Entry, FairQueue, InFlightLimit, LasDeadline, Priorities, QueueConfig, QueueFull,
        QueueId,
    },
    route::NoRoute,
};
use tokio::sync::oneshot;

use super::{Assignment, CallSpec, endpoints::Endpoints, is_model_group};
use crate::entry::{Code, Refusal};

/// Team name for calls on open routes, which have no team.
const OPEN_ROUTE_TEAM: &str = "";
/// Weight of a new sample in the moving average of the time that calls hold their slots.
const HOLD_TIME_GAIN: f64 = 0.05;
/// Maximum time that a call waits while no endpoint of its group is healthy.
const OUTAGE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call in a queue.
pub(super) struct QueuedCall {
    pub(super) spec: Arc<CallSpec>,
    tried: Vec<Name>,
    since: Duration,
    tx: oneshot::Sender<Result<Assignment, Refusal>>,
}

/// A call that was assigned a slot or refused.
pub(super) struct Resolution {
    pub(super) queued: QueuedCall,
    pub(super) result: Result<Assignment, Refusal>,
}

impl Resolution {
    /// Sends the result to the call. Returns the assignment if the caller has disconnected.
    pub(super) fn notify(self) -> Option<(Assignment, Arc<CallSpec>)> {
        let spec = self.queued.spec;
        match self.queued.tx.send(self.result) {
            Err(Ok(assignment)) => Some((assignment, spec)),
            _ => None,
        }
    }
}

struct GroupQueue {
    group: Name,
    queue: FairQueue<QueuedCall>,
    /// `None` for groups of services, which do not support priorities.
    priorities: Option<Priorities>,
    /// Moving average of the time that calls hold their slots, in seconds.
    mean_hold_s: f64,
}

/// All queues, sorted by group.
#[derive(Default)]
pub(super) struct Queues {
    list: Vec<GroupQueue>,
}

/// Passes a capacity decision that was already made to [`FairQueue`].
struct FixedCapacity {
    available: bool,
}

impl InFlightLimit for FixedCapacity {
    fn has_room(&self, _now: Duration) -> bool {
        self.available
    }

    // Calls in flight are counted by `Endpoints`.
    fn acquire(&mut self, _cost: u64) {}
    fn release(&mut self, _cost: u64) {}
}

impl Queues {
    /// Queues a call. Refuses it if the queue is full or the expected wait exceeds the deadline.
    pub(super) fn push(
        &mut self,
        spec: &Arc<CallSpec>,
        tried: &[Name],
        capacity: u32,
        deadline: Duration,
        now: Duration,
    ) -> Result<(QueueId, oneshot::Receiver<Result<Assignment, Refusal>>), Refusal> {
        let i = self.get_or_insert(&spec.group);
        let group = &mut self.list[i];
        let team = spec.team.clone().unwrap_or_else(|| OPEN_ROUTE_TEAM.into());
        if group.queue.team_len(&team) >= spec.max_queue as usize {
            return Err(overloaded("the team's queue is full", DEFAULT_RETRY_AFTER));
        }
        let wait = group.expected_wait(capacity);
        if now + wait > deadline {
            return Err(overloaded("the call cannot be served before its deadline", wait));
        }
        let (tx, rx) = oneshot::channel();
        let call = Call {
            team,
            weight: spec.weight,
            program: spec.program.clone(),
            cost: spec.cost(),
            deadline,
            payload: QueuedCall { spec: spec.clone(), tried: tried.to_vec(), since: now, tx },
        };
        match group.queue.push(call, now) {
            Ok(id) => Ok((id, rx)),
            Err(QueueFull::Team(_) | QueueFull::Queue(_)) => {
                Err(overloaded("the queue is full", DEFAULT_RETRY_AFTER))
            }
        }
    }

    /// Assigns free slots to the queued calls of a group.
    pub(super) fn assign(
        &mut self,
        group: &str,
        endpoints: &mut Endpoints,
        now: Duration,
    ) -> Vec<Resolution> {
        let Ok(i) = self.position(group) else { return Vec::new() };
        let GroupQueue { queue, priorities, .. } = &mut self.list[i];
        let mut resolved = Vec::new();
        // Calls that were already tried at every free endpoint.
        let mut skipped = Vec::new();
        while let Some(entry) = pop_next(queue, priorities.as_ref(), endpoints, group, now) {
            let queued = &entry.call.payload;
            if queued.tx.is_closed() {
                settle(queue, &entry, 0, now);
                continue;
            }
            match endpoints.assign(&queued.spec, &queued.tried, now) {
                Ok(endpoint) => {
                    let priority = priorities.as_mut().map(|p| prioritize(p, &entry.call, now));
                    let result = Ok(Assignment { endpoint, priority });
                    resolved.push(Resolution { queued: entry.call.payload, result });
                }
                Err(NoRoute::Full | NoRoute::NoneAvailable) => {
                    let untried = queued.tried.is_empty();
                    skipped.push(entry);
                    if untried {
                        break;
                    }
                }
            }
        }
        for entry in skipped {
            queue.put_back(entry, &mut FixedCapacity { available: true }, now);
        }
        resolved
    }

    /// Refuses the calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Resolution> {
        let expired = self.list.iter_mut().flat_map(|g| g.queue.expire(now));
        let refusal = || {
            Refusal::not_run(Code::Deadline, "no endpoint was free in time")
                .retry_after(DEFAULT_RETRY_AFTER)
        };
        expired
            .map(|entry| Resolution { queued: entry.call.payload, result: Err(refusal()) })
            .collect()
    }

    /// Refuses calls that have waited for [`OUTAGE_TIMEOUT`] in groups without a healthy endpoint.
    pub(super) fn refuse_unserved(
        &mut self,
        endpoints: &Endpoints,
        now: Duration,
    ) -> Vec<Resolution> {
        let mut unserved = Vec::new();
        for group in &mut self.list {
            if endpoints.capacity(&group.group) == 0 {
                let waited = |call: &Call<QueuedCall>| now > call.payload.since + OUTAGE_TIMEOUT;
                unserved.extend(group.queue.remove_where(waited));
            }
        }
        let refusal = || {
            let message = "no endpoint that could take the call answers";
            Refusal::not_run(Code::Unavailable, message).retry_after(DEFAULT_RETRY_AFTER)
        };
        unserved
            .into_iter()
            .map(|entry| Resolution { queued: entry.call.payload, result: Err(refusal()) })
            .collect()
    }

    /// Removes a call whose caller has disconnected.
    pub(super) fn remove(&mut self, group: &str, id: QueueId) {
        if let Ok(i) = self.position(group) {
            self.list[i].queue.remove(id);
        }
    }

    /// Replaces the estimated cost of a finished call by its actual cost.
    pub(super) fn settle(&mut self, spec: &CallSpec, actual: u64, held: Duration, now: Duration) {
        let Ok(i) = self.position(&spec.group) else { return };
        let group = &mut self.list[i];
        let team = spec.team.clone().unwrap_or_else(|| OPEN_ROUTE_TEAM.into());
        group.queue.settle(&team, spec.program.as_ref(), spec.cost(), actual, now);
        if let Some(priorities) = &mut group.priorities {
            priorities.settle(&team, spec.cost(), actual);
        }
        if actual > 0 {
            group.mean_hold_s += HOLD_TIME_GAIN * (held.as_secs_f64() - group.mean_hold_s);
        }
    }

    /// Returns the groups with queued calls.
    pub(super) fn waiting_groups(&self) -> Vec<Name> {
        self.list.iter().filter(|g| !g.queue.is_empty()).map(|g| g.group.clone()).collect()
    }

    fn position(&self, group: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|g| (*g.group).cmp(group))
    }

    fn get_or_insert(&mut self, group: &Name) -> usize {
        self.position(group).unwrap_or_else(|i| {
            let queue = FairQueue::new(QueueConfig::default(), Box::new(LasDeadline::default()));
            let priorities = is_model_group(group).then(Priorities::default);
            let group = group.clone();
            self.list.insert(i, GroupQueue { group, queue, priorities, mean_hold_s: 0.0 });
            i
        })
    }
}

/// Takes the next call from the queue. While the group is full, calls of teams within their share
/// may wait at the engines, which serve them first by priority; other calls stay in this queue.
///
/// An instance without calls in flight at the group may send one even if the group is full. It sees
/// free capacity only in load reports, and instances with calls in flight would always use it
/// first, since they send the next call as soon as one of theirs ends.
fn pop_next(
    queue: &mut FairQueue<QueuedCall>,
    priorities: Option<&Priorities>,
    endpoints: &Endpoints,
    group: &str,
    now: Duration,
) -> Option<Entry<QueuedCall>> {
    let mut capacity = FixedCapacity { available: endpoints.has_capacity(group) };
    if capacity.available {
        return queue.pop(&mut capacity, now);
    }
    capacity.available = endpoints.may_queue_at_endpoints(group);
    if endpoints.has_no_own_calls(group) {
        return queue.pop(&mut capacity, now);
    }
    let priorities = priorities?;
    queue.pop_where(&mut capacity, now, |team| priorities.is_within_share(team))
}

impl GroupQueue {
    /// Estimates the wait of a call that is queued now, from the average hold time.
    fn expected_wait(&self, capacity: u32) -> Duration {
        let ahead = self.queue.len() as f64;
        Duration::from_secs_f64(ahead * self.mean_hold_s / f64::from(capacity.max(1)))
    }
}

fn prioritize(priorities: &mut Priorities, call: &Call<QueuedCall>, now: Duration) -> i64 {
    // A clock before the epoch only affects the order of calls.
    let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    priorities.dispatch(&call.team, call.weight, call.cost, now, unix)
}

fn settle(
    queue: &mut FairQueue<QueuedCall>,
    entry: &Entry<QueuedCall>,
    actual: u64,
    now: Duration,
) {
    let call = &entry.call;
    queue.settle(&call.team, call.program.as_ref(), call.cost, actual, now);
}

fn overloaded(message: &'static str, wait: Duration) -> Refusal {
    Refusal::not_run(Code::Overloaded, message).retry_after(wait)
}
