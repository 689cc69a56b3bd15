//! A team's rate, shared out by one allocator to the instances that lease from it.
//!
//! It answers uneven and changing load: most calls of a busy team are admitted by the instance
//! itself from its [`Share`], in the proportion in which the team's calls arrive there. A team with
//! few calls at an instance borrows single tokens from what the [`Allocator`] keeps back, so that
//! its rate and burst are not cut into pieces that lie idle where no call comes.
//!
//! It answers a team that asks for more than its rate: most of its programs should end, and the rest
//! should not begin. So a program may begin only while the calls of those under way, with its own,
//! stay within the rate; calls of programs under way are then rarely short of tokens. The calls of a
//! program come to several instances, so the allocator knows which programs have begun anywhere.
//!
//! Over any window, all instances together admit no more than the rate times the window plus the
//! burst: the shares handed out never exceed [`SHARED_RATE_FRACTION`] and [`SHARED_BURST_FRACTION`] of the limit, and
//! the reserve has what is left. A share that shrinks counts as held until its instance reports the
//! smaller one or its lease has run out. Growing a share never adds tokens, only room for them.
//!
//! Owner of the state: the instance that all others lease from. Its successor does not know the
//! shares; until each instance has had the time to report, it only renews what they hold, and its
//! reserve starts empty, with the part of the rate that is never shared out. An instance that cannot
//! reach the successor in that time may use the share it holds until its lease has run out: the team
//! then gets at most that share more, for what is left of one lease.

use std::time::Duration;

use crate::Name;
use crate::rate::Limit;

/// Part of a team's rate that instances may hold as shares.
pub const SHARED_RATE_FRACTION: f64 = 0.8;
/// Part of a team's burst that instances may hold as shares.
pub const SHARED_BURST_FRACTION: f64 = 0.5;
/// Share of an instance as a part of what the team asks of it. The rest is borrowed: a share that is
/// always used up wastes no token, and what instances ask for beyond theirs is averaged over all.
const SHARE_DEMAND_FRACTION: f64 = 0.7;
/// Burst of a share, as the time in which the instance's demand would use it up.
const SHARE_BURST_SECONDS: f64 = 0.5;
/// Smallest burst of the share of an instance that is asked at all, in tokens.
const MIN_SHARE_BURST_TOKENS: f64 = 2.0;
/// Part of a team's rate that the programs under way may be expected to use when one more begins.
const ADMIT_RATE_FRACTION: f64 = 0.95;
/// A program may also begin while this part of the reserve's burst is unused.
const ADMIT_RESERVE_FRACTION: f64 = 0.6;
/// Part of a team's rate from which on the allocator decides which programs begin.
const NEAR_LIMIT_RATE_FRACTION: f64 = 0.6;
/// Time in which a program that has begun is not yet in the reports of its instance.
const UNREPORTED_WINDOW: Duration = Duration::from_millis(400);
/// Calls a second of a program under way, until it has been measured.
const INITIAL_PROGRAM_RATE_PER_SECOND: f64 = 5.0;
/// Weight of a new measurement in the calls a second of a program.
const PROGRAM_RATE_GAIN: f64 = 0.05;
/// A program is known for this long after an instance has last named it; longer than most pauses
/// between two calls.
const PROGRAM_TTL: Duration = Duration::from_secs(20);
/// Programs of a team that are known at a time.
const MAX_KNOWN_PROGRAMS: usize = 8_192;
/// An instance with fewer calls a second of a team borrows each token. Its share would mostly lie
/// idle while other instances are short of tokens, and a token is borrowed in a few milliseconds.
const MIN_SHARE_DEMAND_PER_SECOND: f64 = 3.0;

/// Part of a team's rate and burst that an instance may admit by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Calls a second.
    pub per_second: f64,
    /// Calls at once.
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

/// Tokens that refill at a rate up to a burst.
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

    /// The share in force.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Changes the share. What is in the bucket beyond the new burst is lost; nothing is added.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(share.burst);
    }

    /// Puts back a token that was taken and not used.
    pub fn return_token(&mut self, now: Duration) {
        self.refill(now);
        self.level = (self.level + 1.0).min(self.share.burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time after which one will be there; none if the rate is zero.
    pub fn take(&mut self, now: Duration) -> Result<(), Option<Duration>> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        // A bucket that holds less than one token never has a whole one.
        let refills = self.share.per_second > 0.0 && self.share.burst >= 1.0;
        Err(refills.then(|| Duration::from_secs_f64((1.0 - self.level) / self.share.per_second)))
    }

    /// Part of the burst that is in the bucket.
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

/// How often a team's calls arrive, as an average over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    arrivals: u32,
    updated_at: Duration,
}

/// Time constant of [`Demand`].
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 1.5;

impl Demand {
    /// Counts an arrival.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
    }

    /// Takes back the last arrival: the call was refused for another reason.
    pub fn cancel_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Returns the average, brought up to `now`.
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
    /// Most that the instance may hold until `until`.
    held: Share,
    expires_at: Duration,
}

/// What an allocator knows of a team's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLoad {
    /// Calls a second that the team makes at all instances.
    pub demand: f64,
    /// Programs under way.
    pub programs: f64,
    /// Calls a second of a program under way.
    pub program_rate: f64,
    /// Tokens in the reserve.
    pub reserve: f64,
}

/// Shares out the rate of one team.
#[derive(Clone, Debug)]
pub struct Allocator {
    limit: Option<Limit>,
    /// Until then there may be holders that this allocator does not know.
    recovered_at: Duration,
    lease: Duration,
    // Sorted by instance.
    holders: Vec<ShareHolder>,
    reserve: Bucket,
    /// Calls a second of a program under way.
    program_rate: f64,
    /// Programs that have begun and are in no report yet.
    unreported_starts: Vec<Duration>,
    /// Programs that have begun, with the time at which they were last named, sorted by program.
    known_programs: Vec<(u64, Duration)>,
}

impl Allocator {
    /// Returns an allocator. `settled_at` is when every instance that can reach it has reported the
    /// share that another allocator gave it; `lease` is for how long a share is given out.
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

    /// Takes note of a program that has begun at any instance.
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

    /// Changes the team's limit; none for no limit.
    pub fn set_limit(&mut self, limit: Option<Limit>, now: Duration) {
        if self.limit != limit {
            self.limit = limit;
            self.refresh_reserve(now);
        }
    }

    /// Takes an instance's report of what the team asks of it and of the share it holds. Returns the
    /// share that it may hold from now on, for the length of the lease.
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

    /// Whether the team is near its rate, so that programs begin only when the allocator says so.
    pub fn is_near_limit(&self) -> bool {
        let demand: f64 = self.holders.iter().map(|h| h.demand).sum();
        self.limit.is_some_and(|limit| demand > NEAR_LIMIT_RATE_FRACTION * limit.per_second())
    }

    /// Begins a program, if the programs under way leave room for it. One that has begun at another
    /// instance goes on.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room.
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
        // A team that has not used its burst may go beyond its rate for a while. A rate that is below
        // that of a single program still lets one at a time begin.
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

    /// The load that decides which programs begin.
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

    /// Puts a token back into the reserve.
    pub fn return_token(&mut self, now: Duration) {
        self.refresh_reserve(now);
        self.reserve.return_token(now);
    }

    /// Takes one token from the reserve.
    ///
    /// # Errors
    ///
    /// Returns the time after which one may be there.
    pub fn borrow(&mut self, now: Duration) -> Result<(), Option<Duration>> {
        if self.limit.is_none() {
            return Ok(());
        }
        self.holders.retain(|h| now < h.expires_at);
        self.refresh_reserve(now);
        self.reserve.take(now)
    }

    /// Share that the holder should have, as far as the others leave room for it.
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
