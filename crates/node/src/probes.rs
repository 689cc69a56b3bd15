//! Metrics recorder, and the HTTP server for metrics, liveness and readiness.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{rt::TokioIo, rt::TokioTimer};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::{net::TcpListener, sync::Semaphore};

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0, 30.0, 120.0];
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Handle that renders the metrics of this process.
pub type Metrics = PrometheusHandle;

/// Returns the handle of the metrics recorder of this process. The first call installs the
/// recorder.
///
/// # Panics
///
/// Panics if another metrics recorder is already installed.
pub fn recorder() -> PrometheusHandle {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut handle = HANDLE.lock().expect("mutex is not poisoned");
    handle.get_or_insert_with(install_recorder).clone()
}

fn install_recorder() -> PrometheusHandle {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_SECONDS)
        .expect("list of buckets is not empty")
        .install_recorder()
        .expect("no other metrics recorder is installed")
}

/// Reports whether the instance can serve requests.
pub trait Readiness: Send + Sync {
    /// Returns `None` if the instance is ready, or the reason why it is not. `/readyz` responds
    /// with this reason.
    fn not_ready(&self) -> Option<&'static str>;
}

/// Serves `/metrics`, `/healthz` and `/readyz`.
///
/// # Errors
///
/// Fails when the socket cannot accept a connection.
pub async fn serve(
    socket: Arc<TcpListener>,
    readiness: Arc<dyn Readiness>,
    handle: PrometheusHandle,
) -> Result<()> {
    let connection_permits = Arc::new(Semaphore::new(MAX_PROBE_CONNECTIONS));
    loop {
        let permit = connection_permits.clone().acquire_owned().await?;
        let (stream, _) = socket.accept().await?;
        let (readiness, handle) = (readiness.clone(), handle.clone());
        let service = service_fn(move |request| {
            let answer: BoxFuture<'_, _> =
                Box::pin(std::future::ready(Ok::<_, std::convert::Infallible>(respond(
                    &request,
                    &*readiness,
                    &handle,
                ))));
            answer
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs(5))
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A client that disconnects early is not an error.
            let _ = connection.await;
            drop(permit);
        });
    }
}

fn respond(
    request: &Request<Incoming>,
    readiness: &dyn Readiness,
    handle: &PrometheusHandle,
) -> Response<Full<Bytes>> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => (StatusCode::OK, handle.render()),
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => match readiness.not_ready() {
            None => (StatusCode::OK, "ready\n".to_owned()),
            Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
