//! Addresses of the control replicas.

use std::{net::SocketAddr, sync::Mutex};

/// Addresses by replica number. They come from the settings and from heartbeats, and are found
/// again after a restart.
#[derive(Default)]
pub(crate) struct Replicas {
    // Sorted by number.
    list: Mutex<Vec<(u64, SocketAddr)>>,
}

impl Replicas {
    /// Notes where a replica is.
    pub(crate) fn learn(&self, replica: u64, address: SocketAddr) {
        let mut list = self.list.lock().expect("no panic while locked");
        match list.binary_search_by_key(&replica, |(r, _)| *r) {
            Ok(i) => list[i].1 = address,
            Err(i) => list.insert(i, (replica, address)),
        }
    }

    /// Address of a replica, if it is known.
    pub(crate) fn address(&self, replica: u64) -> Option<SocketAddr> {
        let list = self.list.lock().expect("no panic while locked");
        let i = list.binary_search_by_key(&replica, |(r, _)| *r).ok()?;
        Some(list[i].1)
    }

    /// All replicas.
    pub(crate) fn list(&self) -> Vec<(u64, SocketAddr)> {
        self.list.lock().expect("no panic while locked").clone()
    }
}
