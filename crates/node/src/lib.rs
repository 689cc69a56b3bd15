//! Building blocks shared by all Poplarspan processes: the peer port, the connection pool for
//! endpoints, supervised tasks, the port for metrics and probes, and a clock that includes time
//! spent suspended.
//!
//! No state is durable. When a connection is lost, its open calls fail, and [`CallError`] says
//! whether the peer may have executed them. A failed task is restarted by its [`Supervisor`].

pub mod clock;
pub mod dial;
mod gate;
pub mod peer;
pub mod pool;
pub mod probes;
mod request_body;
pub mod supervisor;

pub use clock::BootClock;
pub use gate::SendPermission;
pub use peer::{CallError, Credentials, PeerClient, TlsFiles};
pub use probes::Readiness;
pub use request_body::RequestBody;
pub use supervisor::Supervisor;
