//! Guards against publications that are lost or applied twice, and against instances that miss
//! changes.

use poplarspan_ledger::{Catalog, Changes};
use poplarspan_proto::ledger::{
    CatalogAnswer, CatalogCommand, FixGroups, GenerationConflict, InstanceGone, ObjectChange,
    Publish, Published, RegisterInstance, RequestMismatch, StaleIncarnation,
    catalog_answer::Answer, catalog_command::Command,
};
use prost::Message;
use std::collections::BTreeMap;

const DAY_MS: u64 = 24 * 3_600_000;

fn apply(catalog: &mut Catalog, now_ms: u64, command: Command) -> Answer {
    let command = CatalogCommand { now_ms, command: Some(command) };
    let answer = catalog.apply(catalog.index() + 1, &command.encode_to_vec());
    CatalogAnswer::decode(answer).expect("decode answer").answer.expect("known answer")
}

/// Sets the body of a team, or removes the team if `body` is empty.
fn set(name: &str, body: &str) -> ObjectChange {
    let body = Some(body.to_owned().into()).filter(|_| !body.is_empty());
    ObjectChange { kind: "team".into(), name: name.into(), body }
}

fn publish(expected: u64, id: &str, operator: &str, changes: &[ObjectChange]) -> Command {
    Command::Publish(Publish {
        expected_generation: expected,
        request_id: id.into(),
        operator: operator.into(),
        changes: changes.to_vec(),
        content_digest: Default::default(),
    })
}

fn published(generation: u64) -> Answer {
    Answer::Published(Published { generation })
}

#[test]
fn one_of_two_racing_operators_wins() {
    let mut c = Catalog::new();
    assert_eq!(apply(&mut c, 1, publish(0, "a", "ann", &[set("x", "1")])), published(1));
    let lost = publish(0, "b", "bob", &[set("x", "2")]);
    let conflict = |current_generation| {
        let operator = "ann".into();
        Answer::Conflict(GenerationConflict { operator, generation: 1, current_generation })
    };
    assert_eq!(apply(&mut c, 2, lost.clone()), conflict(1));
    assert_eq!(apply(&mut c, 3, publish(1, "c", "cid", &[set("y", "1")])), published(2));
    assert_eq!(
        apply(&mut c, 4, publish(0, "d", "bob", &[])),
        conflict(2),
        "the conflict must name the operator that won"
    );
    assert_eq!(apply(&mut c, 5, lost), conflict(1), "a retry must get the first answer");
    assert_eq!(c.object("team", "x").map(|b| &b[..]), Some(&b"1"[..]));
}

#[test]
fn resend_gets_the_first_answer() {
    let mut c = Catalog::new();
    let first = publish(0, "a", "ann", &[set("x", "1")]);
    assert_eq!(apply(&mut c, 1, first.clone()), published(1));
    apply(&mut c, 1, publish(1, "b", "ann", &[set("x", "2")]));
    assert_eq!(apply(&mut c, 1, first), published(1));
    let mismatch = Answer::RequestMismatch(RequestMismatch {});
    assert_eq!(apply(&mut c, 1, publish(0, "a", "ann", &[set("x", "3")])), mismatch);
    assert_eq!(apply(&mut c, 1, publish(0, "a", "eve", &[set("x", "1")])), mismatch);
    assert_eq!((c.generation(), c.object("team", "x").map(|b| &b[..])), (2, Some(&b"2"[..])));
}

/// A retry may compute its changes against a later generation, so they differ from the first ones.
/// The content digest identifies it as a retry.
#[test]
fn resend_is_known_by_its_content() {
    let mut c = Catalog::new();
    let with_digest =
        |digest: &'static [u8], changes: &[ObjectChange]| match publish(0, "a", "ann", changes) {
            Command::Publish(p) => Command::Publish(Publish { content_digest: digest.into(), ..p }),
            other => other,
        };
    let first = with_digest(b"one", &[set("x", "1")]);
    assert_eq!(apply(&mut c, 1, first), published(1));
    assert_eq!(apply(&mut c, 2, with_digest(b"one", &[])), published(1));
    let mismatch = Answer::RequestMismatch(RequestMismatch {});
    assert_eq!(apply(&mut c, 3, with_digest(b"two", &[])), mismatch);
}

#[test]
fn results_are_kept_by_number_and_age() {
    let mut c = Catalog::new();
    let nth = |n: u64| publish(n, &format!("r{n}"), "ann", &[]);
    for n in 0..10_100 {
        assert_eq!(apply(&mut c, 0, nth(n)), published(n + 1));
    }
    assert_eq!(
        apply(&mut c, DAY_MS - 1, nth(0)),
        published(1),
        "results younger than a day must be kept"
    );
    assert_eq!(apply(&mut c, DAY_MS, nth(10_100)), published(10_101));
    let reply = apply(&mut c, DAY_MS, nth(100));
    assert!(
        matches!(reply, Answer::Conflict(_)),
        "old results beyond the last 10,000 must be dropped"
    );
    assert_eq!(
        apply(&mut c, 9 * DAY_MS, nth(200)),
        published(201),
        "the last 10,000 results must be kept"
    );
}

#[test]
fn changes_lead_to_the_current_set() {
    let mut c = Catalog::new();
    let first = (0..30_000).map(|n| set(&format!("t{n}"), "0")).collect::<Vec<_>>();
    apply(&mut c, 0, publish(0, "r0", "ann", &first));
    let mut sets = vec![(0, BTreeMap::new()), (1, current(&c))];
    for n in 1..200_u64 {
        let gone = set(&format!("t{}", n * 7 % 100), "");
        let changes = [set(&format!("t{}", n % 50), &n.to_string()), gone];
        let command = publish(n, &format!("r{n}"), "ann", &changes);
        assert_eq!(apply(&mut c, 0, command), published(n + 1));
        if n % 33 == 0 {
            sets.push((n + 1, current(&c)));
        }
    }
    for (generation, mut set) in sets {
        match c.changes_since(generation) {
            Changes::FullSet { .. } => assert_eq!(generation, 0, "the deltas must still be kept"),
            Changes::Deltas { generation, changes } => {
                assert_eq!(generation, 200);
                assert!(changes.len() <= 100, "expected at most one change per object");
                for ObjectChange { name, body, .. } in changes {
                    match body {
                        Some(body) => set.insert(name, body),
                        None => set.remove(&name),
                    };
                }
                assert!(set == current(&c), "deltas since {generation} miss a change");
            }
        }
    }
    assert!(matches!(c.changes_since(201), Changes::FullSet { generation: 200, .. }));
}

fn current(catalog: &Catalog) -> BTreeMap<String, bytes::Bytes> {
    catalog.objects().iter().map(|o| (o.name.to_string(), o.body.clone())).collect()
}

#[test]
fn gone_incarnations_never_return() {
    let mut c = Catalog::new();
    let instance = || "i".to_owned();
    let register = |incarnation| {
        let rest = RegisterInstance::default();
        Command::RegisterInstance(RegisterInstance { instance: instance(), incarnation, ..rest })
    };
    let gone = |n| InstanceGone { instance: instance(), incarnation: n };
    let stale = |n| Answer::StaleIncarnation(StaleIncarnation { lowest_incarnation: n });
    apply(&mut c, 0, register(5));
    apply(&mut c, 0, register(5));
    assert_eq!(c.view().epoch, 1, "a repeated registration must not change the epoch");
    assert_eq!(apply(&mut c, 0, register(4)), stale(5));
    apply(&mut c, 0, register(6));
    apply(&mut c, 0, Command::InstanceGone(gone(5)));
    assert_eq!(
        (c.view().epoch, c.view().instances.len()),
        (2, 1),
        "the newer incarnation must stay registered"
    );
    apply(&mut c, 0, Command::InstanceGone(gone(6)));
    assert_eq!((c.view().epoch, c.view().instances.len()), (3, 0));
    assert_eq!(apply(&mut c, 0, register(6)), stale(7));
    assert!(matches!(apply(&mut c, 0, register(7)), Answer::Registered(_)));
    for groups in [2, 3] {
        apply(&mut c, 0, Command::FixGroups(FixGroups { groups }));
    }
    assert_eq!(c.group_count(), 2, "the first number of groups must stay");
}

#[test]
fn snapshot_restores_an_equal_catalog() {
    let mut c = Catalog::new();
    for n in 0..20 {
        apply(&mut c, n, publish(n, &format!("r{n}"), "ann", &[set(&format!("t{}", n % 3), "1")]));
    }
    let register = RegisterInstance { instance: "i".into(), ..RegisterInstance::default() };
    apply(&mut c, 0, Command::RegisterInstance(register));
    let mut other = Catalog::new();
    other.restore(&c.snapshot()).expect("restore snapshot");
    assert!(other == c && other.snapshot() == c.snapshot());
    assert_eq!(other.changes_since(18), c.changes_since(18));
    let resend = publish(3, "r3", "ann", &[set("t0", "1")]);
    assert_eq!(apply(&mut other, 0, resend), published(4));
    assert_eq!(apply(&mut other, 0, publish(20, "new", "ann", &[])), published(21));
    let snapshot = c.snapshot();
    for at in 0..snapshot.len() {
        assert!(other.restore(&snapshot[..at]).is_err() && other.generation() == 21);
        let mut damaged = snapshot.to_vec();
        damaged[at] ^= 1 << (at % 8);
        let mut restored = Catalog::new();
        if restored.restore(&damaged).is_ok() {
            let expected = restored.generation();
            apply(&mut restored, u64::MAX, publish(expected, "new", "ann", &[set("t0", "")]));
            (0..25).for_each(|generation| drop(restored.changes_since(generation)));
        }
    }
}
