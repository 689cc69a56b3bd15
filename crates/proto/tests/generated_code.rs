//! Guards against changes of the `.proto` files without regenerating the committed types.

use std::path::Path;

#[test]
fn matches_proto_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = tempfile::tempdir().expect("cannot create a temporary folder");
    let files = ["agreement.proto", "ledger.proto", "peer.proto", "relay.proto"];
    let set =
        protox::compile(files, [root.join("proto")]).expect("cannot compile the .proto files");
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(out.path())
        .compile_fds(set)
        .expect("cannot write the generated types");
    for package in ["agreement", "ledger", "peer", "relay"] {
        let name = format!("poplarspan.{package}.v1.rs");
        let fresh = std::fs::read_to_string(out.path().join(&name))
            .expect("cannot read the generated file");
        let committed = std::fs::read_to_string(root.join("src/gen").join(&name))
            .expect("cannot read the committed file");
        assert!(
            fresh == committed,
            "{name} is stale: run `cargo run -p poplarspan-proto --example generate`"
        );
    }
}
