//! A model engine that answers chat completions with made-up words.

use std::{sync::Arc, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::server::{self, AnswerBody, Handler};

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Tokens of an answer when the request names no limit.
    pub default_tokens: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self { token_interval: Duration::from_millis(5), default_tokens: 16 }
    }
}

/// A stand-in model engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
}

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

impl Engine {
    /// Creates an engine.
    pub fn new(cfg: EngineConfig) -> Self {
        Self { cfg }
    }

    /// Serves on a socket until the task is ended.
    ///
    /// # Errors
    ///
    /// Fails when the socket fails.
    pub async fn serve(self: Arc<Self>, socket: TcpListener) -> Result<()> {
        server::serve(self, socket).await
    }

    async fn chat(&self, body: Bytes) -> Response<AnswerBody> {
        let Ok(request) = serde_json::from_slice::<ChatRequest>(&body) else {
            return server::json(StatusCode::BAD_REQUEST, &json!({"error": "not a chat request"}));
        };
        let tokens = request.max_tokens.unwrap_or(self.cfg.default_tokens);
        if request.stream {
            return self.stream(tokens);
        }
        tokio::time::sleep(self.cfg.token_interval * u32::try_from(tokens).unwrap_or(u32::MAX))
            .await;
        let text: String = (0..tokens).map(word).collect();
        server::json(
            StatusCode::OK,
            &json!({
                "object": "chat.completion",
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop"}],
                "usage": {"completion_tokens": tokens},
            }),
        )
    }

    fn stream(&self, tokens: u64) -> Response<AnswerBody> {
        let interval = self.cfg.token_interval;
        let events = futures::stream::unfold(0, move |n| async move {
            if n > tokens {
                return None;
            }
            tokio::time::sleep(interval).await;
            let event = if n == tokens {
                "data: [DONE]\n\n".to_owned()
            } else {
                let delta = json!({"choices": [{"index": 0, "delta": {"content": word(n)}}]});
                format!("data: {delta}\n\n")
            };
            Some((Ok(Frame::data(Bytes::from(event))), n + 1))
        });
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(events)));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}

fn word(n: u64) -> String {
    format!("word{n} ")
}

impl Handler for Engine {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<AnswerBody>> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            let Ok(body) = request.into_body().collect().await else {
                return server::json(StatusCode::BAD_REQUEST, &json!({"error": "no body"}));
            };
            match path.as_str() {
                "/v1/chat/completions" => self.chat(body.to_bytes()).await,
                "/load" => server::json(
                    StatusCode::OK,
                    &json!({"run": 1, "uptime_ms": 3_600_000, "running": 0}),
                ),
                "/orders" => server::json(StatusCode::OK, &json!({"state": "done"})),
                _ => server::json(StatusCode::NOT_FOUND, &json!({"error": "not found"})),
            }
        })
    }
}
