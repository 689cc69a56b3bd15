//! The leader's part of the quarantine of requests that endpoints terminate under.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::{
    Name,
    containment::Fingerprint,
    quarantine::{Decision, Quarantine},
};
use poplarspan_proto::{
    peer::{self, SuspectEventKind, SuspectRuling},
    relay::{self as pb, board_command},
};

use crate::{
    ControlState,
    control_state::{BlockedRequest, read_fingerprint, write_fingerprint},
};

/// Time beyond the run in which a front determines the result of a run on probation.
const PROBATION_RESULT_TIMEOUT: Duration = Duration::from_secs(4);
/// A blocked request is in the replicated state within this time, or goes on probation again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The same moment on the monotonic clock and in milliseconds since the Unix epoch.
#[derive(Clone, Copy)]
pub(crate) struct Timestamps {
    pub(crate) monotonic: Duration,
    pub(crate) epoch_ms: u64,
}

/// Suspects of one term, and the list of them that instances hold.
pub(crate) struct Suspects {
    quarantine: Quarantine,
    /// List number, as in [`peer::Quarantine`].
    number: u64,
    /// Until when requests are refused whose block may not have been committed yet.
    pending_block_until: Option<Duration>,
    /// Blocked requests as last seen in the control state.
    blocked: Arc<Vec<BlockedRequest>>,
    /// Requests whose block is in force, sorted.
    refused: Vec<Fingerprint>,
    /// When the next block expires, in milliseconds since the Unix epoch.
    next_unblock_ms: u64,
}

impl Suspects {
    pub(crate) fn new(term: u64) -> Self {
        Self {
            quarantine: Quarantine::default(),
            number: term << 32,
            pending_block_until: None,
            blocked: Arc::default(),
            refused: Vec::new(),
            next_unblock_ms: u64::MAX,
        }
    }

    /// Follows the blocked requests of the control state: they are refused until the block expires,
    /// and then go on probation.
    fn sync_blocked(&mut self, control_state: &ControlState, now: Timestamps) {
        if self.pending_block_until.take_if(|until| now.monotonic >= *until).is_some() {
            self.number += 1;
        }
        let is_known = Arc::ptr_eq(&self.blocked, control_state.blocked());
        if is_known && now.epoch_ms < self.next_unblock_ms {
            return;
        }
        self.blocked = control_state.blocked().clone();
        self.next_unblock_ms = u64::MAX;
        self.refused.clear();
        for entry in self.blocked.iter() {
            let until_ms = entry.blocked_until_ms();
            if now.epoch_ms < until_ms {
                self.next_unblock_ms = self.next_unblock_ms.min(until_ms);
                self.refused.push(entry.request);
            } else {
                self.quarantine.adopt_suspect(entry.request, now.monotonic);
            }
        }
        self.number += 1;
    }

    /// Follows the blocked requests, and adopts the suspects of a previous leader from an
    /// instance's heartbeat.
    pub(crate) fn observe(
        &mut self,
        control_state: &ControlState,
        beat: &peer::Beat,
        now: Timestamps,
    ) {
        self.sync_blocked(control_state, now);
        let has_other_leader = beat.quarantine >> 32 != self.number >> 32;
        if !has_other_leader {
            return;
        }
        for request in beat.suspects.iter().filter_map(|bytes| read_fingerprint(bytes)) {
            if !self.is_blocked(request) && self.quarantine.adopt_suspect(request, now.monotonic) {
                self.number += 1;
            }
        }
    }

    /// Refuses a request and returns the command that records the block.
    fn block(&mut self, request: Fingerprint, now: Timestamps) -> board_command::Body {
        let until = now.monotonic + COMMIT_TIMEOUT;
        if self.quarantine.block(request, until, now.monotonic) {
            log_request(request, "request is blocked: endpoints terminate while running it");
            metrics::counter!("poplarspan_relay_condemned_requests_total").increment(1);
        }
        self.pending_block_until = Some(until);
        self.number += 1;
        let request = write_fingerprint(request);
        board_command::Body::Condemn(pb::Condemn { request, at_ms: now.epoch_ms, times: 0 })
    }

    /// The list for an instance that holds list number `held`, or `None` if that is current.
    pub(crate) fn list_for(&self, held: u64, now: Timestamps) -> Option<peer::Quarantine> {
        if held == self.number {
            return None;
        }
        let mut refused = self.refused.clone();
        refused.extend(self.quarantine.blocked(now.monotonic));
        refused.sort_unstable();
        refused.dedup();
        Some(peer::Quarantine {
            number: self.number,
            suspects: self.quarantine.suspects().map(write_fingerprint).collect(),
            refused: refused.into_iter().map(write_fingerprint).collect(),
        })
    }

    fn is_blocked(&self, request: Fingerprint) -> bool {
        self.refused.binary_search(&request).is_ok()
    }

    /// Handles an event. The returned command, if any, must be committed before the answer is sent.
    pub(crate) fn handle_event(
        &mut self,
        event: &peer::SuspectEvent,
        control_state: &ControlState,
        now: Timestamps,
    ) -> (SuspectRuling, Option<board_command::Body>) {
        let Some(request) = read_fingerprint(&event.request) else {
            return (SuspectRuling::Unspecified, None);
        };
        self.sync_blocked(control_state, now);
        let is_blocked = self.is_blocked(request);
        let endpoint = Name::from(&*event.endpoint);
        match event.kind() {
            SuspectEventKind::EndpointEnded => {
                let is_on_probation = self.quarantine.is_on_probation(request, &endpoint);
                // For a repeated event the command is returned again, because it may not have been
                // committed.
                if self.quarantine.is_blocked(request, now.monotonic)
                    || (is_on_probation && !is_blocked)
                {
                    let command = self.block(request, now);
                    return (SuspectRuling::Refused, Some(command));
                }
                if is_blocked {
                    return (SuspectRuling::Refused, None);
                }
                if self.quarantine.record_failure(request, &endpoint, now.monotonic) {
                    self.number += 1;
                    log_request(
                        request,
                        "request is suspected of terminating endpoints; it only runs on probation",
                    );
                }
                (SuspectRuling::Free, None)
            }
            SuspectEventKind::Begin if is_blocked => (SuspectRuling::Refused, None),
            SuspectEventKind::Begin => {
                let until =
                    now.monotonic + Duration::from_millis(event.run_ms) + PROBATION_RESULT_TIMEOUT;
                let decision = match self.quarantine.admit(request, &endpoint, until, now.monotonic)
                {
                    Decision::Free => SuspectRuling::Free,
                    Decision::OnProbation => SuspectRuling::OnTrial,
                    Decision::Busy => SuspectRuling::Busy,
                    Decision::EndpointTaken => SuspectRuling::EndpointTaken,
                    Decision::Refused => SuspectRuling::Refused,
                };
                (decision, None)
            }
            SuspectEventKind::Answered => {
                if self.quarantine.remove(request) {
                    self.number += 1;
                    log_request(request, "suspected request was answered; no longer suspected");
                }
                let acquit = || {
                    let request = write_fingerprint(request);
                    board_command::Body::Acquit(pb::Acquit { request })
                };
                let was_blocked = is_blocked || control_state.blocked_request(request).is_some();
                (SuspectRuling::Free, was_blocked.then(acquit))
            }
            SuspectEventKind::TrialOver => {
                self.quarantine.end_probation(request, &endpoint);
                (SuspectRuling::Free, None)
            }
            SuspectEventKind::Unspecified => (SuspectRuling::Unspecified, None),
        }
    }
}

fn log_request(request: Fingerprint, what: &'static str) {
    let request = request.to_string();
    log::warn!(request = request.as_str(); "{what}");
}
