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
    Board,
    board::{Condemned, read_fingerprint, write_fingerprint},
};

/// Time beyond that of the run in which an instance finds out how a trial has ended.
const VERDICT_TIME: Duration = Duration::from_secs(4);
/// A condemned request is on the board within this time, or goes on trial again.
const COMMIT_TIME: Duration = Duration::from_secs(10);

/// A time since the leader's start, and the same as milliseconds since the epoch.
#[derive(Clone, Copy)]
pub(crate) struct Now {
    pub(crate) steady: Duration,
    pub(crate) epoch_ms: u64,
}

/// Suspects of one term, and the list of them that instances hold.
pub(crate) struct Suspects {
    quarantine: Quarantine,
    /// As in [`peer::Quarantine`].
    number: u64,
    /// Until when requests are refused whose condemnation may not be on the board yet.
    condemned_until: Option<Duration>,
    /// As last seen on the board.
    condemned: Arc<Vec<Condemned>>,
    /// Those on the board that are refused, sorted.
    refused: Vec<Fingerprint>,
    /// When one of them goes on trial, in milliseconds since the epoch.
    refused_until_ms: u64,
}

impl Suspects {
    pub(crate) fn new(term: u64) -> Self {
        Self {
            quarantine: Quarantine::default(),
            number: term << 32,
            condemned_until: None,
            condemned: Arc::default(),
            refused: Vec::new(),
            refused_until_ms: u64::MAX,
        }
    }

    /// Follows what is condemned: it is refused, and then goes on trial.
    fn follow(&mut self, board: &Board, now: Now) {
        if self.condemned_until.take_if(|until| now.steady >= *until).is_some() {
            self.number += 1;
        }
        let is_known = Arc::ptr_eq(&self.condemned, board.condemned());
        if is_known && now.epoch_ms < self.refused_until_ms {
            return;
        }
        self.condemned = board.condemned().clone();
        self.refused_until_ms = u64::MAX;
        self.refused.clear();
        for condemned in self.condemned.iter() {
            let until_ms = condemned.refused_until_ms();
            if now.epoch_ms < until_ms {
                self.refused_until_ms = self.refused_until_ms.min(until_ms);
                self.refused.push(condemned.request);
            } else {
                self.quarantine.adopt_suspect(condemned.request, now.steady);
            }
        }
        self.number += 1;
    }

    /// Follows what is condemned, and takes over the suspects of a former leader.
    pub(crate) fn observe(&mut self, board: &Board, beat: &peer::Beat, now: Now) {
        self.follow(board, now);
        let has_other_leader = beat.quarantine >> 32 != self.number >> 32;
        if !has_other_leader {
            return;
        }
        for request in beat.suspects.iter().filter_map(|bytes| read_fingerprint(bytes)) {
            if !self.is_refused(request) && self.quarantine.adopt_suspect(request, now.steady) {
                self.number += 1;
            }
        }
    }

    /// Refuses a request, which is on its way to the board.
    fn condemn(&mut self, request: Fingerprint, now: Now) -> board_command::Body {
        let until = now.steady + COMMIT_TIME;
        if self.quarantine.condemn(request, until, now.steady) {
            log_request(request, "request is refused: endpoints end under it");
            metrics::counter!("poplarspan_relay_condemned_requests_total").increment(1);
        }
        self.condemned_until = Some(until);
        self.number += 1;
        let request = write_fingerprint(request);
        board_command::Body::Condemn(pb::Condemn { request, at_ms: now.epoch_ms, times: 0 })
    }

    /// The list for an instance that holds the list `held`. None if it is current.
    pub(crate) fn list_for(&self, held: u64, now: Now) -> Option<peer::Quarantine> {
        if held == self.number {
            return None;
        }
        let mut refused = self.refused.clone();
        refused.extend(self.quarantine.condemned(now.steady));
        refused.sort_unstable();
        refused.dedup();
        Some(peer::Quarantine {
            number: self.number,
            suspects: self.quarantine.suspects().map(write_fingerprint).collect(),
            refused: refused.into_iter().map(write_fingerprint).collect(),
        })
    }

    fn is_refused(&self, request: Fingerprint) -> bool {
        self.refused.binary_search(&request).is_ok()
    }

    /// Rules on an event. The command, if there is one, is to be committed before the answer.
    pub(crate) fn rule(
        &mut self,
        event: &peer::SuspectEvent,
        board: &Board,
        now: Now,
    ) -> (SuspectRuling, Option<board_command::Body>) {
        let Some(request) = read_fingerprint(&event.request) else {
            return (SuspectRuling::Unspecified, None);
        };
        self.follow(board, now);
        let is_refused = self.is_refused(request);
        let endpoint = Name::from(&*event.endpoint);
        match event.kind() {
            SuspectEventKind::EndpointEnded => {
                let is_on_trial = self.quarantine.is_on_trial(request, &endpoint);
                // An event that is told again asks for a command that may have failed.
                if self.quarantine.is_condemned(request, now.steady) || (is_on_trial && !is_refused)
                {
                    let command = self.condemn(request, now);
                    return (SuspectRuling::Refused, Some(command));
                }
                if is_refused {
                    return (SuspectRuling::Refused, None);
                }
                if self.quarantine.record_failure(request, &endpoint, now.steady) {
                    self.number += 1;
                    log_request(request, "request is a suspect: it runs on trial");
                }
                (SuspectRuling::Free, None)
            }
            SuspectEventKind::Begin if is_refused => (SuspectRuling::Refused, None),
            SuspectEventKind::Begin => {
                let until = now.steady + Duration::from_millis(event.run_ms) + VERDICT_TIME;
                let ruling = match self.quarantine.admit(request, &endpoint, until, now.steady) {
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
                let is_condemned = is_refused || board.condemnation(request).is_some();
                (SuspectRuling::Free, is_condemned.then(acquit))
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
