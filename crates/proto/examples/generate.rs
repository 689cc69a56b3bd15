//! Generates the Rust types for `proto/*.proto` in `src/gen`, or in the folder given as argument.

use std::path::{Path, PathBuf};

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args().nth(1).map_or_else(|| root.join("src/gen"), PathBuf::from);
    generate(root, &out);
}

fn generate(root: &Path, out: &Path) {
    let files = ["agreement.proto", "ledger.proto", "peer.proto", "relay.proto"];
    let set =
        protox::compile(files, [root.join("proto")]).expect("cannot compile the .proto files");
    let mut cfg = prost_build::Config::new();
    cfg.bytes(["."]).out_dir(out);
    cfg.compile_fds(set).expect("cannot write the generated types");
}
