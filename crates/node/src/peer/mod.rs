//! QUIC connections with mutual TLS between instances, and from operators to instances.
//!
//! This module owns the connections only. A lost connection loses the calls that are open on it;
//! their senders see [`CallError::Unknown`] and decide whether they may send again.

mod agreement;
mod client;
mod frame;
mod server;
mod tls;

pub use agreement::{AgreementTransport, ReplicaLookup};
pub use client::{CallError, PeerClient};
pub use server::{AgreementSink, PeerServer, PeerService, Role, failure};
pub use tls::{Credentials, TlsFiles};
