//! Forwards operators' requests to the leader, and detects suspensions of the process.
//!
//! An operator that follows redirects may reach a replica that has just stopped responding. Each
//! replica therefore forwards the request itself, within the operator's timeout.

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

/// Marks a forwarded request, which is not forwarded again.
pub(super) const FORWARDED: HeaderName = HeaderName::from_static("x-poplarspan-handed-on");
/// Timeout of one attempt to forward a request; several times the length of a commit.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional time for each MiB of the request.
const TIME_PER_MIB: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A process that did not run for longer than this was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(400);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a suspension in which all data that arrived before it has been read.
const STALE_WINDOW: Duration = Duration::from_millis(500);

/// An operator's request as it arrived.
pub(super) struct ReceivedRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// Whether another replica has forwarded it.
    pub(super) is_forwarded: bool,
}

impl ReceivedRequest {
    /// Additional time for the size of the request.
    pub(super) fn transfer_time(&self) -> Duration {
        TIME_PER_MIB * u32::try_from(self.body.len() >> 20).unwrap_or(u32::MAX)
    }
}

/// Client for the operator ports of the other replicas.
pub(super) struct Forwarder {
    pool: Arc<Pool>,
}

impl Forwarder {
    pub(super) fn new() -> Self {
        Self { pool: Pool::new(PoolConfig::new(FORWARDED)) }
    }

    /// Sends a request to the leader and returns the status and body of the response.
    pub(super) async fn send(
        &self,
        leader: SocketAddr,
        request: &ReceivedRequest,
        until: Instant,
    ) -> Result<(StatusCode, Bytes)> {
        let until = until.min(Instant::now() + ATTEMPT_TIMEOUT + request.transfer_time());
        let mut req = Request::new(Full::new(request.body.clone()));
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = request.path.parse().context("invalid request path")?;
        let host = HeaderValue::from_str(&leader.to_string()).context("invalid Host header")?;
        req.headers_mut().insert(header::HOST, host);
        req.headers_mut().insert(FORWARDED, HeaderValue::from_static("1"));
        // Uses a new connection, because a pooled one may lead to a replica that is gone.
        let exchange = self.pool.send(leader, req, true, until).await?;
        let (response, _closed_when_read) = exchange.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = timeout_at(until, body).await.context("timed out reading the response")?;
        Ok((status, body.map_err(|e| anyhow::anyhow!(e))?.to_bytes()))
    }
}

/// Detects that the process was suspended.
///
/// Requests that arrived before a suspension are read after it, when the operators have already
/// turned to other replicas. Executing them then could undo later requests.
pub(super) struct SuspensionWatch {
    clock: Arc<dyn Clock>,
    /// When the process was last seen running, in milliseconds of `clock`.
    last_run_ms: AtomicU64,
    /// Until when requests may have arrived before a suspension, in milliseconds of `clock`.
    stale_until_ms: AtomicU64,
}

impl SuspensionWatch {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        let last_run_ms = AtomicU64::new(millis(clock.now()));
        Arc::new(Self { clock, last_run_ms, stale_until_ms: AtomicU64::new(0) })
    }

    /// Checks for suspensions until the task is cancelled.
    pub(super) async fn run(self: Arc<Self>) -> Result<()> {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether a request that is read now may have arrived before a suspension.
    pub(super) fn is_stale(&self) -> bool {
        self.check();
        millis(self.clock.now()) < self.stale_until_ms.load(Ordering::Relaxed)
    }

    fn check(&self) {
        let now = millis(self.clock.now());
        let seen = self.last_run_ms.swap(now, Ordering::Relaxed);
        if now.saturating_sub(seen) > millis(SUSPENSION_THRESHOLD) {
            let gap_ms = now.saturating_sub(seen);
            log::warn!(gap_ms; "process was suspended; refusing pending operator requests");
            self.stale_until_ms.store(now + millis(STALE_WINDOW), Ordering::Relaxed);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
