//! Rate limit of a team, divided by one allocator among the instances that lease from it.
//!
//! The load of a team is uneven and changes. Most calls of a busy team are admitted by the instance
//! itself from its [`Share`], which follows the fraction of the team's calls that arrive there. A
//! team with few calls at an instance borrows single tokens from the reserve of the [`Allocator`],
//! so that its rate and burst are not divided into shares that are idle where no calls arrive.
//!
//! If a team asks for more than its rate, it is better to complete most of the running programs and
//! to start no others. So a new program is admitted only while the calls of the running programs,
//! including the new one, stay within the rate; calls of running programs then rarely lack tokens.
//! The calls of a program arrive at several instances, so the allocator keeps track of the programs
//! that have started at any of them.
//!
//! Over any window, all instances together admit at most the rate times the window plus the burst:
//! the shares never exceed [`SHARED_RATE_FRACTION`] and [`SHARED_BURST_FRACTION`] of the limit, and
//! the reserve has what is left. A share that shrinks counts with its old size until its instance
//! reports the smaller one or its lease has expired. Growing a share adds capacity but no tokens.
//!
//! The state belongs to the instance that all others lease from. After a change of that instance
//! the new allocator does not know the shares. Until each instance has had time to report, it only
//! renews what they hold, and its reserve starts empty, with the fraction of the rate that is never
//! shared. An instance that cannot reach the new allocator in that time may use its share until the
//! lease expires, so the team gets at most that share on top for the rest of one lease.

use std::time::Duration;

use crate::Name;
use crate::rate::Limit;

/// Maximum fraction of a team's rate that instances may hold as shares.
pub const SHARED_RATE_FRACTION: f64 = 0.8;
/// Maximum fraction of a team's burst that instances may hold as shares.
pub const SHARED_BURST_FRACTION: f64 = 0.5;
/// Share of an instance as a fraction of the team's demand there. The rest is borrowed: a share
/// that is always used up wastes no tokens, and the demand beyond the shares averages out over all
/// instances.
const SHARE_DEMAND_FRACTION: f64 = 0.7;
/// Burst of a share, as the time in which the demand at the instance would use it up.
const SHARE_BURST_SECONDS: f64 = 0.5;
/// Minimum burst of the share of an instance that has enough demand for one.
const MIN_SHARE_BURST_TOKENS: f64 = 2.0;
/// A program is admitted if the expected calls of all programs stay below this fraction of the
/// rate.
const ADMIT_RATE_FRACTION: f64 = 0.95;
/// A program is also admitted while at least this fraction of the reserve's burst is unused.
const ADMIT_RESERVE_FRACTION: f64 = 0.6;
/// Fraction of a team's rate above which programs need admission by the allocator.
const NEAR_LIMIT_RATE_FRACTION: f64 = 0.6;
/// Time after its start in which a program is not yet in the reports of its instance.
const UNREPORTED_WINDOW: Duration = Duration::from_millis(400);
/// Calls per second of a running program, until they have been measured.
const INITIAL_PROGRAM_RATE_PER_SECOND: f64 = 5.0;
/// Weight of a new measurement in the moving average of the calls per second of a program.
const PROGRAM_RATE_GAIN: f64 = 0.05;
/// Time for which a program is known after it was last recorded; longer than most pauses between
/// two calls.
const PROGRAM_TTL: Duration = Duration::from_secs(20);
/// Maximum number of known programs of a team.
const MAX_KNOWN_PROGRAMS: usize = 8_192;
/// An instance with fewer calls per second of a team borrows each token. Its share would be idle
/// most of the time while other instances lack tokens, and borrowing a token takes a few
/// milliseconds.
const MIN_SHARE_DEMAND_PER_SECOND: f64 = 3.0;

/// Part of a team's rate and burst that an instance may use without asking the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Calls per second.
    pub per_second: f64,
    /// Burst in calls.
    pub burst: f64,
}

impl Share {
    fn max(self, other: Self) -> Self {
        Self {
            per_second: self.per_second.max(other.per_second),
            burst: self.burst.max(other.burst),
        }
    }
}

/// Token bucket whose rate and burst can change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    share: Share,
    level: f64,
    updated_at: Duration,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(share: Share, now: Duration) -> Self {
        Self { share, level: 0.0, updated_at: now }
    }

    /// Returns the current share.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Changes the share. Tokens above the new burst are dropped; none are added.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(share.burst);
    }

    /// Returns a token that was taken and not used.
    pub fn return_token(&mut self, now: Duration) {
        self.refill(now);
        self.level = (self.level + 1.0).min(self.share.burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, or `None` if the rate is zero or the burst is
    /// less than one token.
    pub fn take(&mut self, now: Duration) -> Result<(), Option<Duration>> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        // With a burst below one token, the level never reaches a whole token.
        let refills = self.share.per_second > 0.0 && self.share.burst >= 1.0;
        Err(refills.then(|| Duration::from_secs_f64((1.0 - self.level) / self.share.per_second)))
    }

    /// Returns the level as a fraction of the burst.
    fn fill_ratio(&mut self, now: Duration) -> f64 {
        self.refill(now);
        if self.share.burst > 0.0 { self.level / self.share.burst } else { 0.0 }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + elapsed * self.share.per_second).min(self.share.burst);
    }
}

/// Exponential moving average of the calls per second of a team at one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    arrivals: u32,
    updated_at: Duration,
}

/// Time constant of the moving average of [`Demand`].
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 1.5;

impl Demand {
    /// Counts the arrival of a call.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
    }

    /// Uncounts an arrival, for a call that was refused for another reason.
    pub fn cancel_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Updates the average to `now` and returns it in calls per second.
    pub fn update(&mut self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed > 0.0 {
            let current = f64::from(self.arrivals) / elapsed;
            let weight = 1.0 - (-elapsed / DEMAND_TIME_CONSTANT_SECONDS).exp();
            self.per_second += weight * (current - self.per_second);
            self.arrivals = 0;
            self.updated_at = now;
        }
        self.per_second
    }
}

#[derive(Clone, Debug)]
struct ShareHolder {
    instance: Name,
    demand: f64,
    programs: u32,
    /// Largest share that the instance may hold until `expires_at`.
    held: Share,
    expires_at: Duration,
}

/// Load of a team as an allocator measures it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLoad {
    /// Calls per second at all instances.
    pub demand: f64,
    /// Running programs.
    pub programs: f64,
    /// Calls per second of one running program.
    pub program_rate: f64,
    /// Tokens in the reserve.
    pub reserve: f64,
}

/// Divides the rate limit of one team among instances.
#[derive(Clone, Debug)]
pub struct Allocator {
    limit: Option<Limit>,
    /// Before this time there may be shares that this allocator does not know.
    recovered_at: Duration,
    lease: Duration,
    /// Sorted by instance.
    holders: Vec<ShareHolder>,
    reserve: Bucket,
    /// Calls per second of one running program.
    program_rate: f64,
    /// Start times of programs that are not in a report yet.
    unreported_starts: Vec<Duration>,
    /// Programs that have started and the time at which each was last recorded, sorted by program.
    known_programs: Vec<(u64, Duration)>,
}

impl Allocator {
    /// Returns an allocator without a limit. By `recovered_at`, every instance that can reach it
    /// has reported the share that a former allocator gave it; `lease` is the duration of a share.
    pub fn new(recovered_at: Duration, lease: Duration, now: Duration) -> Self {
        let reserve = Bucket::new(Share::default(), now);
        Self {
            limit: None,
            recovered_at,
            lease,
            holders: Vec::new(),
            reserve,
            program_rate: INITIAL_PROGRAM_RATE_PER_SECOND,
            unreported_starts: Vec::new(),
            known_programs: Vec::new(),
        }
    }

    /// Records that a program has started, at any instance, or is still running.
    pub fn record_program(&mut self, program: u64, now: Duration) {
        match self.known_programs.binary_search_by_key(&program, |(p, _)| *p) {
            Ok(at) => self.known_programs[at].1 = now,
            Err(_) => {
                if self.known_programs.len() >= MAX_KNOWN_PROGRAMS {
                    self.known_programs.retain(|(_, at)| now < *at + PROGRAM_TTL);
                }
                if self.known_programs.len() < MAX_KNOWN_PROGRAMS {
                    let at = self.known_programs.partition_point(|(p, _)| *p < program);
                    self.known_programs.insert(at, (program, now));
                }
            }
        }
    }

    fn is_known(&self, program: u64, now: Duration) -> bool {
        let found = self.known_programs.binary_search_by_key(&program, |(p, _)| *p);
        found.is_ok_and(|at| now < self.known_programs[at].1 + PROGRAM_TTL)
    }

    /// Changes the team's limit; `None` means unlimited.
    pub fn set_limit(&mut self, limit: Option<Limit>, now: Duration) {
        if self.limit != limit {
            self.limit = limit;
            self.refresh_reserve(now);
        }
    }

    /// Processes the report of an instance: the team's demand there in calls per second, its
    /// running programs and the share that it holds. Returns the share that the instance may hold
    /// from now on, for the duration of the lease.
    pub fn report(
        &mut self,
        instance: &Name,
        demand: f64,
        programs: u32,
        held: Share,
        now: Duration,
    ) -> Share {
        self.holders.retain(|h| now < h.expires_at);
        let expires_at = now + self.lease;
        let at = match self.holders.binary_search_by(|h| h.instance.cmp(instance)) {
            Ok(at) => at,
            Err(at) => {
                let instance = instance.clone();
                let holder = ShareHolder { instance, demand, programs, held, expires_at };
                self.holders.insert(at, holder);
                at
            }
        };
        let holder = &mut self.holders[at];
        (holder.demand, holder.held, holder.expires_at) = (demand, held, expires_at);
        holder.programs = programs;
        self.update_program_rate();
        let share = if now < self.recovered_at { held } else { self.next_share(at) };
        self.holders[at].held = held.max(share);
        self.refresh_reserve(now);
        share
    }

    /// Returns whether the team is near its rate, so that programs need admission by
    /// [`Allocator::admit_program`].
    pub fn is_near_limit(&self) -> bool {
        let demand: f64 = self.holders.iter().map(|h| h.demand).sum();
        self.limit.is_some_and(|limit| demand > NEAR_LIMIT_RATE_FRACTION * limit.per_second())
    }

    /// Admits a program if the running programs leave room for it. A program that has already
    /// started, at any instance, is always admitted.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may try again.
    pub fn admit_program(&mut self, program: u64, now: Duration) -> Result<(), Duration> {
        let Some(limit) = self.limit else { return Ok(()) };
        if self.is_known(program, now) {
            self.record_program(program, now);
            return Ok(());
        }
        let TeamLoad { demand, programs, program_rate, .. } = self.load(now);
        let expected = demand.max(programs * program_rate) + program_rate;
        let room = ADMIT_RATE_FRACTION * limit.per_second();
        self.refresh_reserve(now);
        // A team that has not used its burst may exceed its rate for a while. If the rate is lower
        // than that of a single program, one program at a time is admitted.
        if expected <= room
            || programs < 1.0
            || self.reserve.fill_ratio(now) >= ADMIT_RESERVE_FRACTION
        {
            self.unreported_starts.push(now);
            self.record_program(program, now);
            return Ok(());
        }
        let excess = (expected - room) / limit.per_second();
        Err(Duration::from_secs_f64(excess.clamp(0.2, 2.0)))
    }

    /// Returns the load on which admission is based.
    pub fn load(&mut self, now: Duration) -> TeamLoad {
        self.unreported_starts.retain(|at| now < *at + UNREPORTED_WINDOW);
        let programs: u32 = self.holders.iter().map(|h| h.programs).sum();
        self.refresh_reserve(now);
        TeamLoad {
            demand: self.holders.iter().map(|h| h.demand).sum(),
            programs: f64::from(programs) + self.unreported_starts.len() as f64,
            program_rate: self.program_rate,
            reserve: self.reserve.level,
        }
    }

    fn update_program_rate(&mut self) {
        let (demand, programs) =
            self.holders.iter().fold((0.0, 0), |(d, p), h| (d + h.demand, p + h.programs));
        if programs > 0 && demand > 0.0 {
            let measured = (demand / f64::from(programs)).clamp(0.5, 50.0);
            self.program_rate += PROGRAM_RATE_GAIN * (measured - self.program_rate);
        }
    }

    /// Returns an unused token to the reserve.
    pub fn return_token(&mut self, now: Duration) {
        self.refresh_reserve(now);
        self.reserve.return_token(now);
    }

    /// Takes one token from the reserve.
    ///
    /// # Errors
    ///
    /// Returns the time after which a token may be available, or `None` if the reserve never has
    /// one.
    pub fn borrow(&mut self, now: Duration) -> Result<(), Option<Duration>> {
        if self.limit.is_none() {
            return Ok(());
        }
        self.holders.retain(|h| now < h.expires_at);
        self.refresh_reserve(now);
        self.reserve.take(now)
    }

    /// Returns the share that a holder should have, limited to what the other holders leave.
    fn next_share(&self, at: usize) -> Share {
        let Some(limit) = self.limit else { return Share::default() };
        let rate = limit.per_second() * SHARED_RATE_FRACTION;
        let burst = f64::from(limit.burst()) * SHARED_BURST_FRACTION;
        let holder = &self.holders[at];
        if holder.demand < MIN_SHARE_DEMAND_PER_SECOND {
            return Share::default();
        }
        let active = self.holders.iter().filter(|h| h.demand >= MIN_SHARE_DEMAND_PER_SECOND);
        let (demand, count) = active.fold((0.0, 0.0), |(d, n), h| (d + h.demand, n + 1.0));
        let others = self.holders.iter().enumerate().filter(|(i, _)| *i != at);
        let (rate_held, burst_held) =
            others.fold((0.0, 0.0), |(r, b), (_, h)| (r + h.held.per_second, b + h.held.burst));
        let fair_rate = rate * holder.demand / demand;
        let wanted_burst = (holder.demand * SHARE_BURST_SECONDS).max(MIN_SHARE_BURST_TOKENS);
        let fair_burst = burst * (0.5 * holder.demand / demand + 0.5 / count);
        Share {
            per_second: (holder.demand * SHARE_DEMAND_FRACTION)
                .min(fair_rate)
                .min(rate - rate_held)
                .max(0.0),
            burst: wanted_burst.min(fair_burst).min(burst - burst_held).max(0.0),
        }
    }

    fn refresh_reserve(&mut self, now: Duration) {
        let Some(limit) = self.limit else { return };
        let (rate, burst) = (limit.per_second(), f64::from(limit.burst()));
        let (mut rate_held, mut burst_held) = self
            .holders
            .iter()
            .fold((0.0, 0.0), |(r, b), h| (r + h.held.per_second, b + h.held.burst));
        if now < self.recovered_at {
            rate_held = rate * SHARED_RATE_FRACTION;
            burst_held = burst * SHARED_BURST_FRACTION;
        }
        let per_second = (rate - rate_held).max(0.0);
        let burst = (burst - burst_held).max(0.0);
        self.reserve.set_share(Share { per_second, burst }, now);
    }
}
