//! Addresses of the control replicas.

use std::{net::SocketAddr, sync::Mutex};

/// Addresses by replica number, from the settings, heartbeats and the catalog. Not persisted; they
/// are collected again after a restart.
#[derive(Default)]
pub(crate) struct ReplicaAddresses {
    // Sorted by number.
    entries: Mutex<Vec<Replica>>,
}

struct Replica {
    number: u64,
    address: SocketAddr,
    /// Whether the replica is not in the settings.
    registered: bool,
}

impl ReplicaAddresses {
    /// Sets an address from the settings.
    pub(crate) fn set_configured(&self, replica: u64, address: SocketAddr) {
        let new = Replica { number: replica, address, registered: false };
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => entries[i] = new,
            Err(i) => entries.insert(i, new),
        }
    }

    /// Sets an address that the replica itself or an operator has reported.
    pub(crate) fn set_reported(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => entries[i].address = address,
            Err(i) => entries.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Sets an address from the catalog, unless the replica is in the settings. After all replicas
    /// have moved, the catalog still has their old addresses.
    pub(crate) fn set_registered(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        match entries.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) if entries[i].registered => entries[i].address = address,
            Ok(_) => {}
            Err(i) => entries.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Adds the address of a message's sender, unless the replica is already known. Without it,
    /// voters that were in contact only with the old leader could not elect a new one.
    pub(crate) fn add_sender(&self, replica: u64, address: SocketAddr) {
        let mut entries = self.entries.lock().expect("no panic while locked");
        if let Err(i) = entries.binary_search_by_key(&replica, |r| r.number) {
            entries.insert(i, Replica { number: replica, address, registered: true });
        }
    }

    /// Returns the address of a replica, if known.
    pub(crate) fn address(&self, replica: u64) -> Option<SocketAddr> {
        let entries = self.entries.lock().expect("no panic while locked");
        let i = entries.binary_search_by_key(&replica, |r| r.number).ok()?;
        Some(entries[i].address)
    }

    /// Returns the numbers and addresses of all known replicas, sorted by number.
    pub(crate) fn list(&self) -> Vec<(u64, SocketAddr)> {
        let entries = self.entries.lock().expect("no panic while locked");
        entries.iter().map(|r| (r.number, r.address)).collect()
    }
}
