//! Limits a request that crashes endpoints to at most two of them.
//!
//! Every instance has a copy of the crash records. An instance that detects a crash sends the
//! record to all other instances before it responds to the caller, so that a retry finds the record
//! at any instance. A restarted instance receives all records from the others.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use poplarspan_objects::Name;
use poplarspan_policy::containment::{Admission, Containment, Crash, Fingerprint};
use poplarspan_proto::peer::{self, request, response};
use tokio::{sync::Notify, time::Instant};

use crate::{
    control::now_ms,
    membership::Membership,
    peer::PeerClient,
    schedule::{EndpointRef, FairScheduler, RunProbe, serving_endpoints},
};

const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Crash records, replicated to all instances.
pub(crate) struct CrashRegistry {
    local_name: Name,
    membership: Arc<Membership>,
    client: PeerClient,
    scheduler: Arc<FairScheduler>,
    probe: RunProbe,
    table: Mutex<Containment>,
    changed: Notify,
}

/// Reservation of an endpoint for a request that has crashed another one; released on drop.
pub(crate) struct SuspectGuard {
    crashes: Arc<CrashRegistry>,
    endpoint: Name,
    fingerprint: Fingerprint,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.crashes.table().release_endpoint(&self.endpoint, self.fingerprint);
    }
}

impl CrashRegistry {
    pub(crate) fn new(
        local_name: Name,
        membership: Arc<Membership>,
        client: PeerClient,
        scheduler: Arc<FairScheduler>,
        probe: RunProbe,
    ) -> Arc<Self> {
        let table = Mutex::new(Containment::new(Default::default()));
        let changed = Notify::new();
        Arc::new(Self { local_name, membership, client, scheduler, probe, table, changed })
    }

    fn table(&self) -> MutexGuard<'_, Containment> {
        self.table.lock().expect("no panic while locked")
    }

    /// Whether there are no crash records. Callers can then skip computing fingerprints.
    pub(crate) fn is_empty(&self) -> bool {
        self.table().records().is_empty()
    }

    /// Returns whether a request may run, and which endpoints it must avoid.
    pub(crate) fn admission(&self, fingerprint: Fingerprint) -> Admission {
        self.table().admission(fingerprint, now_ms())
    }

    /// Reserves an endpoint. Returns `None` if another suspect request runs there.
    pub(crate) fn begin_suspect(
        self: &Arc<Self>,
        endpoint: &Name,
        fingerprint: Fingerprint,
    ) -> Option<SuspectGuard> {
        let begun = self.table().reserve_endpoint(endpoint, fingerprint);
        begun.then(|| SuspectGuard {
            crashes: self.clone(),
            endpoint: endpoint.clone(),
            fingerprint,
        })
    }

    /// Returns the last known run of an endpoint, for [`CrashRegistry::report_lost_connection`].
    pub(crate) fn run_of(&self, endpoint: &Name) -> Option<u64> {
        self.scheduler.run_of(endpoint)
    }

    /// Returns the endpoints of a group in the order in which a suspect request tries them.
    ///
    /// The order depends only on the fingerprint and is the same at all instances. Copies of the
    /// request sent to several instances in parallel therefore crash one more endpoint in total,
    /// not one per instance.
    pub(crate) fn candidate_order(&self, group: &str, fingerprint: Fingerprint) -> Vec<Name> {
        let rank = |name: &Name| {
            let mut hasher = blake3::Hasher::new_keyed(&fingerprint.0);
            hasher.update(name.as_bytes());
            *hasher.finalize().as_bytes()
        };
        let mut endpoints: Vec<Name> =
            serving_endpoints(&self.membership.load().objects, group).cloned().collect();
        endpoints.sort_by_cached_key(rank);
        endpoints
    }

    /// Checks whether the endpoint crashed while it ran the request, and records the crash if so.
    /// Then waits until every live instance has the record or `deadline` has passed.
    ///
    /// `before` is the run of the endpoint when the call was sent. A different run, or none, counts
    /// as a crash.
    pub(crate) async fn report_lost_connection(
        &self,
        endpoint: &EndpointRef,
        before: Option<u64>,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) {
        let after = self.probe.run_of(endpoint).await;
        if after.is_some() && after == before {
            return;
        }
        log::warn!(endpoint = &*endpoint.name; "endpoint crashed while executing a request");
        metrics::counter!("poplarspan_endpoint_crashes_total").increment(1);
        let snapshot = self.membership.load();
        let peers: Vec<Name> = snapshot
            .view
            .members
            .iter()
            .map(|m| m.name.clone())
            .filter(|n| *n != self.local_name)
            .collect();
        let at_ms = now_ms();
        let crash = Crash { fingerprint, endpoint: endpoint.name.clone(), at_ms };
        self.table().record(crash, &peers, at_ms);
        self.changed.notify_one();
        // Bounded by the deadline: an instance without a lease receives no new views, so peers that
        // have left stay in its view and never acknowledge.
        while !self.table().is_replicated(fingerprint) && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Merges records from another instance and returns them as the acknowledgement.
    pub(crate) fn merge_reports(&self, reports: peer::CrashReports) -> peer::CrashReports {
        let records: Vec<Crash> = reports.reports.iter().filter_map(decode_report).collect();
        self.table().merge(&records, now_ms());
        peer::CrashReports { reports: records.iter().map(encode_report).collect() }
    }

    /// Sends records to the other instances until they acknowledge them.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.membership.subscribe();
        let mut synced: Vec<(Name, u64)> = Vec::new();
        loop {
            let snapshot = self.membership.load();
            let names: Vec<Name> = snapshot.view.members.iter().map(|m| m.name.clone()).collect();
            self.table().observe_view(&names);
            let mut sends = Vec::new();
            for member in snapshot.view.members.iter().filter(|m| m.name != self.local_name) {
                let key = (member.name.clone(), member.incarnation);
                // A new instance has no records yet and needs all of them.
                let records = if synced.contains(&key) {
                    self.table().unacknowledged(&member.name)
                } else {
                    self.table().records().to_vec()
                };
                sends.push(self.send(key, member.address, records));
            }
            let acknowledged = futures::future::join_all(sends).await;
            synced.retain(|(name, _)| names.contains(name));
            for key in acknowledged.into_iter().flatten() {
                if !synced.contains(&key) {
                    synced.push(key);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(RESEND_INTERVAL) => {}
                () = self.changed.notified() => {}
                changed = changes.changed() => changed?,
            }
        }
    }

    /// Sends records to one instance. Returns its key once it has acknowledged them.
    async fn send(
        &self,
        key: (Name, u64),
        address: SocketAddr,
        records: Vec<Crash>,
    ) -> Option<(Name, u64)> {
        if records.is_empty() {
            return Some(key);
        }
        let reports = peer::CrashReports { reports: records.iter().map(encode_report).collect() };
        match self.client.call(address, request::Body::Crashes(reports), CALL_TIMEOUT).await {
            Ok(response::Body::Crashes(stored)) => {
                let stored: Vec<Crash> = stored.reports.iter().filter_map(decode_report).collect();
                self.table().acknowledge(&key.0, &stored);
                Some(key)
            }
            _ => None,
        }
    }
}

fn decode_report(report: &peer::CrashReport) -> Option<Crash> {
    let fingerprint = Fingerprint(report.fingerprint[..].try_into().ok()?);
    Some(Crash { fingerprint, endpoint: report.endpoint.as_str().into(), at_ms: report.at_ms })
}

fn encode_report(crash: &Crash) -> peer::CrashReport {
    peer::CrashReport {
        fingerprint: Bytes::copy_from_slice(&crash.fingerprint.0),
        endpoint: crash.endpoint.to_string(),
        at_ms: crash.at_ms,
    }
}

/// Waits until a request may run.
///
/// Returns the endpoints that it has crashed and must avoid, or `None` if it must not run or is
/// not admitted before `deadline`.
pub(crate) async fn wait_admission(
    crashes: &CrashRegistry,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Option<Vec<Name>> {
    loop {
        match crashes.admission(fingerprint) {
            Admission::Anywhere => return Some(Vec::new()),
            Admission::Excluding(endpoints) => return Some(endpoints),
            Admission::Refused => return None,
            Admission::Pending if Instant::now() + POLL_INTERVAL >= deadline => return None,
            Admission::Pending => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
