//! HTTP/1.1 server that both stand-ins share.

use std::{convert::Infallible, sync::Arc};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Body of an answer.
pub(crate) type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Answers requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<AnswerBody>>;
}

/// Serves a handler on a socket until the task is ended.
pub(crate) async fn serve<H: Handler>(handler: Arc<H>, socket: TcpListener) -> Result<()> {
    loop {
        let (stream, _) = socket.accept().await?;
        stream.set_nodelay(true)?;
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            async move {
                let id = request.headers().get("x-request-id").cloned();
                let mut response = handler.handle(request).await;
                if let Some(id) = id {
                    response.headers_mut().insert("x-request-id", id);
                }
                Ok::<_, Infallible>(response)
            }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}

/// Builds a JSON answer.
pub(crate) fn json(status: StatusCode, value: &serde_json::Value) -> Response<AnswerBody> {
    let body = Full::new(Bytes::from(value.to_string())).map_err(|e| match e {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
