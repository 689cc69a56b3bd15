//! Priorities of dispatched calls at the engines.
//!
//! Engines queue the calls of all instances, so the order of an instance's own fair queue has no
//! effect after the dispatch. A priority extends it to the engine: lower numbers are served first,
//! equal ones in order of arrival.
//!
//! A priority is a virtual due time in milliseconds since the Unix epoch: the time of the dispatch
//! plus a delay. The delay is `max_delay * (1 - 1 / excess)` for a team whose `excess` is above 1,
//! and zero otherwise. The excess is the team's fraction of the service that this instance
//! dispatched recently (in estimated tokens, halved every `half_life`), divided by the team's
//! fraction of the weights of all teams with such service. It has no unit and grows with the
//! service in flight, since a call is counted when it is dispatched.
//!
//! Instances need not exchange messages: the load balancer spreads the calls of each team over
//! them, so each sees the same fractions up to sampling noise. Their wall clocks may differ; a skew
//! moves the calls of one instance by as much, which only affects order and is harmless while it is
//! small against `max_delay`. A due time, unlike a priority class, gives aging at engines that
//! order strictly by number: a call is overtaken only by calls that are dispatched within
//! `max_delay` after it (plus the skew), so no call starves.
//!
//! Most of the wait is in the queue of the instance: each instance sees few calls of a small team,
//! and two calls in a row wait for one another there. So teams within their share, up to
//! `tolerance`, may be dispatched until the group of endpoints is at [`PRIORITY_LOAD_FACTOR`] times
//! its capacity, and only the others wait for a load factor below 1
//! ([`super::FairQueue::pop_where`]). A team that is alone has an excess of 1 and is not held back.
//!
//! The state belongs to the entry instance. After a restart the count starts at zero.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;

/// Decayed service in tokens below which a team no longer counts as active.
const MIN_ACTIVE_TOKENS: f64 = 1.0;

/// Load factor of a group of engines that honor priorities above which all calls wait in the queue
/// of the instance.
pub const PRIORITY_LOAD_FACTOR: f32 = 1.5;

/// Decay steps per half-life; between steps service does not decay.
const DECAY_STEPS_PER_HALF_LIFE: u32 = 16;

/// Parameters of [`Priorities`].
#[derive(Clone, Copy, Debug)]
pub struct PriorityConfig {
    /// Half-life of dispatched service.
    pub half_life: Duration,
    /// Upper bound of the delay of a team that uses more than its share.
    pub max_delay: Duration,
    /// Excess up to which a team counts as within its share. Above 1 because of sampling noise:
    /// with 1.0 the worst-served team of the simulation gets 93.8% of its share, with 1.5 98.4%.
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

/// Recent service of the teams, which determines the priorities of their calls.
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

    /// Records the dispatch of a call of estimated `cost` tokens and returns its priority. `unix`
    /// is the wall-clock time since the Unix epoch.
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

    /// Corrects the service for a call that was estimated at `estimated` and cost `actual` tokens.
    pub fn settle(&mut self, team: &str, estimated: u64, actual: u64) {
        let Some(usage) = self.teams.get_mut(team) else { return };
        // Some of the estimate may have decayed already.
        let change = (actual as f64 - estimated as f64).max(-usage.tokens);
        usage.tokens += change;
        self.total_tokens += change;
    }

    /// Returns the team's fraction of the recent service, divided by its fraction of the weights of
    /// active teams; zero for a team without recent service.
    pub fn excess(&self, team: &str) -> f64 {
        let Some(usage) = self.teams.get(team) else { return 0.0 };
        if self.total_tokens <= 0.0 {
            return 0.0;
        }
        usage.tokens / self.total_tokens * self.total_weight / usage.weight
    }

    /// Returns whether calls of `team` may wait at the engines and not only in the queue of the
    /// instance.
    pub fn is_within_share(&self, team: &str) -> bool {
        self.excess(team) <= self.cfg.tolerance
    }

    /// Returns the number of teams with recent service.
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
        // Recomputed, so that rounding errors do not accumulate.
        self.total_tokens = self.teams.values().map(|r| r.tokens).sum();
        self.total_weight = self.teams.values().map(|r| r.weight).sum();
    }
}
