//! Slow start of endpoints that have just started or recovered.
//!
//! The load is an endpoint that returns while many instances serve calls. Each of them learns for
//! itself that the endpoint answers again and then sends it everything, so that it is overloaded
//! before it is warm, fails, and is left idle by all of them. How many calls it can take is not
//! known beforehand: the pace is found from how it responds.
//!
//! The pace is a rate of calls from all instances together, which share it as they share a limit
//! that an endpoint names ([`call_limit`](crate::call_limit)). It starts low, doubles after a step
//! with good results, halves after one with failures, and ends when it has reached what other
//! endpoints of the service answer. It also grows, slowly, while no calls arrive: then nothing is
//! known against the endpoint.
//!
//! The state belongs to the leader of the control group. A new leader knows no paces; an endpoint
//! that starts under it gets a new one.

use std::time::Duration;

use crate::Name;

/// Pace at the start, in calls per second: with views that are half a second late, a dead endpoint
/// costs some four calls.
const START_PER_SECOND: f64 = 8.0;
/// Lowest pace, in calls per second. Still shows within a second or two that the endpoint answers.
const MIN_PER_SECOND: f64 = 2.0;
/// Pace at which it ends if nothing is known about other endpoints, in calls per second.
const DEFAULT_END_PER_SECOND: f64 = 128.0;
/// A pace this many times the calls that other endpoints answer is no limit.
const END_FACTOR: f64 = 1.5;
/// Duration of a step: the time until all instances know the pace and their results have arrived,
/// two heartbeat intervals and half a second of delays.
const STEP: Duration = Duration::from_secs(1);
/// Time after a halving in which results are those of calls that were sent before.
const SETTLING: Duration = Duration::from_millis(500);
/// Duration after which a pace grows without results.
const IDLE_STEP: Duration = Duration::from_secs(2);
const GROWTH: f64 = 2.0;
const IDLE_GROWTH: f64 = 1.25;
/// Part of the calls that may fail in a good step; above it the pace is halved.
const MAX_FAILED: f64 = 0.1;
/// Answers that make a step good, however few calls arrive.
const MIN_ANSWERED: u32 = 2;
/// Maximum number of endpoints with a pace; further ones start without.
const MAX_ENDPOINTS: usize = 4_096;

/// A change of an endpoint's pace.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Calls per second of all instances together, or `None` if there is no limit any more.
    pub per_second: Option<f64>,
    /// Calls answered and failed in the step that led to the change.
    pub answered: u32,
    /// See `answered`.
    pub failed: u32,
    /// Calls per second before the change.
    pub before: f64,
}

#[derive(Debug)]
struct Pace {
    endpoint: Name,
    per_second: f64,
    /// When the pace was last changed.
    since: Duration,
    /// When the first results were recorded. The first step runs from then, as instances learn of
    /// the endpoint and of its pace later than the leader.
    first_results_at: Option<Duration>,
    answered: u32,
    failed: u32,
    /// Results until then do not count.
    settles_at: Duration,
}

/// Paces of endpoints.
#[derive(Debug, Default)]
pub struct Paces {
    /// Sorted by endpoint.
    paces: Vec<Pace>,
}

impl Paces {
    /// Starts an endpoint over at the lowest rate. Returns the change, or `None` if there are too
    /// many paces.
    pub fn start(&mut self, endpoint: &Name, now: Duration) -> Option<PaceChange> {
        let new = Pace {
            endpoint: endpoint.clone(),
            per_second: START_PER_SECOND,
            since: now,
            first_results_at: None,
            answered: 0,
            failed: 0,
            settles_at: now,
        };
        match self.position(endpoint) {
            Ok(at) => self.paces[at] = new,
            Err(_) if self.paces.len() >= MAX_ENDPOINTS => return None,
            Err(at) => self.paces.insert(at, new),
        }
        Some(PaceChange {
            endpoint: endpoint.clone(),
            per_second: Some(START_PER_SECOND),
            answered: 0,
            failed: 0,
            before: f64::INFINITY,
        })
    }

    /// Records results of calls at an endpoint that an instance reports. Calls that took several
    /// times as long as usual count as failed. Endpoints without a pace are ignored.
    pub fn record(&mut self, endpoint: &str, answered: u32, failed: u32, now: Duration) {
        let Ok(at) = self.position(endpoint) else { return };
        let pace = &mut self.paces[at];
        if answered > 0 || failed > 0 {
            pace.first_results_at.get_or_insert(now);
        }
        if now >= pace.settles_at {
            pace.answered = pace.answered.saturating_add(answered);
            pace.failed = pace.failed.saturating_add(failed);
        }
    }

    /// Ends the paces of endpoints that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.paces.retain(|p| is_listed(&p.endpoint));
    }

    /// Changes the paces by the results so far. `peer_rate` returns the calls per second that
    /// another endpoint of the same service answers, if that is known.
    pub fn advance(
        &mut self,
        peer_rate: impl Fn(&Name) -> Option<f64>,
        now: Duration,
    ) -> Vec<PaceChange> {
        let mut changes = Vec::new();
        self.paces.retain_mut(|pace| {
            let Some(next) = pace.next(now) else { return true };
            let end =
                peer_rate(&pace.endpoint).map(|rate| (END_FACTOR * rate).max(START_PER_SECOND));
            let is_over = next > pace.per_second && next >= end.unwrap_or(DEFAULT_END_PER_SECOND);
            changes.push(PaceChange {
                endpoint: pace.endpoint.clone(),
                per_second: (!is_over).then_some(next),
                answered: pace.answered,
                failed: pace.failed,
                before: pace.per_second,
            });
            let is_lower = next < pace.per_second;
            (pace.per_second, pace.since) = (next, now);
            (pace.answered, pace.failed) = (0, 0);
            pace.settles_at = if is_lower { now + SETTLING } else { now };
            !is_over
        });
        changes
    }

    /// Endpoints with a pace, sorted, and their calls per second.
    pub fn paces(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.paces.iter().map(|p| (&p.endpoint, p.per_second))
    }

    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.paces.binary_search_by(|p| (*p.endpoint).cmp(endpoint))
    }
}

impl Pace {
    /// Returns the pace of the next step, or `None` if this one goes on.
    fn next(&self, now: Duration) -> Option<f64> {
        let failed = f64::from(self.failed);
        if failed > MAX_FAILED * f64::from(self.answered + self.failed) {
            let lower = (self.per_second / GROWTH).max(MIN_PER_SECOND);
            // At the lowest pace failures only restart the step.
            return (lower < self.per_second || now >= self.since + STEP).then_some(lower);
        }
        if self.answered >= MIN_ANSWERED {
            let step_from = self.first_results_at.map_or(self.since, |at| at.max(self.since));
            return (now >= step_from + STEP).then_some(self.per_second * GROWTH);
        }
        (now >= self.since + IDLE_STEP).then_some(self.per_second * IDLE_GROWTH)
    }
}
