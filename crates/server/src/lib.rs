//! One instance of Poplarspan: the HTTP server for callers, the dispatch to endpoints, the peer
//! protocol between instances, and the control plane on instances with a data folder.
//!
//! * [`Instance`] runs an instance inside the calling process; [`Running`] is its handle.
//! * [`PeerClient`] sends operator requests to instances.
//! * [`init_data_folder`] initialises the data folder of a control replica.
//!
//! # State and failures
//!
//! Calls in flight, queues and connections are kept in memory by one instance and are lost when it
//! fails: its lease expires, its idempotent calls may be claimed by another instance, and the
//! outcome of its other calls is unknown. Objects, programs and registered instances are stored in
//! the replicated log and survive the loss of any minority of the control replicas. An instance
//! without a data folder stores nothing durable. A failed task is restarted. When the log fails,
//! [`Running::failed`] returns and the process should exit.
//!
//! # Units and errors
//!
//! Sizes are in bytes and times are [`Duration`](std::time::Duration)s.
//! [`InstanceConfig::problems`] reports all invalid settings at once. [`CallError`] distinguishes
//! peer requests that were not executed from those with an unknown outcome.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use poplarspan_server::{InstanceConfig, Limits, TlsFiles};
//!
//! let any = "127.0.0.1:0".parse()?;
//! let cfg = InstanceConfig {
//!     name: "i1".into(),
//!     zone: "z1".into(),
//!     entry_address: any,
//!     peer_address: any,
//!     advertise_address: None,
//!     probe_address: any,
//!     seeds: Vec::new(),
//!     replicas: Vec::new(),
//!     data_dir: None,
//!     tls: TlsFiles {
//!         authority: "authority.pem".into(),
//!         certificate: "i1.pem".into(),
//!         key: "i1.key".into(),
//!     },
//!     limits: Limits::default(),
//!     drain_grace: Duration::from_secs(2),
//!     drain_timeout: Duration::from_secs(30),
//! };
//! let problems = cfg.problems();
//! assert_eq!(problems.len(), 1);
//! assert_eq!(problems[0].setting, "seeds");
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod admission;
mod config;
mod control;
mod crashes;
mod dispatch;
mod entry;
mod instance;
mod membership;
mod programs;
mod schedule;
mod telemetry;

pub use config::{ConfigError, InstanceConfig, Limits, ReplicaAddress};
pub use control::init_data_folder;
pub use instance::{Instance, Running};
pub use poplarspan_node::{CallError, Credentials, PeerClient, TlsFiles};
use poplarspan_node::{peer, probes, supervisor};
