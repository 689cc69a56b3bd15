//! Opening of connections to endpoints.

use std::{io, net::SocketAddr, time::Duration};

use futures::future::BoxFuture;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Idle time after which the first TCP keepalive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Time between two keepalive probes. With a `TCP_USER_TIMEOUT` that is shorter than the idle time,
/// Linux closes the connection as soon as the first probe has not been acknowledged for this long,
/// whatever their count. A sound endpoint may be silent for a second or so.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Only has an effect without a `TCP_USER_TIMEOUT`.
const KEEPALIVE_RETRIES: u32 = 3;

/// A connection to an endpoint.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A connection that has been opened.
pub struct Dialed {
    /// The connection.
    pub stream: Box<dyn Stream>,
    /// Whether it may carry further calls.
    pub is_reusable: bool,
}

/// Opens connections to endpoints.
pub trait Dial: Send + Sync + std::fmt::Debug {
    /// Opens a connection. The caller limits the time.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached or does not accept the connection.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Dialed>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct DirectDial {
    /// Maximum time that sent data may stay unacknowledged before the kernel closes the connection
    /// (`TCP_USER_TIMEOUT`). Only has an effect on Linux.
    pub tcp_user_timeout: Duration,
}

impl DirectDial {
    /// Opens a TCP connection.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached or does not accept the connection.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        self.set_socket_options(&stream)?;
        Ok(stream)
    }

    /// Disables Nagle's algorithm, and makes the kernel close the connection when the peer no longer
    /// acknowledges data or keepalive probes.
    fn set_socket_options(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&probes)?;
        #[cfg(target_os = "linux")]
        socket.set_tcp_user_timeout(Some(self.tcp_user_timeout))?;
        Ok(())
    }
}

impl Dial for DirectDial {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Dialed>> {
        Box::pin(async move {
            let stream = Box::new(self.connect(address).await?);
            Ok(Dialed { stream, is_reusable: true })
        })
    }
}
