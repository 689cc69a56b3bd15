//! Retry budget, so that retries do not multiply the load of a failing fleet.
//!
//! Each first attempt adds [`RetryConfig::ratio`] to the budgets of its team and of the instance
//! (in retries), both bounded; a retry takes one from each. So the retries of a team never exceed
//! `reserve + ratio * first attempts`, and neither do those of the instance with its own reserve;
//! since this is true for each instance, it is true for the fleet. Retries by callers are first
//! attempts here and are limited by the team's rate.
//!
//! Each instance keeps its own state. After a crash it starts with the reserves.

use crate::Name;
use crate::invariants::check_invariant;

/// Parameters of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries that one first attempt adds to the budgets.
    pub ratio: f64,
    /// Maximum and initial budget of a team, in retries.
    pub team_reserve: f64,
    /// Maximum and initial budget of the instance, in retries.
    pub instance_reserve: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self { ratio: 0.1, team_reserve: 10.0, instance_reserve: 50.0 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    available: f64,
    attempts: u64,
    retries: u64,
}

impl Budget {
    fn new(reserve: f64) -> Self {
        Self { available: reserve, attempts: 0, retries: 0 }
    }

    fn record_attempt(&mut self, ratio: f64, reserve: f64) {
        self.attempts += 1;
        self.available = (self.available + ratio).min(reserve);
    }

    fn spend_retry(&mut self, ratio: f64, reserve: f64) {
        self.available -= 1.0;
        self.retries += 1;
        let allowed = reserve + ratio * self.attempts as f64;
        check_invariant(
            self.retries as f64 <= allowed + 1e-3,
            "retry: retries are within the budget",
        );
    }
}

/// Retry budgets of the teams and of the instance.
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    instance: Budget,
    teams: Vec<(Name, Budget)>,
}

impl RetryBudget {
    /// Returns budgets at their reserves.
    pub fn new(cfg: RetryConfig) -> Self {
        Self { cfg, instance: Budget::new(cfg.instance_reserve), teams: Vec::new() }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self, team: &Name) {
        let cfg = self.cfg;
        self.instance.record_attempt(cfg.ratio, cfg.instance_reserve);
        self.team(team).record_attempt(cfg.ratio, cfg.team_reserve);
    }

    /// Takes one retry from both budgets. Returns false, and takes nothing, if one of them is
    /// empty.
    pub fn try_retry(&mut self, team: &Name) -> bool {
        let cfg = self.cfg;
        if self.instance.available < 1.0 || self.team(team).available < 1.0 {
            return false;
        }
        self.instance.spend_retry(cfg.ratio, cfg.instance_reserve);
        self.team(team).spend_retry(cfg.ratio, cfg.team_reserve);
        true
    }

    /// Drops the teams for which `known` returns false, after a change of the configuration.
    pub fn retain(&mut self, mut known: impl FnMut(&Name) -> bool) {
        self.teams.retain(|(name, _)| known(name));
    }

    fn team(&mut self, team: &Name) -> &mut Budget {
        let at = match self.teams.binary_search_by(|(name, _)| name.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let budget = Budget::new(self.cfg.team_reserve);
                self.teams.insert(at, (team.clone(), budget));
                at
            }
        };
        &mut self.teams[at].1
    }
}
