//! Containment of requests that crash the endpoints that run them.
//!
//! A request is identified by the BLAKE3 digest of its route and body. When an endpoint crashes,
//! each request that it was running is recorded with it. A request that is recorded with one
//! endpoint may run on one more; a request that is recorded with two is refused. The table is a set
//! of (fingerprint, endpoint, time), so instances merge their tables by union, in any order and
//! repeatedly.
//!
//! A request that is sent again must not reach a third endpoint. So the instance that saw a crash
//! neither runs the request again nor answers its caller before every live instance has the record
//! ([`Containment::is_replicated`]). An instance either acknowledges the record or has lost its
//! membership lease, so this takes one lease duration at most. Copies that a caller sent in
//! parallel before the first crash was known cannot be stopped this way.
//!
//! An endpoint runs at most one recorded request of this instance at a time, so that a request that
//! merely ran next to the one that crashes endpoints is not recorded next to it a second time.
//!
//! Time is wall-clock time in milliseconds, since records are exchanged between instances.
//!
//! Each instance has a copy of the table; a restarted instance receives the records of the others.

use std::fmt;

use crate::Name;
use crate::invariants::check_invariant;

/// Crashed endpoints after which a request is refused.
pub const MAX_CRASHED_ENDPOINTS: usize = 2;

/// Digest of the route and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn new(route: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(route.len() as u64).to_le_bytes());
        hasher.update(route.as_bytes());
        hasher.update(body);
        Self(*hasher.finalize().as_bytes())
    }
}

/// Formats the first 8 bytes as hexadecimal digits, for logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const SHOWN_BYTES: usize = 8;
        self.0[..SHOWN_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Record that an endpoint crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The endpoint.
    pub endpoint: Name,
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Whether and where a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run on any endpoint.
    Anywhere,
    /// The request may run on one more endpoint, reserved with [`Containment::reserve_endpoint`],
    /// but not on these.
    Excluding(Vec<Name>),
    /// The request may not run yet: a crash record is not replicated, or the request is already
    /// running on a reserved endpoint. Check again later.
    Pending,
    /// The request has crashed [`MAX_CRASHED_ENDPOINTS`] endpoints and may not run.
    Refused,
}

/// Limits of a [`Containment`] table.
#[derive(Clone, Copy, Debug)]
pub struct ContainmentConfig {
    /// Maximum number of records.
    pub max_records: usize,
    /// Age after which a record is dropped, in milliseconds.
    pub retention_ms: u64,
}

impl Default for ContainmentConfig {
    fn default() -> Self {
        Self { max_records: 16_384, retention_ms: 7 * 24 * 3600 * 1000 }
    }
}

#[derive(Debug)]
struct PendingRecord {
    fingerprint: Fingerprint,
    endpoint: Name,
    missing_peers: Vec<Name>,
}

/// Table of crash records.
#[derive(Debug)]
pub struct Containment {
    cfg: ContainmentConfig,
    /// Sorted by fingerprint and endpoint.
    records: Vec<Crash>,
    /// Records of this instance that some live instances have not acknowledged yet.
    pending_records: Vec<PendingRecord>,
    reservations: Vec<(Name, Fingerprint)>,
}

impl Containment {
    /// Returns an empty table.
    pub fn new(cfg: ContainmentConfig) -> Self {
        Self { cfg, records: Vec::new(), pending_records: Vec::new(), reservations: Vec::new() }
    }

    /// Returns all records, for an instance that has none.
    pub fn records(&self) -> &[Crash] {
        &self.records
    }

    /// Records a crash that this instance observed. `peers` are the other instances in the view;
    /// each of them must acknowledge the record ([`Containment::unacknowledged`]).
    pub fn record(&mut self, crash: Crash, peers: &[Name], now_ms: u64) {
        let (fingerprint, endpoint) = (crash.fingerprint, crash.endpoint.clone());
        self.release_endpoint(&endpoint, fingerprint);
        self.insert(crash);
        self.evict(now_ms);
        self.pending_records.retain(|r| (r.fingerprint, &r.endpoint) != (fingerprint, &endpoint));
        if !peers.is_empty() {
            self.pending_records.push(PendingRecord {
                fingerprint,
                endpoint,
                missing_peers: peers.to_vec(),
            });
        }
    }

    /// Merges the records of another instance and returns the number of new ones.
    pub fn merge(&mut self, records: &[Crash], now_ms: u64) -> usize {
        let before = self.records.len();
        for crash in records {
            if crash.at_ms.saturating_add(self.cfg.retention_ms) > now_ms {
                self.insert(crash.clone());
            }
        }
        let new = self.records.len() - before;
        self.evict(now_ms);
        new
    }

    /// Marks `records` as received by `peer`. An acknowledgement names records and not requests,
    /// since one for an earlier record of a request does not cover a later record.
    pub fn acknowledge(&mut self, peer: &Name, records: &[Crash]) {
        self.pending_records.retain_mut(|r| {
            let named = |c: &Crash| c.fingerprint == r.fingerprint && c.endpoint == r.endpoint;
            if records.iter().any(named) {
                r.missing_peers.retain(|name| name != peer);
            }
            !r.missing_peers.is_empty()
        });
    }

    /// Applies a new membership view. Instances that are missing in it have lost their lease, so
    /// their acknowledgements are no longer needed.
    pub fn observe_view(&mut self, instances: &[Name]) {
        self.pending_records.retain_mut(|r| {
            r.missing_peers.retain(|name| instances.contains(name));
            !r.missing_peers.is_empty()
        });
    }

    /// Returns the records of this instance that `peer` has not acknowledged yet.
    pub fn unacknowledged(&self, peer: &Name) -> Vec<Crash> {
        let waits = |c: &Crash| {
            self.pending_records.iter().any(|r| {
                (c.fingerprint, &c.endpoint) == (r.fingerprint, &r.endpoint)
                    && r.missing_peers.contains(peer)
            })
        };
        self.records.iter().filter(|c| waits(c)).cloned().collect()
    }

    /// Returns whether all live instances have this instance's records of `fingerprint`. Only then
    /// may the request be answered or run again.
    pub fn is_replicated(&self, fingerprint: Fingerprint) -> bool {
        self.pending_records.iter().all(|r| r.fingerprint != fingerprint)
    }

    /// Returns whether and where a request may run.
    pub fn admission(&self, fingerprint: Fingerprint, now_ms: u64) -> Admission {
        let is_current = |c: &&Crash| c.at_ms.saturating_add(self.cfg.retention_ms) > now_ms;
        let endpoints: Vec<Name> = self
            .records_of(fingerprint)
            .iter()
            .filter(is_current)
            .map(|c| c.endpoint.clone())
            .collect();
        match endpoints.len() {
            0 => Admission::Anywhere,
            // A refusal is an answer too: the caller may send the request again to an instance that
            // does not have the record.
            _ if !self.is_replicated(fingerprint) => Admission::Pending,
            n if n >= MAX_CRASHED_ENDPOINTS => Admission::Refused,
            _ if self.reservations.iter().any(|(_, running)| *running == fingerprint) => {
                Admission::Pending
            }
            _ => Admission::Excluding(endpoints),
        }
    }

    /// Reserves `endpoint` for a request with [`Admission::Excluding`]. Returns false if the
    /// endpoint is reserved for another request or the request has a reservation.
    pub fn reserve_endpoint(&mut self, endpoint: &Name, fingerprint: Fingerprint) -> bool {
        let taken = self.reservations.iter().any(|(e, f)| e == endpoint || *f == fingerprint);
        if !taken {
            self.reservations.push((endpoint.clone(), fingerprint));
        }
        !taken
    }

    /// Ends a reservation.
    pub fn release_endpoint(&mut self, endpoint: &str, fingerprint: Fingerprint) {
        self.reservations.retain(|(e, f)| **e != *endpoint || *f != fingerprint);
    }

    fn records_of(&self, fingerprint: Fingerprint) -> &[Crash] {
        let from = self.records.partition_point(|c| c.fingerprint < fingerprint);
        let to = self.records.partition_point(|c| c.fingerprint <= fingerprint);
        &self.records[from..to]
    }

    fn insert(&mut self, crash: Crash) {
        let key = |c: &Crash| (c.fingerprint, c.endpoint.clone());
        let sought = key(&crash);
        match self.records.binary_search_by(|c| key(c).cmp(&sought)) {
            Ok(at) => self.records[at].at_ms = self.records[at].at_ms.max(crash.at_ms),
            Err(at) => self.records.insert(at, crash),
        }
    }

    /// Drops expired records. If too many are left, drops the oldest ones, those of requests with
    /// one endpoint before those of refused requests.
    fn evict(&mut self, now_ms: u64) {
        let retention_ms = self.cfg.retention_ms;
        self.records.retain(|c| c.at_ms.saturating_add(retention_ms) > now_ms);
        let excess = self.records.len().saturating_sub(self.cfg.max_records);
        if excess > 0 {
            let refused = |c: &Crash| self.records_of(c.fingerprint).len() >= MAX_CRASHED_ENDPOINTS;
            let mut ages: Vec<_> =
                self.records.iter().map(|c| (refused(c), c.at_ms, c.clone())).collect();
            ages.sort();
            ages.drain(..excess);
            let mut kept: Vec<Crash> = ages.into_iter().map(|(_, _, c)| c).collect();
            kept.sort();
            self.records = kept;
        }
        check_invariant(
            self.records.len() <= self.cfg.max_records,
            "containment: the table has at most max_records records",
        );
    }
}
