//! Limit on the calls that start at an endpoint in a window of time, over all instances: at a cold
//! endpoint, or at one that names a limit.
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

const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// Rank of an instance among those that share the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceRank {
    /// From 0, less than `count`.
    pub rank: u32,
    /// Number of instances, at least 1.
    pub count: u32,
}

/// Limits the calls that one instance starts at one endpoint.
#[derive(Clone, Debug)]
pub struct StartLimiter {
    window: Duration,
    starts: VecDeque<Duration>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        Self::new(DEFAULT_WINDOW)
    }
}

impl StartLimiter {
    /// Returns a limiter that counts the starts within `window`.
    pub fn new(window: Duration) -> Self {
        Self { window, starts: VecDeque::new() }
    }

    /// Returns whether one more call may start. `offset` varies between endpoints which instances
    /// may use them; all instances must pass the same number for an endpoint.
    pub fn allows(
        &mut self,
        per_second: f64,
        rank: InstanceRank,
        offset: u32,
        now: Duration,
    ) -> bool {
        self.drop_expired(now);
        let limit = instance_limit(per_second * self.window.as_secs_f64(), rank, offset);
        u32::try_from(self.starts.len()).is_ok_and(|n| n < limit)
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Duration) {
        self.drop_expired(now);
        self.starts.push_back(now);
    }

    /// Returns when each of the next calls may start, as many as this instance may start per
    /// window, in order. The arguments are as for [`StartLimiter::allows`].
    pub fn next_starts(
        &mut self,
        per_second: f64,
        rank: InstanceRank,
        offset: u32,
        now: Duration,
    ) -> impl Iterator<Item = Duration> + '_ {
        self.drop_expired(now);
        let limit = instance_limit(per_second * self.window.as_secs_f64(), rank, offset) as usize;
        let free = std::iter::repeat_n(now, limit.saturating_sub(self.starts.len()));
        let used = self.starts.iter().skip(self.starts.len().saturating_sub(limit));
        free.chain(used.map(|at| *at + self.window))
    }

    fn drop_expired(&mut self, now: Duration) {
        while self.starts.front().is_some_and(|at| now >= *at + self.window) {
            self.starts.pop_front();
        }
    }
}

/// Returns the number of calls that the instance may start per window. The limits of all instances
/// add up to at most `per_window`.
fn instance_limit(per_window: f64, rank: InstanceRank, offset: u32) -> u32 {
    let whole = per_window.max(0.0) as u32;
    let count = rank.count.max(1);
    let position = (rank.rank % count + offset % count) % count;
    whole / count + u32::from(position < whole % count)
}
