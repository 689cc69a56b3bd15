//! HTTP client and helpers for the tests of the mock endpoints.

#![allow(dead_code)]

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use poplarspan_standin::{EngineConfig, EngineConfigBuilder, MockEndpoint};
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// A response with its complete body.
#[derive(Debug)]
pub struct FullResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl FullResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is not JSON")
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("the body is not UTF-8")
    }
}

/// Sends a request on a new connection and returns when the head of the response arrives.
pub async fn send(
    endpoint: &MockEndpoint,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>> {
    let stream = TcpStream::connect(endpoint.address()).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "standin");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
    Ok(sender.send_request(request).await?)
}

pub async fn read_response(response: Response<Incoming>) -> Result<FullResponse> {
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(FullResponse { status: head.status, headers: head.headers, body })
}

pub async fn get(endpoint: &MockEndpoint, path: &str) -> FullResponse {
    let response =
        send(endpoint, Method::GET, path, &[], "").await.expect("cannot send the request");
    read_response(response).await.expect("cannot read the response")
}

pub async fn post(
    endpoint: &MockEndpoint,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<FullResponse> {
    let response = send(endpoint, Method::POST, path, headers, &body.to_string()).await?;
    read_response(response).await
}

pub async fn chat(
    endpoint: &MockEndpoint,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<FullResponse> {
    post(endpoint, "/v1/chat/completions", headers, body).await
}

/// Sends a streamed call and returns when the head of the response arrives, with the body unread.
pub async fn start_stream(
    endpoint: &MockEndpoint,
    headers: &[(&str, &str)],
    tokens: u64,
) -> Result<Response<Incoming>> {
    let body = json!({"model": "m", "stream": true, "max_tokens": tokens, "messages": ["hello"]});
    send(endpoint, Method::POST, "/v1/chat/completions", headers, &body.to_string()).await
}

/// Polls a condition every 10 ms of the paused clock, and panics after 10,000 attempts.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met: {what}");
}

/// Starts an engine that generates one token per second, whatever the load, and has no prefill
/// time. `configure` may change these settings.
pub async fn start_engine(
    configure: impl FnOnce(EngineConfigBuilder) -> EngineConfigBuilder,
) -> MockEndpoint {
    let cfg = EngineConfig::builder()
        .token_interval(Duration::from_secs(1))
        .token_interval_per_call(Duration::ZERO)
        .prefill_per_token(Duration::ZERO);
    MockEndpoint::start(configure(cfg).build().expect("invalid settings"))
        .await
        .expect("cannot start the engine")
}

/// Returns a call whose prompt fills `blocks` cache blocks of 256 bytes exactly.
pub fn prompt(text: &str, blocks: usize) -> Value {
    let bytes = text.repeat(blocks * 256).into_bytes();
    // The two quotes of the JSON string count as prompt bytes.
    let text =
        String::from_utf8(bytes[..blocks * 256 - 2].to_vec()).expect("the text is not ASCII");
    json!({"model": "m", "max_tokens": 1, "messages": [text]})
}
