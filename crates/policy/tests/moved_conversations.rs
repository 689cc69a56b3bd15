//! Plays programs whose turns arrive at changing instances, and counts the prompt tokens that
//! endpoints read again because an instance does not know where a prompt is cached.

mod common;

use std::collections::HashSet;

use common::ms;
use poplarspan_policy::route::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: std::ops::Range<u64> = 1..6;
const INSTANCES: usize = 4;
const ENDPOINTS: usize = 12;
const PROGRAMS: u64 = 120;
const TURNS: u64 = 6;
/// Turn before which all instances restart.
const RESTART: u64 = 3;
const BLOCKS_PER_TURN: u64 = 4;
const BLOCK_TOKENS: u32 = 100;

struct Instance {
    fleet: Fleet,
    prefixes: PrefixIndex,
    chooser: CostChooser,
}

impl Instance {
    fn new() -> Self {
        let (mut fleet, mut prefixes) = (Fleet::new(), PrefixIndex::new(1 << 16));
        for n in 0..ENDPOINTS {
            let id = fleet.upsert(EndpointSpec {
                name: format!("e{n:02}").into(),
                zone: "z0".into(),
                groups: vec!["m".into()],
                capacity: 64,
                prefill_per_second: 10_000.0,
                service_s: 0.2,
                leaving: false,
            });
            prefixes.register(id, 4_096);
        }
        let chooser = CostChooser::new("z0".into(), CostConfig::default());
        Self { fleet, prefixes, chooser }
    }
}

/// Result of a play.
struct Outcome {
    /// Tokens read by an endpoint although another one has them cached.
    read_again: u64,
    /// Calls at the busiest endpoint as a multiple of the mean.
    busiest: f64,
}

fn play(seed: u64, has_affinity: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut instances: Vec<_> = (0..INSTANCES).map(|_| Instance::new()).collect();
    let mut cached = vec![HashSet::new(); ENDPOINTS];
    let mut calls = [0_u64; ENDPOINTS];
    let mut read = 0;
    for turn in 0..TURNS {
        if turn == RESTART {
            instances = (0..INSTANCES).map(|_| Instance::new()).collect();
        }
        for program in 0..PROGRAMS {
            let Instance { fleet, prefixes, chooser } =
                &mut instances[rng.random_range(0..INSTANCES)];
            let blocks: Vec<u64> =
                (0..BLOCKS_PER_TURN * (turn + 1)).map(|n| program << 32 | n).collect();
            let req = RouteRequest {
                group: "m",
                blocks: &blocks,
                block_tokens: BLOCK_TOKENS,
                prompt_tokens: blocks.len() as u32 * BLOCK_TOKENS,
                last_endpoint: None,
                affinity: has_affinity.then_some(program.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                excluded: &[],
            };
            let choice = chooser.choose(fleet, prefixes, &req, &mut rng).expect("nothing is full");
            prefixes.record_dispatch(choice.endpoint, &blocks, ms(turn));
            let at = choice.endpoint.0 as usize;
            calls[at] += 1;
            read += blocks.iter().filter(|block| cached[at].insert(**block)).count() as u64;
        }
    }
    let needed = PROGRAMS * TURNS * BLOCKS_PER_TURN;
    let mean = (PROGRAMS * TURNS) as f64 / ENDPOINTS as f64;
    let busiest = calls.into_iter().max().expect("there are endpoints") as f64 / mean;
    Outcome { read_again: (read - needed) * u64::from(BLOCK_TOKENS), busiest }
}

#[test]
fn prompts_read_again() {
    for seed in SEEDS {
        let (without, with) = (play(seed, false), play(seed, true));
        println!(
            "seed {seed}: read again {} and {} tokens, busiest {:.2} and {:.2}",
            without.read_again, with.read_again, without.busiest, with.busiest
        );
        assert!(10 * with.read_again <= without.read_again, "seed {seed}");
        assert!(with.busiest < 2.0, "seed {seed}: programs are spread");
    }
}
