//! HTTP/1.1 and HTTP/2 server for callers.
//!
//! Open calls are kept in memory. When the instance fails, the connections to its callers close.
//! The program ledger records the outcome of calls that belong to programs or run at most once.

mod attempt;
mod auth;
mod body;
mod builtin;
mod call;
mod chat;
mod handler;
mod listener;
mod program;
mod record;
mod refusal;
mod stream;

pub(crate) use body::{Chunk, RelaySender};
pub(crate) use handler::{EntryHandler, MEMORY_UNIT_BYTES};
pub(crate) use listener::Listener;
pub(crate) use refusal::{Code, Refusal};
