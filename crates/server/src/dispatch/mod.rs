//! Dispatch of calls to endpoints and reading of their responses.
//!
//! Connections to endpoints close when the instance fails. The program ledger then determines the
//! outcome of the calls on them.

mod response;

pub(crate) use poplarspan_node::pool::{Exchange, Pool, PoolConfig, PooledConnection, SendError};
pub(crate) use response::{
    RelayLimits, Relayed, ResponseError, StreamEnd, collect, is_delimited, relay_stream,
};

/// Header that matches a response to its request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
