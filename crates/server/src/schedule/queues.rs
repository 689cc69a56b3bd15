//! Calls that wait for a place, one queue for each group of endpoints.

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

use super::{CallSpec, Placed, endpoints::Endpoints, is_model_group};
use crate::entry::{Code, Refusal};

/// Name under which calls on open routes share the queue.
const OPEN_TEAM: &str = "";
/// Weight of a new measurement in the average time that a call holds its place.
const HELD_GAIN: f64 = 0.05;
/// How long a call waits while no endpoint of its group answers.
const OUTAGE_PATIENCE: Duration = Duration::from_secs(2);
const COME_BACK: Duration = Duration::from_secs(1);

/// A waiting call.
pub(super) struct Waiting {
    pub(super) spec: Arc<CallSpec>,
    tried: Vec<Name>,
    since: Duration,
    tx: oneshot::Sender<Result<Placed, Refusal>>,
}

/// A call that has its place, or its final answer.
pub(super) struct Decided {
    pub(super) waiting: Waiting,
    pub(super) result: Result<Placed, Refusal>,
}

impl Decided {
    /// Tells the waiting call. Returns the place when the caller has gone.
    pub(super) fn tell(self) -> Option<(Placed, Arc<CallSpec>)> {
        let spec = self.waiting.spec;
        match self.waiting.tx.send(self.result) {
            Err(Ok(placed)) => Some((placed, spec)),
            _ => None,
        }
    }
}

struct GroupQueue {
    group: Name,
    queue: FairQueue<Waiting>,
    /// None for groups of plain services, which honour no priorities.
    priorities: Option<Priorities>,
    /// Average time that a call holds its place, in seconds.
    held_s: f64,
}

/// All queues, sorted by group.
#[derive(Default)]
pub(super) struct Queues {
    list: Vec<GroupQueue>,
}

/// Whether the queue may hand out a call, as decided before.
struct Room {
    is_there: bool,
}

impl InFlightLimit for Room {
    fn has_room(&self, _now: Duration) -> bool {
        self.is_there
    }

    // The endpoints count the calls themselves.
    fn acquire(&mut self, _cost: u64) {}
    fn release(&mut self, _cost: u64) {}
}

impl Queues {
    /// Queues a call; refuses when the queue is full or the call cannot be served in time.
    pub(super) fn push(
        &mut self,
        spec: &Arc<CallSpec>,
        tried: &[Name],
        capacity: u32,
        deadline: Duration,
        now: Duration,
    ) -> Result<(QueueId, oneshot::Receiver<Result<Placed, Refusal>>), Refusal> {
        let at = self.find_or_add(&spec.group);
        let group = &mut self.list[at];
        let team = spec.team.clone().unwrap_or_else(|| OPEN_TEAM.into());
        if group.queue.team_len(&team) >= spec.max_queue as usize {
            return Err(overloaded("the team's queue is full", COME_BACK));
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
            payload: Waiting { spec: spec.clone(), tried: tried.to_vec(), since: now, tx },
        };
        match group.queue.push(call, now) {
            Ok(id) => Ok((id, rx)),
            Err(QueueFull::Team(_) | QueueFull::Queue(_)) => {
                Err(overloaded("the queue is full", COME_BACK))
            }
        }
    }

    /// Gives free places to waiting calls of a group.
    pub(super) fn serve(
        &mut self,
        group: &str,
        endpoints: &mut Endpoints,
        now: Duration,
    ) -> Vec<Decided> {
        let Ok(at) = self.position(group) else { return Vec::new() };
        let GroupQueue { queue, priorities, .. } = &mut self.list[at];
        let mut decided = Vec::new();
        // Calls that no free endpoint may take, because they were already tried there.
        let mut passed = Vec::new();
        while let Some(entry) = next(queue, priorities.as_ref(), endpoints, group, now) {
            let waiting = &entry.call.payload;
            if waiting.tx.is_closed() {
                settle(queue, &entry, 0, now);
                continue;
            }
            match endpoints.place(&waiting.spec, &waiting.tried, now) {
                Ok(endpoint) => {
                    let priority = priorities.as_mut().map(|p| prioritize(p, &entry.call, now));
                    let result = Ok(Placed { endpoint, priority });
                    decided.push(Decided { waiting: entry.call.payload, result });
                }
                Err(NoRoute::Full | NoRoute::NoneAvailable) => {
                    let fresh = waiting.tried.is_empty();
                    passed.push(entry);
                    if fresh {
                        break;
                    }
                }
            }
        }
        for entry in passed {
            queue.put_back(entry, &mut Room { is_there: true }, now);
        }
        decided
    }

    /// Refuses the calls that have waited until their deadline.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Decided> {
        let expired = self.list.iter_mut().flat_map(|g| g.queue.expire(now));
        let refusal = || {
            Refusal::not_run(Code::Deadline, "no endpoint was free in time").retry_after(COME_BACK)
        };
        expired
            .map(|entry| Decided { waiting: entry.call.payload, result: Err(refusal()) })
            .collect()
    }

    /// Refuses the calls of groups in which no endpoint has been healthy for a while.
    pub(super) fn give_up(&mut self, endpoints: &Endpoints, now: Duration) -> Vec<Decided> {
        let mut given_up = Vec::new();
        for group in &mut self.list {
            if endpoints.capacity(&group.group) == 0 {
                let waited = |call: &Call<Waiting>| now > call.payload.since + OUTAGE_PATIENCE;
                given_up.extend(group.queue.remove_where(waited));
            }
        }
        let refusal = || {
            let message = "no endpoint that could take the call answers";
            Refusal::not_run(Code::Unavailable, message).retry_after(COME_BACK)
        };
        given_up
            .into_iter()
            .map(|entry| Decided { waiting: entry.call.payload, result: Err(refusal()) })
            .collect()
    }

    /// Removes a call whose caller has gone.
    pub(super) fn remove(&mut self, group: &str, id: QueueId) {
        if let Ok(at) = self.position(group) {
            self.list[at].queue.remove(id);
        }
    }

    /// Corrects the charge for a call that has ended.
    pub(super) fn settle(&mut self, spec: &CallSpec, actual: u64, held: Duration, now: Duration) {
        let Ok(at) = self.position(&spec.group) else { return };
        let group = &mut self.list[at];
        let team = spec.team.clone().unwrap_or_else(|| OPEN_TEAM.into());
        group.queue.settle(&team, spec.program.as_ref(), spec.cost(), actual, now);
        if let Some(priorities) = &mut group.priorities {
            priorities.settle(&team, spec.cost(), actual);
        }
        if actual > 0 {
            group.held_s += HELD_GAIN * (held.as_secs_f64() - group.held_s);
        }
    }

    /// Groups in which calls wait.
    pub(super) fn waiting_groups(&self) -> Vec<Name> {
        self.list.iter().filter(|g| !g.queue.is_empty()).map(|g| g.group.clone()).collect()
    }

    fn position(&self, group: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|g| (*g.group).cmp(group))
    }

    fn find_or_add(&mut self, group: &Name) -> usize {
        self.position(group).unwrap_or_else(|at| {
            let queue = FairQueue::new(QueueConfig::default(), Box::new(LasDeadline::default()));
            let priorities = is_model_group(group).then(Priorities::default);
            let group = group.clone();
            self.list.insert(at, GroupQueue { group, queue, priorities, held_s: 0.0 });
            at
        })
    }
}

/// Takes the next call. While the group is full, teams within their part may wait at the engines,
/// whose priorities put them first; the others wait here.
///
/// An instance without a call at the group may send one all the same: it learns of room from reports
/// only, and would find the group full each time, because the instances that have calls there see
/// them end and send the next at once.
fn next(
    queue: &mut FairQueue<Waiting>,
    priorities: Option<&Priorities>,
    endpoints: &Endpoints,
    group: &str,
    now: Duration,
) -> Option<Entry<Waiting>> {
    let mut room = Room { is_there: endpoints.has_room(group) };
    if room.is_there {
        return queue.pop(&mut room, now);
    }
    room.is_there = endpoints.may_wait_there(group);
    if endpoints.is_absent(group) {
        return queue.pop(&mut room, now);
    }
    let priorities = priorities?;
    queue.pop_where(&mut room, now, |team| priorities.is_within_share(team))
}

impl GroupQueue {
    /// Time until a call that is queued now is served, if the others take as long as usual.
    fn expected_wait(&self, capacity: u32) -> Duration {
        let ahead = self.queue.len() as f64;
        Duration::from_secs_f64(ahead * self.held_s / f64::from(capacity.max(1)))
    }
}

fn prioritize(priorities: &mut Priorities, call: &Call<Waiting>, now: Duration) -> i64 {
    // A clock before the epoch only changes the order of calls.
    let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    priorities.dispatch(&call.team, call.weight, call.cost, now, unix)
}

fn settle(queue: &mut FairQueue<Waiting>, entry: &Entry<Waiting>, actual: u64, now: Duration) {
    let call = &entry.call;
    queue.settle(&call.team, call.program.as_ref(), call.cost, actual, now);
}

fn overloaded(message: &'static str, wait: Duration) -> Refusal {
    Refusal::not_run(Code::Overloaded, message).retry_after(wait)
}
