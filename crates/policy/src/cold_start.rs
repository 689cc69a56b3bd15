//! Limit on the calls that start at a cold endpoint per second, over all instances.
//!
//! When a zone returns or a release restarts endpoints, every instance sees the same idle cold
//! endpoints and would send its calls there. So each instance has a share of the limit. Where there
//! are more instances than calls per second, only some of them may use a cold endpoint, and which
//! ones differs between endpoints.
//!
//! Each instance keeps its own state. A [`StartLimiter`] starts with an empty window, so an
//! instance that has just started may use its whole share at once.

use std::collections::VecDeque;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);

/// Rank of an instance among those that share the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceRank {
    /// From 0, less than `count`.
    pub rank: u32,
    /// Number of instances, at least 1.
    pub count: u32,
}

/// Limits the calls that one instance starts at one cold endpoint.
#[derive(Clone, Debug, Default)]
pub struct StartLimiter {
    starts: VecDeque<Duration>,
}

impl StartLimiter {
    /// Returns whether one more call may start. `offset` varies between endpoints which instances
    /// may use them; all instances must pass the same number for an endpoint.
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

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Duration) {
        self.starts.push_back(now);
    }
}

/// Returns the number of calls that the instance may start per second. The limits of all instances
/// add up to at most `per_second`.
fn instance_limit(per_second: f64, rank: InstanceRank, offset: u32) -> u32 {
    let whole = per_second.max(0.0) as u32;
    let count = rank.count.max(1);
    let position = (rank.rank % count + offset % count) % count;
    whole / count + u32::from(position < whole % count)
}
