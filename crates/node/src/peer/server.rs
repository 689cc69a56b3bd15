//! Server of the peer port: accepts connections and passes calls to a [`PeerService`].

use std::sync::Arc;

use anyhow::Result;
use futures::future::BoxFuture;
use poplarspan_agreement::{FolderId, Node, PeerMessage, ReplicaId};
use poplarspan_proto::peer::{self, AgreementBatch, FailureCode, request, response};

use super::{
    frame::{self, FrameError},
    tls,
    tunnel::{self, OpenTunnel},
};

/// Role of a peer, taken from its TLS certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another instance of the fleet.
    Instance,
    /// An operator. Each call also carries the operator's key.
    Operator,
}

/// Handles the calls of peers.
pub trait PeerService: Send + Sync {
    /// Executes one call of a peer that has the given role, and returns the response.
    fn call(&self, role: Role, body: request::Body) -> BoxFuture<'_, response::Body>;

    /// Connects to an endpoint on behalf of a peer. Most instances refuse.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached, or if the instance opens no tunnels.
    fn open_tunnel(
        &self,
        _role: Role,
        _tunnel: peer::Tunnel,
    ) -> BoxFuture<'_, Result<OpenTunnel, peer::Failure>> {
        let failure = peer::Failure {
            code: FailureCode::Invalid.into(),
            message: "the instance opens no tunnels".to_owned(),
            leader_address: String::new(),
        };
        Box::pin(std::future::ready(Err(failure)))
    }
}

/// Receives messages of the replicated log.
pub trait AgreementSink: Send + Sync {
    /// Takes one batch. Implementations may drop it, because the replicated log tolerates lost
    /// messages.
    fn deliver(&self, batch: AgreementBatch);
}

impl AgreementSink for Node {
    fn deliver(&self, batch: AgreementBatch) {
        let Ok(folder) = <[u8; 16]>::try_from(&batch.folder[..]) else { return };
        let folder = FolderId(u128::from_be_bytes(folder));
        self.record_rules(ReplicaId(batch.from), batch.rules);
        for message in batch.messages {
            match PeerMessage::decode(message) {
                Ok(message) => Self::deliver(self, ReplicaId(batch.from), folder, message),
                Err(e) => {
                    let (from, error) = (batch.from, e.to_string());
                    log::warn!(from, error = error.as_str(); "dropped a malformed message from a replica");
                }
            }
        }
    }
}

/// Accepts connections on the peer port.
pub struct PeerServer {
    endpoint: quinn::Endpoint,
    service: Arc<dyn PeerService>,
    agreement: Option<Arc<dyn AgreementSink>>,
}

impl PeerServer {
    /// Returns a server that accepts connections on `endpoint`. Without `agreement`, messages of
    /// the replicated log are not read.
    pub fn new(
        endpoint: quinn::Endpoint,
        service: Arc<dyn PeerService>,
        agreement: Option<Arc<dyn AgreementSink>>,
    ) -> Self {
        Self { endpoint, service, agreement }
    }

    /// Accepts connections until the endpoint is closed. Never fails.
    pub async fn run(self: Arc<Self>) -> Result<()> {
        while let Some(incoming) = self.endpoint.accept().await {
            tokio::spawn(self.clone().handle_connection(incoming));
        }
        Ok(())
    }

    async fn handle_connection(self: Arc<Self>, incoming: quinn::Incoming) {
        let remote = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(e) => {
                let (error, remote) = (e.to_string(), remote.to_string());
                log::warn!(remote = remote.as_str(), error = error.as_str(); "handshake with a peer failed");
                return;
            }
        };
        let role = if tls::is_instance(&connection) { Role::Instance } else { Role::Operator };
        if role == Role::Instance
            && let Some(sink) = self.agreement.clone()
        {
            tokio::spawn(receive_agreement(connection.clone(), sink));
        }
        while let Ok((tx, rx)) = connection.accept_bi().await {
            tokio::spawn(handle_call(self.service.clone(), role, tx, rx));
        }
    }
}

async fn handle_call(
    service: Arc<dyn PeerService>,
    role: Role,
    mut tx: quinn::SendStream,
    mut rx: quinn::RecvStream,
) {
    let body = match frame::read::<peer::Request>(&mut rx).await {
        Ok(peer::Request { body: Some(request::Body::Tunnel(request)) }) => {
            match service.open_tunnel(role, request).await {
                Ok(open) => return tunnel::serve(open, tx, rx).await,
                Err(failure) => response::Body::Failure(failure),
            }
        }
        Ok(peer::Request { body: Some(body) }) => service.call(role, body).await,
        Ok(_) => failure(FailureCode::Invalid, "the request has no body known to this version"),
        Err(e) => failure(FailureCode::Invalid, &e.to_string()),
    };
    let mut sent = frame::write(&mut tx, &peer::Response { body: Some(body) }).await;
    if let Err(e @ FrameError::TooLarge(_)) = &sent {
        metrics::counter!("poplarspan_peer_oversized_total").increment(1);
        let error = e.to_string();
        log::error!(error = error.as_str(); "cannot send the response to a peer");
        // Silence would look like a lost response, after which the peer asks again.
        let body = failure(FailureCode::TooLarge, &error);
        sent = frame::write(&mut tx, &peer::Response { body: Some(body) }).await;
    }
    if sent.is_ok() {
        // Fails only if the stream is already stopped, and then the peer no longer waits for the
        // response.
        let _ = tx.finish();
    }
}

async fn receive_agreement(connection: quinn::Connection, sink: Arc<dyn AgreementSink>) {
    while let Ok(mut rx) = connection.accept_uni().await {
        let sink = sink.clone();
        tokio::spawn(async move {
            while let Ok(batch) = frame::read::<AgreementBatch>(&mut rx).await {
                sink.deliver(batch);
            }
        });
    }
}

/// Builds the response to a call that failed, without the address of a leader.
pub fn failure(code: FailureCode, message: &str) -> response::Body {
    response::Body::Failure(peer::Failure {
        code: code.into(),
        message: message.to_owned(),
        leader_address: String::new(),
    })
}
