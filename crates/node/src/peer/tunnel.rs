//! Connections to endpoints through another instance, as byte streams on the peer port.

use std::io;

use poplarspan_proto::peer::{self, response};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, Join, join},
    net::TcpStream,
    sync::OwnedSemaphorePermit,
};

use super::frame;

/// Error code of a stream whose connection to the endpoint has failed.
const CONNECTION_FAILED: u32 = 1;

/// An instance's end of a tunnel: a connection to the endpoint.
pub struct OpenTunnel {
    /// The connection to the endpoint.
    pub stream: TcpStream,
    /// Held for as long as the tunnel is open.
    pub permit: OwnedSemaphorePermit,
}

/// The caller's end of a tunnel. Dropping it closes the connection to the endpoint.
pub(super) type TunnelStream = Join<quinn::RecvStream, quinn::SendStream>;

pub(super) fn caller_end(tx: quinn::SendStream, rx: quinn::RecvStream) -> TunnelStream {
    join(rx, tx)
}

/// Reports that the tunnel is open, and copies bytes until either side closes its end.
pub(super) async fn serve(
    tunnel: OpenTunnel,
    mut tx: quinn::SendStream,
    mut rx: quinn::RecvStream,
) {
    let OpenTunnel { mut stream, permit } = tunnel;
    let opened = response::Body::TunnelOpened(peer::TunnelOpened {});
    let opened = peer::Response { body: Some(opened) };
    if frame::write(&mut tx, &opened).await.is_err() {
        return;
    }
    let (mut from_endpoint, mut to_endpoint) = stream.split();
    let dropped = tx.stopped();
    let downward = tokio::io::copy(&mut from_endpoint, &mut tx);
    let upward = async {
        match forward(&mut rx, &mut to_endpoint).await {
            // The caller may still wait for the response.
            Ok(()) => std::future::pending().await,
            Err(e) => e,
        }
    };
    let is_complete = tokio::select! {
        copied = downward => copied.is_ok(),
        _ = upward => false,
        _ = dropped => false,
    };
    // An end by a failure must not look like an end of the endpoint's response.
    if is_complete {
        // Fails only if the caller has dropped its end.
        let _ = tx.finish();
        let _ = tx.stopped().await;
    } else {
        let _ = tx.reset(CONNECTION_FAILED.into());
    }
    drop(permit);
}

async fn forward(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    tokio::io::copy(from, to).await?;
    to.shutdown().await
}
