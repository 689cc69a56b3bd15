//! Hands an operator's order on to the replica that leads, and its answer back.
//!
//! An operator that is led from replica to replica may end at one that has just stopped answering.
//! So each replica carries the order itself, within the time that an operator waits for it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use poplarspan_agreement::Clock;
use poplarspan_node::pool::{Pool, PoolConfig};
use tokio::time::{Instant, sleep, timeout_at};

/// Marks an order that was handed on. It is not handed on again.
pub(super) const FORWARDED: HeaderName = HeaderName::from_static("x-poplarspan-handed-on");
/// Longest time for one try to hand an order on; several times what a commit takes.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Further time for each megabyte of the order.
const TIME_PER_MIB: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A replica that did not run for longer than this was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(400);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a suspension in which what had arrived before it has been read.
const STALE_WINDOW: Duration = Duration::from_millis(500);

/// An order as it arrived.
pub(super) struct ReceivedRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// Whether another replica has handed it on.
    pub(super) is_forwarded: bool,
}

impl ReceivedRequest {
    /// Further time that the size of the order takes.
    pub(super) fn transfer_time(&self) -> Duration {
        TIME_PER_MIB * u32::try_from(self.body.len() >> 20).unwrap_or(u32::MAX)
    }
}

/// Connections to the other replicas' ports for operators.
pub(super) struct Forwarder {
    pool: Arc<Pool>,
}

impl Forwarder {
    pub(super) fn new() -> Self {
        Self { pool: Pool::new(PoolConfig::new(FORWARDED)) }
    }

    /// Sends an order to the replica that leads; returns the status and body of its answer.
    pub(super) async fn send(
        &self,
        leader: SocketAddr,
        order: &ReceivedRequest,
        until: Instant,
    ) -> Result<(StatusCode, Bytes)> {
        let until = until.min(Instant::now() + ATTEMPT_TIMEOUT + order.transfer_time());
        let mut req = Request::new(Full::new(order.body.clone()));
        *req.method_mut() = order.method.clone();
        *req.uri_mut() = order.path.parse().context("the path of an order")?;
        let host = HeaderValue::from_str(&leader.to_string()).context("an address is ASCII")?;
        req.headers_mut().insert(header::HOST, host);
        req.headers_mut().insert(FORWARDED, HeaderValue::from_static("1"));
        // On a connection of its own: one that was used before may lead to a replica that is gone.
        let exchange = self.pool.send(leader, req, true, until).await?;
        let (response, _closed_when_read) = exchange.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = timeout_at(until, body).await.context("no whole answer in time")?;
        Ok((status, body.map_err(|e| anyhow::anyhow!(e))?.to_bytes()))
    }
}

/// Notices that the process was suspended.
///
/// Orders that arrived before a suspension are read after it, when their operators have long turned
/// to other replicas. Carried out then, they could undo what was ordered since.
pub(super) struct SuspensionWatch {
    clock: Arc<dyn Clock>,
    /// When the process was last seen to run, in milliseconds of the clock.
    last_run_ms: AtomicU64,
    /// Until when orders may date from before a suspension, likewise.
    stale_until_ms: AtomicU64,
}

impl SuspensionWatch {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        let last_run_ms = AtomicU64::new(millis(clock.now()));
        Arc::new(Self { clock, last_run_ms, stale_until_ms: AtomicU64::new(0) })
    }

    /// Watches until the task is ended.
    pub(super) async fn run(self: Arc<Self>) -> Result<()> {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether an order that is read now may have arrived before a suspension.
    pub(super) fn is_stale(&self) -> bool {
        self.check();
        millis(self.clock.now()) < self.stale_until_ms.load(Ordering::Relaxed)
    }

    fn check(&self) {
        let now = millis(self.clock.now());
        let seen = self.last_run_ms.swap(now, Ordering::Relaxed);
        if now.saturating_sub(seen) > millis(SUSPENSION_THRESHOLD) {
            let gap_ms = now.saturating_sub(seen);
            log::warn!(gap_ms; "the process was suspended; orders that wait are refused");
            self.stale_until_ms.store(now + millis(STALE_WINDOW), Ordering::Relaxed);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
