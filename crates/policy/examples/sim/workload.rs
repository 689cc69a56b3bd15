//! Seeded workload of agent programs with turns, tool calls and sub-agents.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 128;

/// Fractions of the load per team, largest first.
pub const TEAM_LOAD_FRACTIONS: [f64; 8] = [0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03];

/// One turn: a model call, then a tool call to a plain service.
#[derive(Clone, Debug)]
pub struct Turn {
    pub new_tokens: u32,
    pub output_tokens: u32,
    pub tool_us: u64,
    /// Sub-agents that start after the model call and must end before the next turn.
    pub children: Vec<Vec<Self>>,
}

/// One program.
#[derive(Clone, Debug)]
pub struct Program {
    pub team: usize,
    pub arrival_us: u64,
    pub turns: Vec<Turn>,
}

/// Returns an exponentially distributed number, at least `min`.
pub fn exponential(rng: &mut StdRng, mean: f64, min: f64) -> f64 {
    (-mean * (1.0 - rng.random::<f64>()).ln()).max(min)
}

fn turns(rng: &mut StdRng, mean: f64, max_turns: usize, depth: usize) -> Vec<Turn> {
    let count = (exponential(rng, mean, 1.0) as usize).clamp(1, max_turns);
    (0..count)
        .map(|_| {
            let children = if depth == 0 && rng.random_bool(0.04) {
                (0..rng.random_range(1..=3)).map(|_| turns(rng, 3.0, 10, 1)).collect()
            } else {
                Vec::new()
            };
            Turn {
                new_tokens: exponential(rng, 1000.0, 20.0) as u32,
                output_tokens: exponential(rng, 120.0, 8.0) as u32,
                tool_us: exponential(rng, 400_000.0, 5_000.0) as u64,
                children,
            }
        })
        .collect()
}

/// Returns the seconds for which the turns occupy a slot if all tokens except new ones are cached.
pub fn busy_seconds(turns: &[Turn], prefill_per_s: f64, token_s: f64) -> f64 {
    turns
        .iter()
        .map(|t| {
            let own =
                f64::from(t.new_tokens) / prefill_per_s + f64::from(t.output_tokens) * token_s;
            own + t.children.iter().map(|c| busy_seconds(c, prefill_per_s, token_s)).sum::<f64>()
        })
        .sum()
}

/// Returns programs that arrive within `duration_s` and occupy `slots_busy` slots on average with a
/// perfect cache. `factors` multiplies the arrivals of each team.
pub fn programs(
    seed: u64,
    duration_s: f64,
    slots_busy: f64,
    factors: &[f64; 8],
    prefill_per_s: f64,
    token_s: f64,
) -> Vec<Program> {
    let mut rng = StdRng::seed_from_u64(seed);
    let sample = 4000;
    let mean = (0..sample)
        .map(|_| busy_seconds(&turns(&mut rng, 9.0, 54, 0), prefill_per_s, token_s))
        .sum::<f64>()
        / f64::from(sample);
    let mut programs = Vec::new();
    for (team, fraction) in TEAM_LOAD_FRACTIONS.iter().enumerate() {
        // One generator per team, so that the programs of one team do not depend on those of
        // another.
        let mut rng = StdRng::seed_from_u64(seed ^ (team as u64 + 1) << 32);
        let per_s = slots_busy * fraction * factors[team] / mean;
        let mut at = exponential(&mut rng, 1.0 / per_s, 0.0);
        while at < duration_s {
            let turns = turns(&mut rng, 9.0, 54, 0);
            programs.push(Program { team, arrival_us: (at * 1e6) as u64, turns });
            at += exponential(&mut rng, 1.0 / per_s, 0.0);
        }
    }
    programs.sort_by_key(|p| p.arrival_us);
    programs
}
