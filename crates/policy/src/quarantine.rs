//! Quarantine of requests that crash endpoints.
//!
//! A caller may send a request again after its endpoint has failed, with a new id and at any
//! instance, so the same request can take down one endpoint after another. When an endpoint fails,
//! many requests run there, and most of them are not the cause. So a request is only blocked after
//! it has run on probation:
//!
//! 1. Each request that an endpoint may have been running when it failed is recorded with it.
//! 2. A request with [`SUSPECT_FAILURES`] recorded failures is a suspect: it only runs on
//!    probation, at most once at a time in the whole fleet, and no other suspect runs at the same
//!    endpoint.
//! 3. If the endpoint fails during that run, the request is blocked, that is, refused. A complete
//!    response clears the request, whether it ran on probation or not.
//!
//! A request that crashes every endpoint thus crashes three, apart from copies that run
//! concurrently before it is a suspect.
//!
//! The state belongs to the leader of the control group. It alone counts failures, so
//! instances report them to it. After a change of leader the suspects are adopted from the
//! instances, and a run on probation that has not ended is forgotten. Blocked requests belong in
//! durable state, which is the responsibility of the user of this module; here a request is refused
//! until that state has been written.

use std::time::Duration;

use crate::{Name, containment::Fingerprint};

/// Failures of endpoints after which a request runs on probation only.
pub const SUSPECT_FAILURES: usize = 2;
/// Reports of an endpoint's failure within this time are about the same failure.
const FAILURE_DEDUP_WINDOW: Duration = Duration::from_secs(1);
/// Time after its last event at which a request is forgotten.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of records; the least recently seen request is dropped first.
const MAX_REQUESTS: usize = 8_192;

/// Decision whether a request may run at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is not a suspect and may run.
    Free,
    /// The request may run on probation; the caller must report the outcome.
    OnProbation,
    /// The request is on probation elsewhere; retry later.
    Busy,
    /// Another suspect is on probation at this endpoint; try another endpoint.
    EndpointTaken,
    /// The request is blocked and must not run.
    Refused,
}

struct ProbationRun {
    endpoint: Name,
    expires_at: Duration,
}

struct RequestRecord {
    request: Fingerprint,
    /// Endpoints that failed, and when.
    failures: Vec<(Name, Duration)>,
    is_suspect: bool,
    probation: Option<ProbationRun>,
    blocked_until: Option<Duration>,
    last_seen: Duration,
}

impl RequestRecord {
    fn new(request: Fingerprint, now: Duration) -> Self {
        Self {
            request,
            failures: Vec::new(),
            is_suspect: false,
            probation: None,
            blocked_until: None,
            last_seen: now,
        }
    }

    fn is_blocked(&self, now: Duration) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }
}

/// Requests that were running at endpoints when these failed.
#[derive(Default)]
pub struct Quarantine {
    /// Sorted by request.
    records: Vec<RequestRecord>,
}

impl Quarantine {
    /// Records that an endpoint failed while it may have been running a request. Returns whether
    /// this makes the request a suspect.
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

    /// Marks a request as a suspect that a former leader knew. Returns whether it was not one yet.
    pub fn adopt_suspect(&mut self, request: Fingerprint, now: Duration) -> bool {
        let record = self.entry(request, now);
        !std::mem::replace(&mut record.is_suspect, true)
    }

    /// Decides whether a request may run at an endpoint. A run on probation that this starts
    /// expires at `until`.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        endpoint: &Name,
        until: Duration,
        now: Duration,
    ) -> Decision {
        let is_open = |run: &ProbationRun| now < run.expires_at;
        let Ok(at) = self.position(request) else { return Decision::Free };
        let record = &self.records[at];
        if record.is_blocked(now) {
            return Decision::Refused;
        }
        if !record.is_suspect {
            return Decision::Free;
        }
        if record.probation.as_ref().is_some_and(is_open) {
            return Decision::Busy;
        }
        let mut open =
            self.records.iter().filter_map(|n| n.probation.as_ref()).filter(|run| is_open(run));
        if open.any(|run| run.endpoint == *endpoint) {
            return Decision::EndpointTaken;
        }
        let record = &mut self.records[at];
        record.probation = Some(ProbationRun { endpoint: endpoint.clone(), expires_at: until });
        record.last_seen = now;
        Decision::OnProbation
    }

    /// Returns whether a request is on probation at an endpoint.
    pub fn is_on_probation(&self, request: Fingerprint, endpoint: &str) -> bool {
        self.position(request).is_ok_and(|at| {
            self.records[at].probation.as_ref().is_some_and(|run| *run.endpoint == *endpoint)
        })
    }

    /// Ends a run on probation without a result.
    pub fn end_probation(&mut self, request: Fingerprint, endpoint: &str) {
        if self.is_on_probation(request, endpoint)
            && let Ok(at) = self.position(request)
        {
            self.records[at].probation = None;
        }
    }

    /// Refuses a request until `until`, by when its block is durable or has failed to become so.
    /// Returns whether it was not blocked before.
    pub fn block(&mut self, request: Fingerprint, until: Duration, now: Duration) -> bool {
        let record = self.entry(request, now);
        let is_new = !record.is_blocked(now);
        record.is_suspect = true;
        record.probation = None;
        record.blocked_until = Some(until);
        is_new
    }

    /// Returns whether a request is blocked.
    pub fn is_blocked(&self, request: Fingerprint, now: Duration) -> bool {
        self.position(request).is_ok_and(|at| self.records[at].is_blocked(now))
    }

    /// Returns the blocked requests, sorted.
    pub fn blocked(&self, now: Duration) -> impl Iterator<Item = Fingerprint> + '_ {
        self.records
            .iter()
            .filter(move |record| record.is_blocked(now))
            .map(|record| record.request)
    }

    /// Removes a request that has been answered. Returns whether it was a suspect.
    pub fn remove(&mut self, request: Fingerprint) -> bool {
        self.position(request).is_ok_and(|at| self.records.remove(at).is_suspect)
    }

    /// Returns the suspects, sorted.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.records.iter().filter(|record| record.is_suspect).map(|record| record.request)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
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
            // Suspects are dropped last.
            let age = |at: &usize| (self.records[*at].is_suspect, self.records[*at].last_seen);
            let Some(oldest) = (0..self.records.len()).min_by_key(age) else { return };
            self.records.remove(oldest);
        }
    }
}
