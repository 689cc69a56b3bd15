//! Guards the targets of the design page (1.4) that compare this crate's policies with baselines,
//! as ratios on simulated endpoints with a fixed seed. No bound depends on the speed of the
//! machine.

#[path = "../examples/sim/mod.rs"]
mod sim;

use sim::{Policy, Scenario};

const SEED: u64 = 1;
const GREEDY: usize = 3;

fn at_load(load: f64, duration_s: f64) -> Scenario {
    println!("seed {SEED}");
    Scenario { seed: SEED, load, duration_s, greedy: None, zone_outage: false }
}

fn waste_ratio(measures: &sim::Measures) -> f64 {
    measures.wasted_tokens as f64 / measures.needed_tokens as f64
}

/// Guards program latency and the prefix cache hit rate at 85% load with shared prefixes.
#[test]
fn latency_and_cache_beat_baselines() {
    let scenario = at_load(0.85, 100.0);
    let ours = sim::run(&sim::A, Policy::Ours, &scenario);
    for policy in Policy::BASELINES {
        let baseline = sim::run(&sim::A, policy, &scenario);
        let (we, they) = (ours.latency_s(0.95), baseline.latency_s(0.95));
        println!(
            "{policy:?}: p95 {they:.1} s, ours {we:.1} s; wasted {:.2}",
            waste_ratio(&baseline)
        );
        assert!(they >= 1.5 * we, "{policy:?}: p95 {they:.1} s, ours {we:.1} s");
        let (we, they) = (waste_ratio(&ours), waste_ratio(&baseline));
        assert!(we <= they / 2.0, "{policy:?}: wasted {they:.2}, ours {we:.2}");
    }
}

/// Guards the service of other teams while one sends five times its programs.
#[test]
fn greedy_team_leaves_others_their_share() {
    let scenario = at_load(0.85, 200.0);
    let without = sim::run(&sim::A, Policy::Ours, &scenario);
    let with = sim::run(&sim::A, Policy::Ours, &Scenario { greedy: Some(GREEDY), ..scenario });
    let worst = with.worst_share(&without, GREEDY);
    assert!(worst >= 0.95, "worst-served team has {:.1}% of its share", 100.0 * worst);
}

/// Guards against refused calls within the rate while one zone leaves and returns with cold
/// endpoints.
#[test]
fn zone_leaves_without_refusals() {
    for deployment in [&sim::A, &sim::B] {
        let scenario = Scenario { zone_outage: true, ..at_load(0.6, 100.0) };
        let ours = sim::run(deployment, Policy::Ours, &scenario);
        assert!(ours.calls_within_rate > 5_000, "{} calls", ours.calls_within_rate);
        assert_eq!(
            (ours.refused_within_rate, ours.calls_to_disabled_zone),
            (0, 0),
            "{}",
            deployment.name
        );
    }
}
