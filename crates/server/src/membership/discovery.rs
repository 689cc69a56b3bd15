//! Discovery of the control replicas and of the leader of group 0.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use poplarspan_proto::peer::{self, FailureCode, request, response};

use crate::peer::{CallError, PeerClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between requests that have failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Known addresses of the control replicas and the presumed leader of group 0.
pub(crate) struct Directory {
    inner: Mutex<DirectoryInner>,
}

#[derive(Default)]
struct DirectoryInner {
    leader: Option<SocketAddr>,
    candidates: Vec<SocketAddr>,
    next: usize,
}

impl Directory {
    pub(crate) fn new(candidates: Vec<SocketAddr>) -> Self {
        Self { inner: Mutex::new(DirectoryInner { candidates, ..Default::default() }) }
    }

    /// Returns the presumed leader of group 0, or the next candidate in round-robin order.
    pub(crate) fn target(&self) -> Option<SocketAddr> {
        let mut inner = self.inner.lock().expect("no panic while locked");
        if let Some(leader) = inner.leader {
            return Some(leader);
        }
        let count = inner.candidates.len();
        if count == 0 {
            return None;
        }
        let i = inner.next % count;
        inner.next = i + 1;
        Some(inner.candidates[i])
    }

    /// Returns the presumed leader of group 0.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.inner.lock().expect("no panic while locked").leader
    }

    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        self.inner.lock().expect("no panic while locked").leader = leader;
    }

    /// Returns the known control replicas, in no particular order.
    pub(crate) fn candidates(&self) -> Vec<SocketAddr> {
        self.inner.lock().expect("no panic while locked").candidates.clone()
    }

    /// Adds control replicas that a peer has reported.
    pub(crate) fn add_candidates(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut inner = self.inner.lock().expect("no panic while locked");
        for address in addresses {
            if !inner.candidates.contains(&address) {
                inner.candidates.push(address);
            }
        }
    }

    /// Updates the presumed leader after a failed request.
    pub(crate) fn handle_failure(&self, error: &CallError) {
        match error {
            CallError::Failed(failure) if failure.code() == FailureCode::NotLeader => {
                self.set_leader(failure.leader_address.parse().ok());
            }
            CallError::Failed(_) => {}
            CallError::Unreachable { .. } | CallError::Unknown { .. } => self.set_leader(None),
        }
    }
}

/// Periodically asks known instances for the addresses of the control replicas. Returns only if
/// there is no address to ask.
pub(crate) async fn discover(
    directory: Arc<Directory>,
    client: PeerClient,
    seeds: Vec<SocketAddr>,
) -> anyhow::Result<()> {
    for round in 0usize.. {
        let mut targets = directory.candidates();
        targets.extend(&seeds);
        if targets.is_empty() {
            return Ok(());
        }
        let target = targets[round % targets.len()];
        let request = request::Body::Peers(peer::PeersRequest {});
        let pause = match client.call(target, request, CALL_TIMEOUT).await {
            Ok(response::Body::Peers(reply)) => {
                directory
                    .add_candidates(reply.replicas.iter().filter_map(|r| r.address.parse().ok()));
                REFRESH_INTERVAL
            }
            _ => RETRY_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
    Ok(())
}
