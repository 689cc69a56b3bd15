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
pub enum Duty {
    /// Replicates the publication, and leads the others when it is elected.
    Control,
    /// Keeps programs and their turns.
    Store,
    /// Serves callers.
    Front,
}

impl Duty {
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
    pub duty: Duty,
    /// Where callers connect; only for fronts.
    pub calls: Option<SocketAddr>,
    /// Where readiness is asked for; only for fronts.
    pub readiness: Option<SocketAddr>,
    /// Where operators connect; only for control replicas.
    pub orders: Option<SocketAddr>,
    /// First of the ports between instances, the same on all machines.
    pub peer_ports: u16,
    /// Machines of control replicas, as far as they are known at the start.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the fleet starts for the first time in its life.
    pub is_founding: bool,
    /// Folder for durable state.
    pub data_dir: Option<PathBuf>,
    /// Where the platform's list of endpoints is read.
    pub list: SocketAddr,
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
    pub revoke: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
}

impl Settings {
    /// Address of this instance's peer port.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_of(self.ip, self.duty)
    }

    /// Address of the peer port of the instance with a duty on a machine.
    pub fn peer_of(&self, ip: Ipv4Addr, duty: Duty) -> SocketAddr {
        let offset = match duty {
            Duty::Control => 0,
            Duty::Store => STORE_PORT,
            Duty::Front => FRONT_PORT,
        };
        SocketAddr::from((ip, self.peer_ports + offset))
    }

    /// Peer addresses of the control replicas that are known at the start.
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|ip| self.peer_of(*ip, Duty::Control)).collect()
    }
}
