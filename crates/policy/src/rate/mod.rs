//! Rate limits of teams, counted over all instances together (invariant I6).
//!
//! One instance owns the token bucket of a team ([`OwnerBucket`], held in [`OwnedBuckets`]). It is
//! chosen by rendezvous hashing over the membership view ([`owner_of`]). Each instance that has
//! calls of the team requests tokens from the owner and uses them locally ([`InstanceBucket`]).
//! When the owner fails, a successor starts after every grant of the former owner must have
//! expired.
//!
//! Units: one token admits one request. Levels are in 10^-9 tokens and rates in 10^-6 tokens per
//! second, both as integers, so that no rounding error accumulates.
//!
//! # Bound
//!
//! For a bucket with constant `rate` and `burst`, the number of tokens used in any window of length
//! `T`, over all instances, is at most `burst + rate * T`.
//!
//! Proof. Let `L` be the owner's level, `O` its outstanding tokens (granted, not reported as used
//! or returned, not expired), and `R` the tokens that instances hold and may still use.
//!
//! 1. `R <= O`. A grant adds the same number to both. An instance counts the validity from when it
//!    sent its request, the owner from when it answered, which is later; so a token leaves `R`
//!    before it expires from `O`. A report removes from `O` only tokens that were already used or
//!    returned. Reports are cumulative and name their grant, so that lost, repeated and reordered
//!    reports never remove a token twice.
//! 2. `L + O <= burst`, because the refill is capped at `burst - O`, a grant moves tokens from `L`
//!    to `O`, and a returned token moves from `O` to `L`.
//! 3. `P = L + R` decreases by one with each use. It increases only by the refill, at most at
//!    `rate`: a grant or a return does not change `P`, and expiry decreases it.
//!
//! So the uses in a window are at most `P(start) - P(end) + rate * T <= burst + rate * T`. A
//! successor starts with `R = 0` (the former owner can no longer grant, and all its grants have
//! expired) and `L = 0`, or takes over `L` and `O` from a former owner that has stopped granting;
//! neither increases `P`. The inequality in step 2 is asserted after each operation.
//!
//! # Validity
//!
//! A token that was used but not yet reported prevents the bucket from refilling. The validity is
//! therefore `burst / (4 * rate)`, so that at full rate only a quarter of the burst is outstanding,
//! but at most [`MAX_VALIDITY`] and at least a few network round trips. Instances report each use
//! of a small burst immediately. A burst of one cannot reach its full rate, because the owner
//! learns of a use only after a network delay: with 50 requests per second, round trips of 3 ms and
//! four contending instances it reached 77% of the rate; a burst of five reached 100%.

mod handover;
mod instance;
mod owner;

use std::time::Duration;

pub(crate) use handover::rendezvous;
pub use handover::{Answer, Claim, OwnedBuckets, Transfer, View, owner_of};
pub use instance::{Admission, InstanceBucket, InstanceBucketConfig, Permit, Ticket, Verdict};
pub use owner::OwnerBucket;

use crate::Name;

/// Maximum validity of a grant; a successor waits this long after the former owner has stopped.
pub const MAX_VALIDITY: Duration = Duration::from_secs(1);

/// Default of the minimum validity of a grant: three round trips of 3 ms, rounded up.
pub const MIN_VALIDITY: Duration = Duration::from_millis(10);

pub(crate) const NANO: u64 = 1_000_000_000;
const MICRO: u64 = 1_000_000;

/// Rate and burst of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    micro_per_second: u64,
    burst: u32,
}

impl Limit {
    /// Returns a limit of `per_second` requests per second with bursts of `burst` requests.
    ///
    /// A rate under 10^-6 per second is raised to it, and a burst of zero to one.
    pub fn new(per_second: f64, burst: u32) -> Self {
        let micro = (per_second * MICRO as f64).floor();
        // `max` returns the other operand if the rate is NaN.
        let micro_per_second = micro.max(1.0).clamp(1.0, 1e15) as u64;
        Self { micro_per_second, burst: burst.max(1) }
    }

    /// Returns the rate in requests per second.
    pub fn per_second(&self) -> f64 {
        self.micro_per_second as f64 / MICRO as f64
    }

    /// Returns the burst in requests.
    pub fn burst(&self) -> u32 {
        self.burst
    }

    /// Returns the time in which `tokens` tokens accrue.
    pub fn time_for(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64((tokens.max(0.0) / self.per_second()).min(1e9))
    }

    /// Returns the validity of grants: a quarter of the time that refills the burst, at least `min`
    /// and at most [`MAX_VALIDITY`].
    pub fn validity(&self, min: Duration) -> Duration {
        self.time_for(f64::from(self.burst) / 4.0).min(MAX_VALIDITY).max(min.min(MAX_VALIDITY))
    }

    pub(crate) fn burst_nano(&self) -> u64 {
        u64::from(self.burst) * NANO
    }

    /// Returns the tokens that accrue in `time`, in 10^-9 tokens, rounded down.
    pub(crate) fn accrued_nano(&self, time: Duration) -> u64 {
        let nano = time.as_nanos().saturating_mul(u128::from(self.micro_per_second));
        u64::try_from(nano / u128::from(MICRO)).unwrap_or(u64::MAX)
    }
}

/// Identifier of a grant, unique among all grants of all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// Random number or incarnation of the owner that made the grant.
    pub session: u64,
    /// Sequence number of the grant within the session, over all teams.
    pub number: u64,
}

/// Cumulative usage of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The grant.
    pub grant: GrantId,
    /// Tokens used.
    pub used: u32,
    /// Tokens that will never be used.
    pub returned: u32,
}

/// Request of an instance for tokens, to the owner of a team's bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Identifier of the request, unique for the sending bucket; the answer refers to it.
    pub id: u64,
    /// Instance that sends the request.
    pub instance: Name,
    /// Calls that are waiting for a token.
    pub waiting: u32,
    /// Additional tokens, for calls that are expected soon.
    pub prefetch: u32,
    /// Reports on earlier grants.
    pub reports: Vec<Report>,
}

/// Answer of the owner to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifier of the grant; meaningless if `tokens` is zero.
    pub id: GrantId,
    /// Tokens granted.
    pub tokens: u32,
    /// Validity, which the requesting instance counts from when it sent the request.
    pub valid_for: Duration,
    /// Time after which to send the next request for calls that are still waiting; zero if none is.
    pub retry_after: Duration,
    /// Calls of the team that are waiting for tokens, over all instances.
    pub backlog: u32,
}
