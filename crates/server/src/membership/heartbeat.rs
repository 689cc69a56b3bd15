//! Keeps the lease of this instance alive.

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
/// Spread of the heartbeat interval, so that instances started together do not stay in step.
const JITTER: f64 = 0.1;

/// Number of a run of this process, higher than those of all earlier runs.
pub(crate) fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Who this instance is, as told in each heartbeat.
#[derive(Clone)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    /// Changes when the instance was declared gone while it lived on.
    pub(crate) incarnation: Arc<AtomicU64>,
    pub(crate) zone: Name,
    pub(crate) peer_address: SocketAddr,
    /// Number of the control replica that the instance runs, if any.
    pub(crate) replica: Option<u64>,
}

/// The heartbeat task.
pub(crate) struct HeartbeatTask {
    pub(crate) identity: Identity,
    pub(crate) membership: Arc<Membership>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) client: PeerClient,
    pub(crate) object_file: Option<ObjectFile>,
    pub(crate) draining: Arc<AtomicBool>,
    /// Set before the lease is handed back: a later heartbeat would ask for a new one.
    pub(crate) leaving: Arc<AtomicBool>,
}

impl HeartbeatTask {
    /// Sends heartbeats until the task is ended.
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
            // The first retries are quick: most failures are a leader that just changed.
            let wait = if (1..4).contains(&failures) {
                HEARTBEAT_INTERVAL / 6
            } else {
                HEARTBEAT_INTERVAL
            };
            tokio::time::sleep(wait.mul_f64(1.0 + spread)).await;
        }
        Ok(())
    }

    /// Sends one heartbeat; true when the leader has more changes ready.
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
            Ok(_) => anyhow::bail!("unexpected answer to a heartbeat from {target}"),
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
            // Saved before it is in force, so that a restart never goes back.
            self.save(&updated).await?;
        }
        self.install(updated);
        Ok(more)
    }

    /// Goes on under a new incarnation after the old one was declared gone. Calls that the old one
    /// had open stay as the ledger has settled them.
    fn handle_fencing(&self, error: &CallError) {
        if let CallError::Failed(failure) = error
            && failure.code() == FailureCode::Fenced
        {
            self.membership.drop_lease();
            let incarnation = new_incarnation();
            self.identity.incarnation.store(incarnation, Ordering::Relaxed);
            log::warn!(incarnation; "declared gone; continuing under a new incarnation");
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
        // An instance that has handed its lease back must not get it again from a late answer.
        if self.leaving.load(Ordering::Relaxed) {
            return;
        }
        self.membership.install(snapshot);
        if updated {
            log::info!(generation; "objects in force");
            metrics::gauge!("poplarspan_generation").set(generation as f64);
        }
    }

    fn log_failure(&self, failures: u32, error: &anyhow::Error) {
        metrics::counter!("poplarspan_heartbeat_failures_total").increment(1);
        // One line for each outage and one a while after, not three a second.
        if failures == 4 || failures.is_multiple_of(100) {
            let error = format!("{error:#}");
            log::warn!(error = error.as_str(), failures; "heartbeats fail");
        }
    }
}
