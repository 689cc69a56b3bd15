//! The sets under `examples/` must stay valid, since operators start from them.

use std::path::Path;

use poplarspan_objects::{ObjectSet, Source, check};

fn load(name: &str) -> ObjectSet {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    check(&[Source::new(name, text)]).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Guards against a sample that `dev` refuses to start with.
#[test]
fn dev_passes() {
    let set = load("dev.toml");
    assert_eq!(set.endpoints_for_model("demo-chat").len(), 1);
    assert_eq!(set.endpoints_for_service("orders").len(), 1);
    let route = set.route_for("/orders/7").unwrap();
    assert!(route.is_non_idempotent("POST") && !route.is_non_idempotent("GET"));
    assert!(set.route_for("/orders/status").unwrap().open);
    assert_eq!(set.rate("demo").unwrap().burst, 200);
}
