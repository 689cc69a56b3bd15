//! Benchmarks of the decisions on the path of a call. Targets: routing among 600 endpoints in less
//! than 5 us, local admission in less than 1 us.
//!
//! Allocations are not counted: a counting global allocator needs `unsafe`, which this workspace
//! forbids.

#![allow(missing_docs)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use poplarspan_policy::Name;
use poplarspan_policy::fair::*;
use poplarspan_policy::rate::*;
use poplarspan_policy::route::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn fleet(endpoints: u32) -> (Fleet, PrefixIndex) {
    let (mut fleet, mut prefixes) = (Fleet::new(), PrefixIndex::new(500_000));
    for i in 0..endpoints {
        let id = fleet.upsert(EndpointSpec {
            name: format!("e{i:03}").into(),
            zone: format!("z{}", i % 9).into(),
            groups: vec!["m".into()],
            capacity: 16,
            prefill_per_second: 20_000.0,
            service_s: 2.0,
            leaving: false,
        });
        prefixes.register(id, 5_000);
        fleet.report(id, &LoadReport { running: 3 + i % 11, queued: 0, measured_at: ms(1) });
    }
    (fleet, prefixes)
}

fn routing(c: &mut Criterion) {
    let (fleet, mut prefixes) = fleet(600);
    let mut shared = PrefixChain::new("m", 512);
    shared.extend(&[1; 512 * 16]);
    for i in 0..600 {
        prefixes.record_dispatch(EndpointId(i), shared.blocks(), ms(1));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for blocks in [16, 200, 1600] {
        let mut chain = shared.clone();
        chain.extend(&vec![2; 512 * (blocks - 16)]);
        prefixes.record_dispatch(EndpointId(77), chain.blocks(), ms(2));
        let mut chooser = CostChooser::new("z1".into(), CostConfig::default());
        let req = RouteRequest {
            group: "m",
            blocks: chain.blocks(),
            block_tokens: 128,
            prompt_tokens: 128 * blocks as u32,
            last_endpoint: Some(EndpointId(77)),
            affinity: None,
            excluded: &[],
        };
        c.bench_function(&format!("route/600 endpoints/{blocks} blocks"), |b| {
            b.iter(|| chooser.choose(&fleet, &prefixes, black_box(&req), &mut rng));
        });
    }
}

fn admission(c: &mut Criterion) {
    let limit = Limit::new(1e6, 1_000_000);
    let mut owner = OwnerBucket::new(limit, MIN_VALIDITY, 1e6, ms(0));
    let mut share = InstanceBucket::new("i".into(), limit, InstanceBucketConfig::default());
    let (mut now, mut number) = (ms(0), 0);
    c.bench_function("admit/local", |b| {
        b.iter(|| {
            now += Duration::from_nanos(1500);
            let admission = share.acquire(now + ms(100), now);
            if let Some(ask) = share.poll(now) {
                number += 1;
                let grant = owner.request(GrantId { session: 1, number }, &ask, now);
                share.on_grant(ask.id, &grant, now);
            }
            admission
        });
    });
}

fn queue(c: &mut Criterion) {
    for teams in [8_usize, 1000] {
        let order = Box::new(LasDeadline::default());
        let cfg = QueueConfig { max_total: 1 << 20, ..QueueConfig::default() };
        let mut queue = FairQueue::new(cfg, order);
        let mut limits = FixedLimit::new(u32::MAX);
        let names: Vec<Name> = (0..teams).map(|i| format!("t{i:04}").into()).collect();
        let programs: Vec<Name> = (0..997).map(|i| format!("p{i}").into()).collect();
        let mut count = 0;
        let mut push = |queue: &mut FairQueue<u64>, now| {
            count += 1;
            let team = names[count % teams].clone();
            let program = Some(programs[count % programs.len()].clone());
            let (cost, deadline) = (100, now + ms(1_000_000));
            let payload = count as u64;
            let call = Call { team, weight: 1, program, cost, deadline, payload };
            queue.push(call, now).expect("the queue has room")
        };
        for _ in 0..4000 {
            push(&mut queue, ms(0));
        }
        let mut now = ms(0);
        c.bench_function(&format!("queue/push and pop/{teams} teams, 4000 calls"), |b| {
            b.iter(|| {
                now += Duration::from_micros(10);
                push(&mut queue, now);
                queue.pop(&mut limits, now)
            });
        });
    }
}

criterion_group!(benches, routing, admission, queue);
criterion_main!(benches);
