//! A monotonic clock that keeps running while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use poplarspan_agreement::Clock;
use tokio::time::Instant;

/// Measures the time since its creation, including time during which the machine was suspended.
///
/// The clock of the tokio runtime does not advance during suspension, so that time is added to it.
/// A lease measured with this clock has therefore expired when the machine resumes after a
/// suspension longer than the lease.
#[derive(Debug)]
pub struct BootClock {
    start: Instant,
    suspended_at_start: Duration,
}

impl BootClock {
    /// Returns a clock that starts at zero.
    pub fn new() -> Self {
        Self { start: Instant::now(), suspended_at_start: suspended_time() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Duration {
        self.start.elapsed() + suspended_time().saturating_sub(self.suspended_at_start)
    }
}

/// Total time the machine has been suspended since boot, or zero if the operating system has no
/// clock that includes it.
fn suspended_time() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    // The monotonic clock is read last, so that the time between the two reads can only make the
    // difference too small, never too large.
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
