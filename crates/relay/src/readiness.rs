//! HTTP server for the platform's readiness probe of a front.

use std::{convert::Infallible, sync::Arc, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use poplarspan_node::Readiness;
use tokio::{net::TcpListener, sync::Semaphore};

use crate::Protocol;

const MAX_CONNECTIONS: usize = 64;
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the readiness probe.
pub(crate) struct ReadinessServer {
    readiness: Arc<dyn Readiness>,
    protocol: Arc<dyn Protocol>,
    slots: Arc<Semaphore>,
}

impl ReadinessServer {
    pub(crate) fn new(readiness: Arc<dyn Readiness>, protocol: Arc<dyn Protocol>) -> Arc<Self> {
        Arc::new(Self { readiness, protocol, slots: Arc::new(Semaphore::new(MAX_CONNECTIONS)) })
    }

    /// Accepts connections until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>, socket: Arc<TcpListener>) -> Result<()> {
        loop {
            let permit = self.slots.clone().acquire_owned().await?;
            let (stream, _) = socket.accept().await?;
            let server = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| std::future::ready(server.answer(&req)));
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(e) = served {
                    let error = e.to_string();
                    log::debug!(error = error.as_str(); "readiness probe connection failed");
                }
                drop(permit);
            });
        }
    }

    fn answer(&self, req: &Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (status, text) = if !self.protocol.is_readiness_path(req.uri().path()) {
            (StatusCode::NOT_FOUND, "not found")
        } else {
            match self.readiness.not_ready() {
                None => (StatusCode::OK, "ready"),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
            }
        };
        let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
        *answer.status_mut() = status;
        Ok(answer)
    }
}
