//! Detects that the front has lost its links to all endpoints.
//!
//! [`poplarspan_policy::links`] judges; this module has the suspicions checked. A suspicion is a
//! connection that cannot be opened or breaks, or calls that wait while no endpoint sends anything.

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use poplarspan_agreement::Clock;
use poplarspan_node::pool::{Pool, SendError};
use poplarspan_policy::links::{LinkChange, LinkMonitor, ROUND_ENDPOINTS, ROUND_INTERVAL, SILENCE};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

use super::{CONNECT_TIMEOUT, DIRECT, schedule::Schedule};
use crate::fleet_client::FleetClient;

/// A connection that is closed within this time was accepted by something on the way, not by the
/// endpoint itself. Only the finding that the links are sound takes this long.
const ACCEPT_CHECK_DELAY: Duration = Duration::from_millis(300);

/// How long a failure waits for a verdict on the links: the rest of a check, a pause, and a check.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(1_500);
const VERDICT_POLL: Duration = Duration::from_millis(20);

/// A front's links to the endpoints.
pub(crate) struct Links {
    fleet: Arc<FleetClient>,
    clock: Arc<dyn Clock>,
    monitor: Mutex<LinkMonitor>,
    is_cut: watch::Sender<bool>,
    suspected: Notify,
    /// When an endpoint last sent something, in microseconds of `clock`.
    heard_at_us: AtomicU64,
    /// When the last completed check began, in microseconds of `clock`.
    checked_at_us: AtomicU64,
}

impl Links {
    pub(crate) fn new(fleet: Arc<FleetClient>, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            clock,
            monitor: Mutex::default(),
            is_cut: watch::Sender::new(false),
            suspected: Notify::new(),
            heard_at_us: AtomicU64::new(0),
            checked_at_us: AtomicU64::new(0),
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
    /// endpoint. If the call may run again, it is given up once the links are cut and silent.
    pub(crate) async fn watch<T>(
        &self,
        may_run_again: bool,
        answer: impl Future<Output = Result<T, SendError>>,
    ) -> Result<T, SendError> {
        let mut answer = pin!(answer);
        let mut changes = self.is_cut.subscribe();
        loop {
            tokio::select! {
                answer = answer.as_mut() => {
                    if answer.is_ok() {
                        self.note_heard();
                    }
                    return answer;
                }
                _ = changes.changed(), if may_run_again => {
                    if self.is_cut() && self.is_silent() {
                        return Err(SendError::Lost("the links were cut".to_owned()));
                    }
                }
                () = sleep(SILENCE) => {
                    if self.is_silent() {
                        self.suspected.notify_one();
                    }
                }
            }
        }
    }

    /// Whether the links are cut, after a failure that may be theirs. Waits until an endpoint has
    /// sent something or a check is complete, if they are not known to be cut.
    pub(crate) async fn are_cut_after_failure(&self) -> bool {
        let since = self.clock.now();
        self.note_failure();
        let until = Instant::now() + VERDICT_TIMEOUT;
        while !self.is_cut() && Instant::now() < until {
            if self.heard_at() > since || self.checked_at() > since {
                break;
            }
            sleep(VERDICT_POLL).await;
        }
        self.is_cut()
    }

    fn is_silent(&self) -> bool {
        self.clock.now().saturating_sub(self.heard_at()) >= SILENCE
    }

    fn heard_at(&self) -> Duration {
        Duration::from_micros(self.heard_at_us.load(Ordering::Relaxed))
    }

    fn checked_at(&self) -> Duration {
        Duration::from_micros(self.checked_at_us.load(Ordering::Relaxed))
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
        let began_at = self.clock.now();
        let endpoints = schedule.sample_endpoints(ROUND_ENDPOINTS);
        let probes = endpoints.iter().map(|address| accepts_connections(*address));
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
                if is_silent {
                    pool.close_all_idle();
                }
                schedule.forget_failures();
                self.fleet.send_heartbeat_now();
            }
            Some(LinkChange::Restored) => {
                log::info!(tried, reached; "links to endpoints are back");
                self.is_cut.send_replace(false);
                schedule.forget_failures();
                self.fleet.send_heartbeat_now();
            }
            None => {}
        }
        self.checked_at_us.store(began_at.as_micros() as u64, Ordering::Relaxed);
        metrics::gauge!("poplarspan_relay_links_cut").set(f64::from(u8::from(self.is_cut())));
    }
}

/// Whether an endpoint accepts a connection and keeps it open for a while.
async fn accepts_connections(address: SocketAddr) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, DIRECT.connect(address)).await else {
        return false;
    };
    sleep(ACCEPT_CHECK_DELAY).await;
    // An open connection has nothing to read, since nothing was asked.
    matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
