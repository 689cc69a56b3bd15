//! Lookups of routes, models, endpoints and keys in a set.

use poplarspan_objects::{Digest, ObjectSet, Source, check, generate_secret};

fn build(routes: &[(&str, &str, &str)], extra: &str) -> ObjectSet {
    let mut text = "format = 1\n[[zone]]\nname = \"z\"\nstate = \"in\"\n[[model]]\nname = \"m\"\n\
                    max_context = 9\nmax_output = 9\nversion = \"1\"\naliases = [\"n\"]\n\
                    [[endpoint]]\nname = \"e\"\nzone = \"z\"\naddress = \"127.0.0.1:1\"\nmodels = [\"m\"]\n\
                    capacity = 1\n[[endpoint]]\nname = \"f\"\nzone = \"z\"\naddress = \"127.0.0.1:2\"\n\
                    service = \"s\"\ncapacity = 1\nleaving = true\n"
        .to_owned();
    for (name, path, kind) in routes {
        text += &format!("[[route]]\nname = \"{name}\"\npath = \"{path}\"\nkind = \"{kind}\"\n");
        text += if *kind == "service" { "service = \"s\"\n" } else { "" };
    }
    check(&[Source::new("a", text + extra)]).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Guards against a request that is matched by part of a path segment, or by the shorter of two
/// matching paths.
#[test]
fn longest_prefix() {
    let set = build(
        &[
            ("chat", "/v1/chat/completions", "chat"),
            ("orders", "/orders", "service"),
            ("deep", "/orders/deep/", "service"),
            ("v1", "/v1", "service"),
        ],
        "",
    );
    let route = |path: &str| set.route_for(path).map(|route| route.name.as_ref());
    assert_eq!(route("/orders"), Some("orders"));
    assert_eq!(route("/orders/"), Some("orders"));
    assert_eq!(route("/orders/7"), Some("orders"));
    assert_eq!(route("/orders/deeper"), Some("orders"));
    assert_eq!(route("/orders/deep/7/8"), Some("deep"));
    assert_eq!(route("/orders-old"), None);
    assert_eq!(route("/v1/chat/completions"), Some("chat"));
    assert_eq!(route("/v1/chat/completions/x"), Some("v1"));
    assert_eq!(route("/v1/chat"), Some("v1"));
    for path in ["", "/", "//", "orders", "é", "/x//orders"] {
        assert_eq!(route(path), None, "{path}");
    }
    assert_eq!(route(&format!("/orders{}", "/x".repeat(5000))), Some("orders"));
    let root = build(&[("root", "/", "service")], "");
    assert!(root.route_for("/").is_some() && root.route_for("/any/thing").is_some());
}

/// Guards against POST requests that are retried because the route does not list its non-idempotent
/// methods.
#[test]
fn idempotency_defaults() {
    let set = build(&[("c", "/c", "chat"), ("s", "/s", "service")], "");
    assert!(!set.route("c").unwrap().is_non_idempotent("POST"));
    assert!(set.route("s").unwrap().is_non_idempotent("POST"));
    assert!(!set.route("s").unwrap().is_non_idempotent("PUT"));
}

/// Guards against aliases that resolve to no endpoint.
#[test]
fn aliases_and_services() {
    let set = build(&[], "");
    assert_eq!(set.resolve_model("n").unwrap().name.as_ref(), "m");
    assert_eq!(set.endpoints_for_model("n").len(), 1);
    assert_eq!(set.endpoints_for_model("x").len(), 0);
    assert_eq!(set.endpoints_for_service("s").next().unwrap().name.as_ref(), "f");
    assert_eq!(set.endpoints_for_service("m").len(), 0);
}

/// Guards against a key that is found by another secret, and against `Debug` output that contains a
/// secret.
#[test]
fn keys_by_digest() {
    let secrets: Vec<_> = (0..20).map(|_| generate_secret().unwrap()).collect();
    let mut text = "[[rate]]\nname = \"r\"\nrate = \"1/s\"\nburst = 1\n".to_owned();
    for (i, secret) in secrets.iter().enumerate() {
        let digest = secret.digest();
        text += &format!("[[team]]\nname = \"t{i}\"\nrate = \"r\"\n");
        text += &format!("[[key]]\nname = \"k{i}\"\nteam = \"t{i}\"\ndigest = \"{digest}\"\n");
        text += &format!("[[operator]]\nname = \"o{i}\"\ndigest = \"{digest}\"\n");
    }
    let set = build(&[], &text);
    for (i, secret) in secrets.iter().enumerate() {
        let exposed = secret.expose();
        assert!(exposed.len() == 46 && exposed.starts_with("ps_"));
        let is_url_safe = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        assert!(exposed.chars().all(is_url_safe));
        assert!(!format!("{secret:?}").contains(&exposed[3..]));
        let digest = Digest::of_secret(exposed);
        assert_eq!(set.key_by_digest(&digest).unwrap().team.as_ref(), format!("t{i}"));
        assert_eq!(set.operator_by_digest(&digest).unwrap().name.as_ref(), format!("o{i}"));
        assert_eq!(digest.to_string().parse(), Ok(digest));
    }
    let other = generate_secret().unwrap();
    assert!(set.key_by_digest(&other.digest()).is_none());
    assert!(ObjectSet::default().key_by_digest(&other.digest()).is_none());
}
