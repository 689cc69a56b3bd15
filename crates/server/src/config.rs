//! Settings of one instance, checked before anything starts.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use poplarspan_node::TlsFiles;

/// Bounds on what one caller, and all callers together, may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body where the route sets no bound of its own, in bytes.
    pub max_body: usize,
    /// Open connections from callers.
    pub max_connections: usize,
    /// Time in which a caller must have sent the head of a request.
    pub head_timeout: Duration,
    /// Time in which a caller must have sent the whole body.
    pub body_timeout: Duration,
    /// Largest answer that is kept whole in memory, in bytes.
    pub max_response: usize,
    /// Bytes of bodies and kept answers that all open calls may hold together.
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

/// A control replica that an instance with a data folder is, or knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Number of the replica.
    pub replica: u64,
    /// Address of its peer port.
    pub address: SocketAddr,
}

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Name of the instance, unique in the fleet.
    pub name: Arc<str>,
    /// Availability zone that the instance runs in.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub entry_address: SocketAddr,
    /// Where other instances and operators connect (UDP).
    pub peer_address: SocketAddr,
    /// Where other instances reach `peer_address`, if a relay stands in front of it.
    pub advertise_address: Option<SocketAddr>,
    /// Where metrics and health are served.
    pub probe_address: SocketAddr,
    /// Peer addresses of instances that may already run.
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of all control replicas, sorted by number; needed with a data folder.
    pub replicas: Vec<ReplicaAddress>,
    /// Data folder; only control replicas have one.
    pub data_dir: Option<PathBuf>,
    /// TLS files for the peer port.
    pub tls: TlsFiles,
    /// Bounds towards callers.
    pub limits: Limits,
    /// Time between "not ready" and the end of accepting, for the balancer to notice.
    pub drain_grace: Duration,
    /// Longest time that a shutdown waits for open calls.
    pub drain_timeout: Duration,
}

/// A setting that cannot work.
#[derive(Debug, thiserror::Error)]
#[error("{setting}: {problem}")]
pub struct ConfigError {
    /// Name of the setting.
    pub setting: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl InstanceConfig {
    /// Returns every setting that cannot work.
    pub fn problems(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut report = |setting, problem: &str| {
            found.push(ConfigError { setting, problem: problem.to_owned() });
        };
        if self.name.is_empty() || self.name.len() > 63 {
            report("name", "must have 1 to 63 characters");
        }
        if self.zone.is_empty() {
            report("zone", "must not be empty");
        }
        if self.data_dir.is_none() && self.seeds.is_empty() {
            report("seeds", "an instance without a data folder needs at least one seed");
        }
        if self.peer_address.ip().is_unspecified() {
            report("peer-address", "must be an address that the other instances can reach");
        }
        if self.limits.max_head < 8 * 1024 {
            report("max-head", "must be at least 8 KiB");
        }
        found
    }
}
