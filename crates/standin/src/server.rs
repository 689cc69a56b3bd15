//! HTTP/1.1 server of the mock endpoints, with faults, crashes and restarts.

use std::{convert::Infallible, future::pending, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{self, BodyCut, Fault},
    lifecycle::{Crashed, Lifecycle},
    stall::StallingStream,
};

pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
const REQUEST_ID_HEADER: &str = "x-request-id";
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const BIND_ATTEMPTS: u32 = 200;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A mock endpoint that [`serve`] runs.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Whether a request is executed before a fault withholds its response. The side effect then
    /// happens without the caller knowing, which is the harder case to handle.
    const EXECUTES_BEFORE_FAULT: bool;

    /// Returns the response to one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> BoxFuture<'static, Response<ResponseBody>>;

    /// Returns the present run and the totals.
    fn lifecycle(&self) -> &Lifecycle;

    /// Begins the next run and drops the state of the previous one.
    fn begin_run(&self);
}

/// Serves a handler on a socket until `stop` is cancelled. After a crash, it begins the next run on
/// the same address, or fails with [`Crashed`] if `exit_on_crash` is set.
pub(crate) async fn serve<H: Handler>(
    handler: Arc<H>,
    mut socket: TcpListener,
    stop: CancellationToken,
) -> Result<()> {
    let address = socket.local_addr()?;
    handler.lifecycle().set_address(address);
    loop {
        let crashed = handler.lifecycle().run().crashed;
        let mut connections = JoinSet::new();
        tokio::select! {
            () = accept(&handler, &socket, &mut connections) => {}
            () = crashed.cancelled() => {}
            () = stop.cancelled() => {}
        }
        drop(socket);
        connections.shutdown().await;
        if stop.is_cancelled() {
            return Ok(());
        }
        if handler.lifecycle().cfg.exit_on_crash {
            return Err(Crashed.into());
        }
        tokio::select! {
            () = tokio::time::sleep(handler.lifecycle().cfg.restart_after) => {}
            () = stop.cancelled() => return Ok(()),
        }
        handler.begin_run();
        socket = bind(address).await?;
    }
}

/// Binds an address, with retries while it is still in use by the previous run.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    for _ in 1..BIND_ATTEMPTS {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            other => return other.with_context(|| format!("cannot listen on {address}")),
        }
    }
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

async fn accept<H: Handler>(handler: &Arc<H>, socket: &TcpListener, connections: &mut JoinSet<()>) {
    loop {
        tokio::select! {
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(handler.clone(), stream));
                }
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}; retrying");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H: Handler>(handler: Arc<H>, stream: TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let stall_flag = handler.lifecycle().stall_flag();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(handler, request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(StallingStream::new(stream, stall_flag)), service)
        .await;
    if let Err(e) = served {
        log::debug!("connection failed: {e}");
    }
}

/// Responds to a request, with the fault that it selects.
async fn respond<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return error_response(StatusCode::BAD_REQUEST, "the body is not whole, or is too large");
    };
    let body = body.to_bytes();
    let fault = match Fault::requested(&head.headers, &body) {
        Ok(fault) => fault,
        Err(message) => return error_response(StatusCode::BAD_REQUEST, &message),
    };
    let response_withheld = matches!(fault, Some(Fault::Crash | Fault::Hang | Fault::Error));
    let mut response = if response_withheld && !H::EXECUTES_BEFORE_FAULT {
        error_response(StatusCode::INTERNAL_SERVER_ERROR, "fault on request")
    } else {
        handler.clone().handle(Request::from_parts(head, body)).await
    };
    match fault {
        Some(Fault::Crash) => {
            handler.lifecycle().crash();
            return pending().await;
        }
        Some(Fault::Hang) => return pending().await,
        Some(Fault::Stall) => handler.lifecycle().stall(),
        Some(Fault::Error) => {
            response = error_response(StatusCode::INTERNAL_SERVER_ERROR, "fault on request");
        }
        Some(Fault::Late(delay)) => tokio::time::sleep(delay).await,
        Some(Fault::Silent) => response = fault::cut_body(response, BodyCut::Hang).await,
        Some(Fault::Truncate) => response = fault::cut_body(response, BodyCut::End).await,
        Some(Fault::Crossed) | None => {}
    }
    let id = match fault {
        Some(Fault::Crossed) => Some(HeaderValue::from_static("crossed")),
        _ => id,
    };
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let buf = serde_json::to_vec(value).expect("responses have only string keys");
    let body = Full::new(Bytes::from(buf)).map_err(|e| match e {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Builds a JSON response with an error message.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": message}))
}
