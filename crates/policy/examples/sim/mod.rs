//! Discrete-event simulation that compares policies on simulated endpoints. Time is in
//! microseconds.

#![allow(missing_docs, dead_code)]

mod admission;
mod endpoint;
mod instance;
mod workload;
mod world;

use std::time::Duration;

/// Policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Everything in this crate.
    Ours,
    /// Round robin; calls queue at the endpoints; rate limits as in `Ours`.
    RoundRobin,
    /// Fewest own calls in flight; calls queue at the endpoints; rate limits as in `Ours`.
    LeastConnections,
    /// As `LeastConnections`, but each instance enforces a fixed fraction of the rate.
    LocalLimits,
    /// As `LeastConnections`, but with a limit on calls in flight and a first-come, first-served
    /// queue.
    Fcfs,
    /// Routing of `Ours` with a first-come, first-served queue, to separate the effects. Not a
    /// baseline.
    RoutingOnly,
}

impl Policy {
    /// The baselines.
    pub const BASELINES: [Self; 4] =
        [Self::RoundRobin, Self::LeastConnections, Self::LocalLimits, Self::Fcfs];
}

/// Zones, servers and network of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub zones: usize,
    pub models: usize,
    pub services: usize,
    pub zone_us: u64,
    pub client_us: u64,
}

/// Deployment A of the design page: 4 zones, 15 model and 10 service servers.
pub const A: Deployment =
    Deployment { name: "A", zones: 4, models: 15, services: 10, zone_us: 1500, client_us: 1000 };

/// Deployment B of the design page: 3 zones, 10 model and 10 service servers.
pub const B: Deployment =
    Deployment { name: "B", zones: 3, models: 10, services: 10, zone_us: 500, client_us: 3000 };

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub load: f64,
    pub duration_s: f64,
    /// This team sends five times its programs; its rate limit is raised by the same factor.
    pub greedy: Option<usize>,
    /// Zone 0 is disabled from one third to two thirds of the run, and returns with cold endpoints.
    pub zone_outage: bool,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Latencies of the completed programs in seconds, sorted.
    pub latencies_s: Vec<f64>,
    /// Programs that arrived in the measured part of the run and did not complete.
    pub unfinished: usize,
    /// Tokens that were prefilled although an endpoint had prefilled them before.
    pub wasted_tokens: u64,
    /// Tokens that were prefilled for the first time.
    pub needed_tokens: u64,
    /// Output tokens served per team before the end of the run, for programs of its first half.
    pub served: [f64; 8],
    pub calls_within_rate: u64,
    pub refused_within_rate: u64,
    pub calls: u64,
    /// Calls that were dispatched to the disabled zone later than 2 s after it was disabled.
    pub calls_to_disabled_zone: u64,
    /// 95th percentile of model call latency while the zone is disabled, in seconds.
    pub outage_call_p95_s: f64,
}

impl Measures {
    /// Returns the latency at `quantile`. Programs that did not complete count as infinitely slow.
    pub fn latency_s(&self, quantile: f64) -> f64 {
        let all = self.latencies_s.len() + self.unfinished;
        let at = ((all as f64 * quantile).ceil() as usize).max(1) - 1;
        self.latencies_s.get(at).copied().unwrap_or(f64::INFINITY)
    }

    /// Returns the output of the worst-served team as a fraction of its output without the greedy
    /// team.
    pub fn worst_share(&self, without: &Self, greedy: usize) -> f64 {
        let teams = (0..8).filter(|t| *t != greedy);
        teams.map(|t| self.served[t] / without.served[t]).fold(f64::INFINITY, f64::min)
    }
}

/// Runs one scenario.
pub fn run(deployment: &Deployment, policy: Policy, scenario: &Scenario) -> Measures {
    world::World::new(deployment, policy, scenario).run()
}

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}
