//! Orderings of the calls of one team.

use std::time::Duration;

/// Properties of a call on arrival that an ordering may use.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall {
    /// Time of arrival.
    pub queued_at: Duration,
    /// Time at which the caller gives up.
    pub deadline: Duration,
    /// Estimated service in tokens.
    pub cost: u64,
    /// Service that the root program has received, including its waiting calls, in tokens.
    pub attained: u64,
}

/// Order of the calls of one team.
pub trait ProgramOrder: Send {
    /// Returns the key of a call; the lowest key is served first, equal keys in order of arrival.
    fn key(&self, call: &PendingCall) -> u64;
}

/// First come, first served; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fcfs;

impl ProgramOrder for Fcfs {
    fn key(&self, _call: &PendingCall) -> u64 {
        0
    }
}

/// Least attained service first.
///
/// This needs no knowledge of how long a program will run. A stream of new programs can starve a
/// long one; [`LasDeadline`] prevents that.
#[derive(Clone, Copy, Debug, Default)]
pub struct Las;

impl ProgramOrder for Las {
    fn key(&self, call: &PendingCall) -> u64 {
        call.attained
    }
}

/// Least attained service with deadline and aging.
///
/// The key is a virtual due time: the time of arrival plus a delay that grows with the attained
/// service, up to `max_delay`, and that is shortened if the deadline is near. A call waits only for
/// calls that arrived less than `max_delay` after it, so no call starves.
#[derive(Clone, Copy, Debug)]
pub struct LasDeadline {
    /// Delay per attained token.
    pub per_token: Duration,
    /// Maximum delay.
    pub max_delay: Duration,
    /// Estimated run time per token of cost, to complete the call before its deadline.
    pub service_per_token: Duration,
}

impl Default for LasDeadline {
    fn default() -> Self {
        Self {
            per_token: Duration::from_micros(200),
            max_delay: Duration::from_secs(30),
            service_per_token: Duration::from_micros(100),
        }
    }
}

impl ProgramOrder for LasDeadline {
    fn key(&self, call: &PendingCall) -> u64 {
        let scale = |d: Duration, n: u64| Duration::from_secs_f64(d.as_secs_f64() * n as f64);
        let due_at = call.queued_at + scale(self.per_token, call.attained).min(self.max_delay);
        // Half of the slack is reserved for estimates that are too low.
        let needed = scale(self.service_per_token, call.cost).min(self.max_delay);
        let slack = call.deadline.saturating_sub(call.queued_at + needed) / 2;
        let latest_at = call.queued_at + slack;
        u64::try_from(due_at.min(latest_at).as_nanos()).unwrap_or(u64::MAX)
    }
}
