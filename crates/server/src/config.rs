//! Settings of one instance and their validation.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use poplarspan_node::TlsFiles;

/// Resource limits for each caller and for all callers together.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes. A route may set a lower limit.
    pub max_body: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum time for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// Maximum time for a caller to send the whole body.
    pub body_timeout: Duration,
    /// Maximum size of a response that is buffered in memory, in bytes.
    pub max_response: usize,
    /// Maximum size of the request bodies of all open calls together, in bytes.
    pub max_held: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 8 * 1024 * 1024,
            max_connections: 20_000,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            max_response: 16 * 1024 * 1024,
            max_held: 512 * 1024 * 1024,
        }
    }
}

/// Number and address of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Replica number, at least 1.
    pub replica: u64,
    /// Address of the replica's peer port.
    pub address: SocketAddr,
}

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Name of the instance, 1 to 63 bytes, unique in the fleet.
    pub name: Arc<str>,
    /// Availability zone of the instance; must not be empty.
    pub zone: Arc<str>,
    /// Listen address for callers (TCP).
    pub entry_address: SocketAddr,
    /// Listen address for other instances and operators (UDP); must not be unspecified.
    pub peer_address: SocketAddr,
    /// Address at which other instances reach `peer_address`, if it differs, for instance behind a
    /// relay.
    pub advertise_address: Option<SocketAddr>,
    /// Listen address for metrics and health checks (TCP).
    pub probe_address: SocketAddr,
    /// Peer addresses of other instances, used for discovery. At least one is required without a
    /// data folder.
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of all control replicas, sorted by number; required with a data folder.
    pub replicas: Vec<ReplicaAddress>,
    /// Data folder. Set on control replicas only.
    pub data_dir: Option<PathBuf>,
    /// TLS certificate files for the peer port.
    pub tls: TlsFiles,
    /// Resource limits for callers.
    pub limits: Limits,
    /// Time between reporting "not ready" and closing the listener, for load balancers to react.
    pub drain_grace: Duration,
    /// Maximum time that a shutdown waits for open calls.
    pub drain_timeout: Duration,
}

/// An invalid setting.
#[derive(Debug, thiserror::Error)]
#[error("{setting}: {problem}")]
pub struct ConfigError {
    /// Name of the setting.
    pub setting: &'static str,
    /// Why the value is invalid.
    pub problem: String,
}

impl InstanceConfig {
    /// Returns all invalid settings; empty if the configuration is valid.
    pub fn problems(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut report = |setting, problem: &str| {
            found.push(ConfigError { setting, problem: problem.to_owned() });
        };
        if self.name.is_empty() || self.name.len() > 63 {
            report("name", "must be 1 to 63 bytes long");
        }
        if self.zone.is_empty() {
            report("zone", "must not be empty");
        }
        if self.data_dir.is_none() && self.seeds.is_empty() {
            report("seeds", "at least one seed is required without a data folder");
        }
        if self.peer_address.ip().is_unspecified() {
            report("peer-address", "must be a specific address, not 0.0.0.0 or [::]");
        }
        if self.limits.max_head < 8 * 1024 {
            report("max-head", "must be at least 8 KiB");
        }
        found
    }
}
