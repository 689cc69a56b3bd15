//! Routes the growing prompts of programs to endpoints in two zones, by estimated cost with an
//! index of cached prefixes and by round robin, and prints how many tokens each of them prefills.

use std::time::Duration;

use poplarspan_policy::route::{
    Chooser, CostChooser, CostConfig, EndpointId, EndpointSpec, Fleet, NoRoute, PrefixChain,
    PrefixIndex, RoundRobin, RouteRequest,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

const BLOCK_TOKENS: u32 = 16;
const BLOCK_BYTES: usize = 64;
const CACHE_BLOCKS: u32 = 4_096;
const PROGRAMS: usize = 8;
const TURNS: usize = 10;

fn fleet(prefixes: &mut PrefixIndex) -> Fleet {
    let mut fleet = Fleet::new();
    for i in 0..6 {
        let id = fleet.upsert(EndpointSpec {
            name: format!("engine-{i}").into(),
            zone: format!("zone-{}", i % 2).into(),
            groups: vec!["chat".into()],
            capacity: 8,
            prefill_per_second: 8_000.0,
            service_s: 1.0,
            leaving: false,
        });
        prefixes.register(id, CACHE_BLOCKS);
    }
    fleet
}

/// Returns the number of prompt tokens that were not cached at the chosen endpoint, and the number
/// of all prompt tokens.
fn run(chooser: &mut dyn Chooser) -> Result<(u32, u32), NoRoute> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut prefixes = PrefixIndex::new(100_000);
    let mut fleet = fleet(&mut prefixes);
    let mut programs =
        vec![(PrefixChain::new("chat 1", BLOCK_BYTES), None::<EndpointId>); PROGRAMS];
    let (mut prefilled, mut total) = (0, 0);
    let mut now = Duration::ZERO;
    for turn in 0..TURNS {
        for (number, (chain, last)) in programs.iter_mut().enumerate() {
            // Each turn appends 32 blocks to the history of its program.
            chain.extend(format!("{number:032}{turn:032}").repeat(32).as_bytes());
            let blocks = chain.blocks();
            let prompt_tokens = BLOCK_TOKENS * blocks.len() as u32;
            let group = "chat";
            let (block_tokens, avoid) = (BLOCK_TOKENS, &[]);
            let req = RouteRequest {
                group,
                blocks,
                block_tokens,
                prompt_tokens,
                last_endpoint: *last,
                affinity: None,
                excluded: avoid,
            };
            let choice = chooser.choose(&fleet, &prefixes, &req, &mut rng)?;
            let mut depths = Default::default();
            prefixes.lookup(blocks, &mut depths);
            prefilled += prompt_tokens - BLOCK_TOKENS * depths.get(choice.endpoint);
            total += prompt_tokens;
            prefixes.record_dispatch(choice.endpoint, blocks, now);
            fleet.call_started(choice.endpoint, now);
            now += Duration::from_millis(300);
            fleet.call_ended(choice.endpoint, Some(Duration::from_millis(300)), now);
            *last = Some(choice.endpoint);
        }
    }
    Ok((prefilled, total))
}

fn main() -> Result<(), NoRoute> {
    let mut by_cost = CostChooser::new("zone-0".into(), CostConfig::default());
    let (prefilled, total) = run(&mut by_cost)?;
    println!("by cost: {prefilled} of {total} prompt tokens prefilled");
    let (prefilled, total) = run(&mut RoundRobin::default())?;
    println!("round robin: {prefilled} of {total} prompt tokens prefilled");
    Ok(())
}
