//! QUIC connections with mutual TLS between instances, and from operators to instances.
//!
//! The module manages connections but does not retry calls. When a connection is lost, its open
//! calls fail with [`CallError::Unknown`], and their senders decide whether to send them again.

mod agreement;
mod client;
mod endpoint;
mod frame;
mod server;
mod tls;
mod tunnel;

pub use agreement::{AgreementTransport, ReplicaLookup};
pub use client::{CallError, PeerClient};
pub use endpoint::listen;
pub use server::{AgreementSink, PeerServer, PeerService, Role, failure};
pub use tls::{Credentials, TlsFiles};
pub use tunnel::OpenTunnel;
