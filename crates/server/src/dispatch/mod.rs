//! Sends calls to endpoints and takes back whole answers.
//!
//! Owns the connections to endpoints. They die with the instance; what that means for the calls on
//! them is decided by the ledger of programs.

mod response;

pub(crate) use poplarspan_node::pool::{Exchange, Pool, PoolConfig, Reuse, SendError};
pub(crate) use response::{
    RelayLimits, Relayed, ResponseError, StreamEnd, collect, is_delimited, relay_stream,
};

/// Header that ties an answer to its call.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
