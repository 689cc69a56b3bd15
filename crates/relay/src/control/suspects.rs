//! The leader's part in the quarantine of requests under which endpoints end.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::{
    Name,
    containment::Fingerprint,
    quarantine::{Quarantine, Ruling},
};
use poplarspan_proto::{
    peer::{self, SuspectEventKind, SuspectRuling},
    relay::{self as pb, board_command},
};

use crate::{
    ControlState,
    control_state::{BlockedRequest, read_fingerprint, write_fingerprint},
};

/// Time beyond that of the run in which an instance finds out how a trial has ended.
const TRIAL_RESULT_TIMEOUT: Duration = Duration::from_secs(4);
/// A condemned request is on the board within this time, or goes on trial again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A time since the leader's start, and the same as milliseconds since the epoch.
#[derive(Clone, Copy)]
pub(crate) struct Timestamps {
    pub(crate) monotonic: Duration,
    pub(crate) epoch_ms: u64,
}

/// Suspects of one term, and the list of them that instances hold.
pub(crate) struct Suspects {
    quarantine: Quarantine,
    /// As in [`peer::Quarantine`].
    number: u64,
    /// Until when requests are refused whose blocked_request may not be on the board yet.
    pending_block_until: Option<Duration>,
    /// As last seen on the board.
    blocked: Arc<Vec<BlockedRequest>>,
    /// Those on the board that are refused, sorted.
    refused: Vec<Fingerprint>,
    /// When one of them goes on trial, in milliseconds since the epoch.
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

    /// Follows what is condemned: it is refused, and then goes on trial.
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
                self.quarantine.adopt(entry.request, now.monotonic);
            }
        }
        self.number += 1;
    }

    /// Follows what is condemned, and takes over the suspects of a former leader.
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
            if !self.is_blocked(request) && self.quarantine.adopt(request, now.monotonic) {
                self.number += 1;
            }
        }
    }

    /// Refuses a request, which is on its way to the board.
    fn block(&mut self, request: Fingerprint, now: Timestamps) -> board_command::Body {
        let until = now.monotonic + COMMIT_TIMEOUT;
        if self.quarantine.condemn(request, until, now.monotonic) {
            log_request(request, "request is refused: endpoints end under it");
            metrics::counter!("poplarspan_relay_condemned_requests_total").increment(1);
        }
        self.pending_block_until = Some(until);
        self.number += 1;
        let request = write_fingerprint(request);
        board_command::Body::Condemn(pb::Condemn { request, at_ms: now.epoch_ms, times: 0 })
    }

    /// The list for an instance that holds the list `held`. None if it is current.
    pub(crate) fn list_for(&self, held: u64, now: Timestamps) -> Option<peer::Quarantine> {
        if held == self.number {
            return None;
        }
        let mut refused = self.refused.clone();
        refused.extend(self.quarantine.condemned(now.monotonic));
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

    /// Rules on an event. The command, if there is one, is to be committed before the answer.
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
                let is_on_trial = self.quarantine.is_on_trial(request, &endpoint);
                // An event that is told again asks for a command that may have failed.
                if self.quarantine.is_condemned(request, now.monotonic)
                    || (is_on_trial && !is_blocked)
                {
                    let command = self.block(request, now);
                    return (SuspectRuling::Refused, Some(command));
                }
                if is_blocked {
                    return (SuspectRuling::Refused, None);
                }
                if self.quarantine.note(request, &endpoint, now.monotonic) {
                    self.number += 1;
                    log_request(request, "request is a suspect: it runs on trial");
                }
                (SuspectRuling::Free, None)
            }
            SuspectEventKind::Begin if is_blocked => (SuspectRuling::Refused, None),
            SuspectEventKind::Begin => {
                let until =
                    now.monotonic + Duration::from_millis(event.run_ms) + TRIAL_RESULT_TIMEOUT;
                let ruling = match self.quarantine.begin(request, &endpoint, until, now.monotonic) {
                    Ruling::Free => SuspectRuling::Free,
                    Ruling::OnTrial => SuspectRuling::OnTrial,
                    Ruling::Busy => SuspectRuling::Busy,
                    Ruling::EndpointTaken => SuspectRuling::EndpointTaken,
                    Ruling::Refused => SuspectRuling::Refused,
                };
                (ruling, None)
            }
            SuspectEventKind::Answered => {
                if self.quarantine.remove(request) {
                    self.number += 1;
                    log_request(request, "suspect is cleared: it was answered");
                }
                let acquit = || {
                    let request = write_fingerprint(request);
                    board_command::Body::Acquit(pb::Acquit { request })
                };
                let was_blocked = is_blocked || control_state.blocked_request(request).is_some();
                (SuspectRuling::Free, was_blocked.then(acquit))
            }
            SuspectEventKind::TrialOver => {
                self.quarantine.end_trial(request, &endpoint);
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
