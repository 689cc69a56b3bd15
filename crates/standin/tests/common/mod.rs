//! Client of the stand-ins for tests.

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

/// A whole answer.
#[derive(Debug)]
pub struct FullResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl FullResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the answer is JSON")
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("the answer is text")
    }
}

/// Sends a request on a connection of its own and returns when the head of the answer arrives.
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
    let response = send(endpoint, Method::GET, path, &[], "").await.expect("an answer");
    read_response(response).await.expect("a whole answer")
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

/// Opens a streamed call whose answer the test does not read yet.
pub async fn start_stream(
    endpoint: &MockEndpoint,
    headers: &[(&str, &str)],
    tokens: u64,
) -> Result<Response<Incoming>> {
    let body = json!({"model": "m", "stream": true, "max_tokens": tokens, "messages": ["hello"]});
    send(endpoint, Method::POST, "/v1/chat/completions", headers, &body.to_string()).await
}

/// Waits, by the paused clock, for a condition that other tasks bring about.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never: {what}");
}

/// Starts an engine with settings on top of a slow, even pace: 1 s per token, no prefill.
pub async fn start_engine(
    configure: impl FnOnce(EngineConfigBuilder) -> EngineConfigBuilder,
) -> MockEndpoint {
    let cfg = EngineConfig::builder()
        .token_interval(Duration::from_secs(1))
        .token_interval_per_call(Duration::ZERO)
        .prefill_per_token(Duration::ZERO);
    MockEndpoint::start(configure(cfg).build().expect("valid settings")).await.expect("a free port")
}

/// A prompt of `blocks` whole cache blocks.
pub fn prompt(text: &str, blocks: usize) -> Value {
    let bytes = text.repeat(blocks * 256).into_bytes();
    // The quotes of the JSON text count too.
    let text = String::from_utf8(bytes[..blocks * 256 - 2].to_vec()).expect("ASCII");
    json!({"model": "m", "max_tokens": 1, "messages": [text]})
}
