//! Continuous batching: runs up to `capacity` calls and queues the others by priority.

use std::{sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::config::{EngineConfig, RampShape};

/// Headers of a call that scheduling and release orders use.
#[derive(Clone, Debug, Default)]
pub(super) struct CallSpec {
    pub(super) program: Option<Arc<str>>,
    pub(super) claim: Option<u64>,
    /// Lower values run first.
    pub(super) priority: i64,
}

#[derive(Debug)]
struct Call {
    id: u64,
    spec: CallSpec,
    running: bool,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct QueuedCall {
    priority: i64,
    id: u64,
    start: oneshot::Sender<()>,
}

/// A call that was admitted to the batch or its queue.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) id: u64,
    /// Cancelled by a release order.
    pub(super) cancel: CancellationToken,
    /// Resolves when a queued call may run. `None` if the call runs at once.
    pub(super) start: Option<oneshot::Receiver<()>>,
}

/// Why a call was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejected {
    /// The queue is full.
    QueueFull,
    /// The engine is cold and the call exceeds its crash threshold.
    Overload,
}

/// Running and queued calls of one run.
#[derive(Debug)]
pub(super) struct Batch {
    cfg: EngineConfig,
    started: Instant,
    last_id: u64,
    running: u32,
    /// Running and queued calls, sorted by id.
    calls: Vec<Call>,
    /// Queued calls, sorted by priority, then by id.
    queue: Vec<QueuedCall>,
}

impl Batch {
    pub(super) fn new(cfg: EngineConfig, started: Instant) -> Self {
        Self { cfg, started, last_id: 0, running: 0, calls: Vec::new(), queue: Vec::new() }
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn admit(&mut self, spec: CallSpec, now: Instant) -> Result<Admitted, Rejected> {
        let in_flight = self.running + self.queued() + 1;
        if self.crash_limit(now).is_some_and(|limit| in_flight > limit) {
            return Err(Rejected::Overload);
        }
        let run = self.running < self.cfg.capacity;
        if !run && self.queued() >= self.cfg.max_queue {
            return Err(Rejected::QueueFull);
        }
        self.last_id += 1;
        let id = self.last_id;
        let cancel = CancellationToken::new();
        let mut start = None;
        if run {
            self.running += 1;
        } else {
            let (tx, rx) = oneshot::channel();
            start = Some(rx);
            let queued = QueuedCall { priority: spec.priority, id, start: tx };
            let position = self.queue.partition_point(|q| (q.priority, q.id) < (spec.priority, id));
            self.queue.insert(position, queued);
        }
        self.calls.push(Call { id, spec, running: run, cancel: cancel.clone() });
        Ok(Admitted { id, cancel, start })
    }

    /// Removes a call that has ended, and starts queued calls while there is capacity.
    pub(super) fn remove(&mut self, id: u64) {
        let Ok(position) = self.calls.binary_search_by_key(&id, |c| c.id) else { return };
        let call = self.calls.remove(position);
        if call.running {
            self.running -= 1;
        } else {
            self.queue.retain(|q| q.id != id);
        }
        while self.running < self.cfg.capacity && !self.queue.is_empty() {
            let next = self.queue.remove(0);
            if let Ok(i) = self.calls.binary_search_by_key(&next.id, |c| c.id) {
                self.calls[i].running = true;
                self.running += 1;
                // The send fails if the caller has disconnected. Dropping its call then removes it
                // from the batch.
                let _ = next.start.send(());
            }
        }
    }

    /// Returns the programs of all calls, unsorted and with duplicates.
    pub(super) fn programs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.calls.iter().filter_map(|c| c.spec.program.as_ref())
    }

    /// Cancels the calls of all programs that match. With a claim, only calls of this claim and
    /// calls without a claim are cancelled.
    pub(super) fn release(&self, matches: impl Fn(&str) -> bool, claim: Option<u64>) {
        for call in &self.calls {
            let matched = call.spec.program.as_deref().is_some_and(&matches);
            if matched && (claim.is_none() || call.spec.claim.is_none() || call.spec.claim == claim)
            {
                call.cancel.cancel();
            }
        }
    }

    /// Returns the time to generate the next token of a running call.
    pub(super) fn token_time(&self, now: Instant) -> Duration {
        let other_calls = self.running.saturating_sub(1);
        let time = self.cfg.token_interval + self.cfg.token_interval_per_call * other_calls;
        time.mul_f64(self.slowdown(now))
    }

    /// Returns the time to process `tokens` uncached tokens of a prompt.
    pub(super) fn prefill_time(&self, tokens: u64, now: Instant) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        (self.cfg.prefill_per_token * tokens).mul_f64(self.slowdown(now))
    }

    fn slowdown(&self, now: Instant) -> f64 {
        let in_flight = self.running + self.queued();
        match self.cold_limit(now) {
            Some(cold_limit) if in_flight > cold_limit => self.cfg.cold_slowdown,
            _ => 1.0,
        }
    }

    /// Returns the number of concurrent calls that the cold engine sustains, or `None` once it is
    /// warm.
    fn cold_limit(&self, now: Instant) -> Option<u32> {
        let uptime = now.duration_since(self.started);
        if uptime >= self.cfg.ramp {
            return None;
        }
        let cold = self.cfg.cold_capacity();
        Some(match self.cfg.ramp_shape {
            RampShape::Step => cold,
            RampShape::Linear => {
                let progress = uptime.as_secs_f64() / self.cfg.ramp.as_secs_f64();
                cold + (f64::from(self.cfg.capacity - cold) * progress) as u32
            }
        })
    }

    /// Returns the number of concurrent calls above which the cold engine crashes. The margin over
    /// [`Self::cold_limit`] is constant during the ramp.
    fn crash_limit(&self, now: Instant) -> Option<u32> {
        let margin = self.cfg.cold_crash_above? - self.cfg.cold_capacity();
        Some(self.cold_limit(now)?.saturating_add(margin))
    }
}
