//! Tests the check whether an endpoint accepts connections.

use std::net::{Ipv4Addr, SocketAddr};

use http::HeaderName;
use poplarspan_node::pool::{Pool, PoolConfig};
use tokio::net::TcpListener;

async fn listener() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("cannot bind a port");
    let address = socket.local_addr().expect("socket has no address");
    (socket, address)
}

fn pool() -> std::sync::Arc<Pool> {
    Pool::new(PoolConfig::new(HeaderName::from_static("x-id")))
}

#[tokio::test]
async fn kept_open() {
    let (socket, address) = listener().await;
    let serving =
        tokio::spawn(async move { socket.accept().await.expect("cannot accept a connection") });
    let pool = pool();
    assert!(pool.accepts_connections(address).await);
    assert_eq!(pool.idle_endpoints(), [address], "the pool keeps the connection for the next call");
    serving.await.expect("accepting task panicked");
}

#[tokio::test]
async fn nobody_listens() {
    let (socket, address) = listener().await;
    drop(socket);
    assert!(!pool().accepts_connections(address).await);
}

/// A proxy in front of a terminated endpoint accepts a connection and closes it immediately. Guards
/// against reporting such an endpoint as accepting connections.
#[tokio::test]
async fn closed_at_once() {
    let (socket, address) = listener().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = socket.accept().await {
            drop(stream)
        }
    });
    let pool = pool();
    assert!(!pool.accepts_connections(address).await);
    assert!(pool.idle_endpoints().is_empty());
}
