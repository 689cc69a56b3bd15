//! Sets with 30,000 teams, the size that the system is designed for.

use std::fmt::Write;
use std::time::Instant;

use poplarspan_objects::{Change, Digest, Kind, ObjectSet, Source, check};

const TEAMS: usize = 30_000;

/// A file with [`TEAMS`] teams, a key for each, and the rate `standard`. All teams refer to `rate`.
fn source(rate: &str) -> Source {
    let mut text =
        "format = 1\n[[rate]]\nname = \"standard\"\nrate = \"5/s\"\nburst = 5\n".to_owned();
    for i in 0..TEAMS {
        let digest = Digest::of_secret(&i.to_string());
        writeln!(text, "[[team]]\nname = \"team-{i:05}\"\nrate = \"{rate}\"").unwrap();
        writeln!(text, "[[key]]\nname = \"key-{i:05}\"\nteam = \"team-{i:05}\"").unwrap();
        writeln!(text, "digest = \"{digest}\"").unwrap();
    }
    Source::new("large", text)
}

/// Runs `f` and prints its duration. There is no time limit, since the machine may be busy.
fn timed<T>(what: &str, f: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let value = f();
    println!("{what}: {:?}", start.elapsed());
    value
}

/// Guards against a cost that is quadratic in the number of teams, which would make this test run
/// for minutes.
#[test]
fn thirty_thousand_teams() {
    let source = source("standard");
    let set = timed("check", || check(&[source]).unwrap());
    assert_eq!(set.len(), 2 * TEAMS + 1);
    let records = timed("records", || set.records());
    let copy = timed("from_records", || ObjectSet::from_records(&records).unwrap());
    assert!(timed("diff", || set.diff(&copy)).is_empty());
    timed("content_digest", || set.content_digest());
    let change = |i: usize| {
        let mut record = set.record(Kind::Team, &format!("team-{i:05}")).unwrap();
        let body = String::from_utf8(record.body.to_vec()).unwrap();
        record.body = body.replace("\"weight\":1", "\"weight\":2").into();
        Change::Upsert(record)
    };
    let one = timed("apply 1", || set.apply(&[change(7)]).unwrap());
    assert_eq!(one.team("team-00007").unwrap().weight, 2);
    assert_eq!(timed("diff 1", || set.diff(&one)).len(), 1);
    let all: Vec<_> = (0..TEAMS).map(change).collect();
    let changed = timed("apply 30,000", || set.apply(&all).unwrap());
    assert!(changed.teams().iter().all(|team| team.weight == 2));
    let digest = Digest::of_secret("29999");
    assert_eq!(changed.key_by_digest(&digest).unwrap().name.as_ref(), "key-29999");
}

/// Guards against a search of all names for a suggestion for each of many findings.
#[test]
fn many_findings() {
    let source = source("standart");
    let findings = timed("check with findings", || check(&[source]).unwrap_err());
    assert_eq!(findings.iter().count(), TEAMS);
    assert!(findings.as_slice()[0].message.contains("did you mean `standard`?"));
}
