//! Keeps requests that crash endpoints from crashing more than two of them.
//!
//! Every instance has a copy of the table; an instance that saw a crash tells the others before it
//! answers the caller, so that a resent request finds the record wherever it arrives. A restarted
//! instance gets the table from the others.

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
    schedule::{Chosen, FairScheduler, RunProbe, serving},
};

const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(10);

/// Records of crashed endpoints, shared with the other instances.
pub(crate) struct Crashes {
    me: Name,
    membership: Arc<Membership>,
    client: PeerClient,
    scheduler: Arc<FairScheduler>,
    probe: RunProbe,
    table: Mutex<Containment>,
    changed: Notify,
}

/// Reserves an endpoint for a request that has crashed another one.
pub(crate) struct Suspect {
    crashes: Arc<Crashes>,
    endpoint: Name,
    fingerprint: Fingerprint,
}

impl Drop for Suspect {
    fn drop(&mut self) {
        self.crashes.table().release_endpoint(&self.endpoint, self.fingerprint);
    }
}

impl Crashes {
    pub(crate) fn new(
        me: Name,
        membership: Arc<Membership>,
        client: PeerClient,
        scheduler: Arc<FairScheduler>,
        probe: RunProbe,
    ) -> Arc<Self> {
        let table = Mutex::new(Containment::new(Default::default()));
        let changed = Notify::new();
        Arc::new(Self { me, membership, client, scheduler, probe, table, changed })
    }

    fn table(&self) -> MutexGuard<'_, Containment> {
        self.table.lock().expect("no panic while locked")
    }

    /// Whether no request has crashed anything, so that no fingerprint needs to be computed.
    pub(crate) fn is_empty(&self) -> bool {
        self.table().records().is_empty()
    }

    /// Whether and where a request may run.
    pub(crate) fn admission(&self, fingerprint: Fingerprint) -> Admission {
        self.table().admission(fingerprint, now_ms())
    }

    /// Reserves an endpoint; None when another suspect runs there.
    pub(crate) fn begin_suspect(
        self: &Arc<Self>,
        endpoint: &Name,
        fingerprint: Fingerprint,
    ) -> Option<Suspect> {
        let begun = self.table().reserve_endpoint(endpoint, fingerprint);
        begun.then(|| Suspect { crashes: self.clone(), endpoint: endpoint.clone(), fingerprint })
    }

    /// The run of an endpoint as far as it is known, for [`Crashes::note_lost`].
    pub(crate) fn run_of(&self, endpoint: &Name) -> Option<u64> {
        self.scheduler.run_of(endpoint)
    }

    /// Endpoints of a group in the order in which a request that has crashed one tries others.
    ///
    /// The order is the same at all instances, so that copies of the request that were sent to
    /// several instances in parallel crash one more endpoint together, and not one each.
    pub(crate) fn order(&self, group: &str, fingerprint: Fingerprint) -> Vec<Name> {
        let rank = |name: &Name| {
            let mut hasher = blake3::Hasher::new_keyed(&fingerprint.0);
            hasher.update(name.as_bytes());
            *hasher.finalize().as_bytes()
        };
        let mut endpoints: Vec<Name> =
            serving(&self.membership.load().objects, group).cloned().collect();
        endpoints.sort_by_cached_key(rank);
        endpoints
    }

    /// Finds out whether the endpoint crashed while it ran the request. If so, returns only when
    /// every live instance knows, or the call is out of time.
    ///
    /// `before` is the run of the endpoint when the call was sent.
    pub(crate) async fn note_lost(
        &self,
        endpoint: &Chosen,
        before: Option<u64>,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) {
        let after = self.probe.run_of(endpoint).await;
        if after.is_some() && after == before {
            return;
        }
        log::warn!(endpoint = &*endpoint.name; "endpoint crashed while it ran a request");
        metrics::counter!("poplarspan_endpoint_crashes_total").increment(1);
        let known = self.membership.load();
        let peers: Vec<Name> =
            known.view.members.iter().map(|m| m.name.clone()).filter(|n| *n != self.me).collect();
        let at_ms = now_ms();
        let crash = Crash { fingerprint, endpoint: endpoint.name.clone(), at_ms };
        self.table().record(crash, &peers, at_ms);
        self.changed.notify_one();
        // An instance without a lease gets no new view, and so never sees who else has lost it.
        while !self.table().is_replicated(fingerprint) && Instant::now() < deadline {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Takes records of another instance, and repeats them as acknowledgement.
    pub(crate) fn receive(&self, reports: peer::CrashReports) -> peer::CrashReports {
        let records: Vec<Crash> = reports.reports.iter().filter_map(read).collect();
        self.table().merge(&records, now_ms());
        peer::CrashReports { reports: records.iter().map(write).collect() }
    }

    /// Sends records until the others have acknowledged them.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.membership.subscribe();
        let mut greeted: Vec<(Name, u64)> = Vec::new();
        loop {
            let known = self.membership.load();
            let names: Vec<Name> = known.view.members.iter().map(|m| m.name.clone()).collect();
            self.table().observe_view(&names);
            let mut sends = Vec::new();
            for member in known.view.members.iter().filter(|m| m.name != self.me) {
                let key = (member.name.clone(), member.incarnation);
                // A new instance has no table yet.
                let records = if greeted.contains(&key) {
                    self.table().unacknowledged(&member.name)
                } else {
                    self.table().records().to_vec()
                };
                sends.push(self.send(key, member.address, records));
            }
            let told = futures::future::join_all(sends).await;
            greeted.retain(|(name, _)| names.contains(name));
            for key in told.into_iter().flatten() {
                if !greeted.contains(&key) {
                    greeted.push(key);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(RESEND_INTERVAL) => {}
                () = self.changed.notified() => {}
                changed = changes.changed() => changed?,
            }
        }
    }

    /// Sends records to one instance; its name when it has them all.
    async fn send(
        &self,
        key: (Name, u64),
        address: SocketAddr,
        records: Vec<Crash>,
    ) -> Option<(Name, u64)> {
        if records.is_empty() {
            return Some(key);
        }
        let reports = peer::CrashReports { reports: records.iter().map(write).collect() };
        match self.client.call(address, request::Body::Crashes(reports), CALL_TIMEOUT).await {
            Ok(response::Body::Crashes(stored)) => {
                let stored: Vec<Crash> = stored.reports.iter().filter_map(read).collect();
                self.table().acknowledge(&key.0, &stored);
                Some(key)
            }
            _ => None,
        }
    }
}

fn read(report: &peer::CrashReport) -> Option<Crash> {
    let fingerprint = Fingerprint(report.fingerprint[..].try_into().ok()?);
    Some(Crash { fingerprint, endpoint: report.endpoint.as_str().into(), at_ms: report.at_ms })
}

fn write(crash: &Crash) -> peer::CrashReport {
    peer::CrashReport {
        fingerprint: Bytes::copy_from_slice(&crash.fingerprint.0),
        endpoint: crash.endpoint.to_string(),
        at_ms: crash.at_ms,
    }
}

/// Waits for permission to run a request that has crashed an endpoint before.
///
/// Returns the endpoints that it must not run on again, or None when it may not run at all.
pub(crate) async fn wait_admission(
    crashes: &Crashes,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Option<Vec<Name>> {
    loop {
        match crashes.admission(fingerprint) {
            Admission::Anywhere => return Some(Vec::new()),
            Admission::Excluding(endpoints) => return Some(endpoints),
            Admission::Refused => return None,
            Admission::Pending if Instant::now() + POLL >= deadline => return None,
            Admission::Pending => tokio::time::sleep(POLL).await,
        }
    }
}
