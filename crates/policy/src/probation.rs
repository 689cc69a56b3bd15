//! Endpoints that fail calls at any instance, which the whole fleet then avoids.
//!
//! The load is a service some of whose endpoints reset calls while they look healthy, or go down
//! and come back by turns. A failing endpoint looks idle and attracts calls, and each instance
//! learns of it only by losing calls of its own. A lost call that must not be repeated ends its
//! program. So the instances report failures to a leader, which puts endpoints on probation: they
//! only get calls that may be repeated, and those show when the endpoint has recovered.
//!
//! A single failure is no evidence, because a healthy endpoint may lose an answer too. An endpoint
//! is only avoided while most of its service is not on probation ([`may_avoid`]): if half of a
//! service fails, the cause is more likely to be elsewhere, and the other half could not take all
//! calls.
//!
//! The state belongs to the leader of the control group. A new leader starts without any endpoint
//! on probation and learns of those that still fail from the next reports.

use std::{collections::VecDeque, time::Duration};

use crate::Name;

/// Failures within [`EVIDENCE_WINDOW`] that put an endpoint on probation.
pub const MIN_FAILURES: usize = 2;
/// Time within which failures count together.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(1);
/// How long an endpoint stays on probation after its last failure.
pub const PROBATION: Duration = Duration::from_secs(2);
/// Maximum number of endpoints with recent failures; failures of further ones are not recorded.
const MAX_ENDPOINTS: usize = 4_096;

#[derive(Debug)]
struct Record {
    endpoint: Name,
    /// Times of the last [`MIN_FAILURES`] failures, oldest first.
    failures: VecDeque<Duration>,
    is_on_probation: bool,
}

impl Record {
    fn is_current(&self, now: Duration) -> bool {
        let retention = if self.is_on_probation { PROBATION } else { EVIDENCE_WINDOW };
        self.failures.back().is_some_and(|last| now < *last + retention)
    }
}

/// Endpoints with recent failures.
#[derive(Debug, Default)]
pub struct Probation {
    /// Sorted by endpoint.
    records: Vec<Record>,
}

impl Probation {
    /// Records failures of an endpoint that an instance has reported. Returns whether they put the
    /// endpoint on probation.
    pub fn record_failures(&mut self, endpoint: &Name, failures: u32, now: Duration) -> bool {
        self.records.retain(|r| r.is_current(now));
        let at = match self.records.binary_search_by(|r| r.endpoint.cmp(endpoint)) {
            Ok(at) => at,
            Err(_) if self.records.len() >= MAX_ENDPOINTS => return false,
            Err(at) => {
                let (endpoint, failures) = (endpoint.clone(), VecDeque::new());
                self.records.insert(at, Record { endpoint, failures, is_on_probation: false });
                at
            }
        };
        let record = &mut self.records[at];
        for _ in 0..(failures as usize).min(MIN_FAILURES) {
            record.failures.push_back(now);
        }
        let surplus = record.failures.len().saturating_sub(MIN_FAILURES);
        record.failures.drain(..surplus);
        let is_evidence = record.failures.len() == MIN_FAILURES
            && record.failures.front().is_some_and(|first| now < *first + EVIDENCE_WINDOW);
        let is_new = is_evidence && !record.is_on_probation;
        record.is_on_probation |= is_evidence;
        is_new
    }

    /// Returns the endpoints on probation, sorted.
    pub fn endpoints(&self, now: Duration) -> impl Iterator<Item = &Name> {
        let on_probation = move |r: &&Record| r.is_on_probation && r.is_current(now);
        self.records.iter().filter(on_probation).map(|r| &r.endpoint)
    }
}

/// Returns whether calls that must not be repeated may avoid the endpoints on probation, of all
/// that a service has available.
pub fn may_avoid(on_probation: usize, available: usize) -> bool {
    2 * on_probation < available
}
