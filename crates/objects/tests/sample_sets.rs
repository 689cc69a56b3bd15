//! Checks that the sets under `examples/` are valid, since operators copy them as a start.

use std::path::Path;

use poplarspan_objects::{ObjectSet, Serves, Source, check};

fn load(name: &str) -> ObjectSet {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    check(&[Source::new(name, text)]).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Numbers of zones, chat endpoints, service endpoints and teams.
fn sizes(set: &ObjectSet) -> [usize; 4] {
    let is_chat = |serves: &Serves| matches!(serves, Serves::Models(_));
    let chat = set.endpoints().iter().filter(|e| is_chat(&e.serves)).count();
    [set.zones().len(), chat, set.endpoints().len() - chat, set.teams().len()]
}

/// Guards against a sample with which the `dev` command fails to start.
#[test]
fn dev_passes() {
    let set = load("dev.toml");
    assert_eq!(sizes(&set), [1, 1, 1, 1]);
    assert_eq!(set.endpoints_for_model("demo-chat").len(), 1);
    assert_eq!(set.endpoints_for_service("orders").len(), 1);
    let route = set.route_for("/orders/7").unwrap();
    assert!(route.is_non_idempotent("POST") && !route.is_non_idempotent("GET"));
    assert!(set.route_for("/orders/status").unwrap().open);
    assert_eq!(set.rate("demo").unwrap().burst, 200);
}

/// Guards against samples that no longer match the deployments that they describe.
#[test]
fn deployments_pass() {
    assert_eq!(sizes(&load("highlands.toml")), [4, 15, 10, 8]);
    assert_eq!(sizes(&load("harbour.toml")), [3, 10, 10, 8]);
}
