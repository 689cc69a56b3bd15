//! Load reports that lag behind the present load.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;
use tokio::time::Instant;

/// Load of an endpoint at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) cache_blocks: u32,
}

/// Response of `GET /load`.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    run: u64,
    uptime_ms: u64,
    running: u32,
    queued: u32,
    age_ms: u64,
    cache_blocks: u32,
}

/// Recent load samples, from which the load of `lag` ago is reported.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    started: Instant,
    lag: Duration,
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    pub(crate) fn new(started: Instant, lag: Duration) -> Self {
        Self { started, lag, samples: VecDeque::from([(started, Load::default())]) }
    }

    /// Records a change of the load.
    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        self.samples.push_back((now, load));
        let reported_at = self.reported_at(now);
        // The first sample kept is the last one at or before the reported moment.
        while self.samples.get(1).is_some_and(|(at, _)| *at <= reported_at) {
            self.samples.pop_front();
        }
    }

    /// Reports the load of `lag` ago, or of the start of the run if that is later.
    pub(crate) fn report(&self, run: u64, now: Instant) -> LoadReport {
        let reported_at = self.reported_at(now);
        let next = self.samples.partition_point(|(at, _)| *at <= reported_at);
        let load = self.samples[next.saturating_sub(1)].1;
        LoadReport {
            run,
            uptime_ms: millis(reported_at.duration_since(self.started)),
            running: load.running,
            queued: load.queued,
            age_ms: millis(now.duration_since(reported_at)),
            cache_blocks: load.cache_blocks,
        }
    }

    /// Returns the moment that a report made now describes.
    fn reported_at(&self, now: Instant) -> Instant {
        now.checked_sub(self.lag).map_or(self.started, |at| at.max(self.started))
    }
}

/// Returns the whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
