//! Guards against requests that crash one endpoint after another.

mod common;

use common::fixed_seed;
use poplarspan_policy::Name;
use poplarspan_policy::containment::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn crash(fingerprint: Fingerprint, endpoint: &str, at_ms: u64) -> Crash {
    Crash { fingerprint, endpoint: endpoint.into(), at_ms }
}

proptest! {
    #![proptest_config(fixed_seed(256, 13))]

    /// Guards against the crash of a third endpoint because instances exchange their tables late.
    /// The caller sends the request again to a random instance as soon as it has an answer.
    #[test]
    fn at_most_two_endpoints_crash(
        instances in 2..8_usize,
        delay_ms in 0..3000_u64,
        loss in 0.0..0.6_f64,
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<Name> = (0..instances).map(|i| Name::from(format!("i{i}"))).collect();
        let endpoints: Vec<Name> = (0..10).map(|i| Name::from(format!("e{i}"))).collect();
        let mut tables: Vec<_> =
            (0..instances).map(|_| Containment::new(ContainmentConfig::default())).collect();
        let fingerprint = Fingerprint::new("/v1", b"poison");
        let mut net: Vec<(u64, usize, usize, Vec<Crash>)> = Vec::new();
        let mut crashed: Vec<Name> = Vec::new();
        let mut at = Some(rng.random_range(0..instances));
        let (mut refused, mut waiting) = (0, false);
        for now in (0..60_000).step_by(100) {
            let (due, later): (Vec<_>, Vec<_>) = net.into_iter().partition(|(t, ..)| *t <= now);
            net = later;
            for (_, from, to, records) in due {
                tables[to].merge(&records, now);
                tables[from].acknowledge(&names[to], &records);
            }
            for (from, table) in tables.iter().enumerate() {
                for (to, peer) in names.iter().enumerate() {
                    let records = table.unacknowledged(peer);
                    if !records.is_empty() && !rng.random_bool(loss) {
                        net.push((now + rng.random_range(0..=delay_ms), from, to, records));
                    }
                }
            }
            let Some(i) = at else { continue };
            if waiting && tables[i].is_replicated(fingerprint) {
                // The instance answers, and the caller sends the request again elsewhere.
                at = Some(rng.random_range(0..instances));
                waiting = false;
                continue;
            }
            let not = match tables[i].admission(fingerprint, now) {
                Admission::Anywhere => Vec::new(),
                Admission::Excluding(not) => not,
                Admission::Pending => continue,
                Admission::Refused => {
                    refused += 1;
                    at = Some(rng.random_range(0..instances));
                    continue;
                }
            };
            let open: Vec<_> = endpoints.iter().filter(|e| !not.contains(e)).collect();
            let endpoint = (*open.choose(&mut rng).unwrap()).clone();
            crashed.push(endpoint.clone());
            let peers: Vec<_> = names.iter().filter(|n| **n != names[i]).cloned().collect();
            tables[i].record(crash(fingerprint, &endpoint, now), &peers, now);
            waiting = true;
        }
        prop_assert!(crashed.len() <= MAX_CRASHED_ENDPOINTS, "crashed {crashed:?}");
        prop_assert!(refused > 0);
    }

    /// Guards against tables that depend on the order or number of merges, or exceed their limit.
    #[test]
    fn merge_is_a_bounded_union(
        records in prop::collection::vec((0..20_u8, 0..4_u8, 0..1000_u64), 0..60),
        split in 0..60_usize,
    ) {
        let records: Vec<_> = records
            .iter()
            .map(|(f, e, t)| crash(Fingerprint([*f; 32]), &format!("e{e}"), 1000 + t))
            .collect();
        let (one, two) = records.split_at(split.min(records.len()));
        let mut left = Containment::new(ContainmentConfig::default());
        let mut right = Containment::new(ContainmentConfig::default());
        left.merge(one, 2000);
        left.merge(two, 2000);
        left.merge(one, 2000);
        right.merge(two, 2000);
        right.merge(one, 2000);
        prop_assert_eq!(left.records(), right.records());
        let mut small = Containment::new(ContainmentConfig { max_records: 8, retention_ms: 500 });
        small.merge(&records, 2000);
        prop_assert!(small.records().len() <= 8);
        prop_assert!(small.records().iter().all(|c| c.at_ms > 1500));
    }
}

/// Guards against the refusal of a request that twice ran next to the one that crashes endpoints.
#[test]
fn suspects_do_not_share_an_endpoint() {
    let mut table = Containment::new(ContainmentConfig::default());
    let (bad, good) = (Fingerprint([1; 32]), Fingerprint([2; 32]));
    for fingerprint in [bad, good] {
        table.record(crash(fingerprint, "a", 1), &[], 1);
        assert_eq!(table.admission(fingerprint, 2), Admission::Excluding(vec!["a".into()]));
    }
    assert!(table.reserve_endpoint(&"b".into(), bad));
    assert!(!table.reserve_endpoint(&"b".into(), good));
    assert!(table.reserve_endpoint(&"c".into(), good));
    table.record(crash(bad, "b", 3), &[], 3);
    assert_eq!(table.admission(bad, 4), Admission::Refused);
    table.release_endpoint("c", good);
    assert_eq!(table.admission(good, 4), Admission::Excluding(vec!["a".into()]));
}
