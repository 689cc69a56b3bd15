//! Containment of requests that crash the endpoints that run them.
//!
//! A request is identified by the BLAKE3 digest of its route and body. When an endpoint crashes,
//! each request that it was running is recorded with it. A request that is recorded with one
//! endpoint may run on one more; with two, it is refused. The table is a set of (fingerprint,
//! endpoint, time), so instances merge theirs by union, in any order and repeatedly.
//!
//! To keep a resent request from a third endpoint, the instance that saw a crash neither runs the
//! request again nor answers its caller before every live instance has the record
//! ([`Containment::is_settled`]): an instance either acknowledges it or has lost its membership
//! lease, so this ends after one lease duration at the latest. Copies that a caller sent in parallel
//! before the first crash was known cannot be stopped this way.
//!
//! An endpoint runs at most one recorded request of this instance at a time, so that requests that
//! merely ran beside the one that crashed an endpoint are not recorded beside it a second time.
//!
//! Time is wall-clock time in milliseconds, since records travel between instances.
//!
//! Owner of the state: each instance has a copy; a restarted one receives the others'.

use std::fmt;

use crate::Name;
use crate::check::invariant;

/// Endpoints after which a request is refused.
pub const MAX_ENDPOINTS: usize = 2;

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

/// The first bytes, for logs.
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
    /// When it crashed.
    pub at_ms: u64,
}

/// Whether and where a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Anywhere.
    Anywhere,
    /// On one more endpoint, through [`Containment::begin_suspect`]; not on these.
    OneMore(Vec<Name>),
    /// Not before other instances know of its last crash; ask again soon.
    NotYet,
    /// Nowhere; it has crashed two endpoints.
    Refused,
}

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct ContainmentConfig {
    /// Records kept.
    pub max_records: usize,
    /// Age after which a record is dropped.
    pub keep_ms: u64,
}

impl Default for ContainmentConfig {
    fn default() -> Self {
        Self { max_records: 16_384, keep_ms: 7 * 24 * 3600 * 1000 }
    }
}

#[derive(Debug)]
struct Unsettled {
    fingerprint: Fingerprint,
    endpoint: Name,
    waiting: Vec<Name>,
}

/// Records of crashes, sorted by fingerprint and endpoint.
#[derive(Debug)]
pub struct Containment {
    cfg: ContainmentConfig,
    records: Vec<Crash>,
    /// Own records that some live instances have not acknowledged yet.
    unsettled: Vec<Unsettled>,
    suspects: Vec<(Name, Fingerprint)>,
}

impl Containment {
    /// Returns an empty table.
    pub fn new(cfg: ContainmentConfig) -> Self {
        Self { cfg, records: Vec::new(), unsettled: Vec::new(), suspects: Vec::new() }
    }

    /// All records, to be sent to an instance that has none.
    pub fn records(&self) -> &[Crash] {
        &self.records
    }

    /// Records a crash that this instance saw; `peers` are the other instances in the view. Each of
    /// them is sent the record until it acknowledges ([`Containment::unacknowledged`]).
    pub fn record(&mut self, crash: Crash, peers: &[Name], now_ms: u64) {
        let (fingerprint, endpoint) = (crash.fingerprint, crash.endpoint.clone());
        self.end_suspect(&endpoint, fingerprint);
        self.insert(crash);
        self.bound(now_ms);
        self.unsettled.retain(|u| (u.fingerprint, &u.endpoint) != (fingerprint, &endpoint));
        if !peers.is_empty() {
            self.unsettled.push(Unsettled { fingerprint, endpoint, waiting: peers.to_vec() });
        }
    }

    /// Adds records of another instance. Returns how many were new.
    pub fn merge(&mut self, records: &[Crash], now_ms: u64) -> usize {
        let before = self.records.len();
        for crash in records {
            if crash.at_ms.saturating_add(self.cfg.keep_ms) > now_ms {
                self.insert(crash.clone());
            }
        }
        let new = self.records.len() - before;
        self.bound(now_ms);
        new
    }

    /// Notes that `peer` has these records. An acknowledgement names records, since that of an
    /// earlier record of a request says nothing of a later one.
    pub fn acknowledged(&mut self, peer: &Name, records: &[Crash]) {
        self.unsettled.retain_mut(|u| {
            let named = |c: &Crash| c.fingerprint == u.fingerprint && c.endpoint == u.endpoint;
            if records.iter().any(named) {
                u.waiting.retain(|name| name != peer);
            }
            !u.waiting.is_empty()
        });
    }

    /// Notes the instances of a new view: those that are missing have lost their lease.
    pub fn observe_view(&mut self, instances: &[Name]) {
        self.unsettled.retain_mut(|u| {
            u.waiting.retain(|name| instances.contains(name));
            !u.waiting.is_empty()
        });
    }

    /// Records of this instance that `peer` has not acknowledged yet; to be sent until it does.
    pub fn unacknowledged(&self, peer: &Name) -> Vec<Crash> {
        let waits = |c: &Crash| {
            self.unsettled.iter().any(|u| {
                (c.fingerprint, &c.endpoint) == (u.fingerprint, &u.endpoint)
                    && u.waiting.contains(peer)
            })
        };
        self.records.iter().filter(|c| waits(c)).cloned().collect()
    }

    /// Whether all live instances have this instance's records of `fingerprint`. Only then may its
    /// caller be answered or the request run again.
    pub fn is_settled(&self, fingerprint: Fingerprint) -> bool {
        self.unsettled.iter().all(|u| u.fingerprint != fingerprint)
    }

    /// Whether and where a request may run.
    pub fn admission(&self, fingerprint: Fingerprint, now_ms: u64) -> Admission {
        let alive = |c: &&Crash| c.at_ms.saturating_add(self.cfg.keep_ms) > now_ms;
        let endpoints: Vec<Name> =
            self.of(fingerprint).iter().filter(alive).map(|c| c.endpoint.clone()).collect();
        match endpoints.len() {
            0 => Admission::Anywhere,
            // A refusal is an answer too: the caller may resend to an instance without the record.
            _ if !self.is_settled(fingerprint) => Admission::NotYet,
            n if n >= MAX_ENDPOINTS => Admission::Refused,
            _ if self.suspects.iter().any(|(_, running)| *running == fingerprint) => {
                Admission::NotYet
            }
            _ => Admission::OneMore(endpoints),
        }
    }

    /// Reserves `endpoint` for a request with [`Admission::OneMore`]; false when it is taken.
    pub fn begin_suspect(&mut self, endpoint: &Name, fingerprint: Fingerprint) -> bool {
        let taken = self.suspects.iter().any(|(e, f)| e == endpoint || *f == fingerprint);
        if !taken {
            self.suspects.push((endpoint.clone(), fingerprint));
        }
        !taken
    }

    /// Ends the reservation.
    pub fn end_suspect(&mut self, endpoint: &str, fingerprint: Fingerprint) {
        self.suspects.retain(|(e, f)| **e != *endpoint || *f != fingerprint);
    }

    fn of(&self, fingerprint: Fingerprint) -> &[Crash] {
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

    /// Drops old records, and when too many are left, the oldest of requests with one endpoint
    /// before those of refused requests.
    fn bound(&mut self, now_ms: u64) {
        let keep_ms = self.cfg.keep_ms;
        self.records.retain(|c| c.at_ms.saturating_add(keep_ms) > now_ms);
        let excess = self.records.len().saturating_sub(self.cfg.max_records);
        if excess > 0 {
            let refused = |c: &Crash| self.of(c.fingerprint).len() >= MAX_ENDPOINTS;
            let mut ages: Vec<_> =
                self.records.iter().map(|c| (refused(c), c.at_ms, c.clone())).collect();
            ages.sort();
            ages.drain(..excess);
            let mut kept: Vec<Crash> = ages.into_iter().map(|(_, _, c)| c).collect();
            kept.sort();
            self.records = kept;
        }
        invariant(
            self.records.len() <= self.cfg.max_records,
            "containment: the table is within its bound",
        );
    }
}
