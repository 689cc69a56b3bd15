//! A bound on the calls that start at a cold endpoint in a second, over all instances.
//!
//! It answers the return of a zone or a release, when every instance finds the same cold endpoints
//! empty. Each instance has its part of the bound; where there are more instances than calls a
//! second, only some of them may use a cold endpoint, and which ones differs between endpoints.
//!
//! Owner of the state: each instance for itself. An instance that has just started counts as having
//! used up its part for the first second.

use std::collections::VecDeque;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);

/// Place of an instance among those that share the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceRank {
    /// From 0, below `of`.
    pub rank: u32,
    /// Number of instances, at least 1.
    pub count: u32,
}

/// Counts the starts of one instance at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    starts: VecDeque<Duration>,
}

impl StartLimiter {
    /// Whether one more call may start. `offset` spreads the instances that may use an endpoint, and
    /// is the same number for an endpoint at all instances.
    pub fn allows(
        &mut self,
        per_second: f64,
        rank: InstanceRank,
        offset: u32,
        now: Duration,
    ) -> bool {
        while self.starts.front().is_some_and(|at| now >= *at + WINDOW) {
            self.starts.pop_front();
        }
        let limit = instance_limit(per_second, rank, offset);
        u32::try_from(self.starts.len()).is_ok_and(|n| n < limit)
    }

    /// Counts a start.
    pub fn record_start(&mut self, now: Duration) {
        self.starts.push_back(now);
    }
}

/// Starts a second that the instance may make; the parts of all instances sum up to at most
/// `per_second`.
fn instance_limit(per_second: f64, rank: InstanceRank, offset: u32) -> u32 {
    let whole = per_second.max(0.0) as u32;
    let count = rank.count.max(1);
    let position = (rank.rank % count + offset % count) % count;
    whole / count + u32::from(position < whole % count)
}
