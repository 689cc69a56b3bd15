//! Quarantine of requests under which endpoints end.
//!
//! It answers a request that comes back, under new ids and at any instance, after each endpoint that
//! ran it has ended. When an endpoint ends, many requests run there, and most have no part in it. So
//! a request is refused only after a trial:
//!
//! 1. Each request that an endpoint may have been running when it ended is noted with it.
//! 2. A request that is noted with [`SUSPECT_AFTER`] ends is a suspect: it runs only on trial, one
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
pub const SUSPECT_AFTER: usize = 2;
/// Reports of an endpoint's end within this time are about the same end.
const SAME_END: Duration = Duration::from_secs(1);
/// Requests that are not heard of for this long are forgotten.
const FORGET: Duration = Duration::from_secs(3_600);
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
    until: Duration,
}

struct Noted {
    request: Fingerprint,
    /// Endpoints that have ended, and when.
    ends: Vec<(Name, Duration)>,
    is_suspect: bool,
    trial: Option<Trial>,
    condemned_until: Option<Duration>,
    heard_at: Duration,
}

impl Noted {
    fn new(request: Fingerprint, now: Duration) -> Self {
        Self {
            request,
            ends: Vec::new(),
            is_suspect: false,
            trial: None,
            condemned_until: None,
            heard_at: now,
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
    noted: Vec<Noted>,
}

impl Quarantine {
    /// Takes note that an endpoint has ended while it may have been running a request. Returns
    /// whether the request has become a suspect.
    pub fn note(&mut self, request: Fingerprint, endpoint: &Name, now: Duration) -> bool {
        let noted = self.entry(request, now);
        let is_same = |(name, at): &(Name, Duration)| name == endpoint && now < *at + SAME_END;
        if noted.is_suspect || noted.ends.iter().any(is_same) {
            return false;
        }
        noted.ends.push((endpoint.clone(), now));
        noted.is_suspect = noted.ends.len() >= SUSPECT_AFTER;
        noted.is_suspect
    }

    /// Takes over a suspect of a former leader. Returns whether it was unknown.
    pub fn adopt(&mut self, request: Fingerprint, now: Duration) -> bool {
        let noted = self.entry(request, now);
        !std::mem::replace(&mut noted.is_suspect, true)
    }

    /// Asks whether a request may run at an endpoint, which takes until `until` at most.
    pub fn begin(
        &mut self,
        request: Fingerprint,
        endpoint: &Name,
        until: Duration,
        now: Duration,
    ) -> Ruling {
        let is_open = |trial: &Trial| now < trial.until;
        let Ok(at) = self.position(request) else { return Ruling::Free };
        let noted = &self.noted[at];
        if noted.is_condemned(now) {
            return Ruling::Refused;
        }
        if !noted.is_suspect {
            return Ruling::Free;
        }
        if noted.trial.as_ref().is_some_and(is_open) {
            return Ruling::Busy;
        }
        let mut open = self.noted.iter().filter_map(|n| n.trial.as_ref()).filter(|t| is_open(t));
        if open.any(|trial| trial.endpoint == *endpoint) {
            return Ruling::EndpointTaken;
        }
        let noted = &mut self.noted[at];
        noted.trial = Some(Trial { endpoint: endpoint.clone(), until });
        noted.heard_at = now;
        Ruling::OnTrial
    }

    /// Whether a request is on trial at an endpoint.
    pub fn is_on_trial(&self, request: Fingerprint, endpoint: &str) -> bool {
        self.position(request).is_ok_and(|at| {
            self.noted[at].trial.as_ref().is_some_and(|trial| *trial.endpoint == *endpoint)
        })
    }

    /// Ends a trial that has shown nothing.
    pub fn end_trial(&mut self, request: Fingerprint, endpoint: &str) {
        if self.is_on_trial(request, endpoint)
            && let Ok(at) = self.position(request)
        {
            self.noted[at].trial = None;
        }
    }

    /// Refuses a request until its condemnation has become durable, or is known not to. Returns
    /// whether it was not condemned before.
    pub fn condemn(&mut self, request: Fingerprint, until: Duration, now: Duration) -> bool {
        let noted = self.entry(request, now);
        let is_new = !noted.is_condemned(now);
        noted.is_suspect = true;
        noted.trial = None;
        noted.condemned_until = Some(until);
        is_new
    }

    /// Whether a request is condemned.
    pub fn is_condemned(&self, request: Fingerprint, now: Duration) -> bool {
        self.position(request).is_ok_and(|at| self.noted[at].is_condemned(now))
    }

    /// The condemned requests, sorted.
    pub fn condemned(&self, now: Duration) -> impl Iterator<Item = Fingerprint> + '_ {
        self.noted.iter().filter(move |noted| noted.is_condemned(now)).map(|noted| noted.request)
    }

    /// Forgets a request that has been answered. Returns whether it was a suspect.
    pub fn remove(&mut self, request: Fingerprint) -> bool {
        self.position(request).is_ok_and(|at| self.noted.remove(at).is_suspect)
    }

    /// The suspects, sorted.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.noted.iter().filter(|noted| noted.is_suspect).map(|noted| noted.request)
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.noted.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.noted.is_empty()
    }

    fn position(&self, request: Fingerprint) -> Result<usize, usize> {
        self.noted.binary_search_by_key(&request, |noted| noted.request)
    }

    fn entry(&mut self, request: Fingerprint, now: Duration) -> &mut Noted {
        let at = match self.position(request) {
            Ok(at) => at,
            Err(_) => {
                self.make_room(now);
                let at = self.noted.partition_point(|noted| noted.request < request);
                self.noted.insert(at, Noted::new(request, now));
                at
            }
        };
        let noted = &mut self.noted[at];
        noted.heard_at = now;
        noted
    }

    fn make_room(&mut self, now: Duration) {
        self.noted.retain(|noted| now < noted.heard_at + FORGET);
        while self.noted.len() >= MAX_REQUESTS {
            // Suspects go last.
            let age = |at: &usize| (self.noted[*at].is_suspect, self.noted[*at].heard_at);
            let Some(oldest) = (0..self.noted.len()).min_by_key(age) else { return };
            self.noted.remove(oldest);
        }
    }
}
