//! Exposure of callers to versions that a canary's few calls hardly tell from a good one.

#[path = "common/rollout_load.rs"]
mod rollout_load;

use rollout_load::{Attempt, Behaviour, Load, play};

const SEEDS: u64 = 10;
const LOADS: [(usize, f64); 2] = [(8, 100.0), (64, 400.0)];

fn of_target(attempt: &Attempt, is_affected: bool, behaviour: (f64, f64)) -> (f64, f64) {
    if attempt.is_target && is_affected { behaviour } else { (0.0, 1.0) }
}

const WEAK: [(&str, Behaviour); 6] = [
    ("three times slower", |a| of_target(a, true, (0.0, 3.0))),
    ("half five times slower", |a| of_target(a, a.at_ms % 2 == 0, (0.0, 5.0))),
    ("one route five times slower", |a| of_target(a, a.route == "d", (0.0, 5.0))),
    ("a tenth fails", |a| of_target(a, true, (0.1, 1.0))),
    ("half of one route fails", |a| of_target(a, a.route == "d", (0.5, 1.0))),
    ("slower from 5 s on", |a| of_target(a, a.at_ms > 5_000, (0.0, 5.0))),
];

/// Guards against a shift of calls to a version that the evidence cannot judge: it must not get
/// more calls by the time limit than a bad version may, nor go on after its 50th bad answer.
#[test]
fn weak_versions() {
    let mut exceeded = Vec::new();
    for (name, behaviour) in WEAK {
        for (fronts, per_second) in LOADS {
            let load = Load::new(fronts, per_second, behaviour);
            let outcomes: Vec<_> = (0..SEEDS).map(|seed| play(&load, seed)).collect();
            let count = outcomes.iter().filter(|o| !o.keeps_exposure()).count();
            let reverted = outcomes.iter().filter(|o| o.is_reverted()).count();
            println!("{name} at {per_second} calls/s: {count} exceed, {reverted} reverted");
            if count > 0 {
                exceeded.push((name, per_second, count));
            }
        }
    }
    assert!(exceeded.is_empty(), "seeds that exceed the exposure limit: {exceeded:?}");
}
