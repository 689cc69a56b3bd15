//! Limits that endpoints in need name: the calls per second that they take from all instances
//! together.
//!
//! An instance learns of a limit from an answer of the endpoint, at a time when most instances have
//! none yet. So the instances report the limits that they see to a leader, which tells all of them,
//! and each keeps to its part of the limit ([`StartLimiter`](crate::cold_start::StartLimiter)).
//!
//! The state belongs to the leader of the control group. A limit that is no longer reported is
//! dropped: either the endpoint no longer names it, or it gets no calls and will name it again. A
//! new leader starts without limits and learns of them from the next reports.

use std::time::Duration;

use crate::Name;

/// Window in which an instance keeps to its part of a limit. Longer than a second, so that an
/// endpoint with a low limit is open to more instances.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(2);
/// How long a limit holds after an endpoint has last named it.
pub const LIMIT_TTL: Duration = Duration::from_secs(5);
/// Maximum number of endpoints with a limit; those of further ones are not distributed.
const MAX_ENDPOINTS: usize = 4_096;

#[derive(Debug)]
struct NamedLimit {
    endpoint: Name,
    per_second: f64,
    named_at: Duration,
}

/// Limits of endpoints, from the reports of instances.
#[derive(Debug, Default)]
pub struct NamedLimits {
    // Sorted by endpoint.
    limits: Vec<NamedLimit>,
}

impl NamedLimits {
    /// Records that an endpoint has named a limit in calls per second, or `None` that it has
    /// answered without one. Returns whether that is new.
    pub fn record(&mut self, endpoint: &Name, per_second: Option<f64>, now: Duration) -> bool {
        self.limits.retain(|l| now < l.named_at + LIMIT_TTL);
        match (self.limits.binary_search_by(|l| l.endpoint.cmp(endpoint)), per_second) {
            (Ok(at), Some(per_second)) => {
                self.limits[at].per_second = per_second;
                self.limits[at].named_at = now;
                false
            }
            (Ok(at), None) => {
                self.limits.remove(at);
                true
            }
            (Err(_), None) => false,
            (Err(_), Some(_)) if self.limits.len() >= MAX_ENDPOINTS => false,
            (Err(at), Some(per_second)) => {
                let limit = NamedLimit { endpoint: endpoint.clone(), per_second, named_at: now };
                self.limits.insert(at, limit);
                true
            }
        }
    }

    /// Endpoints with a limit, sorted, and the limits in calls per second.
    pub fn limits(&self, now: Duration) -> impl Iterator<Item = (&Name, f64)> {
        let current = self.limits.iter().filter(move |l| now < l.named_at + LIMIT_TTL);
        current.map(|l| (&l.endpoint, l.per_second))
    }
}
