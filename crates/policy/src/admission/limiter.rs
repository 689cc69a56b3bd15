//! The leader's limit on programs.

use std::time::Duration;

use super::{Allowance, LoadReport, RateAverage, fractions::Classes};
use crate::Name;

/// Slowdown of turns above which the limit shrinks. Deadlines of programs are some 1.7 times their
/// idle time; the rest is for the differences between programs.
pub const TARGET_SLOWDOWN: f64 = 1.3;
/// Time between two adjustments; several fronts report in it.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the measured slowdown, in seconds; about the duration of a turn.
const SLOWDOWN_SECONDS: f64 = 0.4;
/// Weight of turns, by the same time constant, below which the slowdown is not known.
const MIN_TURNS: f64 = 8.0;
/// Upper bound of the slowdown that counts as normal. The idle durations are low quantiles, and an
/// average turn on an idle fleet takes longer, the more so the less its tokens say of its duration.
const MAX_NORMAL_SLOWDOWN: f64 = 4.0;
/// Time constant with which the normal slowdown falls, in seconds.
const NORMAL_FALL_SECONDS: f64 = 0.5;
/// Relative rise of the normal slowdown per second.
const NORMAL_RISE_PER_SECOND: f64 = 0.002;
/// Time constant with which the limit shrinks, in seconds. A turn that begins at a smaller limit
/// ends about this much later.
const SHRINK_SECONDS: f64 = 0.6;
/// Relative growth of the limit per second if turns are not slowed at all.
const GROWTH_PER_SECOND: f64 = 0.25;
/// The limit grows only while this fraction of it is used.
const GROWTH_USE: f64 = 0.8;
/// The limit is lifted once at most this fraction of it has been used, with no slow turn and no
/// refusal, for [`RELEASE_TIME`]. Below [`GROWTH_USE`], so that a load near the capacity keeps it.
const RELEASE_USE: f64 = 0.5;
/// Three heartbeats: a load that is unevenly spread is reported within this time. Callers need
/// programs to be admitted 2 s after a burst; with 1 s, the last turns of a burst and the heartbeats
/// before and after took longer at 8 fronts.
const RELEASE_TIME: Duration = Duration::from_millis(750);
/// Maximum ratio by which one measurement lowers the limit below the open turns.
const MIN_GRADIENT: f64 = 0.5;
/// The limit is at least this fraction of the endpoints' slots. Turns that are slow for another
/// reason than load must not close the fleet.
const MIN_LIMIT_PER_SLOT: f64 = 0.2;
/// Minimum limit in open turns, if the slots are not known.
const MIN_LIMIT: f64 = 4.0;
/// Time in which the open turns are brought to the limit, in seconds. A fraction of the time of a
/// program, and longer than the views are late.
const CORRECTION_SECONDS: f64 = 1.0;
/// Time constants of the rate of turns, and of the turns of a program, in seconds.
const TURN_SECONDS: f64 = 1.0;
const PROGRAM_SECONDS: f64 = 30.0;
/// Programs per second that may always begin, as a fraction of those that end.
const MIN_RATE_FRACTION: f64 = 0.05;
/// Part of the rate that is divided equally among the fronts, for those with little demand.
const EQUAL_PART: f64 = 0.2;
/// Factor on the rates of fronts above their shares. Fractions do the exact division; the rates
/// bound a burst that the leader has not seen, and must not refuse programs because arrivals at a
/// front are uneven.
const RATE_SLACK: f64 = 1.5;
/// Time constant of the demand of a front, in seconds: a few arrivals at each of 300 fronts.
const DEMAND_SECONDS: f64 = 5.0;
/// Time constant of the refusals of all fronts, in seconds.
const REFUSED_SECONDS: f64 = 1.0;
/// A front without a report for this long has lost its lease.
const FRONT_TTL: Duration = Duration::from_secs(3);
/// Shortest and longest time after which a refused program may come back. A program that comes back
/// sooner has used up the slack of its deadline and takes the place of one that would be in time.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(4));

#[derive(Clone, Debug)]
struct FrontState {
    name: Name,
    active: u32,
    demand: RateAverage,
    reported_at: Duration,
}

/// What the limiter believes, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterState {
    /// Limit on open turns; `None` until turns were slow.
    pub limit: Option<f64>,
    /// Open turns.
    pub active: f64,
    /// Slowdown of turns relative to the normal one.
    pub slowdown: f64,
    /// First turns per second that may begin; `None` for no limit.
    pub per_second: Option<f64>,
    /// First turns per second that arrive.
    pub arrivals: f64,
    /// Whether fewer programs may begin than arrive.
    pub is_binding: bool,
}

/// Limits the programs under way by the measured slowdown of their turns.
#[derive(Clone, Debug)]
pub struct ProgramLimiter {
    /// Sorted by name.
    fronts: Vec<FrontState>,
    slots: u32,
    limit: Option<f64>,
    /// Whether this limiter has had a limit since it was created.
    has_had_limit: bool,
    /// Sums of the durations and idle durations of turns, and their number, decaying.
    duration: f64,
    idle: f64,
    turns: f64,
    normal: f64,
    /// Open turns, averaged over the same time as the slowdown.
    mean_active: f64,
    /// Turns that ended and programs that began since the last adjustment.
    new_turns: f64,
    new_programs: f64,
    new_refused: f64,
    turn_rate: RateAverage,
    long_turn_rate: RateAverage,
    long_program_rate: RateAverage,
    refused_rate: RateAverage,
    classes: Classes,
    allowed: Allowance,
    is_binding: bool,
    adjusted_at: Duration,
    /// When the limit was last needed.
    needed_at: Duration,
    /// Before this time there may be live fronts that have not reported.
    recovered_at: Duration,
}

impl ProgramLimiter {
    /// Returns a limiter without a limit. By `recovered_at`, every live front has reported.
    pub fn new(recovered_at: Duration, now: Duration) -> Self {
        Self {
            fronts: Vec::new(),
            slots: 0,
            limit: None,
            has_had_limit: false,
            duration: 0.0,
            idle: 0.0,
            turns: 0.0,
            normal: MAX_NORMAL_SLOWDOWN,
            mean_active: 0.0,
            new_turns: 0.0,
            new_programs: 0.0,
            new_refused: 0.0,
            turn_rate: RateAverage::new(TURN_SECONDS),
            long_turn_rate: RateAverage::new(PROGRAM_SECONDS),
            long_program_rate: RateAverage::new(PROGRAM_SECONDS),
            refused_rate: RateAverage::new(REFUSED_SECONDS),
            classes: Classes::default(),
            allowed: Allowance::default(),
            is_binding: false,
            adjusted_at: now,
            needed_at: now,
            recovered_at,
        }
    }

    /// Sets the number of slots of the endpoints, which bounds the limit from below.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Processes the report of a front, and returns what it may admit. Returns `None` until every
    /// live front has reported: a front then keeps its last allowance.
    pub fn report(
        &mut self,
        front: &Name,
        report: &LoadReport,
        now: Duration,
    ) -> Option<Allowance> {
        let at = match self.fronts.binary_search_by(|f| f.name.cmp(front)) {
            Ok(at) => at,
            Err(at) => {
                let name = front.clone();
                let demand = RateAverage::new(DEMAND_SECONDS);
                self.fronts.insert(at, FrontState { name, active: 0, demand, reported_at: now });
                at
            }
        };
        let state = &mut self.fronts[at];
        let elapsed = now.saturating_sub(state.reported_at).as_secs_f64();
        state.demand.update(f64::from(report.begun), elapsed);
        (state.active, state.reported_at) = (report.active, now);
        self.duration += report.duration.as_secs_f64();
        self.idle += report.idle.as_secs_f64();
        self.turns += f64::from(report.turns);
        self.new_turns += f64::from(report.turns);
        self.new_programs += f64::from(report.begun.saturating_sub(report.refused));
        self.new_refused += f64::from(report.refused);
        self.classes.record(&report.arrivals);
        if now >= self.adjusted_at + ADJUST_INTERVAL {
            self.adjust(now);
        }
        let per_second = self.allowed.per_second.map(|rate| rate * self.share(front));
        (now >= self.recovered_at).then(|| Allowance { per_second, ..self.allowed.clone() })
    }

    /// What the limiter believes.
    pub fn state(&self) -> LimiterState {
        LimiterState {
            limit: self.limit,
            active: self.active(),
            slowdown: self.slowdown().unwrap_or(1.0),
            per_second: self.allowed.per_second,
            arrivals: self.classes.arrivals(),
            is_binding: self.is_binding,
        }
    }

    fn active(&self) -> f64 {
        self.fronts.iter().map(|f| f64::from(f.active)).sum()
    }

    /// Slowdown relative to the normal one; `None` if too few turns ended.
    fn slowdown(&self) -> Option<f64> {
        (self.turns >= MIN_TURNS && self.idle > 0.0)
            .then(|| self.duration / self.idle / self.normal.max(1.0))
    }

    /// Part of the rate that a front may admit.
    fn share(&self, front: &Name) -> f64 {
        let total: f64 = self.fronts.iter().map(|f| f.demand.per_second).sum();
        let equal = 1.0 / self.fronts.len().max(1) as f64;
        let at = self.fronts.binary_search_by(|f| f.name.cmp(front));
        let demand = at.map_or(0.0, |at| self.fronts[at].demand.per_second);
        let by_demand = if total > 0.0 { demand / total } else { equal };
        RATE_SLACK * (EQUAL_PART * equal + (1.0 - EQUAL_PART) * by_demand)
    }

    fn adjust(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.adjusted_at).as_secs_f64();
        self.adjusted_at = now;
        self.fronts.retain(|f| now < f.reported_at + FRONT_TTL);
        let (turns, programs) =
            (std::mem::take(&mut self.new_turns), std::mem::take(&mut self.new_programs));
        self.turn_rate.update(turns, elapsed);
        self.long_turn_rate.update(turns, elapsed);
        self.long_program_rate.update(programs, elapsed);
        let refused = std::mem::take(&mut self.new_refused);
        self.refused_rate.update(refused, elapsed);
        self.classes.advance(elapsed);
        self.classes.prune();
        let weight = 1.0 - (-elapsed / SLOWDOWN_SECONDS).exp();
        self.mean_active += weight * (self.active() - self.mean_active);
        self.adjust_normal(elapsed);
        self.adjust_limit(elapsed, turns > 0.0, now);
        self.release(turns > 0.0, refused > 0.0, now);
        self.allowed = self.allow();
        let decay = (-elapsed / SLOWDOWN_SECONDS).exp();
        self.duration *= decay;
        self.idle *= decay;
        self.turns *= decay;
    }

    /// Learns the slowdown on an idle fleet from the lowest one measured.
    fn adjust_normal(&mut self, elapsed: f64) {
        if self.turns < MIN_TURNS || self.idle <= 0.0 {
            return;
        }
        let measured = self.duration / self.idle;
        if measured < self.normal {
            self.normal += (elapsed / NORMAL_FALL_SECONDS).min(1.0) * (measured - self.normal);
        } else {
            self.normal *= 1.0 + NORMAL_RISE_PER_SECOND * elapsed;
        }
        self.normal = self.normal.clamp(1.0, MAX_NORMAL_SLOWDOWN);
    }

    fn adjust_limit(&mut self, elapsed: f64, has_turns: bool, now: Duration) {
        let active = self.active();
        if now < self.recovered_at {
            return;
        }
        // Fronts that refuse programs before this limiter has a limit hold one of a former leader.
        // After a limit of its own was lifted, the average still has refusals of that one.
        if !self.has_had_limit && self.refused_rate.per_second > 0.0 {
            self.limit = Some(active);
        }
        self.has_had_limit |= self.limit.is_some();
        let Some(slowdown) = self.slowdown() else { return };
        let least = MIN_LIMIT.max(MIN_LIMIT_PER_SLOT * f64::from(self.slots));
        if slowdown > TARGET_SLOWDOWN {
            // Without new turns, the slowdown is that of a load that is over.
            if !has_turns {
                return;
            }
            let gradient = (TARGET_SLOWDOWN / slowdown).max(MIN_GRADIENT);
            let limit = self.limit.unwrap_or(active);
            // Turns that were opened above a smaller limit do not shrink it further.
            let goal = limit.min(self.mean_active * gradient);
            let step = (elapsed / SHRINK_SECONDS).min(1.0) * (goal - limit);
            self.limit = Some((limit + step).max(least));
            self.has_had_limit = true;
        } else if let Some(limit) = &mut self.limit
            && active >= GROWTH_USE * *limit
        {
            let room = (TARGET_SLOWDOWN - slowdown) / (TARGET_SLOWDOWN - 1.0);
            *limit *= 1.0 + GROWTH_PER_SECOND * room.min(1.0) * elapsed;
        }
    }

    /// Lifts the limit once the load is over. The rate follows the programs that end, so without a
    /// load it is far below what the fleet can begin, and would refuse the next programs.
    fn release(&mut self, has_turns: bool, has_refused: bool, now: Duration) {
        let Some(limit) = self.limit else { return };
        let is_slow = self.slowdown().is_some_and(|slowdown| slowdown > TARGET_SLOWDOWN);
        if has_refused || (has_turns && is_slow) || self.active() > RELEASE_USE * limit {
            self.needed_at = now;
        } else if now >= self.needed_at + RELEASE_TIME {
            self.limit = None;
            // Otherwise the slow turns of the past load make the next few turns look slow.
            (self.duration, self.idle, self.turns) = (0.0, 0.0, 0.0);
        }
    }

    /// Programs per second that end, by the turns that end and the turns of a program.
    fn ending(&self) -> f64 {
        let (turns, programs) = (self.long_turn_rate.per_second, self.long_program_rate.per_second);
        if turns > 0.0 { self.turn_rate.per_second * programs / turns } else { 0.0 }
    }

    fn allow(&mut self) -> Allowance {
        let Some(limit) = self.limit else { return Allowance::default() };
        let ending = self.ending();
        let correction = (limit - self.active()) / CORRECTION_SECONDS;
        let least = (MIN_RATE_FRACTION * ending).max(MIN_RATE_FRACTION * limit);
        let rate = (ending + correction).max(least);
        let arrivals = self.classes.arrivals();
        self.is_binding = arrivals > rate;
        let waiting = self.refused_rate.per_second / rate;
        let retry_after = Duration::from_secs_f64(waiting.min(RETRY_AFTER.1.as_secs_f64()));
        Allowance {
            per_second: Some(rate),
            retry_after: retry_after.max(RETRY_AFTER.0),
            fractions: self.classes.fractions(rate),
        }
    }
}
