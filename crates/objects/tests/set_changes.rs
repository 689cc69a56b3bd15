//! Records, differences between sets, and applying changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use poplarspan_objects::{Change, Kind, ObjectSet, Record, Source, check};
use proptest::collection::{btree_map, btree_set};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Fixed, so that each run tests the same cases. Proptest prints it with each failure.
const SEED: u64 = 11;

/// Contents of a generated set: the numbers of its objects, with the values that vary.
#[derive(Clone, Debug, Default)]
struct SetSpec {
    teams: BTreeMap<u8, u16>,
    keys: BTreeMap<u8, u8>,
    zones_out: BTreeSet<u8>,
    engines: BTreeMap<u8, u8>,
    services: BTreeMap<u8, bool>,
    aliased: bool,
}

fn spec() -> impl Strategy<Value = SetSpec> {
    (
        btree_map(0..12u8, 1..4u16, 1..8),
        btree_map(0..16u8, any::<u8>(), 0..10),
        btree_set(1..4u8, 0..4),
        btree_map(0..8u8, 1..4u8, 1..5),
        btree_map(0..4u8, any::<bool>(), 0..4),
        any::<bool>(),
    )
        .prop_map(|(teams, keys, zones_out, engines, services, aliased)| SetSpec {
            teams,
            keys,
            zones_out,
            engines,
            services,
            aliased,
        })
}

fn build(spec: &SetSpec) -> ObjectSet {
    let mut text = "format = 1\n[[rate]]\nname = \"r\"\nrate = \"0.25/s\"\nburst = 3\n".to_owned();
    for zone in 0..4 {
        let state = if spec.zones_out.contains(&zone) { "out" } else { "in" };
        write!(text, "[[zone]]\nname = \"z{zone}\"\nstate = \"{state}\"\n").unwrap();
    }
    let alias = if spec.aliased { "aliases = [\"n\"]\n" } else { "" };
    write!(
        text,
        "[[model]]\nname = \"m\"\nmax_context = 9\nmax_output = 9\nversion = \"1\"\n{alias}"
    )
    .unwrap();
    for (team, weight) in &spec.teams {
        write!(text, "[[team]]\nname = \"t{team}\"\nrate = \"r\"\nweight = {weight}\n").unwrap();
    }
    let teams: Vec<_> = spec.teams.keys().collect();
    for (key, team) in &spec.keys {
        let team = teams[usize::from(*team) % teams.len()];
        write!(
            text,
            "[[key]]\nname = \"k{key}\"\nteam = \"t{team}\"\ndigest = \"blake3:{key:064x}\"\n"
        )
        .unwrap();
    }
    let mut endpoint = |name: &str, number: u8, serves: &str, capacity: u8| {
        write!(
            text,
            "[[endpoint]]\nname = \"{name}{number}\"\nzone = \"z{}\"\n{serves}\n\
             address = \"127.0.0.1:{}\"\ncapacity = {capacity}\nramp = \"1m 5s\"\n",
            number % 4,
            1000 + u32::from(number)
        )
        .unwrap();
    };
    for (number, capacity) in &spec.engines {
        endpoint("e", *number, "models = [\"m\"]", *capacity);
    }
    for number in spec.services.keys() {
        endpoint("s", 100 + *number, &format!("service = \"s{number}\""), 1);
    }
    for (number, open) in &spec.services {
        write!(
            text,
            "[[route]]\nname = \"p{number}\"\npath = \"/p{number}\"\nkind = \"service\"\n\
             service = \"s{number}\"\nopen = {open}\nmax_body = \"3KiB\"\n"
        )
        .unwrap();
    }
    check(&[Source::new("a", text)]).unwrap_or_else(|findings| panic!("{findings}"))
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against instances that have another set or other lookup tables after applying the
    /// changes.
    #[test]
    fn diff_then_apply(old in spec(), new in spec()) {
        let (old, new) = (build(&old), build(&new));
        let changes = old.diff(&new);
        let applied = old.apply(&changes).unwrap();
        prop_assert_eq!(&applied, &new);
        prop_assert_eq!(applied.content_digest(), new.content_digest());
        prop_assert!(old.diff(&old.clone()).is_empty());
        let order: Vec<_> = changes.iter().map(|c| (c.kind(), c.name().clone())).collect();
        prop_assert!(order.is_sorted());
    }

    /// Guards against records that lose a field, and against a non-canonical encoding.
    #[test]
    fn records_round_trip(spec in spec()) {
        let set = build(&spec);
        let mut records = set.records();
        let copy = ObjectSet::from_records(&records).unwrap();
        prop_assert_eq!(&copy, &set);
        prop_assert_eq!(copy.records(), records.clone());
        records.reverse();
        prop_assert_eq!(ObjectSet::from_records(&records).unwrap(), set);
    }

    /// Guards against `apply`, which checks only some kinds, accepting a set that a full check
    /// refuses.
    #[test]
    fn apply_checks_enough(spec in spec(), pick in any::<prop::sample::Index>()) {
        let set = build(&spec);
        let mut records = set.records();
        let Record { kind, name, .. } = records.remove(pick.index(records.len()));
        let applied = set.apply(&[Change::Remove { kind, name }]);
        prop_assert_eq!(applied, ObjectSet::from_records(&records));
    }
}

fn sample() -> ObjectSet {
    let teams = [(1, 1), (2, 1)].into();
    let engines = [(0, 4)].into();
    build(&SetSpec { teams, keys: [(1, 0)].into(), engines, ..SetSpec::default() })
}

fn record(set: &ObjectSet, kind: Kind, name: &str, from: &str, to: &str) -> Record {
    let mut record = set.record(kind, name).unwrap();
    let body = String::from_utf8(record.body.to_vec()).unwrap();
    assert!(body.contains(from), "{body}");
    record.body = body.replacen(from, to, 1).into();
    record
}

fn refused(set: &ObjectSet, changes: &[Change]) -> String {
    set.apply(changes).unwrap_err().to_string()
}

/// Guards against invalid changes that are accepted, or refused without the reason.
#[test]
fn refused_changes() {
    let set = sample();
    let remove = |kind, name: &str| Change::Remove { kind, name: name.into() };
    let message = "key/k1: error: unknown team \"t1\"; did you mean `t2`?";
    assert_eq!(refused(&set, &[remove(Kind::Team, "t1")]), message);
    let message = "zone/z9: error: cannot remove unknown zone \"z9\"";
    assert_eq!(refused(&set, &[remove(Kind::Zone, "z9")]), message);
    let upsert = |from, to| Change::Upsert(record(&set, Kind::Endpoint, "e0", from, to));
    let message = "endpoint/e0: error: `cold_capacity` is 4, above `capacity` 3";
    assert_eq!(refused(&set, &[upsert("\"capacity\":4", "\"capacity\":3")]), message);
    let message = "endpoint/e0: error: the record's body names another endpoint";
    assert_eq!(refused(&set, &[upsert("\"e0\"", "\"e1\"")]), message);
    let found = refused(&set, &[upsert("\"leaving\"", "\"new_field\":1,\"leaving\"")]);
    assert!(found.contains("malformed endpoint record: unknown field `new_field`"), "{found}");
}

/// Guards against a route that remains when its last endpoint changes to another service, and
/// against findings that quote a secret from a record.
#[test]
fn refused_upserts() {
    let spec =
        SetSpec { teams: [(1, 1)].into(), services: [(0, true)].into(), ..SetSpec::default() };
    let set = build(&spec);
    let change = record(&set, Kind::Endpoint, "s100", "\"service\":\"s0\"", "\"service\":\"s9\"");
    let message = "no endpoint serves service \"s0\" of this route; did you mean `s9`?";
    let found = refused(&set, &[Change::Upsert(change)]);
    assert_eq!(found, format!("route/p0: error: {message}"));
    let secret = "\"ps_ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno-_\"";
    let change =
        record(&set, Kind::Endpoint, "s100", "\"leaving\":false", &format!("\"leaving\":{secret}"));
    let message = "endpoint/s100: error: malformed endpoint record: unexpected value";
    assert_eq!(refused(&set, &[Change::Upsert(change)]), message);
}

/// Guards against unsorted lists in records, on which lookups by binary search fail.
#[test]
fn unsorted_lists() {
    let set = sample();
    let list = "\"models\":[\"n\",\"m\"]";
    let change = Change::Upsert(record(&set, Kind::Endpoint, "e0", "\"models\":[\"m\"]", list));
    let found = refused(&set, &[change]);
    assert!(found.contains("endpoint/e0: error: `models` is not sorted"), "{found}");
}

/// Guards against changes of several publications being applied out of order when they are sent
/// together.
#[test]
fn changes_in_order() {
    let set = sample();
    let add = Change::Upsert(record(&set, Kind::Team, "t2", "\"weight\":1", "\"weight\":9"));
    let remove = Change::Remove { kind: Kind::Team, name: "t2".into() };
    let kept = set.apply(&[remove.clone(), add.clone()]).unwrap();
    assert_eq!(kept.team("t2").unwrap().weight, 9);
    assert!(set.apply(&[add, remove]).unwrap().team("t2").is_none());
}

/// Guards against duplicate records of one object, of which all but one would be dropped silently.
#[test]
fn duplicate_records() {
    let mut records = sample().records();
    records.push(records[0].clone());
    let found = ObjectSet::from_records(&records).unwrap_err().to_string();
    assert_eq!(found, "team/t1: error: duplicate team `t1`");
}
