//! Tokens of one team that one instance holds.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Grant, GrantId, Limit, Report, TokenRequest};
use crate::Name;
use crate::invariants::check_invariant;

/// The clock rates of two instances may differ by one part in this number.
const CLOCK_DRIFT_DIVISOR: u32 = 256;

/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// With a burst below this, each use is reported immediately, because the bucket of the owner does
/// not refill before.
const IMMEDIATE_REPORT_BURST: u32 = 16;

/// Maximum number of requests whose answers are accepted; the oldest one is dropped first.
const MAX_PENDING_REQUESTS: usize = 8;

/// Parameters of an [`InstanceBucket`].
#[derive(Clone, Copy, Debug)]
pub struct InstanceBucketConfig {
    /// Time after which a new request is sent if the owner has not answered.
    pub request_timeout: Duration,
    /// Maximum number of calls that wait for a token.
    pub max_waiting: usize,
    /// Lower bound of the validity of grants; must be the same as at the owner.
    pub min_validity: Duration,
}

impl Default for InstanceBucketConfig {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_millis(50),
            max_waiting: 1024,
            min_validity: super::MIN_VALIDITY,
        }
    }
}

/// Identifier of a waiting call, unique within its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Permission to run one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The call must be admitted before this time. The caller must check it again if the process
    /// may have been suspended.
    pub valid_until: Duration,
}

/// Answer of [`InstanceBucket::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may run now.
    Granted(Permit),
    /// The call waits; its outcome comes from [`InstanceBucket::on_grant`] or
    /// [`InstanceBucket::expire`].
    Wait(Ticket),
    /// No token is available before the call's deadline, or too many calls are waiting.
    Refused {
        /// Time after which a token is expected to be available.
        retry_after: Duration,
    },
}

/// Outcome for a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may run now.
    Granted(Permit),
    /// No token is available before the call's deadline.
    Refused {
        /// Time after which a token is expected to be available.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct HeldGrant {
    id: GrantId,
    left: u32,
    used: u32,
    returned: u32,
    /// `used + returned` in the last report.
    reported: u32,
    received: Duration,
    expires: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    ticket: Ticket,
    deadline: Duration,
}

/// Tokens of one team at one instance, and the calls that wait for them.
///
/// The state is in memory only; when the instance fails, its tokens expire at the owner.
///
/// If the demand of the team at this instance is less than two calls per half of the validity,
/// tokens are requested for waiting calls only. Otherwise the tokens for half of the validity at
/// the recent demand are requested in advance, and again when half of them are used.
#[derive(Debug)]
pub struct InstanceBucket {
    instance: Name,
    limit: Limit,
    cfg: InstanceBucketConfig,
    held: VecDeque<HeldGrant>,
    waiting: VecDeque<WaitingCall>,
    next_ticket: u64,
    next_request: u64,
    /// Requests without an answer, and when each was sent.
    pending_requests: VecDeque<(u64, Duration)>,
    next_request_at: Duration,
    /// Time of the next request for prefetched tokens, which the owner does not grant while its
    /// level is low.
    next_prefetch_at: Duration,
    /// When the backlog of the team is expected to be served, if the owner has reported one.
    backlog_cleared_at: Option<Duration>,
    demand: f64,
    demand_at: Duration,
}

impl InstanceBucket {
    /// Returns an empty bucket.
    pub fn new(instance: Name, limit: Limit, cfg: InstanceBucketConfig) -> Self {
        Self {
            instance,
            limit,
            cfg,
            held: VecDeque::new(),
            waiting: VecDeque::new(),
            next_ticket: 0,
            next_request: 0,
            pending_requests: VecDeque::new(),
            next_request_at: Duration::ZERO,
            next_prefetch_at: Duration::ZERO,
            backlog_cleared_at: None,
            demand: 0.0,
            demand_at: Duration::ZERO,
        }
    }

    /// Changes the limit that estimates are based on. The owner enforces it.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Admits a call, queues it, or refuses it if it cannot be admitted before `deadline`.
    pub fn acquire(&mut self, deadline: Duration, now: Duration) -> Admission {
        self.count_demand(now);
        if self.waiting.is_empty()
            && let Some(permit) = self.take_token(now)
        {
            return Admission::Granted(permit);
        }
        let wait = self.expected_wait(now);
        if now + wait >= deadline || self.waiting.len() >= self.cfg.max_waiting {
            return Admission::Refused { retry_after: wait.max(self.limit.time_for(1.0)) };
        }
        if let Some(at) = self.backlog_cleared_at {
            self.backlog_cleared_at = Some(at.max(now) + self.limit.time_for(1.0));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(WaitingCall { ticket, deadline });
        Admission::Wait(ticket)
    }

    /// Removes a waiting call, for example because its caller has disconnected. Returns whether it
    /// was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let at = self.waiting.iter().position(|w| w.ticket == ticket);
        at.and_then(|at| self.waiting.remove(at)).is_some()
    }

    /// Returns the number of calls that are waiting for a token.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of unused valid tokens.
    pub fn held(&self, now: Duration) -> u32 {
        self.held.iter().filter(|h| h.expires > now).map(|h| h.left).sum()
    }

    /// Returns the expected wait of a call that arrives at `now`.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        self.backlog_cleared_at.map_or(Duration::ZERO, |at| at.saturating_sub(now))
    }

    /// Returns the request to send to the owner at `now`, if any.
    pub fn poll(&mut self, now: Duration) -> Option<TokenRequest> {
        self.drop_expired(now);
        if self.next_poll(now).is_none_or(|at| at > now) {
            return None;
        }
        let (held, target) = (self.held(now), self.target_tokens(now));
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let prefetch = if held <= target / 2 { target - held } else { 0 };
        if waiting == 0 && held > target {
            self.return_tokens(held - target, now);
        }
        let reports: Vec<_> = self.held.iter_mut().filter_map(HeldGrant::report).collect();
        if waiting == 0 && prefetch == 0 && reports.is_empty() {
            return None;
        }
        let id = self.next_request;
        self.next_request += 1;
        self.pending_requests.push_back((id, now));
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        Some(TokenRequest { id, instance: self.instance.clone(), waiting, prefetch, reports })
    }

    /// Returns when [`InstanceBucket::poll`] may next have a request, if no other method is called
    /// before.
    pub fn next_poll(&self, now: Duration) -> Option<Duration> {
        let resend = self
            .pending_requests
            .back()
            .map_or(Duration::ZERO, |(_, at)| *at + self.cfg.request_timeout);
        let earliest = self.next_request_at.max(resend);
        if self.report_due(now) {
            return Some(resend);
        }
        if !self.waiting.is_empty() {
            return Some(earliest);
        }
        let target = self.target_tokens(now);
        (target > 0 && self.held(now) <= target / 2).then(|| earliest.max(self.next_prefetch_at))
    }

    /// Applies the owner's answer to the request with this id, and returns the calls that it
    /// decides.
    pub fn on_grant(
        &mut self,
        request: u64,
        grant: &Grant,
        now: Duration,
    ) -> Vec<(Ticket, Verdict)> {
        let Some(at) = self.pending_requests.iter().position(|(id, _)| *id == request) else {
            return Vec::new();
        };
        let (_, sent) = self.pending_requests.remove(at).expect("the position is in range");
        // Older requests count as lost, but their answers are still accepted.
        let expires = sent + grant.valid_for - grant.valid_for / CLOCK_DRIFT_DIVISOR;
        if grant.tokens > 0 && expires > now {
            self.held.push_back(HeldGrant {
                id: grant.id,
                left: grant.tokens,
                used: 0,
                returned: 0,
                reported: 0,
                received: now,
                expires,
            });
        }
        self.next_request_at = now + grant.retry_after;
        self.next_prefetch_at = now + grant.valid_for / 4;
        self.backlog_cleared_at =
            (grant.backlog > 0).then(|| now + self.limit.time_for(f64::from(grant.backlog)));
        let mut decided = self.grant_waiting(now);
        self.refuse_until(now + grant.retry_after, now, &mut decided);
        decided
    }

    /// Handles an owner that is starting and cannot grant before `retry_after` has passed. Returns
    /// the calls that this refuses.
    pub fn on_starting(&mut self, retry_after: Duration, now: Duration) -> Vec<(Ticket, Verdict)> {
        self.pending_requests.clear();
        // A transfer from the former owner may shorten the wait.
        self.next_request_at = now + retry_after.min(self.cfg.request_timeout);
        self.backlog_cleared_at = Some(now + retry_after);
        let mut decided = Vec::new();
        self.refuse_until(now + retry_after, now, &mut decided);
        decided
    }

    /// Handles a change of owner; the new owner does not know earlier requests.
    pub fn on_new_owner(&mut self, now: Duration) {
        self.pending_requests.clear();
        self.next_request_at = now;
        self.backlog_cleared_at = None;
    }

    /// Removes and returns the calls whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        let mut decided = Vec::new();
        self.refuse_until(now, now, &mut decided);
        decided
    }

    /// Returns the earliest deadline of a waiting call.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.waiting.iter().map(|w| w.deadline).min()
    }

    fn refuse_until(
        &mut self,
        earliest: Duration,
        now: Duration,
        decided: &mut Vec<(Ticket, Verdict)>,
    ) {
        let retry_after = earliest.saturating_sub(now).max(self.limit.time_for(1.0));
        self.waiting.retain(|w| {
            let keep = w.deadline > earliest;
            if !keep {
                decided.push((w.ticket, Verdict::Refused { retry_after }));
            }
            keep
        });
    }

    fn grant_waiting(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        let mut decided = Vec::new();
        while let Some(first) = self.waiting.front().copied() {
            let Some(permit) = self.take_token(now) else { break };
            self.waiting.pop_front();
            decided.push((first.ticket, Verdict::Granted(permit)));
        }
        decided
    }

    fn take_token(&mut self, now: Duration) -> Option<Permit> {
        let held = self.held.iter_mut().find(|h| h.left > 0 && h.expires > now)?;
        held.left -= 1;
        held.used += 1;
        let valid_until = held.expires;
        check_invariant(valid_until > now, "rate: a token is valid when it is used");
        Some(Permit { valid_until })
    }

    fn drop_expired(&mut self, now: Duration) {
        self.held.retain(|h| h.expires > now);
    }

    /// Returns up to `surplus` tokens of grants that are past half of their validity.
    fn return_tokens(&mut self, mut surplus: u32, now: Duration) {
        for held in &mut self.held {
            if now >= held.received + (held.expires - held.received) / 2 {
                let back = surplus.min(held.left);
                held.left -= back;
                held.returned += back;
                surplus -= back;
            }
        }
    }

    fn report_due(&self, now: Duration) -> bool {
        let open = |h: &HeldGrant| h.expires > now && h.used + h.returned > h.reported;
        self.limit.burst() < IMMEDIATE_REPORT_BURST && self.held.iter().any(open)
    }

    /// Returns the number of tokens to hold: those for half of the validity at the recent demand,
    /// or none for a small team.
    fn target_tokens(&self, now: Duration) -> u32 {
        let validity = self.limit.validity(self.cfg.min_validity);
        let idle = now.saturating_sub(self.demand_at).as_secs_f64();
        let demand = self.demand * (-idle / DEMAND_WINDOW.as_secs_f64()).exp();
        let batch = (demand * validity.as_secs_f64() / 2.0) as u32;
        if batch < 2 || self.limit.burst() < IMMEDIATE_REPORT_BURST { 0 } else { batch }
    }

    fn count_demand(&mut self, now: Duration) {
        let idle = now.saturating_sub(self.demand_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-idle / window).exp() + 1.0 / window;
        self.demand_at = now;
    }
}

impl HeldGrant {
    fn report(&mut self) -> Option<Report> {
        if self.used + self.returned == self.reported {
            return None;
        }
        self.reported = self.used + self.returned;
        Some(Report { grant: self.id, used: self.used, returned: self.returned })
    }
}
