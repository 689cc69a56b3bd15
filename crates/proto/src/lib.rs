//! Protobuf types of all messages between the processes of Poplarspan.
//!
//! The types are generated from `proto/*.proto` and committed, so that a build needs no generator.
//! After a change run `cargo run -p poplarspan-proto --example generate`. The `.proto` files state
//! what the names leave open; units are part of field names (`_ms`, `_bytes`, `_tokens`).
//!
//! The crate holds no state. The types check only the encoding; whoever receives a message checks
//! its content.
//!
//! ```
//! use poplarspan_proto::ledger::Claimant;
//! use prost::Message;
//!
//! let claimant = Claimant { instance: "i1".into(), incarnation: 7 };
//! assert_eq!(Claimant::decode(&claimant.encode_to_vec()[..])?, claimant);
//! # Ok::<(), prost::DecodeError>(())
//! ```

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

/// Commands and snapshots of the state machines of a relay fleet.
#[allow(missing_docs, clippy::all)]
pub mod relay {
    include!("gen/poplarspan.relay.v1.rs");
}
