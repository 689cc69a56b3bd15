//! Speed of endpoints relative to each other, measured by all instances together.
//!
//! The load is a service in which some endpoints take longer for the same work. One instance sends
//! each of them a call every few seconds and cannot tell a slow endpoint from a long call. Instances
//! therefore report what they have seen to the leader of the control group, whose means they all use
//! as weights ([`CostConfig::affinity_load_bound`](crate::route::CostConfig::affinity_load_bound)).
//!
//! A weight that differs between instances or changes often moves programs, so the mean is rounded
//! and changes only once it is clearly closer to another step.
//!
//! The state belongs to the leader. A new leader knows nothing and learns from the next reports.

use std::{cmp::Reverse, time::Duration};

use crate::Name;

/// Time constant of the means. At some ten calls per second and endpoint, the mean of durations that
/// vary by half is known to a few percent.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Calls at the speed of the median that are added to those seen, so that a few calls, or none, say
/// little about an endpoint.
const PRIOR_CALLS: f64 = 4.0;
/// Steps per unit to which the slowness is rounded.
const STEPS: f64 = 8.0;
/// Distance from the rounded value, in steps, above which it changes. More than half a step, so that
/// noise at the border between two steps does not move programs.
const MIN_CHANGE_STEPS: f64 = 0.8;
/// Time between two changes of the rounded values.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds of the slowness. An endpoint outside of them is failing rather than slow or fast.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 8.0;
/// Maximum ratio of one call, so that a call that hung does not outweigh all others.
const MAX_CALL_RATIO: f64 = 20.0;
/// Time in which a slowness that the leader no longer confirms fades.
const FADE_TIME: Duration = Duration::from_secs(5);
/// Weight of a call in the mean of its route.
const ROUTE_GAIN: f64 = 0.05;
/// Maximum number of routes with a mean; endpoints are not judged by calls of further ones.
const MAX_ROUTES: usize = 1_024;
/// Maximum number of endpoints with a mean; further ones count as the median.
const MAX_ENDPOINTS: usize = 4_096;

/// Calls that ended at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndedCalls {
    /// Number of calls.
    pub count: u32,
    /// Sum of the duration of each call divided by the expected one.
    pub ratio: f64,
}

impl EndedCalls {
    /// Adds a call that took `took` instead of `expected`.
    pub fn add(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        if ratio.is_finite() {
            self.count = self.count.saturating_add(1);
            self.ratio += ratio.min(MAX_CALL_RATIO);
        }
    }
}

/// What one instance has seen of the speed of endpoints since its last report.
#[derive(Debug, Default)]
pub struct ObservedCalls {
    /// Mean duration of a unit of work of each route, in seconds; sorted by route.
    routes: Vec<(Name, f64)>,
    /// Sorted by endpoint.
    ended: Vec<(Name, EndedCalls)>,
}

impl ObservedCalls {
    /// Records a call of `route` at `endpoint`. The expected duration is the mean duration per unit of
    /// work of the calls of the route before it, multiplied by `work`; the first call of a route says
    /// nothing about its endpoint.
    pub fn record(&mut self, route: &Name, endpoint: &Name, work: f64, took: Duration) {
        let per_unit = took.as_secs_f64() / work;
        if !(per_unit.is_finite() && per_unit > 0.0) {
            return;
        }
        match self.routes.binary_search_by(|(known, _)| known.cmp(route)) {
            Ok(at) => {
                let usual = &mut self.routes[at].1;
                let expected = Duration::from_secs_f64(*usual * work);
                *usual += ROUTE_GAIN * (per_unit.min(MAX_CALL_RATIO * *usual) - *usual);
                let at = self.ended.binary_search_by(|(known, _)| known.cmp(endpoint));
                let at = at.unwrap_or_else(|at| {
                    self.ended.insert(at, (endpoint.clone(), EndedCalls::default()));
                    at
                });
                self.ended[at].1.add(took, expected);
            }
            Err(at) if self.routes.len() < MAX_ROUTES => {
                self.routes.insert(at, (route.clone(), per_unit));
            }
            Err(_) => {}
        }
    }

    /// Takes up to `limit` endpoints with the most calls. The others remain for the next report.
    pub fn take(&mut self, limit: usize) -> Vec<(Name, EndedCalls)> {
        let mut ended = std::mem::take(&mut self.ended);
        if ended.len() > limit {
            ended.sort_by_key(|(_, calls)| Reverse(calls.count));
            self.ended = ended.split_off(limit);
            self.ended.sort_by(|a, b| a.0.cmp(&b.0));
        }
        ended
    }

    /// Drops endpoints that have left the list.
    pub fn retain(&mut self, mut is_listed: impl FnMut(&Name) -> bool) {
        self.ended.retain(|(endpoint, _)| is_listed(endpoint));
    }
}

/// Returns the slowness that an instance uses if it heard of `slowness` this long ago. It reaches 1 after
/// five seconds, in the same steps.
pub fn faded(slowness: f64, age: Duration) -> f64 {
    let left = 1.0 - age.as_secs_f64() / FADE_TIME.as_secs_f64();
    1.0 + ((slowness - 1.0) * left.clamp(0.0, 1.0) * STEPS).round() / STEPS
}

/// A change of an endpoint's rounded slowness.
#[derive(Clone, Debug, PartialEq)]
pub struct SlownessChange {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Rounded slowness before the change.
    pub before: f64,
    /// Rounded slowness after it.
    pub slowness: f64,
    /// Calls in the mean, of which older ones count less.
    pub calls: f64,
}

#[derive(Debug)]
struct EndpointMean {
    endpoint: Name,
    service: Name,
    /// Calls and the sum of their ratios, decayed since `updated`.
    calls: f64,
    ratio: f64,
    updated: Duration,
    slowness: f64,
}

impl EndpointMean {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let weight = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        self.calls *= weight;
        self.ratio *= weight;
        self.updated = now;
    }

    /// Mean ratio if the endpoint is like others, whose ratio is `usual`, until calls show it.
    fn mean(&self, usual: f64) -> f64 {
        (self.ratio + PRIOR_CALLS * usual) / (self.calls + PRIOR_CALLS)
    }
}

/// Slowness of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    /// Sorted by endpoint.
    means: Vec<EndpointMean>,
    updated: Option<Duration>,
}

impl EndpointLoads {
    /// Records the calls that one instance reports for an endpoint of `service`.
    pub fn record(&mut self, endpoint: &Name, service: &Name, ended: EndedCalls, now: Duration) {
        if !(ended.ratio.is_finite() && ended.ratio >= 0.0) {
            return;
        }
        let at = match self.position(endpoint) {
            Ok(at) => at,
            Err(_) if self.means.len() >= MAX_ENDPOINTS => return,
            Err(at) => {
                let mean = EndpointMean {
                    endpoint: endpoint.clone(),
                    service: service.clone(),
                    calls: 0.0,
                    ratio: 0.0,
                    updated: now,
                    slowness: 1.0,
                };
                self.means.insert(at, mean);
                at
            }
        };
        let count = f64::from(ended.count);
        let mean = &mut self.means[at];
        mean.decay(now);
        mean.calls += count;
        mean.ratio += ended.ratio.min(count * MAX_CALL_RATIO);
    }

    /// Drops endpoints that have left the list.
    pub fn retain(&mut self, mut is_listed: impl FnMut(&Name) -> bool) {
        self.means.retain(|mean| is_listed(&mean.endpoint));
    }

    /// Updates the rounded values, at most once per second, and returns those that changed. Those of a
    /// service stay while it has too few calls to tell: idle endpoints are as fast as before.
    pub fn advance(&mut self, now: Duration) -> Vec<SlownessChange> {
        if self.updated.is_some_and(|at| now < at + UPDATE_INTERVAL) {
            return Vec::new();
        }
        self.updated = Some(now);
        self.means.iter_mut().for_each(|mean| mean.decay(now));
        let mut changes = Vec::new();
        for (service, usual) in self.medians() {
            for mean in self.means.iter_mut().filter(|m| m.service == service) {
                let exact = (mean.mean(usual) / usual).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
                let before = mean.slowness;
                if (exact - before).abs() * STEPS < MIN_CHANGE_STEPS {
                    continue;
                }
                mean.slowness = (exact * STEPS).round() / STEPS;
                changes.push(SlownessChange {
                    endpoint: mean.endpoint.clone(),
                    before,
                    slowness: mean.slowness,
                    calls: mean.calls,
                });
            }
        }
        changes
    }

    /// Returns up to `limit` endpoints whose slowness is not 1, sorted by name, and their slowness:
    /// those farthest from 1 if there are more.
    pub fn weights(&self, limit: usize) -> Vec<(Name, f64)> {
        let differs = self.means.iter().filter(|m| m.slowness != 1.0);
        let mut weights: Vec<_> = differs.map(|m| (m.endpoint.clone(), m.slowness)).collect();
        if weights.len() > limit {
            weights.sort_by(|a, b| b.1.ln().abs().total_cmp(&a.1.ln().abs()));
            weights.truncate(limit);
            weights.sort_by(|a, b| a.0.cmp(&b.0));
        }
        weights
    }

    /// Median ratio of the endpoints of each service that have enough calls to tell.
    fn medians(&self) -> Vec<(Name, f64)> {
        let known = self.means.iter().filter(|m| m.calls >= PRIOR_CALLS && m.ratio > 0.0);
        let mut ratios: Vec<_> = known.map(|m| (m.service.clone(), m.ratio / m.calls)).collect();
        ratios.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let services = ratios.chunk_by(|a, b| a.0 == b.0);
        services.map(|of_one| of_one[(of_one.len() - 1) / 2].clone()).collect()
    }

    fn position(&self, endpoint: &Name) -> Result<usize, usize> {
        self.means.binary_search_by(|m| m.endpoint.cmp(endpoint))
    }
}
