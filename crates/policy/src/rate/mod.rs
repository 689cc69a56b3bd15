//! Rate limits of teams, counted over all instances together (invariant I6).
//!
//! One instance owns the token bucket of a team ([`OwnerBucket`], held in [`OwnedBuckets`]). It is chosen
//! by rendezvous hashing over the membership view ([`owner_of`]). Each instance that has calls of
//! the team asks the owner for tokens and spends them locally ([`InstanceBucket`]). When the owner dies, a
//! successor starts after every grant of the former owner must have expired.
//!
//! Units: one token admits one request. Levels are kept in 10^-9 tokens, rates in 10^-6 tokens per
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
//! 1. `R <= O`. A grant adds the same number to both. An instance counts validity from when it
//!    sent its request, the owner from when it answered, which is later; so a token leaves `R`
//!    before it expires from `O`. A report removes from `O` only tokens that were already used or
//!    given up. Reports are cumulative and name their grant, so that lost, repeated and reordered
//!    reports never remove a token twice.
//! 2. `L + O <= burst`, because the refill is cut at `burst - O`, a grant moves tokens from `L` to
//!    `O`, and a returned token moves from `O` to `L`.
//! 3. `P = L + R` falls by one with each use. It rises only by the refill, at most at `rate`: a
//!    grant, or a return, leaves `P` as it is, and expiry lowers it.
//!
//! So the uses in a window are at most `P(start) - P(end) + rate * T <= burst + rate * T`. A
//! successor starts with `R = 0` (the former owner can no longer grant, and all its grants have
//! expired) and `L = 0`, or takes over `L` and `O` from a former owner that has stopped granting;
//! both keep `P` from rising. The inequality in step 2 is asserted after each operation.
//!
//! # Validity
//!
//! A token that was used but not yet reported keeps the bucket from refilling. Validity is
//! therefore `burst / (4 * rate)`, so that at full rate only a quarter of the burst is outstanding,
//! but never more than [`MAX_VALIDITY`] and never less than a few network round trips. Shares of
//! small bursts report each use immediately. A burst of one cannot reach its full rate, because the
//! owner cannot know of a use before a network delay has passed: with 50 requests per second, round
//! trips of 3 ms and four contending instances it reached 77% of the rate; a burst of five, all.

mod handover;
mod instance;
mod owner;

use std::time::Duration;

pub(crate) use handover::rendezvous;
pub use handover::{Answer, Claim, OwnedBuckets, Transfer, View, owner_of};
pub use instance::{Admission, InstanceBucket, InstanceBucketConfig, Permit, Ticket, Verdict};
pub use owner::OwnerBucket;

use crate::Name;

/// Longest validity of a grant; a successor waits this long after the former owner has stopped.
pub const MAX_VALIDITY: Duration = Duration::from_secs(1);

/// Default of the shortest validity of a grant: three round trips of 3 ms, rounded up.
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
        // `max` takes the other operand when the rate is not a number.
        let micro_per_second = micro.max(1.0).clamp(1.0, 1e15) as u64;
        Self { micro_per_second, burst: burst.max(1) }
    }

    /// Requests per second.
    pub fn per_second(&self) -> f64 {
        self.micro_per_second as f64 / MICRO as f64
    }

    /// Burst in requests.
    pub fn burst(&self) -> u32 {
        self.burst
    }

    /// Time in which `tokens` tokens accrue.
    pub fn time_for(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64((tokens.max(0.0) / self.per_second()).min(1e9))
    }

    /// Validity of grants, not shorter than `min`.
    pub fn validity(&self, min: Duration) -> Duration {
        self.time_for(f64::from(self.burst) / 4.0).min(MAX_VALIDITY).max(min.min(MAX_VALIDITY))
    }

    pub(crate) fn burst_nano(&self) -> u64 {
        u64::from(self.burst) * NANO
    }

    /// Tokens that accrue in `time`, in 10^-9 tokens, rounded down.
    pub(crate) fn accrued_nano(&self, time: Duration) -> u64 {
        let nano = time.as_nanos().saturating_mul(u128::from(self.micro_per_second));
        u64::try_from(nano / u128::from(MICRO)).unwrap_or(u64::MAX)
    }
}

/// Identifies a grant among all grants of all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId {
    /// Random number or incarnation of the owner that granted.
    pub session: u64,
    /// Number of the grant within the session, over all teams.
    pub number: u64,
}

/// What became of a grant so far; cumulative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The grant.
    pub grant: GrantId,
    /// Tokens used.
    pub used: u32,
    /// Tokens that will never be used.
    pub returned: u32,
}

/// Request of an instance to the owner of a team's bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Number of the request, unique for the share; the answer is matched by it.
    pub id: u64,
    /// Asking instance.
    pub instance: Name,
    /// Calls that wait for a token now.
    pub waiting: u32,
    /// Tokens wanted on top, for calls expected soon.
    pub prefetch: u32,
    /// Reports on earlier grants.
    pub reports: Vec<Report>,
}

/// Answer of the owner to an [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The grant; meaningless when `tokens` is zero.
    pub id: GrantId,
    /// Tokens granted.
    pub tokens: u32,
    /// Validity, counted by the asking instance from when it sent its request.
    pub valid_for: Duration,
    /// When to ask again for the calls that are still waiting; zero when none is.
    pub retry_after: Duration,
    /// Calls of the team that wait for tokens, over all instances.
    pub backlog: u32,
}
