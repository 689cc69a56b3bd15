//! Detours: a front that has lost its links to all endpoints reaches them through other fronts.
//!
//! The front still admits its calls, chooses their endpoints and keeps their slots, budgets and
//! limits; only the bytes of its connections pass through another front. The control leader, which
//! hears from all fronts, tells it which ones reach endpoints. A connection through another front
//! carries one call, so that a front that is about to stop soon has none left.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use poplarspan_node::{
    CallError, PeerClient,
    dial::{Dial, Dialed},
    peer::{OpenTunnel, PeerService, Role},
};
use poplarspan_proto::peer::{self, FailureCode, request, response};
use rand::seq::SliceRandom;
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout, timeout_at},
};

use super::{CONNECT_TIMEOUT, DIRECT, links::Links};
use crate::fleet_client::FleetClient;

/// Time to open a connection through one front, after which another is asked.
const DETOUR_TIMEOUT: Duration = Duration::from_millis(180);
/// Number of fronts that are asked for a connection.
const MAX_DETOURS: usize = 2;
/// How long a connection waits until the leader has named fronts that reach endpoints.
const DETOURS_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of connections that other fronts have through this one.
const MAX_TUNNELS: usize = 512;

/// Opens connections to endpoints, through other fronts while the links are cut.
pub(crate) struct DetourDial {
    links: Arc<Links>,
    fleet: Arc<FleetClient>,
    client: PeerClient,
}

impl std::fmt::Debug for DetourDial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DetourDial").finish_non_exhaustive()
    }
}

impl DetourDial {
    pub(crate) fn new(links: Arc<Links>, fleet: Arc<FleetClient>, client: PeerClient) -> Self {
        Self { links, fleet, client }
    }

    async fn dial_through_front(&self, address: SocketAddr) -> io::Result<Dialed> {
        let mut cause = "no other front is known to reach endpoints".to_owned();
        for front in self.detours().await.into_iter().take(MAX_DETOURS) {
            let tunnel = peer::Tunnel { address: address.to_string() };
            match timeout(DETOUR_TIMEOUT, self.client.open_tunnel(front, tunnel)).await {
                Ok(Ok(stream)) => {
                    metrics::counter!("poplarspan_relay_detours_total").increment(1);
                    return Ok(Dialed { stream, is_reusable: false });
                }
                Ok(Err(e)) => {
                    cause = e.to_string();
                    if !matches!(e, CallError::Failed(_)) {
                        self.client.forget(front);
                    }
                }
                Err(_) => {
                    cause = format!("{front} did not answer in time");
                    // It may have restarted and not know the connection any more.
                    self.client.forget(front);
                }
            }
        }
        Err(io::Error::new(io::ErrorKind::HostUnreachable, cause))
    }

    /// The fronts to ask, in random order. Waits for the leader to name some.
    async fn detours(&self) -> Vec<SocketAddr> {
        let mut changes = self.fleet.subscribe();
        let until = Instant::now() + DETOURS_WAIT;
        loop {
            let mut detours = self.fleet.view().detours.clone();
            if !detours.is_empty() {
                detours.shuffle(&mut rand::rng());
                return detours;
            }
            // The channel is only closed at the end of the process.
            if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
                return detours;
            }
        }
    }
}

impl Dial for DetourDial {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Dialed>> {
        Box::pin(async move {
            match self.links.is_cut() {
                true => self.dial_through_front(address).await,
                false => DIRECT.dial(address).await,
            }
        })
    }
}

/// Peer service of a front, which connects other fronts to endpoints.
pub(crate) struct TunnelService {
    links: Arc<Links>,
    fleet: Arc<FleetClient>,
    slots: Arc<Semaphore>,
}

impl TunnelService {
    pub(crate) fn new(links: Arc<Links>, fleet: Arc<FleetClient>) -> Arc<Self> {
        Arc::new(Self { links, fleet, slots: Arc::new(Semaphore::new(MAX_TUNNELS)) })
    }

    /// Number of open connections of other fronts.
    pub(crate) fn open(&self) -> usize {
        MAX_TUNNELS - self.slots.available_permits()
    }

    async fn connect(&self, role: Role, tunnel: peer::Tunnel) -> Result<OpenTunnel, peer::Failure> {
        if role != Role::Instance {
            return Err(failure(FailureCode::Unauthorized, "only instances may ask for this"));
        }
        let unavailable = |message: &str| failure(FailureCode::Unavailable, message);
        if self.fleet.is_draining() || self.links.is_cut() {
            return Err(unavailable("the front connects to no endpoint"));
        }
        let view = self.fleet.view();
        let listed = view.directory.endpoints.iter().map(|e| e.address);
        let Some(address) = listed.into_iter().find(|a| a.to_string() == tunnel.address) else {
            return Err(unavailable("the endpoint is not in the list"));
        };
        let permit = self.slots.clone().try_acquire_owned();
        let permit = permit.map_err(|_| unavailable("too many connections of other fronts"))?;
        match timeout(CONNECT_TIMEOUT, DIRECT.connect(address)).await {
            Ok(Ok(stream)) => Ok(OpenTunnel { stream, permit }),
            Ok(Err(e)) => Err(unavailable(&e.to_string())),
            Err(_) => Err(unavailable("connect timed out")),
        }
    }
}

fn failure(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}

impl PeerService for TunnelService {
    fn call(&self, _role: Role, _body: request::Body) -> BoxFuture<'_, response::Body> {
        let message = "a front carries out no calls";
        let failure = poplarspan_node::peer::failure(FailureCode::Invalid, message);
        Box::pin(std::future::ready(failure))
    }

    fn open_tunnel(
        &self,
        role: Role,
        tunnel: peer::Tunnel,
    ) -> BoxFuture<'_, Result<OpenTunnel, peer::Failure>> {
        Box::pin(self.connect(role, tunnel))
    }
}
