//! Guards against committed types that differ from the `.proto` files.

use std::path::Path;

#[test]
fn matches_proto_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = tempfile::tempdir().expect("temporary folder");
    let files = ["agreement.proto", "ledger.proto", "peer.proto", "relay.proto"];
    let set = protox::compile(files, [root.join("proto")]).expect("the .proto files compile");
    prost_build::Config::new().bytes(["."]).out_dir(out.path()).compile_fds(set).expect("written");
    for package in ["agreement", "ledger", "peer", "relay"] {
        let name = format!("poplarspan.{package}.v1.rs");
        let fresh = std::fs::read_to_string(out.path().join(&name)).expect("generated file");
        let committed =
            std::fs::read_to_string(root.join("src/gen").join(&name)).expect("committed file");
        assert!(
            fresh == committed,
            "{name} is stale: run `cargo run -p poplarspan-proto --example generate`"
        );
    }
}
