//! A first come, first served queue in front of the endpoint with the fewest calls in flight.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use futures::future::BoxFuture;
use poplarspan_objects::{Endpoint, Name, ObjectSet, ZoneState};
use tokio::sync::oneshot;

use super::{CallSpec, DispatchOutcome, Release, Scheduler, Slot, Target};
use crate::{
    entry::{Code, Refusal},
    membership::Membership,
};

const COME_BACK: Duration = Duration::from_secs(1);

/// Queue and in-flight counts of this instance.
pub(crate) struct LocalScheduler {
    membership: Arc<Membership>,
    state: Mutex<State>,
    this: Weak<Self>,
}

#[derive(Default)]
struct State {
    // Sorted by name.
    in_flight: Vec<(Name, u32)>,
    waiting: VecDeque<Waiting>,
}

struct Waiting {
    spec: Arc<CallSpec>,
    tried: Vec<Name>,
    tx: oneshot::Sender<Slot>,
}

impl LocalScheduler {
    pub(crate) fn new(membership: Arc<Membership>) -> Arc<Self> {
        Arc::new_cyclic(|this| Self { membership, state: Mutex::default(), this: this.clone() })
    }

    fn slot(&self, endpoint: Endpoint, spec: &Arc<CallSpec>) -> Slot {
        let release = self.this.upgrade().expect("called through an Arc");
        Slot::new(endpoint, spec.clone(), release)
    }

    /// Hands free places to waiting calls. The slots go out after the lock is released, since
    /// dropping one takes the lock.
    fn serve_waiting(&self) {
        let objects = self.membership.load().objects.clone();
        let mut placed = Vec::new();
        {
            let mut state = self.state.lock().expect("no panic while locked");
            let mut kept = VecDeque::new();
            while let Some(waiting) = state.waiting.pop_front() {
                if waiting.tx.is_closed() {
                    continue;
                }
                match state.place(&objects, &waiting.spec, &waiting.tried) {
                    Some(endpoint) => placed.push((waiting, endpoint)),
                    None => kept.push_back(waiting),
                }
            }
            state.waiting = kept;
        }
        for (waiting, endpoint) in placed {
            let slot = self.slot(endpoint, &waiting.spec);
            // A caller that has gone gives the slot back by dropping it.
            let _ = waiting.tx.send(slot);
        }
    }
}

impl State {
    fn in_flight(&self, name: &str) -> u32 {
        match self.in_flight.binary_search_by(|(n, _)| (**n).cmp(name)) {
            Ok(i) => self.in_flight[i].1,
            Err(_) => 0,
        }
    }

    fn add(&mut self, name: &Name) {
        match self.in_flight.binary_search_by(|(n, _)| n.cmp(name)) {
            Ok(i) => self.in_flight[i].1 += 1,
            Err(i) => self.in_flight.insert(i, (name.clone(), 1)),
        }
    }

    fn remove(&mut self, name: &Name) {
        if let Ok(i) = self.in_flight.binary_search_by(|(n, _)| n.cmp(name)) {
            self.in_flight[i].1 -= 1;
            if self.in_flight[i].1 == 0 {
                self.in_flight.remove(i);
            }
        }
    }

    /// Picks the usable endpoint with the fewest calls in flight, and counts the call there.
    fn place(&mut self, objects: &ObjectSet, spec: &CallSpec, tried: &[Name]) -> Option<Endpoint> {
        let best = usable(objects, &spec.target)
            .filter(|e| !tried.contains(&e.name))
            .map(|e| (self.in_flight(&e.name), e))
            .filter(|(load, e)| *load < e.capacity)
            .min_by_key(|(load, _)| *load)?
            .1
            .clone();
        self.add(&best.name);
        Some(best)
    }
}

/// Endpoints that serve the target and may take new work.
pub(crate) fn usable<'a>(
    objects: &'a ObjectSet,
    target: &'a Target,
) -> impl Iterator<Item = &'a Endpoint> {
    objects.endpoints().iter().filter(move |e| {
        let serves = match target {
            Target::Model(name) => e.serves_model(name),
            Target::Service(name) => e.serves_service(name),
        };
        let zone_in = objects.zone(&e.zone).is_some_and(|z| z.state == ZoneState::In);
        serves && zone_in && !e.leaving
    })
}

impl Scheduler for LocalScheduler {
    fn acquire<'a>(
        &'a self,
        spec: &'a Arc<CallSpec>,
        tried: &'a [Name],
    ) -> BoxFuture<'a, Result<Slot, Refusal>> {
        Box::pin(async move {
            let objects = self.membership.load().objects.clone();
            if !usable(&objects, &spec.target).any(|e| !tried.contains(&e.name)) {
                return Err(Refusal::not_run(Code::Unavailable, "no endpoint can take this call")
                    .retry_after(COME_BACK));
            }
            let rx = {
                let mut state = self.state.lock().expect("no panic while locked");
                if let Some(endpoint) = state.place(&objects, spec, tried) {
                    drop(state);
                    return Ok(self.slot(endpoint, spec));
                }
                if state.waiting.len() >= spec.max_queue as usize {
                    return Err(Refusal::not_run(Code::Overloaded, "the queue is full")
                        .retry_after(COME_BACK));
                }
                let (tx, rx) = oneshot::channel();
                state.waiting.push_back(Waiting { spec: spec.clone(), tried: tried.to_vec(), tx });
                rx
            };
            match tokio::time::timeout_at(spec.deadline, rx).await {
                Ok(Ok(slot)) => Ok(slot),
                Ok(Err(_)) => Err(Refusal::not_run(Code::ShuttingDown, "the instance is stopping")),
                Err(_) => Err(Refusal::not_run(Code::Deadline, "no endpoint was free in time")
                    .retry_after(COME_BACK)),
            }
        })
    }
}

impl Release for LocalScheduler {
    fn release(&self, endpoint: &Name, _spec: &CallSpec, _outcome: DispatchOutcome) {
        self.state.lock().expect("no panic while locked").remove(endpoint);
        self.serve_waiting();
    }
}
