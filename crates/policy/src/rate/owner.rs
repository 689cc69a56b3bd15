//! Token bucket of one team at the instance that owns it.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Grant, GrantId, Limit, NANO, Report, TokenRequest};
use crate::Name;
use crate::invariants::check_invariant;

/// Minimum time after which an instance is told to send its next request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Time after [`Requester::retry_at`] for which an instance keeps its position in the queue.
const RETRY_GRACE: Duration = Duration::from_millis(20);

/// Time after its last request for which an instance counts as active.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);

/// Token bucket of one team.
///
/// The state is in memory only. When the owner fails, its successor starts a new bucket; see
/// [`OwnedBuckets`](super::OwnedBuckets). The module docs of [`rate`](super) prove the bound.
#[derive(Clone, Debug)]
pub struct OwnerBucket {
    limit: Limit,
    min_validity: Duration,
    level_nano: u64,
    outstanding: u64,
    updated_at: Duration,
    /// In order of creation. Expiry is checked from the front, so a grant behind one with a later
    /// expiry (after a change of the limit) stays outstanding longer than necessary.
    grants: VecDeque<Outstanding>,
    requesters: Vec<Requester>,
}

#[derive(Clone, Debug)]
struct Outstanding {
    id: GrantId,
    tokens: u32,
    used: u32,
    returned: u32,
    expires: Duration,
}

impl Outstanding {
    fn open(&self) -> u32 {
        self.tokens - self.used - self.returned
    }
}

#[derive(Clone, Debug)]
struct Requester {
    instance: Name,
    /// Calls without a token after the last answer.
    waiting: u32,
    /// Since when the instance has been waiting without receiving a token.
    waiting_since: Duration,
    /// When the instance was told to send its next request.
    retry_at: Duration,
    last_seen: Duration,
}

impl OwnerBucket {
    /// Returns a bucket with `level` tokens at `now`, at most the burst.
    pub fn new(limit: Limit, min_validity: Duration, level: f64, now: Duration) -> Self {
        let level_nano = ((level.max(0.0) * NANO as f64) as u64).min(limit.burst_nano());
        Self {
            limit,
            min_validity,
            level_nano,
            outstanding: 0,
            updated_at: now,
            grants: VecDeque::new(),
            requesters: Vec::new(),
        }
    }

    /// Returns a bucket that continues that of a former owner, with its level in 10^-9 tokens and
    /// its `outstanding` tokens, which expire after `valid_for`.
    pub(super) fn from_transfer(
        limit: Limit,
        min_validity: Duration,
        (level_nano, outstanding): (u64, u32),
        valid_for: Duration,
        now: Duration,
    ) -> Self {
        let mut bucket = Self::new(limit, min_validity, 0.0, now);
        let outstanding = outstanding.min(limit.burst());
        bucket.outstanding = u64::from(outstanding);
        bucket.level_nano = level_nano.min(bucket.max_level_nano());
        if outstanding > 0 {
            bucket.grants.push_back(Outstanding {
                id: GrantId { session: 0, number: 0 },
                tokens: outstanding,
                used: 0,
                returned: 0,
                expires: now + valid_for,
            });
        }
        bucket
    }

    /// Returns the available tokens.
    pub fn level(&self) -> f64 {
        self.level_nano as f64 / NANO as f64
    }

    pub(super) fn level_nano(&self) -> u64 {
        self.level_nano
    }

    /// Returns the tokens that were granted and may still be used.
    pub fn outstanding(&self) -> u32 {
        self.outstanding as u32
    }

    /// Returns whether the bucket is full and has no outstanding tokens, so that a new bucket would
    /// be equal.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.outstanding == 0 && self.level_nano == self.limit.burst_nano()
    }

    /// Returns the time in which an empty bucket fills up.
    pub(super) fn time_to_fill(&self) -> Duration {
        self.limit.time_for(f64::from(self.limit.burst()))
    }

    /// Changes the rate and burst from `now` on. Tokens above a smaller burst are dropped.
    pub fn set_limit(&mut self, limit: Limit, now: Duration) {
        self.advance(now);
        self.limit = limit;
        self.level_nano = self.level_nano.min(self.max_level_nano());
    }

    /// Returns the latest expiry of an outstanding token.
    pub(super) fn last_expiry(&self) -> Option<Duration> {
        self.grants.iter().map(|g| g.expires).max()
    }

    /// Answers a request. `id` becomes the identifier of the grant and must be unique.
    pub fn request(&mut self, id: GrantId, request: &TokenRequest, now: Duration) -> Grant {
        self.advance(now);
        for report in &request.reports {
            self.apply_report(report);
        }
        let ahead = self.ahead_of(&request.instance);
        let free = (self.level_nano / NANO).saturating_sub(u64::from(ahead));
        let served = u64::from(request.waiting).min(free) as u32;
        let mut tokens = served;
        if served == request.waiting && ahead == 0 {
            tokens += self.prefetch_tokens(request.prefetch, served);
        }
        let valid_for = self.limit.validity(self.min_validity);
        if tokens > 0 {
            self.level_nano -= u64::from(tokens) * NANO;
            self.outstanding += u64::from(tokens);
            let expires = self.updated_at + valid_for;
            self.grants.push_back(Outstanding { id, tokens, used: 0, returned: 0, expires });
        }
        let left = request.waiting - served;
        let next = ahead + left.min(self.tokens_per_requester());
        let retry_after = if left == 0 { Duration::ZERO } else { self.wait_for(next) };
        self.update_requester(&request.instance, left, served > 0, retry_after);
        self.check_level();
        Grant { id, tokens, valid_for, retry_after, backlog: self.backlog() }
    }

    /// Returns the number of prefetched tokens to grant. They come only from the upper half of the
    /// burst and are divided among the active instances, so that prefetching never takes the tokens
    /// of calls that are waiting at another instance.
    fn prefetch_tokens(&self, wanted: u32, served: u32) -> u32 {
        let level = self.level_nano / NANO - u64::from(served);
        let above_half = level.saturating_sub(u64::from(self.limit.burst()) / 2);
        let active = self.requesters.len().max(1) as u64;
        u64::from(wanted).min(above_half / active) as u32
    }

    /// Returns the time until the level covers `tokens` tokens.
    fn wait_for(&self, tokens: u32) -> Duration {
        let missing = f64::from(tokens) - self.level();
        self.limit.time_for(missing).max(MIN_RETRY_AFTER)
    }

    fn backlog(&self) -> u32 {
        self.requesters.iter().map(|a| a.waiting).sum()
    }

    /// Returns the maximum number of tokens reserved for an instance that is waiting. With more, a
    /// few instances with many waiting calls would block all others until the bucket is full.
    fn tokens_per_requester(&self) -> u32 {
        (self.limit.burst() / 4 / self.requesters.len().max(1) as u32).max(1)
    }

    /// Returns the tokens reserved for other instances that have been waiting for longer.
    fn ahead_of(&self, instance: &Name) -> u32 {
        let own = self.requesters.iter().find(|a| a.instance == *instance);
        let waiting_since = match own {
            Some(a) if a.waiting > 0 => a.waiting_since,
            _ => self.updated_at,
        };
        let earlier = |a: &&Requester| {
            a.waiting > 0
                && (a.waiting_since, &a.instance) < (waiting_since, instance)
                && a.instance != *instance
        };
        self.requesters
            .iter()
            .filter(earlier)
            .map(|a| a.waiting.min(self.tokens_per_requester()))
            .sum()
    }

    fn update_requester(
        &mut self,
        instance: &Name,
        waiting: u32,
        served: bool,
        retry_after: Duration,
    ) {
        let now = self.updated_at;
        let fresh = || Requester {
            instance: instance.clone(),
            waiting: 0,
            waiting_since: now,
            retry_at: now,
            last_seen: now,
        };
        let at = match self.requesters.binary_search_by(|a| a.instance.cmp(instance)) {
            Ok(at) => at,
            Err(at) => {
                self.requesters.insert(at, fresh());
                at
            }
        };
        let requester = &mut self.requesters[at];
        if requester.waiting == 0 || served {
            // An instance that received tokens is queued behind those that did not.
            requester.waiting_since = now;
        }
        requester.waiting = waiting;
        requester.retry_at = now + retry_after;
        requester.last_seen = now;
    }

    fn apply_report(&mut self, report: &Report) {
        let Ok(at) = self.grants.binary_search_by(|g| g.id.cmp(&report.grant)) else { return };
        let grant = &mut self.grants[at];
        let before = grant.open();
        grant.used = grant.used.max(report.used).min(grant.tokens - grant.returned);
        let returned = report.returned.clamp(grant.returned, grant.tokens - grant.used);
        let back = returned - grant.returned;
        grant.returned = returned;
        self.outstanding -= u64::from(before - grant.open());
        self.level_nano = (self.level_nano + u64::from(back) * NANO).min(self.max_level_nano());
    }

    /// Refills the bucket and expires grants up to `now`, in chronological order.
    fn advance(&mut self, now: Duration) {
        while let Some(first) = self.grants.front() {
            let (expires, open) = (first.expires, first.open());
            if expires > now {
                break;
            }
            self.refill(expires);
            self.outstanding -= u64::from(open);
            self.grants.pop_front();
        }
        self.refill(now);
        let now = self.updated_at;
        self.requesters.retain_mut(|a| {
            if a.retry_at + RETRY_GRACE < now {
                a.waiting = 0;
            }
            a.waiting > 0 || a.last_seen + ACTIVE_WINDOW > now
        });
        self.check_level();
    }

    fn refill(&mut self, to: Duration) {
        if to > self.updated_at {
            let accrued = self.limit.accrued_nano(to - self.updated_at);
            self.level_nano = self.level_nano.saturating_add(accrued).min(self.max_level_nano());
            self.updated_at = to;
        }
    }

    /// Returns the maximum level, given the outstanding tokens.
    fn max_level_nano(&self) -> u64 {
        self.limit.burst_nano().saturating_sub(self.outstanding * NANO)
    }

    fn check_level(&self) {
        // After the burst was lowered, more than the burst may be outstanding; the level is then
        // zero.
        let total = self.level_nano + self.outstanding * NANO;
        check_invariant(
            self.level_nano == 0 || total <= self.limit.burst_nano(),
            "rate: level + outstanding <= burst",
        );
    }
}
