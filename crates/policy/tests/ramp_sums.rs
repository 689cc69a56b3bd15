//! Guards invariant I7: a cold endpoint gets no more calls than its capacity, over all instances.

mod common;

use common::{fixed_seed, ms};
use poplarspan_policy::Name;
use poplarspan_policy::ramp::*;
use poplarspan_policy::rate::View;
use proptest::prelude::*;

const LEASE_MS: u64 = 2000;

fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| Name::from(format!("i{i}"))).collect()
}

fn spec(endpoint: &str, cold: u32) -> RampSpec {
    RampSpec {
        endpoint: endpoint.into(),
        group: "m".into(),
        capacity: 40,
        cold_capacity: cold,
        ramp: ms(20_000),
    }
}

fn settled(me: &str, instances: &[Name], endpoints: &[&str]) -> Ramps {
    let mut ramps = Ramps::new(me.into(), ms(LEASE_MS));
    for endpoint in endpoints {
        ramps.upsert(spec(endpoint, 3));
    }
    ramps.observe_view(&View { epoch: 1, instances: instances.to_vec() }, ms(0));
    ramps
}

proptest! {
    #![proptest_config(fixed_seed(64, 12))]

    /// Guards against two instances that use the same share while their views differ. The leader
    /// changes the view at random times; each instance receives it late or loses its lease.
    #[test]
    fn sum_of_shares_is_within_total(
        changes in prop::collection::vec((2500..20_000_u64, 0..8_usize), 1..12),
        delays in prop::collection::vec(0..2500_u64, 8 * 13),
        cold in 1..30_u32,
    ) {
        let all = names(8);
        let mut changes = changes;
        changes.sort();
        let mut live = vec![true; 8];
        let mut views = vec![(0, live.clone())];
        for (at, who) in &changes {
            live[*who] = !live[*who];
            views.push((*at, live.clone()));
        }
        let mut ramps: Vec<Ramps> = (0..8).map(|i| {
            let mut ramps = Ramps::new(all[i].clone(), ms(LEASE_MS));
            ramps.upsert(spec("e", cold));
            ramps
        }).collect();
        for now in (0..23_000).step_by(50) {
            let mut sum = 0;
            for i in 0..8 {
                // The newest view that has arrived here. Heartbeats bring the newest one, so the
                // lease holds only until one lease duration after the next view was made.
                let arrived = |e: &usize| views[*e].0 + delays[i * 13 + *e] <= now;
                let Some(epoch) = (0..views.len()).filter(arrived).max() else { continue };
                let instances = (0..8).filter(|j| views[epoch].1[*j]);
                let instances = instances.map(|j| all[j].clone()).collect();
                ramps[i].observe_view(&View { epoch: epoch as u64 + 1, instances }, ms(now));
                let lease = views.get(epoch + 1).is_none_or(|(at, _)| now < at + LEASE_MS);
                if lease && views[epoch].1[i] {
                    let cap = ramps[i].cap("e", ms(now)).unwrap();
                    prop_assert_eq!(cap.total, cold);
                    sum += cap.own;
                }
            }
            prop_assert!(sum <= cold, "sum {} above {} at {} ms", sum, cold, now);
        }
    }
}

/// Guards against an instance that missed views and uses its share of a view without knowing those
/// in between.
#[test]
fn gap_between_views_counts_as_new() {
    let all = names(2);
    let mut ramps = settled("i0", &all, &["e"]);
    assert!(ramps.cap("e", ms(3000)).unwrap().own > 0);
    ramps.observe_view(&View { epoch: 3, instances: all }, ms(4000));
    assert_eq!(ramps.cap("e", ms(5999)).unwrap().own, 0);
    assert!(ramps.cap("e", ms(6000)).unwrap().own > 0);
}

/// Guards against shares that leave capacity unused in a stable view.
#[test]
fn shares_add_up_in_stable_view() {
    let all = names(8);
    for total in [3, 17, 24] {
        let sum: u32 = all
            .iter()
            .map(|me| {
                let mut ramps = settled(me, &all, &[]);
                ramps.upsert(spec("e", total));
                ramps.cap("e", ms(3000)).unwrap().own
            })
            .sum();
        assert_eq!(sum, total);
    }
}

/// Guards against an endpoint that counts as warm after its process was restarted, or while it
/// refuses calls or is much slower than usual.
#[test]
fn return_to_cold_is_recognized() {
    let mut ramps = settled("i0", &names(1), &["e"]);
    assert_eq!(ramps.cap("e", ms(3000)).unwrap().total, 3, "unknown endpoints are cold");
    ramps.observe_run("e", 1, Some(ms(60_000)), ms(3000));
    assert!(ramps.is_warm("e", ms(3000)) && ramps.cap("e", ms(3000)).is_none());
    ramps.observe_run("e", 2, Some(ms(0)), ms(4000));
    assert_eq!(ramps.cap("e", ms(4000)).unwrap().total, 3);
    assert_eq!(ramps.cap("e", ms(14_000)).unwrap().total, 21);
    assert_eq!(ramps.cap("e", ms(24_000)), None);
    for _ in 0..COLD_REFUSALS {
        ramps.observe_outcome("e", Outcome::Refused, ms(25_000));
    }
    assert_eq!(ramps.cap("e", ms(25_000)).unwrap().total, 3);
    for _ in 0..50 {
        ramps.observe_outcome("e", Outcome::Answered(ms(100)), ms(50_000));
    }
    for _ in 0..COLD_LATENCIES {
        assert!(ramps.is_warm("e", ms(50_000)));
        ramps.observe_outcome("e", Outcome::Answered(ms(900)), ms(50_000));
    }
    assert!(!ramps.is_warm("e", ms(50_000)));
}

/// Guards against overloading the one endpoint that stays warm when all others restart.
#[test]
fn lone_warm_endpoint_is_divided() {
    let all = names(8);
    let mut sum = 0;
    for me in &all {
        let mut ramps = settled(me, &all, &["a", "b", "c", "d"]);
        for endpoint in ["a", "b", "c", "d"] {
            ramps.observe_run(endpoint, 1, Some(ms(60_000)), ms(3000));
        }
        assert!(["a", "b", "c", "d"].iter().all(|e| ramps.cap(e, ms(3000)).is_none()));
        for endpoint in ["b", "c", "d"] {
            ramps.observe_run(endpoint, 2, Some(ms(0)), ms(4000));
        }
        sum += ramps.cap("a", ms(4000)).unwrap().own;
    }
    assert_eq!(sum, 40);
}
