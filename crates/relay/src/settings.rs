//! Settings of an instance of a relay fleet.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use poplarspan_policy::Name;

/// Offset of a store's peer port from the first peer port.
const STORE_PORT: u16 = 1;
/// Offset of a front's peer port from the first peer port.
const FRONT_PORT: u16 = 2;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceRole {
    /// Replicates the publication, and coordinates the fleet while it is the leader.
    Control,
    /// Stores token budgets and turns of programs.
    Store,
    /// Serves callers.
    Front,
}

impl InstanceRole {
    /// Name of the role in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Store => "store",
            Self::Front => "front",
        }
    }
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: Name,
    /// Availability zone.
    pub zone: Name,
    /// All availability zones.
    pub zones: Vec<Name>,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Address for callers; only for fronts.
    pub call_address: Option<SocketAddr>,
    /// Address of the readiness probe; only for fronts.
    pub readiness_address: Option<SocketAddr>,
    /// Address for operators; only for control replicas.
    pub operator_address: Option<SocketAddr>,
    /// First port for traffic between instances; the same on all machines.
    pub peer_ports: u16,
    /// Machines of control replicas that are known at the start.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the fleet starts for the first time.
    pub is_bootstrap: bool,
    /// Folder for durable state; needed by control replicas and stores.
    pub data_dir: Option<PathBuf>,
    /// Address that serves the platform's endpoint list.
    pub endpoint_list_address: SocketAddr,
    /// Number of machines with a disk that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time limits set by the platform.
    pub time_limits: TimeLimits,
    /// Limits of rollouts. `None` if the platform does not offer rollouts.
    pub rollouts: Option<RolloutLimits>,
    /// Whether the limits of endpoints are found by measurement, because the platform states none:
    /// endpoints that start are paced, and all fronts send the turns of a program to the
    /// same engine.
    pub measures_limits: bool,
    /// Whether programs are admitted by measured delay.
    pub admits_by_delay: bool,
    /// Limits of the machine.
    pub machine_limits: MachineLimits,
    /// Port that serves metrics.
    pub metrics_port: u16,
}

/// Limits of a machine; a process above the limit for memory is terminated. Without a limit, the
/// instance uses what it needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineLimits {
    /// Memory in bytes.
    pub memory_bytes: Option<u64>,
    /// Disk in bytes.
    pub disk_bytes: Option<u64>,
}

/// Time limits set by the platform.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Time after which a revoked key must not be accepted by any instance.
    pub key_revocation: Duration,
    /// Time after its acknowledgement within which a publication must be in force at every instance
    /// that reaches the control group.
    pub publication: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
}

/// Limits of rollouts, set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Fraction of a service's calls that a bad version may get, from 0 to 1.
    pub exposure_share: f64,
    /// Number of calls that a bad version may get beyond `exposure_share`.
    pub exposure_slack: u32,
    /// Time after its 50th bad response in which a version must stop receiving calls.
    pub rollback: Duration,
    /// Time within which an order must be acknowledged. An operator may resend it meanwhile.
    pub acknowledgement: Duration,
}

impl Settings {
    /// Peer address of this instance.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address_of(self.ip, self.role)
    }

    /// Peer address of the instance with `role` on the machine `ip`.
    pub fn peer_address_of(&self, ip: Ipv4Addr, role: InstanceRole) -> SocketAddr {
        let offset = match role {
            InstanceRole::Control => 0,
            InstanceRole::Store => STORE_PORT,
            InstanceRole::Front => FRONT_PORT,
        };
        SocketAddr::from((ip, self.peer_ports + offset))
    }

    /// Peer addresses of the control replicas in `seeds`.
    pub fn control_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|ip| self.peer_address_of(*ip, InstanceRole::Control)).collect()
    }
}
