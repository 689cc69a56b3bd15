//! Admission of first turns at one front.

use std::time::Duration;

use super::{
    ANSWER_TIMEOUT, Allowance, ClassArrivals, LoadReport, MAX_CLASSES, ProgramClass, RateAverage,
    low_times::LowTimes,
};
use crate::Name;

/// How long a program is known after its last turn; longer than most pauses between two turns.
const PROGRAM_TTL: Duration = Duration::from_secs(20);
/// How long a refused program is known, so that it goes before new ones if it returns.
const REFUSED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of known programs, and of known refused ones.
const MAX_PROGRAMS: usize = 4_096;
/// Number of turns of a route before its idle duration is known; the first ones may be slow.
const MIN_TURNS: u32 = 5;
/// Number of first programs of a route whose shortest time until the deadline counts. One of 300
/// fronts sees only a few in 20 s, and an average of these would refuse many new programs as late.
const MIN_PROGRAMS: u32 = 5;
/// Maximum ratio of a turn's duration to its idle one that counts, so that a few turns at a failing
/// endpoint do not outweigh all others.
const MAX_SLOWDOWN: f64 = 8.0;
/// A program that has less than this part of the shortest usual time until its deadline left, after
/// a refusal, would be late while turns are slow: the slowdown at the limit leaves little of the
/// slack. With 0.85, goodput at twice the capacity was 7 % lower than at the capacity at 8 fronts.
const MIN_TIME_LEFT: f64 = 0.95;
/// How long after a refusal, here or by the allowance at any front, programs that would be late are
/// still refused: most refused programs come back within this time. With 1 s, 104 of 2,677 programs
/// at 300 fronts were admitted late; no longer, since callers need the fleet open 2 s after a burst.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Factor on the fraction of a class for programs that return after a refusal.
const RETURN_FACTOR: f64 = 2.0;
/// First turns that a front may admit at once, beyond those of half a second: arrivals at a front
/// are uneven. With 2, 300 fronts at 1.3 times the capacity refused 215 programs that their
/// fractions had chosen, and admitted 6,184.
const BURST: f64 = 3.0;
const BURST_SECONDS: f64 = 0.5;
/// Time in which the rate of a front without answers falls to half, in seconds.
const HALF_LIFE_SECONDS: f64 = 0.5;
/// Floor of the rate of a front without answers, as a fraction of its own recent admissions.
const FLOOR_FRACTION: f64 = 0.1;
/// Time constant of a front's own admissions, in seconds.
const OWN_SECONDS: f64 = 10.0;
/// Floor of the rate in first turns per second, so that it never falls to zero.
const MIN_PER_SECOND: f64 = 0.05;

/// A first turn that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct FirstTurn<'a> {
    /// Identifies the program.
    pub program: &'a Name,
    /// Its class.
    pub class: &'a ProgramClass,
    /// Time until the deadline of the program, if it has one.
    pub time_left: Option<Duration>,
}

#[derive(Clone, Debug)]
struct ClassState {
    class: ProgramClass,
    arrived: u32,
    /// Sum of the fractions of the arrivals that no admission has used up.
    credit: f64,
}

/// Names and when each was last used, sorted by name.
#[derive(Clone, Debug, Default)]
struct RecentNames(Vec<(Name, Duration)>);

impl RecentNames {
    fn note(&mut self, name: &Name, ttl: Duration, now: Duration) {
        match self.0.binary_search_by(|(n, _)| n.cmp(name)) {
            Ok(at) => self.0[at].1 = now,
            Err(_) => {
                if self.0.len() >= MAX_PROGRAMS {
                    self.0.retain(|(_, at)| now < *at + ttl);
                }
                if self.0.len() < MAX_PROGRAMS {
                    let at = self.0.partition_point(|(n, _)| n < name);
                    self.0.insert(at, (name.clone(), now));
                }
            }
        }
    }

    fn knows(&self, name: &Name) -> bool {
        self.0.binary_search_by(|(n, _)| n.cmp(name)).is_ok()
    }

    fn remove(&mut self, name: &Name) {
        if let Ok(at) = self.0.binary_search_by(|(n, _)| n.cmp(name)) {
            self.0.remove(at);
        }
    }

    fn expire(&mut self, ttl: Duration, now: Duration) {
        self.0.retain(|(_, at)| now < *at + ttl);
    }
}

/// Admits programs at one front within the allowance of the leader.
#[derive(Clone, Debug)]
pub struct ProgramGate {
    under_way: RecentNames,
    refused: RecentNames,
    /// Sorted by class.
    classes: Vec<ClassState>,
    /// Idle durations of turns per unit of work.
    idle_times: LowTimes,
    /// Times until the deadline that programs have when they begin.
    whole_times: LowTimes,
    /// When a program was last refused here or, by the allowance, at any front.
    refusing_at: Option<Duration>,
    allowance: Allowance,
    answered_at: Duration,
    level: f64,
    refilled_at: Duration,
    /// Own admissions per second, and their number since the last report.
    own: RateAverage,
    admitted: u32,
    load: LoadReport,
    reported_at: Duration,
}

impl ProgramGate {
    /// Returns a gate without a limit.
    pub fn new(now: Duration) -> Self {
        Self {
            under_way: RecentNames::default(),
            refused: RecentNames::default(),
            classes: Vec::new(),
            idle_times: LowTimes::new(MIN_TURNS, 0),
            whole_times: LowTimes::new(1, MIN_PROGRAMS),
            refusing_at: None,
            allowance: Allowance::default(),
            answered_at: now,
            level: BURST,
            refilled_at: now,
            own: RateAverage::new(OWN_SECONDS),
            admitted: 0,
            load: LoadReport::default(),
            reported_at: now,
        }
    }

    /// Whether the program has had a turn here.
    pub fn knows(&self, program: &Name) -> bool {
        self.under_way.knows(program)
    }

    /// Records that a turn of a program begins, or a tool call.
    pub fn note_program(&mut self, program: &Name, now: Duration) {
        self.under_way.note(program, PROGRAM_TTL, now);
    }

    /// Records that a turn of a program is open until [`ProgramGate::turn_closed`].
    pub fn turn_opened(&mut self) {
        self.load.active += 1;
    }

    /// Records the end of a turn. Only a turn with a complete response has a duration; `work` is
    /// what its duration on an idle fleet is proportional to.
    pub fn turn_closed(
        &mut self,
        route: &Name,
        work: f64,
        duration: Option<Duration>,
        now: Duration,
    ) {
        self.load.active = self.load.active.saturating_sub(1);
        let Some(duration) = duration else { return };
        let (took, work) = (duration.as_secs_f64(), work.max(1.0));
        self.idle_times.record(route, took / work, now);
        if let Some(per_unit) = self.idle_times.get(route) {
            let idle = per_unit * work;
            self.load.turns += 1;
            self.load.duration += Duration::from_secs_f64(took.min(MAX_SLOWDOWN * idle));
            self.load.idle += Duration::from_secs_f64(idle);
        }
    }

    /// Admits a first turn. `random` is uniform between 0 and 1.
    ///
    /// # Errors
    ///
    /// Returns the time after which the program may come back.
    pub fn admit(
        &mut self,
        turn: FirstTurn<'_>,
        random: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        self.load.begun += 1;
        let is_chosen = self.is_chosen(turn, random, now);
        if is_chosen && self.take(now) {
            self.admitted += 1;
            self.refused.remove(turn.program);
            self.note_program(turn.program, now);
            return Ok(());
        }
        self.load.refused += 1;
        self.refusing_at = Some(now);
        self.refused.note(turn.program, REFUSED_TTL, now);
        // Programs that were refused together come back spread over the time in which they can be
        // served.
        let after = self.allowance.retry_after;
        Err(after.mul_f64(0.5) + after.mul_f64(random))
    }

    /// Whether the fraction of its class admits a program.
    fn is_chosen(&mut self, turn: FirstTurn<'_>, random: f64, now: Duration) -> bool {
        let fractions = &self.allowance.fractions;
        let fraction = fractions.binary_search_by(|(class, _)| class.cmp(turn.class));
        let mut fraction = fraction.map_or(1.0, |at| fractions[at].1);
        let at = match self.classes.binary_search_by(|c| c.class.cmp(turn.class)) {
            Ok(at) => at,
            Err(_) if self.classes.len() >= MAX_CLASSES => return random < fraction,
            Err(at) => {
                // The first arrivals at many fronts must not all be admitted, or all refused.
                let class = turn.class.clone();
                self.classes.insert(at, ClassState { class, arrived: 0, credit: random });
                at
            }
        };
        let class = &mut self.classes[at];
        class.arrived += 1;
        let route = &turn.class.route;
        let refused_within =
            |time| self.refusing_at.is_some_and(|refusing_at| now < refusing_at + time);
        if let Some(left) = turn.time_left.map(|left| left.as_secs_f64()) {
            let known = self.whole_times.get(route);
            // A program that comes back after a refusal, also one at another front, has less time
            // left than it had when it began.
            if !refused_within(REFUSED_TTL) || known.is_none() {
                self.whole_times.record(route, left, now);
            } else if refused_within(RETURN_TIME)
                && known.is_some_and(|whole| left < MIN_TIME_LEFT * whole)
            {
                return false;
            }
        }
        if fraction >= 1.0 {
            return true;
        }
        if self.refused.knows(turn.program) {
            fraction = (fraction * RETURN_FACTOR).min(1.0);
        }
        class.credit += fraction;
        let is_chosen = class.credit >= 1.0;
        if is_chosen {
            class.credit -= 1.0;
        }
        is_chosen
    }

    /// First turns per second that the front may admit now; `None` for no limit.
    pub fn per_second(&self, now: Duration) -> Option<f64> {
        let rate = self.allowance.per_second?;
        let silent = now.saturating_sub(self.answered_at + ANSWER_TIMEOUT).as_secs_f64();
        let floor = (FLOOR_FRACTION * self.own.per_second).max(MIN_PER_SECOND).min(rate);
        Some((rate * (-silent / HALF_LIFE_SECONDS).exp2()).max(floor))
    }

    /// Takes a token of the front's rate.
    fn take(&mut self, now: Duration) -> bool {
        let Some(rate) = self.per_second(now) else { return true };
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.level = (self.level + rate * elapsed).min(BURST + rate * BURST_SECONDS);
        let has_token = self.level >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Applies an answer of the leader.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Duration) {
        if self.allowance.per_second.is_none() {
            // What arrived without a limit is no reason to admit more than the burst.
            (self.level, self.refilled_at) = (BURST, now);
        }
        if !allowance.fractions.is_empty() {
            self.refusing_at = Some(now);
        }
        (self.allowance, self.answered_at) = (allowance, now);
    }

    /// Takes the load since the last report.
    pub fn take_load(&mut self, now: Duration) -> LoadReport {
        let elapsed = now.saturating_sub(self.reported_at).as_secs_f64();
        self.reported_at = now;
        self.own.update(f64::from(std::mem::take(&mut self.admitted)), elapsed);
        self.under_way.expire(PROGRAM_TTL, now);
        self.refused.expire(REFUSED_TTL, now);
        let active = self.load.active;
        let mut load = std::mem::take(&mut self.load);
        self.load.active = active;
        for class in self.classes.iter_mut().filter(|c| c.arrived > 0) {
            load.arrivals.push(ClassArrivals {
                class: class.class.clone(),
                priority: 0,
                arrived: std::mem::take(&mut class.arrived),
            });
        }
        load
    }
}
