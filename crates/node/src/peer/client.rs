//! Client for calls to other instances.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Result;
use poplarspan_proto::peer::{self, request, response};

use super::{
    frame,
    tls::{Credentials, INSTANCE_NAME},
    tunnel,
};
use crate::dial::Stream;

/// Time limit for the connection setup, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so the call was not sent.
    #[error("cannot reach {address}: {cause}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the error.
        cause: String,
    },
    /// No valid response arrived. The peer may have executed the call.
    #[error("no answer from {address}: {cause}")]
    Unknown {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the error.
        cause: String,
    },
    /// The peer responded with a failure.
    #[error("{}", .0.message)]
    Failed(peer::Failure),
}

/// Sends calls to peers over one connection per peer. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    endpoint: quinn::Endpoint,
    // Sorted by address.
    connections: Arc<Mutex<Vec<(SocketAddr, quinn::Connection)>>>,
}

impl PeerClient {
    /// Creates a client with its own socket, bound to `local`. Used by operators.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be opened or the certificates are not usable.
    pub fn new(credentials: &Credentials, local: SocketAddr) -> Result<Self> {
        let endpoint = quinn::Endpoint::client(local)?;
        Self::with_endpoint(endpoint, credentials)
    }

    /// Creates a client that shares the socket of `endpoint`, the peer port.
    ///
    /// # Errors
    ///
    /// Fails when the certificates are not usable.
    pub fn with_endpoint(mut endpoint: quinn::Endpoint, credentials: &Credentials) -> Result<Self> {
        endpoint.set_default_client_config(credentials.client_config()?);
        Ok(Self { endpoint, connections: Arc::default() })
    }

    /// Sends one call and waits at most `timeout` for the response, including the time to connect.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Unreachable`] if the call was not sent, with [`CallError::Unknown`]
    /// if the peer may have executed it, and with [`CallError::Failed`] if the peer responded with
    /// a failure, whose code tells whether the call was executed.
    pub async fn call(
        &self,
        address: SocketAddr,
        body: request::Body,
        timeout: Duration,
    ) -> Result<response::Body, CallError> {
        let started = tokio::time::Instant::now();
        let connection = tokio::time::timeout(timeout, self.connection(address))
            .await
            .map_err(|_| CallError::Unreachable { address, cause: "timed out".to_owned() })??;
        let timeout = timeout.saturating_sub(started.elapsed());
        let unknown = |cause: String| CallError::Unknown { address, cause };
        let exchange = exchange(&connection, peer::Request { body: Some(body) });
        let answer = match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                self.remove_connection(address, &connection);
                return Err(unknown(e.to_string()));
            }
            Err(_) => {
                // The peer may have restarted, in which case it no longer knows the connection.
                self.remove_connection(address, &connection);
                return Err(unknown(format!("nothing arrived within {timeout:?}")));
            }
        };
        match answer.body {
            Some(response::Body::Failure(failure)) => Err(CallError::Failed(failure)),
            Some(body) => Ok(body),
            None => Err(unknown("empty answer".to_owned())),
        }
    }

    /// Opens a connection to an endpoint through the peer. The caller limits the time.
    ///
    /// # Errors
    ///
    /// As for [`PeerClient::call`]. The peer reports an endpoint that it cannot reach as a failure.
    pub async fn open_tunnel(
        &self,
        address: SocketAddr,
        tunnel: peer::Tunnel,
    ) -> Result<Box<dyn Stream>, CallError> {
        let connection = self.connection(address).await?;
        let unknown = |cause: String| CallError::Unknown { address, cause };
        let request = peer::Request { body: Some(request::Body::Tunnel(tunnel)) };
        let open = async {
            let (mut tx, mut rx) = connection.open_bi().await?;
            frame::write(&mut tx, &request).await?;
            let answer: peer::Response = frame::read(&mut rx).await?;
            anyhow::Ok((answer, tx, rx))
        };
        let (answer, tx, rx) = open.await.map_err(|e| unknown(e.to_string()))?;
        match answer.body {
            Some(response::Body::TunnelOpened(_)) => Ok(Box::new(tunnel::caller_end(tx, rx))),
            Some(response::Body::Failure(failure)) => Err(CallError::Failed(failure)),
            _ => Err(unknown("the answer is of another kind".to_owned())),
        }
    }

    /// Returns an open connection to the peer, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Unreachable`] when the connection cannot be opened.
    pub async fn connection(&self, address: SocketAddr) -> Result<quinn::Connection, CallError> {
        if let Some(connection) = self.cached_connection(address) {
            return Ok(connection);
        }
        let unreachable = |cause: String| CallError::Unreachable { address, cause };
        let connecting = self
            .endpoint
            .connect(address, INSTANCE_NAME)
            .map_err(|e| unreachable(e.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("timed out".to_owned()))?
            .map_err(|e| unreachable(e.to_string()))?;
        let mut open = self.connections.lock().expect("mutex is not poisoned");
        match open.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(i) => open[i].1 = connection.clone(),
            Err(i) => open.insert(i, (address, connection.clone())),
        }
        Ok(connection)
    }

    fn cached_connection(&self, address: SocketAddr) -> Option<quinn::Connection> {
        let open = self.connections.lock().expect("mutex is not poisoned");
        let i = open.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        let connection = &open[i].1;
        connection.close_reason().is_none().then(|| connection.clone())
    }

    /// Removes a connection, so that the next call to the peer opens a new one. Does nothing if the
    /// connection was already replaced.
    pub fn remove_connection(&self, address: SocketAddr, connection: &quinn::Connection) {
        let mut open = self.connections.lock().expect("mutex is not poisoned");
        if let Ok(i) = open.binary_search_by_key(&address, |(a, _)| *a)
            && open[i].1.stable_id() == connection.stable_id()
        {
            open.remove(i);
        }
    }

    /// Makes the next call to the peer open a new connection. Calls on the current one continue.
    pub fn forget(&self, address: SocketAddr) {
        let mut open = self.connections.lock().expect("mutex is not poisoned");
        if let Ok(i) = open.binary_search_by_key(&address, |(a, _)| *a) {
            open.remove(i);
        }
    }

    /// Closes all connections of the endpoint and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"done");
        self.endpoint.wait_idle().await;
    }
}

/// Sends a request on a new stream and reads the response.
async fn exchange(
    connection: &quinn::Connection,
    request: peer::Request,
) -> Result<peer::Response> {
    let (mut tx, mut rx) = connection.open_bi().await?;
    frame::write(&mut tx, &request).await?;
    tx.finish()?;
    Ok(frame::read(&mut rx).await?)
}
