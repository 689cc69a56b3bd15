//! Compares the policies of this crate with baselines on simulated endpoints, all with the same
//! seed.
//!
//! `cargo run --release -p poplarspan-policy --example compare [seed]`

#[path = "sim/mod.rs"]
mod sim;

use sim::{Deployment, Measures, Policy, Scenario};

const GREEDY: usize = 3;

fn scenario(seed: u64, load: f64) -> Scenario {
    Scenario { seed, load, duration_s: 200.0, greedy: None, zone_outage: false }
}

fn compare(deployment: &Deployment, seed: u64) {
    println!("deployment {}, seed {seed}", deployment.name);
    let head =
        ["program latency at 85% load [s]", "wasted", "worst", "refused", "zone out (60% load)"];
    println!(
        "{:18} {:>32} {:>7} {:>6} {:>8}  {}",
        "policy", head[0], head[1], head[2], head[3], head[4]
    );
    for policy in [&[Policy::Ours], &Policy::BASELINES[..], &[Policy::RoutingOnly]].concat() {
        let base = sim::run(deployment, policy, &scenario(seed, 0.85));
        let greedy = Scenario { greedy: Some(GREEDY), ..scenario(seed, 0.85) };
        let greedy = sim::run(deployment, policy, &greedy);
        let outage = Scenario { zone_outage: true, ..scenario(seed, 0.6) };
        let outage = sim::run(deployment, policy, &outage);
        let at = |m: &Measures, q| format!("{:.1}", m.latency_s(q));
        println!(
            "{:18} p50 {:>6} p95 {:>6} p99 {:>6} {:>6.1}% {:>5.1}% {:>4}/{}  p95 program {} s, call {:.1} s, refused {}/{}, to disabled zone {}",
            format!("{policy:?}"),
            at(&base, 0.5),
            at(&base, 0.95),
            at(&base, 0.99),
            100.0 * base.wasted_tokens as f64 / base.needed_tokens as f64,
            100.0 * greedy.worst_share(&base, GREEDY),
            base.refused_within_rate,
            base.calls_within_rate,
            at(&outage, 0.95),
            outage.outage_call_p95_s,
            outage.refused_within_rate,
            outage.calls_within_rate,
            outage.calls_to_disabled_zone,
        );
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    compare(&sim::A, seed);
    compare(&sim::B, seed);
}
