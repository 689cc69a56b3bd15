//! Accepts callers' connections, with bounds on their number, their heads and their pace.

use std::{convert::Infallible, sync::Arc, time::Duration};

use anyhow::Result;
use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::TcpListener,
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

use super::handler::Entry;
use crate::config::Limits;

const MAX_STREAMS_PER_CONNECTION: u32 = 256;
/// Pause after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on one address.
pub(crate) struct Listener {
    socket: TcpListener,
    entry: Arc<Entry>,
    limits: Limits,
    slots: Arc<Semaphore>,
}

impl Listener {
    pub(crate) fn new(socket: TcpListener, entry: Arc<Entry>, limits: Limits) -> Self {
        let slots = Arc::new(Semaphore::new(limits.max_connections));
        Self { socket, entry, limits, slots }
    }

    /// Accepts until `stop`, then waits for the open calls, at most `drain_timeout`. Returns the
    /// number of connections that were still open then.
    pub(crate) async fn run(
        self,
        stop: CancellationToken,
        drain_timeout: Duration,
    ) -> Result<usize> {
        let server = self.builder();
        let graceful = GracefulShutdown::new();
        loop {
            let permit = tokio::select! {
                permit = self.slots.clone().acquire_owned() => permit?,
                () = stop.cancelled() => break,
            };
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(&server, &graceful, stream, permit),
                Err(e) => {
                    let error = e.to_string();
                    log::warn!(error = error.as_str(); "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.socket);
        let open = graceful.count();
        log::info!(open; "no longer accepting; waiting for open calls");
        match tokio::time::timeout(drain_timeout, graceful.shutdown()).await {
            Ok(()) => Ok(0),
            Err(_) => Ok(self.limits.max_connections - self.slots.available_permits()),
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut server = auto::Builder::new(TokioExecutor::new());
        server
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.max_head)
            .half_close(false);
        server
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(self.limits.max_head as u32)
            .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
            .keep_alive_interval(Some(Duration::from_secs(20)));
        server
    }

    fn serve(
        &self,
        server: &auto::Builder<TokioExecutor>,
        graceful: &GracefulShutdown,
        stream: tokio::net::TcpStream,
        permit: OwnedSemaphorePermit,
    ) {
        // Small answers must not wait for more to send.
        let _ = stream.set_nodelay(true);
        let entry = self.entry.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let entry = entry.clone();
            async move { Ok::<_, Infallible>(entry.handle(request).await) }
        });
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                let error = e.to_string();
                log::debug!(error = error.as_str(); "connection of a caller ended early");
            }
            drop(permit);
        });
    }
}
