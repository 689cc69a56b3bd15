//! The callers' side: HTTP/1.1 and HTTP/2.
//!
//! Owns the open calls of this instance. When the instance dies its callers see a closed
//! connection; the ledger of programs says what became of their calls.

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
