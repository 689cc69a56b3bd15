//! Accepts connections from callers.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use anyhow::Result;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{Instant, sleep_until},
};

use super::Front;

/// Maximum number of connections from callers. Together with those to endpoints it stays below the
/// platform's file descriptor limit.
const MAX_CONNECTIONS: usize = 2_500;
/// Time for the first request of a new connection. It also applies while connections are being
/// closed, because the caller may have sent the request before it noticed the shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Additional read buffer for the start of the body.
const BODY_BUFFER_BYTES: usize = 4 * 1024;

/// Serves callers on one address.
pub(crate) struct Listener {
    front: Arc<Front>,
    slots: Arc<Semaphore>,
    /// Set to true to close idle connections.
    closing: watch::Sender<bool>,
}

impl Listener {
    pub(crate) fn new(front: Arc<Front>) -> Arc<Self> {
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        Arc::new(Self { front, slots, closing: watch::Sender::new(false) })
    }

    /// Accepts connections until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>, socket: Arc<TcpListener>) -> Result<()> {
        loop {
            match socket.accept().await {
                Ok((stream, _)) => {
                    let permit = self.slots.clone().acquire_owned().await?;
                    tokio::spawn(self.clone().serve(stream, permit));
                }
                Err(e) => {
                    let error = e.to_string();
                    log::warn!(error = error.as_str(); "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes idle connections immediately and the others after their current response.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        MAX_CONNECTIONS - self.slots.available_permits()
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, permit: OwnedSemaphorePermit) {
        if let Err(e) = stream.set_nodelay(true) {
            let error = e.to_string();
            log::debug!(error = error.as_str(); "cannot set TCP_NODELAY");
        }
        let view = self.front.fleet.view();
        let limits = view.publication.as_ref().map(|p| p.limits).unwrap_or_default();
        let front = self.front.clone();
        let service = service_fn(move |req| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.handle(req).await) }
        });
        let buffer = (limits.max_head + BODY_BUFFER_BYTES).max(MIN_BUFFER_BYTES);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The timer also runs while a connection is idle, so it gets the longer of the two
            // limits.
            .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
            .max_buf_size(buffer)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut closing = self.closing.subscribe();
        let accepted = Instant::now();
        let close_requested = async {
            // Only fails when the listener has been dropped.
            let _ = closing.wait_for(|closing| *closing).await;
            sleep_until(accepted + FIRST_REQUEST_TIMEOUT).await;
        };
        let served = tokio::select! {
            served = connection.as_mut() => served,
            () = close_requested => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = served {
            let error = e.to_string();
            log::debug!(error = error.as_str(); "caller connection failed");
        }
        drop(permit);
    }
}
