//! Sends calls to endpoints and takes back whole answers.
//!
//! Owns the connections to endpoints. They die with the instance; what that means for the calls on
//! them is decided by the ledger of programs.

mod answer;

pub(crate) use answer::{
    AnswerError, RelayLimits, Relayed, StreamEnd, collect, has_end, relay_stream,
};
pub(crate) use poplarspan_node::pool::{Exchange, Pool, PoolConfig, Reuse, SendError};

/// Header that ties an answer to its call.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
