//! Calls to other instances.

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
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to a peer got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("cannot reach {address}: {cause}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call may have been carried out.
    #[error("no answer from {address}: {cause}")]
    Unknown {
        /// Address of the peer.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The peer answered that it cannot carry out the call.
    #[error("{}", .0.message)]
    Failed(peer::Failure),
}

/// Sends calls to peers, over one connection to each.
#[derive(Clone)]
pub struct PeerClient {
    endpoint: quinn::Endpoint,
    // Sorted by address.
    connections: Arc<Mutex<Vec<(SocketAddr, quinn::Connection)>>>,
}

impl PeerClient {
    /// Creates a client with a socket of its own, for operators.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened or the certificates cannot be used.
    pub fn new(credentials: &Credentials, local: SocketAddr) -> Result<Self> {
        let endpoint = quinn::Endpoint::client(local)?;
        Self::with_endpoint(endpoint, credentials)
    }

    /// Creates a client that shares the socket of the peer port.
    ///
    /// # Errors
    ///
    /// Fails when the certificates cannot be used.
    pub fn with_endpoint(mut endpoint: quinn::Endpoint, credentials: &Credentials) -> Result<Self> {
        endpoint.set_default_client_config(credentials.client_config()?);
        Ok(Self { endpoint, connections: Arc::default() })
    }

    /// Sends one call and waits for its answer, at most `timeout`.
    ///
    /// # Errors
    ///
    /// See [`CallError`]: only `Unreachable` means that the call was certainly not carried out.
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
                // The peer may have been restarted, in which case it does not know the connection.
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

    /// Returns an open connection to the peer, making one if needed.
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
        let mut open = self.connections.lock().expect("no panic while locked");
        match open.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(i) => open[i].1 = connection.clone(),
            Err(i) => open.insert(i, (address, connection.clone())),
        }
        Ok(connection)
    }

    fn cached_connection(&self, address: SocketAddr) -> Option<quinn::Connection> {
        let open = self.connections.lock().expect("no panic while locked");
        let i = open.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        let connection = &open[i].1;
        connection.close_reason().is_none().then(|| connection.clone())
    }

    /// Makes the next call to the peer use a new connection instead of this one.
    pub fn remove_connection(&self, address: SocketAddr, connection: &quinn::Connection) {
        let mut open = self.connections.lock().expect("no panic while locked");
        if let Ok(i) = open.binary_search_by_key(&address, |(a, _)| *a)
            && open[i].1.stable_id() == connection.stable_id()
        {
            open.remove(i);
        }
    }

    /// Closes every connection and waits until the peers have been told.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"done");
        self.endpoint.wait_idle().await;
    }
}

async fn exchange(
    connection: &quinn::Connection,
    request: peer::Request,
) -> Result<peer::Response> {
    let (mut tx, mut rx) = connection.open_bi().await?;
    frame::write(&mut tx, &request).await?;
    tx.finish()?;
    Ok(frame::read(&mut rx).await?)
}
