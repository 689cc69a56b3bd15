//! Low quantiles of times, learned for each route.

use std::time::Duration;

use crate::Name;

/// Weight of a sample below the estimate: a few samples suffice to reach the shortest ones.
const FALL_GAIN: f64 = 0.25;
/// Relative rise of the estimate per second without a shorter sample: 4 % in 40 s of overload. A
/// rise with each sample would follow an overload the faster the more turns a front has.
const RISE_PER_SECOND: f64 = 0.001;
/// Maximum number of routes; further ones are not measured.
const MAX_ROUTES: usize = 256;

#[derive(Clone, Debug)]
struct RouteTime {
    route: Name,
    /// Low quantile, in seconds.
    seconds: f64,
    samples: u32,
    updated_at: Duration,
}

/// A low quantile of the times of each route.
#[derive(Clone, Debug)]
pub(super) struct LowTimes {
    /// Number of samples before an estimate counts.
    min_samples: u32,
    /// Number of first samples of which the estimate is the minimum.
    first_samples: u32,
    /// Sorted by route.
    routes: Vec<RouteTime>,
}

impl LowTimes {
    /// Returns no estimates. An estimate is the minimum of the first `first_samples` times, and
    /// counts from `min_samples` on.
    pub(super) fn new(min_samples: u32, first_samples: u32) -> Self {
        Self { min_samples, first_samples, routes: Vec::new() }
    }

    /// Records a time in seconds.
    pub(super) fn record(&mut self, route: &Name, sample: f64, now: Duration) {
        let at = match self.routes.binary_search_by(|r| r.route.cmp(route)) {
            Ok(at) => at,
            Err(_) if self.routes.len() >= MAX_ROUTES => return,
            Err(at) => {
                let route = route.clone();
                let new = RouteTime { route, seconds: sample, samples: 0, updated_at: now };
                self.routes.insert(at, new);
                at
            }
        };
        let known = &mut self.routes[at];
        known.samples = known.samples.saturating_add(1);
        let elapsed = now.saturating_sub(known.updated_at).as_secs_f64();
        known.updated_at = now;
        known.seconds *= 1.0 + RISE_PER_SECOND * elapsed;
        if sample < known.seconds {
            let is_first = known.samples <= self.first_samples;
            let gain = if is_first { 1.0 } else { FALL_GAIN };
            known.seconds += gain * (sample - known.seconds);
        }
    }

    /// The low quantile of a route, in seconds, or `None` while too few times are known.
    pub(super) fn get(&self, route: &Name) -> Option<f64> {
        let at = self.routes.binary_search_by(|r| r.route.cmp(route)).ok()?;
        let known = &self.routes[at];
        (known.samples >= self.min_samples).then_some(known.seconds)
    }
}
