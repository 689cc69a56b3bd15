//! The deterministic state machines behind the replicated log.
//!
//! [`Catalog`] (group 0) holds the object set, the results of publications and the registered
//! instances. [`Ledger`] (one per program group) holds programs: the order of their turns, budgets,
//! claims, answers, history, and the orders that tell endpoints to release memory.
//! [`group_of_program`] and [`group_of_key`] return the group that holds a program or a call.
//!
//! # Replication and failures
//!
//! The state follows from the replicated log: every replica applies the same entries in the same
//! order and reaches the same state. When a replica fails, the others continue from that state.
//! When the instance that claimed a call fails, an idempotent call can be claimed again; any other
//! call ends with an unknown outcome, which is final.
//!
//! # Use
//!
//! Commands, answers, queries and snapshots are protobuf messages of [`poplarspan_proto::ledger`],
//! encoded with `prost`. Neither state machine does I/O, so both can run without a log, as in
//! `examples/program_turns.rs` and `examples/publish_objects.rs`.
//!
//! Times are milliseconds since the Unix epoch, stamped on each command by the group's leader. A
//! state machine ignores a stamp that is earlier than its own time, so time never goes backwards.
//! Budgets are in tokens and sizes in bytes.
//!
//! Applying a command always returns an answer: a refusal, or `Invalid` for a malformed command,
//! is a result of the replicated log too and must be the same on every replica. Only restoring a
//! snapshot returns an error ([`RestoreError`]).
//!
//! # Example
//!
//! ```
//! use poplarspan_ledger::Catalog;
//! use poplarspan_proto::ledger::{
//!     CatalogAnswer, CatalogCommand, Publish, Published, catalog_answer::Answer,
//!     catalog_command::Command,
//! };
//! use prost::Message;
//!
//! let publish = Publish {
//!     expected_generation: 0,
//!     request_id: "first".into(),
//!     operator: "ann".into(),
//!     ..Publish::default()
//! };
//! let command = CatalogCommand { now_ms: 0, command: Some(Command::Publish(publish)) };
//! let mut catalog = Catalog::new();
//! let answer = CatalogAnswer::decode(catalog.apply(1, &command.encode_to_vec()))?;
//! assert_eq!(answer.answer, Some(Answer::Published(Published { generation: 1 })));
//! # Ok::<(), prost::DecodeError>(())
//! ```

mod catalog;
mod error;
mod ledger;
mod names;

pub use crate::{
    catalog::{Catalog, Changes, InstanceView, Object},
    error::RestoreError,
    ledger::{Ledger, Settings},
    names::{group_of_key, group_of_program},
};
