//! One instance of Poplarspan: the HTTP side towards callers, the dispatch to endpoints, the peer
//! port between instances, and the control duties of instances with a data folder.
//!
//! * [`Instance`] runs an instance inside the calling process; [`Running`] is its handle.
//! * [`PeerClient`] calls instances as operators do.
//! * [`init_data_folder`] prepares the folder of a control replica, once.
//!
//! # Owners and failures
//!
//! An instance owns its calls in flight, queues and connections, which are lost with it: its lease
//! runs out, its idempotent calls may be claimed again, and its other calls have an unknown
//! outcome. Objects, programs and registered instances belong to the replicated log and outlive
//! any minority of the control replicas. Instances without a data folder hold nothing durable. A
//! failed task is restarted; a failed log makes [`Running::failed`] return, after which the
//! process should end.
//!
//! # Units and errors
//!
//! Sizes are in bytes and times are [`Duration`](std::time::Duration)s. Settings that cannot work
//! are reported together ([`InstanceConfig::problems`]). [`CallError`] distinguishes calls to a peer
//! that were not carried out from those with an unknown outcome.
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
