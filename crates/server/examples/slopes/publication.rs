//! Sizes and times of publications, heartbeats and leases.

use std::{fmt::Write, hint::black_box};

use bytes::Bytes;
use poplarspan_ledger::{Catalog, Changes};
use poplarspan_objects::{Change, Digest, Kind, ObjectSet, Source, check};
use poplarspan_proto::{
    ledger::{CatalogCommand, ObjectChange, Publish, RegisterInstance, catalog_command::Command},
    peer::{self, request, response},
};
use prost::Message;

use crate::{resident, timed};

const ENDPOINTS: usize = 600;
const MODELS: usize = 13;
const RATES: usize = 100;
const ROUNDS: u64 = 100;
/// Number of sets that are held at the same time, to reduce the effect of memory that the allocator
/// reuses.
const COPIES: u64 = 8;

/// Prints the sizes of a heartbeat, its response and a view of `instances`.
pub(crate) fn heartbeat(instances: u64) {
    let address = "10.100.100.100:40000".to_owned();
    let body = request::Body::Heartbeat(peer::Heartbeat {
        instance: "instance-100".into(),
        incarnation: 1_780_000_000_000_000,
        zone: "region-1-zone-1".into(),
        peer_address: address.clone(),
        generation: 1_000_000,
        epoch: 40_000,
        draining: false,
        replica: None,
    });
    let ask = peer::Request { body: Some(body) };
    let lease = peer::LeaseGrant { duration_ms: 2000, generation: 1_000_000, ..Default::default() };
    let members = (0..instances).map(|i| peer::Member {
        instance: format!("instance-{i:03}"),
        incarnation: 1_780_000_000_000_000,
        zone: "region-1-zone-1".into(),
        peer_address: address.clone(),
        draining: false,
    });
    let view = peer::View { epoch: 40_000, members: members.collect(), program_groups: 16 };
    let with_view = peer::LeaseGrant { view: Some(view), ..lease.clone() };
    let answer = |lease| peer::Response { body: Some(response::Body::Lease(lease)) };
    println!(
        "{instances} instances: heartbeat {} bytes, grant {} bytes, grant with view {} bytes",
        ask.encoded_len(),
        answer(lease).encoded_len(),
        answer(with_view).encoded_len()
    );
    let mut catalog = Catalog::new();
    for i in 0..instances {
        let register = RegisterInstance {
            instance: format!("instance-{i:03}"),
            incarnation: 1,
            address: address.clone(),
            zone: "region-1-zone-1".into(),
            replica: None,
        };
        let command = Some(Command::RegisterInstance(register));
        let data = CatalogCommand { now_ms: 1, command }.encode_to_vec();
        catalog.apply(i + 1, &data);
    }
    timed("copy of the view, made twice for each heartbeat", ROUNDS, || {
        for _ in 0..ROUNDS {
            black_box(catalog.view());
        }
    });
}

fn source(teams: u64) -> Source {
    let mut text = "format = 1\n[[zone]]\nname = \"z\"\nstate = \"in\"\n".to_owned();
    for i in 0..RATES {
        let _ = write!(text, "[[rate]]\nname = \"rate-{i}\"\nrate = \"{}/s\"\nburst = 50\n", i + 1);
    }
    for i in 0..MODELS {
        let _ = write!(
            text,
            "[[model]]\nname = \"model-{i}\"\nmax_context = 1000000\nmax_output = 8192\n\
             version = \"1\"\n"
        );
    }
    text.push_str(
        "[[route]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\nkind = \"chat\"\n\
         timeout = \"60s\"\n",
    );
    for i in 0..ENDPOINTS {
        let _ = write!(
            text,
            "[[endpoint]]\nname = \"engine-{i:03}\"\nzone = \"z\"\naddress = \"10.1.{}.{}:8000\"\n\
             models = [\"model-{}\"]\ncapacity = 64\n",
            i / 250,
            i % 250,
            i % MODELS
        );
    }
    for i in 0..teams {
        let digest = Digest::of_secret(&i.to_string());
        let _ = write!(
            text,
            "[[team]]\nname = \"team-{i:05}\"\nrate = \"rate-{}\"\n\
             [[key]]\nname = \"key-{i:05}\"\nteam = \"team-{i:05}\"\ndigest = \"{digest}\"\n",
            i % RATES as u64
        );
    }
    Source::new("target", text)
}

fn wire(change: &Change) -> peer::Change {
    let (kind, name) = (change.kind().to_string(), change.name().to_string());
    let body = match change {
        Change::Upsert(record) => Some(record.body.clone()),
        Change::Remove { .. } => None,
    };
    peer::Change { kind, name, body }
}

fn object(change: &Change) -> ObjectChange {
    let peer::Change { kind, name, body } = wire(change);
    ObjectChange { kind, name, body }
}

/// Returns the n-th change of one object.
fn one_change(set: &ObjectSet, kind: Kind, name: &str, n: u64) -> Change {
    let mut record = set.record(kind, name).expect("an object");
    let text = String::from_utf8(record.body.to_vec()).expect("JSON");
    let (from, to) = match kind {
        Kind::Team => ("\"weight\":1", format!("\"weight\":{}", n % 1000 + 1)),
        _ => ("\"leaving\":false", "\"leaving\":true".to_owned()),
    };
    assert!(text.contains(from), "{text}");
    record.body = text.replace(from, &to).into();
    Change::Upsert(record)
}

fn publish(catalog: &mut Catalog, index: u64, changes: Vec<ObjectChange>) {
    let command = Command::Publish(Publish {
        expected_generation: catalog.generation(),
        request_id: format!("request-{index}"),
        operator: "operator".into(),
        changes,
        content_digest: Bytes::from_static(&[7; 32]),
    });
    let data = CatalogCommand { now_ms: 1, command: Some(command) }.encode_to_vec();
    if index == 2 {
        println!("log entry of one change: {} bytes", data.len());
    }
    catalog.apply(index, &data);
}

pub(crate) fn publication(teams: u64) {
    let full: Vec<Change> = {
        let set = check(&[source(teams)]).expect("a valid set");
        ObjectSet::default().diff(&set)
    };
    let changes: Vec<peer::Change> = full.iter().map(wire).collect();
    let count = changes.len();
    let grant = peer::LeaseGrant { generation: 1, full: true, changes, ..Default::default() };
    println!("{teams} teams, {count} objects: full grant {} bytes", grant.encoded_len());
    drop(grant);
    let base = resident();
    let sets = timed("apply the full set", COPIES, || {
        let copy = || ObjectSet::default().apply(&full).expect("valid");
        (0..COPIES).map(|_| copy()).collect::<Vec<_>>()
    });
    println!("object set: {} bytes resident", resident().saturating_sub(base) / COPIES);
    let set = sets.into_iter().next().expect("several");
    for (kind, name) in [(Kind::Team, "team-00007"), (Kind::Endpoint, "engine-007")] {
        let change = one_change(&set, kind, name, 1);
        let delta =
            peer::LeaseGrant { generation: 2, changes: vec![wire(&change)], ..Default::default() };
        println!("grant with one {kind}: {} bytes", delta.encoded_len());
        timed(&format!("apply one {kind}"), ROUNDS, || {
            for _ in 0..ROUNDS {
                black_box(set.apply(std::slice::from_ref(&change)).expect("valid"));
            }
        });
    }
    at_the_leader(&set, &full);
}

/// Measures a publication of the whole set with one change, at the leader and at each replica.
fn at_the_leader(set: &ObjectSet, full: &[Change]) {
    let records = set.records();
    let wanted =
        timed("leader checks the received set", 1, || ObjectSet::from_records(&records).unwrap());
    timed("leader compares", 1, || black_box(set.diff(&wanted)));
    timed("leader digests", 1, || black_box(wanted.content_digest()));
    drop((records, wanted));
    let base = resident();
    let mut catalog = Catalog::new();
    publish(&mut catalog, 1, full.iter().map(object).collect());
    println!("catalog: {} bytes resident", resident().saturating_sub(base));
    timed("catalog applies one change", ROUNDS, || {
        for i in 0..ROUNDS {
            let change = one_change(set, Kind::Team, "team-00007", i);
            publish(&mut catalog, i + 2, vec![object(&change)]);
        }
    });
    timed("catalog reads one delta", ROUNDS, || {
        for _ in 0..ROUNDS {
            let changes = catalog.changes_since(catalog.generation() - 1);
            assert!(matches!(changes, Changes::Deltas { .. }));
        }
    });
    let snapshot = timed("catalog snapshot", 1, || catalog.snapshot());
    println!("catalog snapshot: {} bytes", snapshot.len());
    timed("catalog restore", 1, || Catalog::new().restore(&snapshot).expect("valid"));
}
