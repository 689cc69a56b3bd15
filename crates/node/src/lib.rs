//! What every process of Poplarspan is made of: the peer port between processes, supervised tasks,
//! the port for metrics and probes, and a clock that also counts suspension.
//!
//! Nothing here is durable. A lost connection loses the calls that are open on it; [`CallError`]
//! says whether the peer may have carried one out. A failed task is restarted by its [`Supervisor`].

pub mod clock;
mod gate;
pub mod peer;
pub mod pool;
pub mod probes;
pub mod supervisor;

pub use clock::BootClock;
pub use gate::SendPermission;
pub use peer::{CallError, Credentials, PeerClient, TlsFiles};
pub use probes::Readiness;
pub use supervisor::Supervisor;
