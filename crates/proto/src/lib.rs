//! Protobuf types of all messages between the processes of Poplarspan.
//!
//! The types are generated from `proto/*.proto` and committed, so that a build needs no generator.
//! After a change run `cargo run -p poplarspan-proto --example generate`.

/// Messages and log records of the replicated log.
#[allow(missing_docs, clippy::all)]
pub mod agreement {
    include!("gen/poplarspan.agreement.v1.rs");
}

/// Commands and answers of the replicated state machines.
#[allow(missing_docs, clippy::all)]
pub mod ledger {
    include!("gen/poplarspan.ledger.v1.rs");
}

/// Messages between instances, and between operators and instances.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("gen/poplarspan.peer.v1.rs");
}
