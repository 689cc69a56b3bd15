//! Listener for callers, with limits on connections, head size and head timeout.

use std::{convert::Infallible, sync::Arc, time::Duration};

use anyhow::Result;
use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

use super::{
    handler::{EntryHandler, MEMORY_UNIT_BYTES},
    refusal::{Code, Refusal},
};
use crate::config::Limits;

const MAX_STREAMS_PER_CONNECTION: u32 = 256;
/// Pause after a failed accept, for instance when the process has run out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of excess connections that are sent an error response at the same time. Further
/// ones are closed without a response.
const MAX_CONCURRENT_REJECTIONS: usize = 64;
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP/2 connection preface.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Listener on one address.
pub(crate) struct Listener {
    socket: TcpListener,
    entry: Arc<EntryHandler>,
    limits: Limits,
    connections: Arc<Semaphore>,
    rejections: Arc<Semaphore>,
}

impl Listener {
    pub(crate) fn new(socket: TcpListener, entry: Arc<EntryHandler>, limits: Limits) -> Self {
        let connections = Arc::new(Semaphore::new(limits.max_connections));
        let rejections = Arc::new(Semaphore::new(MAX_CONCURRENT_REJECTIONS));
        Self { socket, entry, limits, connections, rejections }
    }

    /// Accepts connections until `stop` is cancelled, then waits for open calls, at most
    /// `drain_timeout`. Returns the number of connections that were still open after the timeout.
    pub(crate) async fn run(
        self,
        stop: CancellationToken,
        drain_timeout: Duration,
    ) -> Result<usize> {
        let server = self.builder();
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => match self.connections.clone().try_acquire_owned() {
                    Ok(permit) => self.serve(&server, &graceful, &stop, stream, permit),
                    Err(_) => self.reject(stream),
                },
                Err(e) => {
                    let error = e.to_string();
                    log::warn!(error = error.as_str(); "cannot accept a connection; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
        drop(self.socket);
        let open = graceful.count();
        log::info!(open; "listener closed; waiting for open calls");
        let all_memory = (self.limits.max_held / MEMORY_UNIT_BYTES) as u32;
        let drained = async {
            graceful.shutdown().await;
            // Recorded calls continue after their callers have disconnected.
            let _ = self.entry.memory.acquire_many(all_memory).await;
        };
        match tokio::time::timeout(drain_timeout, drained).await {
            Ok(()) => Ok(0),
            Err(_) => Ok(self.limits.max_connections - self.connections.available_permits()),
        }
    }

    /// Sends an error response to a connection above the limit and closes it.
    fn reject(&self, mut stream: TcpStream) {
        metrics::counter!("poplarspan_turned_away_connections_total").increment(1);
        let Ok(permit) = self.rejections.clone().try_acquire_owned() else { return };
        let refusal = Refusal::not_run(Code::Overloaded, "the instance has too many connections");
        let body = refusal.to_json();
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
             retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        tokio::spawn(async move {
            let respond = async {
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&body).await?;
                stream.shutdown().await?;
                // Closing a socket with unread data would reset it and discard the response.
                tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
            };
            // Errors are ignored: the connection is closed in any case.
            let _ = tokio::time::timeout(REJECT_TIMEOUT, respond).await;
            drop(permit);
        });
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
        stop: &CancellationToken,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) {
        // Sends small responses without delay.
        let _ = stream.set_nodelay(true);
        let entry = self.entry.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let entry = entry.clone();
            // Boxed, so that its memory is freed while the response is being relayed.
            async move { Ok::<_, Infallible>(Box::pin(entry.handle(request)).await) }
        });
        let (server, watcher, stop) = (server.clone(), graceful.watcher(), stop.clone());
        let head_timeout = self.limits.head_timeout;
        tokio::spawn(async move {
            let started = tokio::select! {
                // Biased, so that a caller that has already sent data gets a response.
                biased;
                started = tokio::time::timeout(head_timeout, wait_for_preface(&stream)) => started,
                () = stop.cancelled() => return,
            };
            if !matches!(started, Ok(true)) {
                return;
            }
            let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
            let connection = watcher.watch(connection);
            if let Err(e) = connection.await {
                let error = e.to_string();
                log::debug!(error = error.as_str(); "caller connection closed with an error");
            }
            drop(permit);
        });
    }
}

/// Waits until the received bytes tell HTTP/1.1 from HTTP/2. Returns false if the caller
/// disconnects first. hyper itself has no timeout for this step.
async fn wait_for_preface(stream: &TcpStream) -> bool {
    let mut start = [0; PREFACE.len()];
    loop {
        match stream.peek(&mut start).await {
            Ok(0) | Err(_) => return false,
            Ok(len) if len < PREFACE.len() && start[..len] == PREFACE[..len] => {
                tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
            }
            Ok(_) => return true,
        }
    }
}
