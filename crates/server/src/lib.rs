//! One instance of Poplarspan: the HTTP side towards callers, the dispatch to endpoints, the peer
//! port between instances, and the control duties of instances with a data folder.

mod admission;
mod config;
mod control;
mod crashes;
mod dispatch;
mod entry;
mod instance;
mod membership;
mod peer;
mod programs;
mod schedule;
mod supervisor;
mod telemetry;

pub use config::{ConfigError, InstanceConfig, Limits, ReplicaAddress, TlsFiles};
pub use control::init_data_folder;
pub use instance::{Instance, Running};
pub use peer::{CallError, Credentials, PeerClient};
