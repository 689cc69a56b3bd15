//! Load of endpoints that have just started.
//!
//! A cold endpoint takes `cold_capacity` concurrent calls, summed over all instances, and its
//! capacity grows linearly to `capacity` over the time `ramp`. The total is divided among the
//! instances of the membership view: instance number `i` in the endpoint's own rendezvous order
//! gets `total / n` calls, plus one if `i < total % n`.
//!
//! Instances may have different views for up to one membership lease. Each therefore uses its
//! smallest share under any view that was its own within the last lease duration, and none for that
//! time after its first view or after a gap between epochs. All live instances then have one view
//! in common: let `v` be the oldest view that is still the newest one of some live instance. Its
//! lease was granted before the next view existed, so no instance has had the next view for a whole
//! lease duration, and all of them still take `v` into account. The shares under `v` add up to the
//! total, so the sum never exceeds the total (invariant I7). Calls that were in flight when a share
//! became smaller still count in the load report, so [`Cap::total`] has to be enforced on the
//! estimated load as well.
//!
//! An endpoint counts as cold until it is known, when its start time changes, when it refuses
//! [`COLD_REFUSALS`] calls in a row, or when [`COLD_LATENCIES`] answers in a row take
//! [`COLD_LATENCY_FACTOR`] times as long as usual. If less than half of a group's capacity is warm,
//! its warm endpoints are divided among the instances like cold ones, so that a restart of all
//! other endpoints does not overload the one that stayed warm.
//!
//! Each instance keeps its own state. After a crash all endpoints count as cold until their first
//! load report.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;
use crate::invariants::check_invariant;
use crate::rate::{View, rendezvous};

/// Number of consecutive refusals after which an endpoint counts as cold.
pub const COLD_REFUSALS: u32 = 3;

/// Number of consecutive slow answers after which an endpoint counts as cold.
pub const COLD_LATENCIES: u32 = 5;

/// An answer is slow if it takes more than this multiple of the baseline latency.
pub const COLD_LATENCY_FACTOR: f64 = 4.0;

/// Weight of a new answer in the moving average of the baseline latency.
const BASELINE_LATENCY_GAIN: f64 = 0.05;

/// Maximum number of views kept.
const MAX_VIEWS: usize = 64;

/// Configuration of an endpoint's ramp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RampSpec {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Group of the endpoint; the endpoints of a group are interchangeable.
    pub group: Name,
    /// Concurrent calls when warm.
    pub capacity: u32,
    /// Concurrent calls directly after the start.
    pub cold_capacity: u32,
    /// Time from cold to warm.
    pub ramp: Duration,
}

/// Limit of calls in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    /// Maximum number of calls of this instance.
    pub own: u32,
    /// Maximum number of calls of all instances together.
    pub total: u32,
}

/// Outcome of a call, as far as it distinguishes cold from warm endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered, with this time to the first byte.
    Answered(Duration),
    /// The endpoint refused the call because it was overloaded.
    Refused,
}

#[derive(Clone, Debug)]
struct Ramp {
    spec: RampSpec,
    /// Identifies the run of the endpoint's process, for example by its start time.
    run: Option<u64>,
    /// Age of the run and when it was observed; `None` while the endpoint is unknown.
    observed_age: Option<(Duration, Duration)>,
    refusals: u32,
    slow_answers: u32,
    baseline_latency_s: Option<f64>,
}

impl Ramp {
    fn total(&self, now: Duration) -> u32 {
        let (cold, warm) = (self.spec.cold_capacity.min(self.spec.capacity), self.spec.capacity);
        let Some(age) = self.age(now) else { return cold };
        if age >= self.spec.ramp {
            return warm;
        }
        let progress = age.as_secs_f64() / self.spec.ramp.as_secs_f64();
        cold + (f64::from(warm - cold) * progress) as u32
    }

    fn is_warm(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age >= self.spec.ramp)
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        self.observed_age.map(|(age, at)| age + now.saturating_sub(at))
    }

    fn reset(&mut self, age: Duration, now: Duration) {
        self.observed_age = Some((age, now));
        self.refusals = 0;
        self.slow_answers = 0;
    }
}

/// Ramps of all endpoints, and this instance's share of their capacity.
#[derive(Debug)]
pub struct Ramps {
    instance: Name,
    lease: Duration,
    ramps: Vec<Ramp>,
    /// Views with the time at which each arrived.
    views: VecDeque<(Duration, View)>,
}

impl Ramps {
    /// Returns an empty table for `instance`; `lease` is the duration of membership leases.
    pub fn new(instance: Name, lease: Duration) -> Self {
        Self { instance, lease, ramps: Vec::new(), views: VecDeque::new() }
    }

    /// Adds an endpoint, which counts as cold, or changes the configuration of a known one.
    pub fn upsert(&mut self, spec: RampSpec) {
        match self.find(&spec.endpoint) {
            Ok(at) => self.ramps[at].spec = spec,
            Err(at) => {
                let ramp = Ramp {
                    spec,
                    run: None,
                    observed_age: None,
                    refusals: 0,
                    slow_answers: 0,
                    baseline_latency_s: None,
                };
                self.ramps.insert(at, ramp);
            }
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        if let Ok(at) = self.find(endpoint) {
            self.ramps.remove(at);
        }
    }

    /// Applies a membership view that arrived at `now`. Older views are ignored.
    pub fn observe_view(&mut self, view: &View, now: Duration) {
        match self.views.back() {
            Some((_, last)) if last.epoch >= view.epoch => return,
            Some((_, last)) if last.epoch + 1 == view.epoch => {}
            // After a gap, other instances may have no view in common with this one.
            _ => self.views.clear(),
        }
        self.views.push_back((now, view.clone()));
        // A view is in use until the next one arrives, and counts for one lease after that.
        while self.views.len() > 1
            && (self.views[1].0 + self.lease <= now || self.views.len() > MAX_VIEWS)
        {
            self.views.pop_front();
        }
    }

    /// Applies a report of an endpoint: `run` identifies the run of its process, `uptime` is the
    /// age of that run if the endpoint reports it.
    pub fn observe_run(
        &mut self,
        endpoint: &str,
        run: u64,
        uptime: Option<Duration>,
        now: Duration,
    ) {
        let Ok(at) = self.find(endpoint) else { return };
        let ramp = &mut self.ramps[at];
        if ramp.run != Some(run) {
            ramp.reset(uptime.unwrap_or(Duration::ZERO), now);
            ramp.run = Some(run);
        }
    }

    /// Records the outcome of a call. Returns whether the endpoint counts as cold because of it.
    pub fn observe_outcome(&mut self, endpoint: &str, outcome: Outcome, now: Duration) -> bool {
        let Ok(at) = self.find(endpoint) else { return false };
        let ramp = &mut self.ramps[at];
        let warm = ramp.is_warm(now);
        match outcome {
            Outcome::Refused => ramp.refusals += 1,
            Outcome::Answered(latency) => {
                ramp.refusals = 0;
                let latency = latency.as_secs_f64();
                let baseline = ramp.baseline_latency_s.unwrap_or(latency);
                if latency > COLD_LATENCY_FACTOR * baseline {
                    ramp.slow_answers += 1;
                } else {
                    ramp.slow_answers = 0;
                    if warm {
                        ramp.baseline_latency_s =
                            Some(baseline + BASELINE_LATENCY_GAIN * (latency - baseline));
                    }
                }
                ramp.observed_age.get_or_insert((Duration::ZERO, now));
            }
        }
        let cold = ramp.refusals >= COLD_REFUSALS || warm && ramp.slow_answers >= COLD_LATENCIES;
        if cold {
            ramp.reset(Duration::ZERO, now);
        }
        cold
    }

    /// Returns whether an endpoint is known to be warm.
    pub fn is_warm(&self, endpoint: &str, now: Duration) -> bool {
        self.find(endpoint).is_ok_and(|at| self.ramps[at].is_warm(now))
    }

    /// Returns the limit of calls in flight at `endpoint`, or `None` for a warm endpoint of a warm
    /// group and for an unknown endpoint.
    pub fn cap(&self, endpoint: &str, now: Duration) -> Option<Cap> {
        let at = self.find(endpoint).ok()?;
        let ramp = &self.ramps[at];
        if ramp.is_warm(now) && self.is_group_warm(&ramp.spec.group, now) {
            return None;
        }
        let total = ramp.total(now);
        let cap = Cap { own: self.own_share(endpoint, total, now), total };
        check_invariant(
            cap.own <= cap.total,
            "ramp: the share of the instance is at most the total",
        );
        Some(cap)
    }

    /// Returns this instance's share of `total` calls at `endpoint`: the smallest one over its
    /// recent views.
    fn own_share(&self, endpoint: &str, total: u32, now: Duration) -> u32 {
        let Some((first_learned, _)) = self.views.front() else { return 0 };
        let recent = |i: &usize| {
            // In use until the next view arrived; it counts for one lease after that.
            self.views.get(i + 1).is_none_or(|(ended, _)| now < *ended + self.lease)
        };
        let oldest = (0..self.views.len()).find(recent).unwrap_or(0);
        if oldest == 0 && now < *first_learned + self.lease {
            return 0;
        }
        let shares = self.views.iter().skip(oldest);
        shares
            .map(|(_, view)| instance_share(&self.instance, endpoint, total, &view.instances))
            .min()
            .unwrap_or(0)
    }

    fn is_group_warm(&self, group: &Name, now: Duration) -> bool {
        let (mut warm, mut all) = (0_u64, 0_u64);
        for ramp in self.ramps.iter().filter(|r| r.spec.group == *group) {
            all += u64::from(ramp.spec.capacity);
            warm += if ramp.is_warm(now) { u64::from(ramp.spec.capacity) } else { 0 };
        }
        2 * warm >= all
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.ramps.binary_search_by(|r| (*r.spec.endpoint).cmp(endpoint))
    }
}

/// Returns the share of `instance` in `total` calls at `endpoint` under one view.
fn instance_share(instance: &Name, endpoint: &str, total: u32, instances: &[Name]) -> u32 {
    if !instances.contains(instance) {
        return 0;
    }
    let key = |name: &Name| (rendezvous(endpoint, name), name.clone());
    let own = key(instance);
    let rank = instances.iter().filter(|name| key(name) > own).count() as u32;
    let count = instances.len() as u32;
    total / count + u32::from(rank < total % count)
}
