//! The deterministic state machines behind the replicated log.
//!
//! [`Catalog`] (group 0) holds the object set, the results of publications and the registered
//! instances. [`Ledger`] (one per program group) holds programs: the order of their turns, budgets,
//! claims, answers, history, and the orders that make endpoints release memory.
//!
//! The state belongs to the replicated log: every replica applies the same entries in the same
//! order and reaches the same state. When a replica fails, another one that applied the same
//! entries goes on. Commands, answers, queries and snapshots are protobuf messages of
//! [`poplarspan_proto::ledger`]. Time is stamped on each command by the group's leader; a state
//! machine never lets it fall.

mod catalog;
mod error;
mod ledger;
mod names;

pub use crate::{
    catalog::{Catalog, Changes, Object, View},
    error::RestoreError,
    ledger::{Ledger, Settings},
    names::{group_of, group_of_key},
};
