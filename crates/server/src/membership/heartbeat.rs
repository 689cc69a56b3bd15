//! Heartbeats that renew the lease of this instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use poplarspan_objects::Name;
use poplarspan_proto::peer::{self, FailureCode, request, response};
use rand::Rng;
use tokio::time::Instant;

use super::{Directory, HEARTBEAT_INTERVAL, Membership, ObjectFile, Snapshot};
use crate::peer::{CallError, PeerClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Random fraction of the heartbeat interval that is added or subtracted, so that instances started
/// together do not send their heartbeats at the same times.
const JITTER: f64 = 0.1;

/// Returns a new incarnation number: wall-clock time in microseconds, so that it exceeds those of
/// earlier runs.
pub(crate) fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Identity of this instance, sent with each heartbeat.
#[derive(Clone)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    /// Replaced when the instance is declared gone while it is still running.
    pub(crate) incarnation: Arc<AtomicU64>,
    pub(crate) zone: Name,
    pub(crate) peer_address: SocketAddr,
    /// Number of the local control replica, if any.
    pub(crate) replica: Option<u64>,
}

/// Task that sends heartbeats and applies the grants in their responses.
pub(crate) struct HeartbeatTask {
    pub(crate) identity: Identity,
    pub(crate) membership: Arc<Membership>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) client: PeerClient,
    pub(crate) object_file: Option<ObjectFile>,
    pub(crate) draining: Arc<AtomicBool>,
    /// Set before the lease is released, since another heartbeat would acquire a new lease.
    pub(crate) leaving: Arc<AtomicBool>,
}

impl HeartbeatTask {
    /// Sends heartbeats until the instance is leaving.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut failures = 0u32;
        while !self.leaving.load(Ordering::Relaxed) {
            match self.send_heartbeat().await {
                Ok(true) => continue,
                Ok(false) => failures = 0,
                Err(e) => {
                    failures += 1;
                    self.log_failure(failures, &e);
                }
            }
            let spread = rand::rng().random_range(-JITTER..JITTER);
            // The first retries are fast because most failures are caused by a change of leader.
            let wait = if (1..4).contains(&failures) {
                HEARTBEAT_INTERVAL / 6
            } else {
                HEARTBEAT_INTERVAL
            };
            tokio::time::sleep(wait.mul_f64(1.0 + spread)).await;
        }
        Ok(())
    }

    /// Sends one heartbeat. Returns true if the leader has more changes to send.
    async fn send_heartbeat(&self) -> anyhow::Result<bool> {
        let Some(target) = self.directory.target() else {
            anyhow::bail!("no control replica is known");
        };
        let sent = Instant::now();
        let snapshot = self.membership.load();
        let body = request::Body::Heartbeat(peer::Heartbeat {
            instance: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.load(Ordering::Relaxed),
            zone: self.identity.zone.to_string(),
            peer_address: self.identity.peer_address.to_string(),
            generation: snapshot.generation,
            epoch: snapshot.view.epoch,
            draining: self.draining.load(Ordering::Relaxed),
            replica: self.identity.replica,
        });
        let grant = match self.client.call(target, body, CALL_TIMEOUT).await {
            Ok(response::Body::Lease(grant)) => grant,
            Ok(_) => anyhow::bail!("unexpected response to a heartbeat from {target}"),
            Err(e) => {
                self.handle_fencing(&e);
                self.directory.handle_failure(&e);
                return Err(e.into());
            }
        };
        self.directory.set_leader(Some(target));
        let more = grant.more;
        let updated = self.membership.with_grant(sent, grant)?;
        if updated.generation > snapshot.generation {
            // Saved before it is installed, so that a restart never loads an older generation.
            self.save(&updated).await?;
        }
        self.install(updated);
        Ok(more)
    }

    /// Switches to a new incarnation after the current one was declared gone. Open calls of the old
    /// incarnation keep the state that the ledger has recorded for them.
    fn handle_fencing(&self, error: &CallError) {
        if let CallError::Failed(failure) = error
            && failure.code() == FailureCode::Fenced
        {
            self.membership.drop_lease();
            let incarnation = new_incarnation();
            self.identity.incarnation.store(incarnation, Ordering::Relaxed);
            log::warn!(
                incarnation;
                "instance was declared gone; continuing with a new incarnation"
            );
        }
    }

    async fn save(&self, snapshot: &Snapshot) -> anyhow::Result<()> {
        match &self.object_file {
            Some(object_file) => {
                object_file.save(snapshot.generation, snapshot.objects.clone()).await
            }
            None => Ok(()),
        }
    }

    fn install(&self, snapshot: Snapshot) {
        let generation = snapshot.generation;
        let updated = generation > self.membership.load().generation;
        // A late response must not restore a lease that was released.
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        self.membership.install(snapshot);
        if updated {
            log::info!(generation; "new generation of objects in force");
            metrics::gauge!("poplarspan_generation").set(generation as f64);
        }
    }

    fn log_failure(&self, failures: u32, error: &anyhow::Error) {
        metrics::counter!("poplarspan_heartbeat_failures_total").increment(1);
        // Logs once per outage and then every 100 failures, instead of on every heartbeat.
        if failures == 4 || failures.is_multiple_of(100) {
            let error = format!("{error:#}");
            log::warn!(
                error = error.as_str(), failures;
                "cannot renew the lease: heartbeats are failing"
            );
        }
    }
}
