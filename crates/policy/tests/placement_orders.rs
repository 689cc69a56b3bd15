//! Tests of the planner of model placement.

mod common;

use common::ms;
use poplarspan_policy::placement::*;

fn host(name: &str, loaded: &[(&str, u32)]) -> Host {
    let loaded =
        loaded.iter().map(|(m, n)| LoadedModel { model: (*m).into(), in_flight: *n }).collect();
    Host { endpoint: name.into(), capacity: 10, max_models: 2, loaded, available: true }
}

fn demand(calls: f64) -> [ModelDemand; 1] {
    [ModelDemand { model: "m".into(), calls, bytes: 1e9 }]
}

fn planner() -> Placement {
    let cfg = PlacementConfig {
        store_bytes_per_s: 1e8,
        store_burst_bytes: 2e9,
        scale_in_delay: ms(5000),
        ..PlacementConfig::default()
    };
    Placement::new(cfg, 3, ms(0))
}

/// Guards against loads that exceed the weight store's rate, and fencing tokens that do not
/// increase.
#[test]
fn loads_follow_demand_under_store_rate() {
    let mut planner = planner();
    let hosts: Vec<_> = ["a", "b", "c", "d"].map(|name| host(name, &[])).into();
    let (mut loads, mut fence) = (Vec::new(), 3 << 32);
    for now in 0..60 {
        for order in planner.plan(&demand(21.0), &hosts, ms(now * 1000)) {
            assert_eq!(order.action, Action::Load);
            assert!(order.fencing_token > fence);
            fence = order.fencing_token;
            loads.push((now, order.endpoint));
        }
    }
    let at: Vec<_> = loads.iter().map(|(now, _)| *now).collect();
    assert_eq!(at, [10, 20, 30], "one load per 10 s; three endpoints are enough for 21 calls");
}

/// Guards against unloading a model with calls in flight, and scaling in on a short dip in demand.
#[test]
fn scale_in_drains_first() {
    let mut planner = planner();
    let mut hosts = vec![host("a", &[("m", 4)]), host("b", &[("m", 1)])];
    assert_eq!(planner.plan(&demand(2.0), &hosts, ms(0)), []);
    assert_eq!(planner.plan(&demand(2.0), &hosts, ms(4000)), []);
    let orders = planner.plan(&demand(2.0), &hosts, ms(5000));
    assert_eq!((orders[0].action, &*orders[0].endpoint), (Action::Drain, "b"));
    assert!(planner.is_draining(&"b".into(), &"m".into()));
    assert_eq!(planner.plan(&demand(2.0), &hosts, ms(6000)), []);
    hosts[1] = host("b", &[("m", 0)]);
    let orders = planner.plan(&demand(2.0), &hosts, ms(7000));
    assert_eq!((orders[0].action, &*orders[0].endpoint), (Action::Unload, "b"));
}
