//! Tests of endpoint selection.

mod common;

use common::{fixed_seed, ms};
use poplarspan_policy::Name;
use poplarspan_policy::route::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn spec(name: &str, zone: &str) -> EndpointSpec {
    EndpointSpec {
        name: name.into(),
        zone: zone.into(),
        groups: vec!["m".into()],
        capacity: 8,
        prefill_per_second: 10_000.0,
        service_s: 1.0,
        leaving: false,
    }
}

fn request(blocks: &[u64]) -> RouteRequest<'_> {
    let prompt_tokens = 100 * blocks.len() as u32;
    RouteRequest {
        group: "m",
        blocks,
        block_tokens: 100,
        prompt_tokens,
        last_endpoint: None,
        affinity: None,
        excluded: &[],
    }
}

fn choosers() -> Vec<Box<dyn Chooser>> {
    vec![
        Box::new(CostChooser::new("z0".into(), CostConfig::default())),
        Box::new(RoundRobin::default()),
        Box::new(LeastConnections),
    ]
}

fn fleet(zones: usize, each: usize) -> (Fleet, Vec<EndpointId>) {
    let mut fleet = Fleet::new();
    let ids = (0..zones * each)
        .map(|i| fleet.upsert(spec(&format!("e{i:02}"), &format!("z{}", i % zones))))
        .collect();
    (fleet, ids)
}

proptest! {
    #![proptest_config(fixed_seed(128, 16))]

    /// Guards invariants I7, I8 and I12: no chooser picks an endpoint that is leaving, removed,
    /// unhealthy, in a disabled zone, above its cap or excluded, and each finds an endpoint if one
    /// is eligible.
    #[test]
    fn excluded_endpoints_are_never_chosen(
        states in prop::collection::vec(0..7_u8, 12),
        out in prop::collection::vec(any::<bool>(), 3),
        seed in any::<u64>(),
    ) {
        let (mut fleet, ids) = fleet(3, 4);
        let mut avoid = Vec::new();
        for (i, state) in states.iter().enumerate() {
            let name = format!("e{i:02}");
            match state {
                0 => { fleet.remove(&name); }
                1 => { fleet.upsert(EndpointSpec { leaving: true, ..spec(&name, &format!("z{}", i % 3)) }); }
                2 => fleet.set_healthy(ids[i], false),
                3 => { fleet.set_cap(ids[i], Some(1)); fleet.call_started(ids[i], ms(0)); }
                4 => avoid.push(ids[i]),
                _ => {}
            }
        }
        for (z, out) in out.iter().enumerate() {
            fleet.set_zone_out(&Name::from(format!("z{z}")), *out);
        }
        let may = |i: usize| states[i] > 4 && !out[i % 3];
        let mut rng = StdRng::seed_from_u64(seed);
        let prefixes = PrefixIndex::new(10);
        for mut chooser in choosers() {
            for _ in 0..20 {
                let last = ids.first().copied();
                let req = RouteRequest { excluded: &avoid, last_endpoint: last, ..request(&[]) };
                match chooser.choose(&fleet, &prefixes, &req, &mut rng) {
                    Ok(choice) => prop_assert!(may(ids.iter().position(|id| *id == choice.endpoint).unwrap())),
                    Err(_) => prop_assert!(!(0..12).any(may)),
                }
            }
        }
    }

    /// Guards against a load estimate that counts an own call twice or not at all, at any lag of
    /// the report.
    #[test]
    fn late_reports_are_corrected(
        calls in prop::collection::vec((0..500_u64, 1..500_u64), 1..40),
        taken in 0..1000_u64,
        lag in 0..500_u64,
    ) {
        let (mut fleet, ids) = fleet(1, 1);
        let running = |at: u64| calls.iter().filter(|(s, d)| *s <= at && at < s + d).count() as u32;
        let mut events: Vec<_> = calls.iter()
            .flat_map(|(s, d)| [(*s, true), (s + d, false)])
            .filter(|(at, _)| *at <= taken + lag).collect();
        events.sort_by_key(|(at, start)| (*at, !start));
        for (at, start) in events {
            if start { fleet.call_started(ids[0], ms(at)) } else { fleet.call_ended(ids[0], None, ms(at)) }
        }
        // Two more calls of other instances were running.
        let report = LoadReport { running: running(taken) + 2, queued: 0, measured_at: ms(taken) };
        fleet.report(ids[0], &report);
        prop_assert_eq!(fleet.load(ids[0]), f64::from(running(taken + lag) + 2));
    }
}

/// Guards against herding: 8 instances with the same stale report must not choose the same
/// endpoint.
#[test]
fn equal_reports_do_not_herd() {
    let mut counts = [0; 12];
    let prefixes = PrefixIndex::new(10);
    for instance in 0..8 {
        let mut rng = StdRng::seed_from_u64(instance);
        let (mut fleet, ids) = fleet(1, 12);
        for (i, id) in ids.iter().enumerate() {
            // Endpoint 0 looks slightly better.
            let running = if i == 0 { 2 } else { 3 };
            fleet.report(*id, &LoadReport { running, queued: 0, measured_at: ms(0) });
        }
        let mut chooser = CostChooser::new("z0".into(), CostConfig::default());
        for _ in 0..6 {
            let choice = chooser.choose(&fleet, &prefixes, &request(&[]), &mut rng).unwrap();
            fleet.call_started(choice.endpoint, ms(1));
            counts[choice.endpoint.0 as usize] += 1;
        }
    }
    let most = *counts.iter().max().unwrap();
    // 48 calls on 12 endpoints are 4 each; with herding, endpoint 0 would get far more.
    assert!(most <= 12, "{counts:?}");
}

/// Guards against herding on a negligible difference: one endpoint has 10 tokens cached.
#[test]
fn near_equal_endpoints_share_calls() {
    let (fleet, ids) = fleet(1, 12);
    let mut prefixes = PrefixIndex::new(10);
    prefixes.register(ids[0], 10);
    prefixes.record_dispatch(ids[0], &[1], ms(0));
    let mut first = 0;
    for instance in 0..8 {
        let mut rng = StdRng::seed_from_u64(instance);
        let mut chooser = CostChooser::new("z0".into(), CostConfig::default());
        let req = RouteRequest { block_tokens: 10, prompt_tokens: 10, ..request(&[1]) };
        let choice = chooser.choose(&fleet, &prefixes, &req, &mut rng).unwrap();
        first += u32::from(choice.endpoint == ids[0]);
    }
    assert!(first <= 4, "{first} of 8 instances chose the same endpoint");
}

/// Guards against calls that queue at the endpoints instead of the fair queue: one endpoint may
/// exceed its capacity, but not the whole group.
#[test]
fn full_group_takes_no_calls() {
    let (mut fleet, ids) = fleet(1, 2);
    let (mut rng, prefixes) = (StdRng::seed_from_u64(1), PrefixIndex::new(10));
    let mut chooser = CostChooser::new("z0".into(), CostConfig::default());
    for (at, (running, full)) in [(6, false), (7, true), (6, false)].into_iter().enumerate() {
        let taken = ms(at as u64);
        fleet.report(ids[0], &LoadReport { running: 8, queued: 1, measured_at: taken });
        fleet.report(ids[1], &LoadReport { running, queued: 0, measured_at: taken });
        let choice = chooser.choose(&fleet, &prefixes, &request(&[]), &mut rng);
        assert_eq!(choice.is_err_and(|e| e == NoRoute::Full), full);
    }
}

/// Guards against leaving a cached prefix for a small difference, and against staying at any cost.
#[test]
fn cached_prefix_attracts_until_load() {
    let (mut fleet, ids) = fleet(2, 2);
    let mut prefixes = PrefixIndex::new(1000);
    for id in &ids {
        prefixes.register(*id, 100);
    }
    let blocks: Vec<u64> = (0..40).map(|i| i * 7919 + 1).collect();
    prefixes.record_dispatch(ids[3], &blocks, ms(0));
    let mut chooser = CostChooser::new("z0".into(), CostConfig::default());
    let mut rng = StdRng::seed_from_u64(1);
    let choice = chooser.choose(&fleet, &prefixes, &request(&blocks), &mut rng).unwrap();
    assert_eq!((choice.endpoint, choice.cached_blocks), (ids[3], 40));
    // At capacity, a long cached history is worth a short wait; a short one is not.
    fleet.report(ids[3], &LoadReport { running: 8, queued: 0, measured_at: ms(1) });
    let choice = chooser.choose(&fleet, &prefixes, &request(&blocks), &mut rng).unwrap();
    assert_eq!(choice.endpoint, ids[3]);
    let choice = chooser.choose(&fleet, &prefixes, &request(&blocks[..2]), &mut rng).unwrap();
    assert_ne!(choice.endpoint, ids[3]);
    fleet.report(ids[3], &LoadReport { running: 8, queued: 8, measured_at: ms(2) });
    let choice = chooser.choose(&fleet, &prefixes, &request(&blocks), &mut rng).unwrap();
    assert_eq!(fleet.spec(choice.endpoint).zone, "z0".into(), "same zone when costs are equal");
    for id in &ids {
        let running = if fleet.spec(*id).zone == "z0".into() { 6 } else { 1 };
        fleet.report(*id, &LoadReport { running, queued: 0, measured_at: ms(3) });
    }
    let choice = chooser.choose(&fleet, &prefixes, &request(&[]), &mut rng).unwrap();
    assert_eq!(fleet.spec(choice.endpoint).zone, "z1".into(), "zone preference yields to load");
}

/// Guards against an index that exceeds its limit, counts evicted blocks as cached, or lets a late
/// removal undo a newer dispatch.
#[test]
fn prefix_index_follows_caches() {
    let mut prefixes = PrefixIndex::new(200);
    let (a, b) = (EndpointId(0), EndpointId(1));
    prefixes.register(a, 50);
    prefixes.register(b, 50);
    let mut depths = CachedDepths::default();
    let mut depth = |prefixes: &PrefixIndex, blocks: &[u64], id| {
        prefixes.lookup(blocks, &mut depths);
        depths.get(id)
    };
    let chain = |seed: u64| (0..20).map(|i| seed * 1000 + i).collect::<Vec<u64>>();
    let event = |sequence, at, change| CacheEvent { sequence, occurred_at: ms(at), change };
    prefixes.record_dispatch(a, &chain(1), ms(100));
    prefixes.record_dispatch(b, &chain(1)[..5], ms(100));
    assert_eq!((depth(&prefixes, &chain(1), a), depth(&prefixes, &chain(1), b)), (20, 5));
    // A removal from before the dispatch is ignored; one from after it is applied.
    prefixes.apply_event(a, &event(1, 50, CacheChange::Removed(chain(1))));
    assert_eq!(depth(&prefixes, &chain(1), a), 20);
    prefixes.apply_event(a, &event(2, 150, CacheChange::Removed(chain(1)[10..].to_vec())));
    assert_eq!(depth(&prefixes, &chain(1), a), 10);
    // Stored blocks evict the least recently used ones, and so do those in lost events.
    prefixes.apply_event(b, &event(1, 200, CacheChange::Stored(chain(2))));
    prefixes.apply_event(b, &event(2, 200, CacheChange::Stored(chain(3))));
    assert_eq!(depth(&prefixes, &chain(2), b), 20);
    prefixes.apply_event(b, &event(90, 300, CacheChange::Stored(chain(4))));
    assert_eq!((depth(&prefixes, &chain(2), b), depth(&prefixes, &chain(4), b)), (0, 20));
    prefixes.apply_event(b, &event(91, 300, CacheChange::Cleared));
    assert_eq!(depth(&prefixes, &chain(4), b), 0);
    for seed in 10..100 {
        prefixes.record_dispatch(a, &chain(seed), ms(400));
        assert!(prefixes.len() <= 200);
    }
    assert_eq!(depth(&prefixes, &chain(99), a), 20);
}

/// Guards against chains that depend on how the text was split, or that are equal in two scopes.
#[test]
fn chains_extend() {
    let text: Vec<u8> = (0..1000_u32).map(|i| (i % 251) as u8).collect();
    let mut whole = PrefixChain::new("m/1", 64);
    whole.extend(&text);
    let mut pieces = PrefixChain::new("m/1", 64);
    text.chunks(37).for_each(|piece| pieces.extend(piece));
    assert_eq!(whole.blocks(), pieces.blocks());
    assert_eq!(whole.blocks().len(), 15);
    let mut other = PrefixChain::new("m/2", 64);
    other.extend(&text);
    assert_ne!(whole.blocks()[0], other.blocks()[0]);
}

/// Calls go to endpoints with an open connection, unless these are much busier than the others.
#[test]
fn connected_endpoints() {
    let cfg = CostConfig { connect_s: 0.1, ..CostConfig::default() };
    let (mut fleet, ids) = fleet(1, 12);
    for id in &ids[2..] {
        fleet.set_connected(*id, false);
    }
    let mut chooser = CostChooser::new("z0".into(), cfg);
    let (prefixes, mut rng) = (PrefixIndex::new(10), StdRng::seed_from_u64(3));
    let mut choose = |fleet: &Fleet| {
        chooser.choose(fleet, &prefixes, &request(&[]), &mut rng).expect("a choice").endpoint
    };
    assert!((0..50).all(|_| ids[..2].contains(&choose(&fleet))));
    for id in &ids[..2] {
        (0..6).for_each(|_| fleet.call_started(*id, ms(0)));
    }
    assert!((0..50).all(|_| ids[2..].contains(&choose(&fleet))), "the connected ones are busy");
}
