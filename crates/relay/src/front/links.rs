//! Detects that the front has lost its links to all endpoints.
//!
//! [`poplarspan_policy::links`] judges; this module has the suspicions checked. A suspicion is a
//! connection that cannot be opened or breaks, or calls that wait while no endpoint sends anything.

use std::{
    pin::pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use poplarspan_agreement::Clock;
use poplarspan_node::pool::Pool;
use poplarspan_policy::links::{LinkChange, LinkMonitor, ROUND_ENDPOINTS, ROUND_INTERVAL, SILENCE};
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use super::schedule::Schedule;

/// A front's links to the endpoints.
pub(crate) struct Links {
    clock: Arc<dyn Clock>,
    monitor: Mutex<LinkMonitor>,
    is_cut: watch::Sender<bool>,
    suspected: Notify,
    /// When an endpoint last sent something, in microseconds of `clock`.
    heard_at_us: AtomicU64,
}

impl Links {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            monitor: Mutex::default(),
            is_cut: watch::Sender::new(false),
            suspected: Notify::new(),
            heard_at_us: AtomicU64::new(0),
        })
    }

    /// Whether no endpoint can be reached.
    pub(crate) fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Records that an endpoint has sent something.
    pub(crate) fn note_heard(&self) {
        self.heard_at_us.store(self.clock.now().as_micros() as u64, Ordering::Relaxed);
    }

    /// Records that a connection to an endpoint could not be opened, or broke.
    pub(crate) fn note_failure(&self) {
        self.suspected.notify_one();
    }

    /// Waits for an endpoint's answer, and suspects the links while nothing arrives from any
    /// endpoint.
    pub(crate) async fn watch<T, E>(
        &self,
        answer: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let mut answer = pin!(answer);
        loop {
            match timeout(SILENCE, answer.as_mut()).await {
                Ok(answer) => {
                    if answer.is_ok() {
                        self.note_heard();
                    }
                    return answer;
                }
                Err(_) if self.is_silent() => self.suspected.notify_one(),
                Err(_) => {}
            }
        }
    }

    fn is_silent(&self) -> bool {
        let heard_at = Duration::from_micros(self.heard_at_us.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(heard_at) >= SILENCE
    }

    /// Checks suspicions until the task is cancelled.
    pub(crate) async fn run(
        self: Arc<Self>,
        schedule: Arc<Schedule>,
        pool: Arc<Pool>,
    ) -> anyhow::Result<()> {
        loop {
            if !self.is_cut() {
                self.suspected.notified().await;
            }
            self.check(&schedule, &pool).await;
            sleep(ROUND_INTERVAL).await;
        }
    }

    async fn check(&self, schedule: &Schedule, pool: &Pool) {
        let endpoints = schedule.sample_endpoints(ROUND_ENDPOINTS);
        let probes = endpoints.iter().map(|address| pool.accepts_connections(*address));
        let reached = join_all(probes).await.into_iter().filter(|accepts| *accepts).count();
        let tried = endpoints.len();
        let change =
            self.monitor.lock().expect("no panic while locked").record_round(tried, reached);
        match change {
            Some(LinkChange::Cut) => {
                let is_silent = self.is_silent();
                log::warn!(tried, is_silent; "lost the links to all endpoints");
                metrics::counter!("poplarspan_relay_link_losses_total").increment(1);
                self.is_cut.send_replace(true);
            }
            Some(LinkChange::Restored) => {
                log::info!(tried, reached; "links to endpoints are back");
                self.is_cut.send_replace(false);
            }
            None => {}
        }
        metrics::gauge!("poplarspan_relay_links_cut").set(f64::from(u8::from(self.is_cut())));
    }
}
