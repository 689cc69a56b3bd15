//! Protobuf types of the messages between Poplarspan processes and of the data that they store.
//!
//! The types are generated from `proto/*.proto` and committed, so that a build does not need a
//! protobuf compiler. After a change, run `cargo run -p poplarspan-proto --example generate`. The
//! comments in the `.proto` files document the fields; units are part of the field names (`_ms`,
//! `_bytes`, `_tokens`).
//!
//! The types only check the encoding. The receiver of a message must validate its content.
//!
//! ```
//! use poplarspan_proto::ledger::Claimant;
//! use prost::Message;
//!
//! let claimant = Claimant { instance: "i1".into(), incarnation: 7 };
//! assert_eq!(Claimant::decode(&claimant.encode_to_vec()[..])?, claimant);
//! # Ok::<(), prost::DecodeError>(())
//! ```

/// Messages between replicas, and records of the write-ahead log.
#[allow(missing_docs, clippy::all)]
pub mod agreement {
    include!("gen/poplarspan.agreement.v1.rs");
}

/// Commands, queries, answers and snapshots of the catalog and the program groups.
#[allow(missing_docs, clippy::all)]
pub mod ledger {
    include!("gen/poplarspan.ledger.v1.rs");
}

/// Messages between instances, and between operators and instances.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("gen/poplarspan.peer.v1.rs");
}

/// Commands and snapshots of the replicated state machines of a relay fleet.
#[allow(missing_docs, clippy::all)]
pub mod relay {
    include!("gen/poplarspan.relay.v1.rs");
}
