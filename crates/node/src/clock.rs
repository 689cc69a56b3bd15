//! A steady clock that goes on while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use poplarspan_agreement::Clock;
use tokio::time::Instant;

/// Time since the clock was made: the runtime's clock, plus the time for which the machine was
/// suspended since then, which the runtime's clock does not count.
///
/// A lease that is measured with it has run out when a machine wakes from a long suspension.
#[derive(Debug)]
pub struct BootClock {
    start: Instant,
    suspended_at_start: Duration,
}

impl BootClock {
    /// Starts a clock.
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

/// Time for which the machine was suspended since it was started; zero where the system has no
/// clock that counts it.
fn suspended_time() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    // The steady clock is read last, so that the difference is never too large.
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
