//! Addresses of the control replicas.

use std::{net::SocketAddr, sync::Mutex};

/// Addresses by replica number. They come from the settings, from heartbeats and from the catalog,
/// and are found again after a restart.
#[derive(Default)]
pub(crate) struct ReplicaAddresses {
    // Sorted by number.
    entries: Mutex<Vec<Replica>>,
}

struct Replica {
    number: u64,
    address: SocketAddr,
    /// Not in the settings.
    registered: bool,
}

impl ReplicaAddresses {
    /// Notes where a replica is according to the settings.
    pub(crate) fn set_configured(&self, replica: u64, address: SocketAddr) {
        let new = Replica { number: replica, address, registered: false };
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => entries[i] = new,
            Err(i) => entries.insert(i, new),
        }
    }

    /// Notes where a replica is according to itself or to an operator.
    pub(crate) fn set_reported(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => entries[i].address = address,
            Err(i) => entries.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Notes where a replica was registered. The settings take precedence: after a move of all
    /// replicas the catalog still has their old addresses.
    pub(crate) fn set_registered(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) if entries[i].registered => entries[i].address = address,
            Ok(_) => {}
            Err(i) => entries.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Notes where the sender of a message is, unless that is known already. Without this, voters
    /// that know each other only through a leader could not elect the next one.
    pub(crate) fn add_sender(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        if let Err(i) = entries.binary_search_by_key(&replica, |r| r.number) {
            entries.insert(i, Replica { number: replica, address, registered: true });
        }
    }

    /// Address of a replica, if it is known.
    pub(crate) fn address(&self, replica: u64) -> Option<SocketAddr> {
        let entries = self.entries.lock().expect("no panic while locked");
        let i = entries.binary_search_by_key(&replica, |r| r.number).ok()?;
        Some(entries[i].address)
    }

    /// All replicas.
    pub(crate) fn list(&self) -> Vec<(u64, SocketAddr)> {
        let entries = self.entries.lock().expect("no panic while locked");
        entries.iter().map(|r| (r.number, r.address)).collect()
    }
}
