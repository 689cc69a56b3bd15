//! Settings of an instance of a relay fleet.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use poplarspan_policy::Name;

/// Offset of the peer port of an instance that stores programs from the first peer port.
const STORE_PORT: u16 = 1;
/// Offset of the peer port of an instance that serves callers.
const FRONT_PORT: u16 = 2;

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceRole {
    /// Replicates the publication, and leads the others when it is elected.
    Control,
    /// Keeps programs and their turns.
    Store,
    /// Serves callers.
    Front,
}

impl InstanceRole {
    /// Name in logs.
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
    /// What the instance does.
    pub role: InstanceRole,
    /// Where callers connect; only for fronts.
    pub call_address: Option<SocketAddr>,
    /// Where readiness is asked for; only for fronts.
    pub readiness_address: Option<SocketAddr>,
    /// Where operators connect; only for control replicas.
    pub operator_address: Option<SocketAddr>,
    /// First of the ports between instances, the same on all machines.
    pub peer_ports: u16,
    /// Machines of control replicas, as far as they are known at the start.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the fleet starts for the first time in its life.
    pub is_bootstrap: bool,
    /// Folder for durable state.
    pub data_dir: Option<PathBuf>,
    /// Where the platform's list of endpoints is read.
    pub endpoint_list_address: SocketAddr,
    /// Machines with a disk that may be lost at once.
    pub tolerated_losses: usize,
    /// Times that the platform sets.
    pub bounds: Bounds,
    /// Port that serves metrics.
    pub metrics_port: u16,
}

/// Times that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after which a withdrawn key must not work anywhere.
    pub key_revocation: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
}

impl Settings {
    /// Address of this instance's peer port.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address_of(self.ip, self.role)
    }

    /// Address of the peer port of the instance with a duty on a machine.
    pub fn peer_address_of(&self, ip: Ipv4Addr, role: InstanceRole) -> SocketAddr {
        let offset = match role {
            InstanceRole::Control => 0,
            InstanceRole::Store => STORE_PORT,
            InstanceRole::Front => FRONT_PORT,
        };
        SocketAddr::from((ip, self.peer_ports + offset))
    }

    /// Peer addresses of the control replicas that are known at the start.
    pub fn control_peer_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|ip| self.peer_address_of(*ip, InstanceRole::Control)).collect()
    }
}
