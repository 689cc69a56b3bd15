//! Addresses of the control replicas.

use std::{net::SocketAddr, sync::Mutex};

/// Addresses by replica number. They come from the settings, from heartbeats and from the catalog,
/// and are found again after a restart.
#[derive(Default)]
pub(crate) struct Replicas {
    // Sorted by number.
    list: Mutex<Vec<Replica>>,
}

struct Replica {
    number: u64,
    address: SocketAddr,
    /// Not in the settings.
    registered: bool,
}

impl Replicas {
    /// Notes where a replica is according to the settings.
    pub(crate) fn configure(&self, replica: u64, address: SocketAddr) {
        let new = Replica { number: replica, address, registered: false };
        let mut list = self.list.lock().expect("no panic while locked");
        match list.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => list[i] = new,
            Err(i) => list.insert(i, new),
        }
    }

    /// Notes where a replica is according to itself or to an operator.
    pub(crate) fn learn(&self, replica: u64, address: SocketAddr) {
        let mut list = self.list.lock().expect("no panic while locked");
        match list.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) => list[i].address = address,
            Err(i) => list.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Notes where a replica was registered. The settings take precedence: after a move of all
    /// replicas the catalog still has their old addresses.
    pub(crate) fn learn_registered(&self, replica: u64, address: SocketAddr) {
        let mut list = self.list.lock().expect("no panic while locked");
        match list.binary_search_by_key(&replica, |r| r.number) {
            Ok(i) if list[i].registered => list[i].address = address,
            Ok(_) => {}
            Err(i) => list.insert(i, Replica { number: replica, address, registered: true }),
        }
    }

    /// Notes where the sender of a message is, unless that is known already. Without this, voters
    /// that know each other only through a leader could not elect the next one.
    pub(crate) fn learn_sender(&self, replica: u64, address: SocketAddr) {
        let mut list = self.list.lock().expect("no panic while locked");
        if let Err(i) = list.binary_search_by_key(&replica, |r| r.number) {
            list.insert(i, Replica { number: replica, address, registered: true });
        }
    }

    /// Address of a replica, if it is known.
    pub(crate) fn address(&self, replica: u64) -> Option<SocketAddr> {
        let list = self.list.lock().expect("no panic while locked");
        let i = list.binary_search_by_key(&replica, |r| r.number).ok()?;
        Some(list[i].address)
    }

    /// All replicas.
    pub(crate) fn list(&self) -> Vec<(u64, SocketAddr)> {
        let list = self.list.lock().expect("no panic while locked");
        list.iter().map(|r| (r.number, r.address)).collect()
    }
}
