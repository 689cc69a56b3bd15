//! Sends calls to endpoints and takes back whole answers.
//!
//! Owns the connections to endpoints. They die with the instance; what that means for the calls on
//! them is decided by the ledger of programs.

mod answer;
mod pool;

pub(crate) use answer::{
    AnswerError, RelayLimits, Relayed, StreamEnd, collect, has_end, relay_stream,
};
pub(crate) use pool::{Exchange, Pool, REQUEST_ID_HEADER, Reuse, SendError};
