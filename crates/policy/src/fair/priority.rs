//! Priorities of dispatched calls at the engines.
//!
//! Engines queue calls of all instances, so the order of an instance's own fair queue ends at its
//! dispatch. A priority carries it on: lower numbers are served first, equal ones in order of
//! arrival.
//!
//! A priority is a virtual due time in milliseconds since the Unix epoch: the time of the dispatch
//! plus a delay. The delay is `max_delay * (1 - 1 / excess)` for a team whose `excess` is above 1,
//! and zero otherwise. The excess is the team's part of the service that this instance dispatched
//! recently (in estimated tokens, halved every `half_life`), divided by the team's part of the
//! weights of all teams with such service. It has no unit and grows with the service in flight,
//! since a call is counted when it is dispatched.
//!
//! Instances need no messages to agree: the balancer spreads the calls of each team over them, so
//! each sees the same parts up to sampling noise. Their wall clocks may differ; a skew moves the
//! calls of one instance by as much, which is harmless while it is small against `max_delay`, and
//! only affects order. A due time rather than a class gives aging at engines that order strictly by
//! number: a call is passed only by calls that are dispatched within `max_delay` after it (plus the
//! skew), so nothing starves.
//!
//! The wait in the queue of the instance is the larger part: each instance sees few calls of a small
//! team, and two of them in a row wait for one another there. So teams within their part, give or
//! take `tolerance`, may be dispatched until the group of endpoints is at [`PRIORITY_LOAD_FACTOR`] times
//! its capacity, and only the others wait for a fill below 1 ([`super::FairQueue::pop_where`]). A
//! team alone has an excess of 1 and is not held back.
//!
//! Owner of the state: the entry instance. After a restart all excesses are 1 until service has
//! been counted again.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;

/// Tokens of decayed service below which a team no longer counts as active.
const MIN_ACTIVE_TOKENS: f64 = 1.0;

/// Calls at a group of engines that honour priorities, as a multiple of its capacity, above which
/// all calls wait in the queue of the instance.
pub const PRIORITY_LOAD_FACTOR: f32 = 1.5;

/// Sweeps per half-life; between sweeps service does not decay.
const DECAY_STEPS_PER_HALF_LIFE: u32 = 16;

/// Settings of [`Priorities`].
#[derive(Clone, Copy, Debug)]
pub struct PriorityConfig {
    /// Time after which dispatched service counts half.
    pub half_life: Duration,
    /// Bound of the delay of a team that uses more than its part.
    pub max_delay: Duration,
    /// Excess up to which a team counts as within its part. Above 1 because of sampling noise: with
    /// 1.0 and 1.5 the worst-served team of the simulation has 93.8% and 98.4% of its share.
    pub tolerance: f64,
}

impl Default for PriorityConfig {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(20),
            max_delay: Duration::from_secs(20),
            tolerance: 1.5,
        }
    }
}

/// Recent service of the teams, from which the priorities of their calls follow.
#[derive(Debug, Default)]
pub struct Priorities {
    cfg: PriorityConfig,
    teams: HashMap<Name, TeamUsage>,
    total_tokens: f64,
    total_weight: f64,
    decayed_at: Duration,
}

#[derive(Debug)]
struct TeamUsage {
    tokens: f64,
    weight: f64,
}

impl Priorities {
    /// Returns priorities without any service counted.
    pub fn new(cfg: PriorityConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Counts a call of estimated `cost` tokens that is being dispatched, and returns its priority.
    /// `unix` is the wall clock's time since the Unix epoch.
    pub fn dispatch(
        &mut self,
        team: &Name,
        weight: u32,
        cost: u64,
        now: Duration,
        unix: Duration,
    ) -> i64 {
        self.decay(now);
        let weight = f64::from(weight.max(1));
        let usage =
            self.teams.entry(team.clone()).or_insert(TeamUsage { tokens: 0.0, weight: 0.0 });
        self.total_weight += weight - usage.weight;
        usage.weight = weight;
        usage.tokens += cost as f64;
        self.total_tokens += cost as f64;
        let excess = self.excess(team);
        let delay = self.cfg.max_delay.mul_f64(1.0 - 1.0 / excess.max(1.0));
        i64::try_from((unix + delay).as_millis()).unwrap_or(i64::MAX)
    }

    /// Corrects the count for a call that was estimated at `estimated` and cost `actual` tokens.
    pub fn settle(&mut self, team: &str, estimated: u64, actual: u64) {
        let Some(usage) = self.teams.get_mut(team) else { return };
        // Part of the estimate may have decayed already.
        let change = (actual as f64 - estimated as f64).max(-usage.tokens);
        usage.tokens += change;
        self.total_tokens += change;
    }

    /// Part of `team` in the recent service, divided by its part in the weights of active teams.
    pub fn excess(&self, team: &str) -> f64 {
        let Some(usage) = self.teams.get(team) else { return 0.0 };
        if self.total_tokens <= 0.0 {
            return 0.0;
        }
        usage.tokens / self.total_tokens * self.total_weight / usage.weight
    }

    /// Whether calls of `team` may wait at the engines and not only in the queue of the instance.
    pub fn is_within_share(&self, team: &str) -> bool {
        self.excess(team) <= self.cfg.tolerance
    }

    /// Teams whose service is counted.
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < self.cfg.half_life / DECAY_STEPS_PER_HALF_LIFE {
            return;
        }
        self.decayed_at = now;
        let half_lives = elapsed.as_secs_f64() / self.cfg.half_life.as_secs_f64();
        let kept = (-half_lives).exp2();
        self.teams.retain(|_, usage| {
            usage.tokens *= kept;
            usage.tokens >= MIN_ACTIVE_TOKENS
        });
        // Summed anew, so that rounding does not accumulate.
        self.total_tokens = self.teams.values().map(|r| r.tokens).sum();
        self.total_weight = self.teams.values().map(|r| r.weight).sum();
    }
}
