//! A plain service that counts how often each request ran.

use std::sync::{Arc, Mutex};

use anyhow::Result;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::net::TcpListener;

use crate::server::{self, AnswerBody, Handler};

/// A stand-in service.
#[derive(Debug, Default)]
pub struct Service {
    // Sorted by idempotency key.
    executions: Mutex<Vec<(String, u64)>>,
}

impl Service {
    /// Serves on a socket until the task is ended.
    ///
    /// # Errors
    ///
    /// Fails when the socket fails.
    pub async fn serve(self: Arc<Self>, socket: TcpListener) -> Result<()> {
        server::serve(self, socket).await
    }

    fn count(&self, key: &str) -> u64 {
        let mut executions = self.executions.lock().expect("no panic while locked");
        match executions.binary_search_by(|(k, _)| k.as_str().cmp(key)) {
            Ok(i) => {
                executions[i].1 += 1;
                executions[i].1
            }
            Err(i) => {
                executions.insert(i, (key.to_owned(), 1));
                1
            }
        }
    }
}

impl Handler for Service {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<AnswerBody>> {
        Box::pin(async move {
            if request.uri().path() == "/load" {
                let load = json!({"run": 1, "uptime_ms": 3_600_000, "running": 0});
                return server::json(StatusCode::OK, &load);
            }
            let key = request.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
            let key = key.unwrap_or_default().to_owned();
            if request.into_body().collect().await.is_err() {
                return server::json(StatusCode::BAD_REQUEST, &json!({"error": "no body"}));
            }
            let executions = self.count(&key);
            server::json(StatusCode::OK, &json!({"key": key, "executions": executions}))
        })
    }
}
