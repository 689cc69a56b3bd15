//! Validation and lookup of published objects.

use std::time::Duration;

use bytes::Bytes;
use poplarspan_relay::{Objects, Publication, Route, RouteKind, Secret, Service, Team};

fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        priority: 0,
        split: vec![(service.into(), 1)],
        max_endpoints: 1,
        retain: None,
        open: false,
    }
}

fn service(name: &str) -> Service {
    Service { name: name.into(), cold: Duration::ZERO, cold_per_second: 0.0, engine: None }
}

fn team(name: &str, key: &'static str) -> Team {
    let keys = vec![Secret(Bytes::from_static(key.as_bytes()))];
    Team { name: name.into(), keys, priority: None, limit: None }
}

fn objects() -> Objects {
    Objects {
        version: 1,
        routes: vec![route("all", "/", "s"), route("deep", "/a/b/", "s"), route("a", "/a/", "s")],
        services: vec![service("s")],
        teams: Some(vec![team("red", "k1"), team("blue", "k2")]),
        ..Objects::default()
    }
}

#[test]
fn longest_prefix() {
    let publication = Publication::new(objects()).expect("valid");
    let name = |path| publication.route("h", path).map(|r| r.name.to_string());
    assert_eq!(name("/a/b/c").as_deref(), Some("deep"));
    assert_eq!(name("/a/bc").as_deref(), Some("a"));
    assert_eq!(name("/b").as_deref(), Some("all"));
    assert!(publication.route("other", "/a/b/c").is_none());
}

#[test]
fn key_lookup() {
    let publication = Publication::new(objects()).expect("valid");
    let team = |key: &'static str| {
        publication.team_of(&Secret(Bytes::from_static(key.as_bytes()))).map(|t| t.name.to_string())
    };
    assert_eq!(team("k2").as_deref(), Some("blue"));
    assert_eq!(team("k"), None);
    assert!(publication.teams().iter().all(|t| t.keys.is_empty()), "keys are kept as digests only");
}

/// All errors are reported together.
#[test]
fn findings_together() {
    let mut objects = objects();
    objects.routes.push(route("same", "/a/", "s"));
    objects.routes.push(route("lost", "/lost/", "nowhere"));
    let mut zero = route("zero", "/zero/", "s");
    (zero.timeout, zero.split[0].1) = (Duration::ZERO, 0);
    objects.routes.push(zero);
    objects.routes.push(route("open-ended", "/open", "s"));
    objects.teams = Some(vec![team("red", "k1"), team("blue", "k1")]);
    let text = Publication::new(objects).expect_err("invalid").to_string();
    for finding in ["same host and prefix", "nowhere", "timeout", "weights", "slash", "share a key"]
    {
        assert!(text.contains(finding), "{finding} is missing in:\n{text}");
    }
}

/// Calls are split by weight, and calls with the same hash go to the same service.
#[test]
fn split_by_weight() {
    let mut route = route("r", "/", "a");
    route.split = vec![("a".into(), 90), ("none".into(), 0), ("b".into(), 10)];
    let to_b = (0..1_000).filter(|hash| **route.service(*hash) == *"b").count();
    assert_eq!(to_b, 100);
    assert!((0..1_000).all(|hash| **route.service(hash) != *"none"));
}
