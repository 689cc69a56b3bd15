//! Quarantine of requests under which endpoints end.
//!
//! It answers a request that comes back, under new ids and at any instance, after each endpoint that
//! ran it has ended. When an endpoint ends, many requests run there, and most have no part in it. So
//! a request is refused only after a trial:
//!
//! 1. Each request that an endpoint may have been running when it ended is noted with it.
//! 2. A request that is noted with [`SUSPECT_FAILURES`] ends is a suspect: it runs only on trial, one
//!    run at a time in the whole fleet, and no other suspect runs at the same endpoint meanwhile.
//! 3. If the endpoint ends under a trial, the request is condemned. A whole answer, in a trial or
//!    not, clears it.
//!
//! A request that ends every endpoint thus ends three, apart from copies that run at the same time
//! before it is a suspect.
//!
//! Owner: the leader of the control group. It alone knows of the ends of endpoints, so instances
//! report them; suspects are adopted from the instances by a successor, and a trial that was open is
//! forgotten. What is condemned belongs in durable state, which is up to the user of this module; the
//! request is refused here while it is on the way there.

use std::time::Duration;

use crate::{Name, containment::Fingerprint};

/// Ends of endpoints after which a request runs on trial only.
pub const SUSPECT_FAILURES: usize = 2;
/// Reports of an endpoint's end within this time are about the same end.
const FAILURE_DEDUP_WINDOW: Duration = Duration::from_secs(1);
/// Requests that are not heard of for this long are forgotten.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Requests that are remembered; beyond, the one that was heard of longest ago is forgotten.
const MAX_REQUESTS: usize = 8_192;

/// Whether a request may run at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It is no suspect.
    Free,
    /// It runs on trial; the end must be reported.
    OnTrial,
    /// It runs on trial elsewhere; ask again later.
    Busy,
    /// Another suspect is on trial at this endpoint; ask for another one.
    EndpointTaken,
    /// It is condemned.
    Refused,
}

struct Trial {
    endpoint: Name,
    expires_at: Duration,
}

struct RequestRecord {
    request: Fingerprint,
    /// Endpoints that have ended, and when.
    failures: Vec<(Name, Duration)>,
    is_suspect: bool,
    trial: Option<Trial>,
    condemned_until: Option<Duration>,
    last_seen: Duration,
}

impl RequestRecord {
    fn new(request: Fingerprint, now: Duration) -> Self {
        Self {
            request,
            failures: Vec::new(),
            is_suspect: false,
            trial: None,
            condemned_until: None,
            last_seen: now,
        }
    }

    fn is_condemned(&self, now: Duration) -> bool {
        self.condemned_until.is_some_and(|until| now < until)
    }
}

/// Requests that ran at endpoints when these ended.
#[derive(Default)]
pub struct Quarantine {
    /// Sorted by request.
    records: Vec<RequestRecord>,
}

impl Quarantine {
    /// Takes note that an endpoint has ended while it may have been running a request. Returns
    /// whether the request has become a suspect.
    pub fn record_failure(&mut self, request: Fingerprint, endpoint: &Name, now: Duration) -> bool {
        let record = self.entry(request, now);
        let is_same =
            |(name, at): &(Name, Duration)| name == endpoint && now < *at + FAILURE_DEDUP_WINDOW;
        if record.is_suspect || record.failures.iter().any(is_same) {
            return false;
        }
        record.failures.push((endpoint.clone(), now));
        record.is_suspect = record.failures.len() >= SUSPECT_FAILURES;
        record.is_suspect
    }

    /// Takes over a suspect of a former leader. Returns whether it was unknown.
    pub fn adopt_suspect(&mut self, request: Fingerprint, now: Duration) -> bool {
        let record = self.entry(request, now);
        !std::mem::replace(&mut record.is_suspect, true)
    }

    /// Asks whether a request may run at an endpoint, which takes until `until` at most.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        endpoint: &Name,
        until: Duration,
        now: Duration,
    ) -> Ruling {
        let is_open = |trial: &Trial| now < trial.expires_at;
        let Ok(at) = self.position(request) else { return Ruling::Free };
        let record = &self.records[at];
        if record.is_condemned(now) {
            return Ruling::Refused;
        }
        if !record.is_suspect {
            return Ruling::Free;
        }
        if record.trial.as_ref().is_some_and(is_open) {
            return Ruling::Busy;
        }
        let mut open = self.records.iter().filter_map(|n| n.trial.as_ref()).filter(|t| is_open(t));
        if open.any(|trial| trial.endpoint == *endpoint) {
            return Ruling::EndpointTaken;
        }
        let record = &mut self.records[at];
        record.trial = Some(Trial { endpoint: endpoint.clone(), expires_at: until });
        record.last_seen = now;
        Ruling::OnTrial
    }

    /// Whether a request is on trial at an endpoint.
    pub fn is_on_trial(&self, request: Fingerprint, endpoint: &str) -> bool {
        self.position(request).is_ok_and(|at| {
            self.records[at].trial.as_ref().is_some_and(|trial| *trial.endpoint == *endpoint)
        })
    }

    /// Ends a trial that has shown nothing.
    pub fn end_trial(&mut self, request: Fingerprint, endpoint: &str) {
        if self.is_on_trial(request, endpoint)
            && let Ok(at) = self.position(request)
        {
            self.records[at].trial = None;
        }
    }

    /// Refuses a request until its condemnation has become durable, or is known not to. Returns
    /// whether it was not condemned before.
    pub fn condemn(&mut self, request: Fingerprint, until: Duration, now: Duration) -> bool {
        let record = self.entry(request, now);
        let is_new = !record.is_condemned(now);
        record.is_suspect = true;
        record.trial = None;
        record.condemned_until = Some(until);
        is_new
    }

    /// Whether a request is condemned.
    pub fn is_condemned(&self, request: Fingerprint, now: Duration) -> bool {
        self.position(request).is_ok_and(|at| self.records[at].is_condemned(now))
    }

    /// The condemned requests, sorted.
    pub fn condemned(&self, now: Duration) -> impl Iterator<Item = Fingerprint> + '_ {
        self.records
            .iter()
            .filter(move |record| record.is_condemned(now))
            .map(|record| record.request)
    }

    /// Forgets a request that has been answered. Returns whether it was a suspect.
    pub fn remove(&mut self, request: Fingerprint) -> bool {
        self.position(request).is_ok_and(|at| self.records.remove(at).is_suspect)
    }

    /// The suspects, sorted.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.records.iter().filter(|record| record.is_suspect).map(|record| record.request)
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn position(&self, request: Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(&request, |record| record.request)
    }

    fn entry(&mut self, request: Fingerprint, now: Duration) -> &mut RequestRecord {
        let at = match self.position(request) {
            Ok(at) => at,
            Err(_) => {
                self.evict(now);
                let at = self.records.partition_point(|record| record.request < request);
                self.records.insert(at, RequestRecord::new(request, now));
                at
            }
        };
        let record = &mut self.records[at];
        record.last_seen = now;
        record
    }

    fn evict(&mut self, now: Duration) {
        self.records.retain(|record| now < record.last_seen + RETENTION);
        while self.records.len() >= MAX_REQUESTS {
            // Suspects go last.
            let age = |at: &usize| (self.records[*at].is_suspect, self.records[*at].last_seen);
            let Some(oldest) = (0..self.records.len()).min_by_key(age) else { return };
            self.records.remove(oldest);
        }
    }
}
