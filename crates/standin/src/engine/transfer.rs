//! Export and import of a program's cache blocks by reference.
//!
//! A reference names the address, run and export id of the exporting engine. The importing engine
//! fetches the blocks from there, so a reference is valid only during that run and until the
//! program is released.

use std::{net::SocketAddr, sync::Arc};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpStream, time::Instant};

use super::Engine;
use crate::server::{ResponseBody, error_response, json_response};

/// Maximum size of the response body with the blocks of an export.
const MAX_IMPORT_BYTES: usize = 16 << 20;

#[derive(Debug)]
struct Export {
    id: u64,
    program: Arc<str>,
    blocks: Vec<u64>,
}

/// Exports of one run.
#[derive(Debug, Default)]
pub(super) struct Exports {
    last_id: u64,
    exports: Vec<Export>,
}

impl Exports {
    fn add(&mut self, program: Arc<str>, blocks: Vec<u64>) -> u64 {
        self.last_id += 1;
        self.exports.push(Export { id: self.last_id, program, blocks });
        self.last_id
    }

    fn get(&self, id: u64) -> Option<&[u64]> {
        self.exports.iter().find(|e| e.id == id).map(|e| e.blocks.as_slice())
    }

    pub(super) fn release(&mut self, matches: impl Fn(&str) -> bool) {
        self.exports.retain(|e| !matches(&e.program));
    }
}

#[derive(Deserialize)]
struct ExportRequest {
    program: Arc<str>,
}

#[derive(Deserialize)]
struct ImportRequest {
    program: Arc<str>,
    reference: String,
}

#[derive(Deserialize, Serialize)]
struct Blocks {
    blocks: Vec<u64>,
}

impl Engine {
    /// Answers `POST /kv/export`.
    pub(super) fn export(&self, body: &[u8]) -> Response<ResponseBody> {
        let Ok(request) = serde_json::from_slice::<ExportRequest>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "expected a program");
        };
        let Some(address) = self.lifecycle.address() else {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "not serving yet");
        };
        let run = self.run();
        let mut state = run.lock();
        let Some(blocks) = state.cache.held_blocks(&request.program) else {
            return error_response(StatusCode::NOT_FOUND, "nothing is held for the program");
        };
        let count = blocks.len();
        let id = state.exports.add(request.program, blocks);
        let reference = format!("{address}/{}/{id}", run.number);
        json_response(StatusCode::OK, &json!({"reference": reference, "blocks": count}))
    }

    /// Answers `GET /kv/{run}/{id}`, which importing engines call.
    pub(super) fn get_export(&self, path: &str) -> Response<ResponseBody> {
        let run = self.run();
        let id = path
            .split_once('/')
            .filter(|(number, _)| number.parse() == Ok(run.number))
            .and_then(|(_, id)| id.parse().ok());
        match id.and_then(|id| run.lock().exports.get(id).map(<[u64]>::to_vec)) {
            Some(blocks) => json_response(StatusCode::OK, &Blocks { blocks }),
            None => error_response(StatusCode::NOT_FOUND, "no such export"),
        }
    }

    /// Answers `POST /kv/import`.
    pub(super) async fn import(&self, body: &[u8]) -> Response<ResponseBody> {
        let Ok(request) = serde_json::from_slice::<ImportRequest>(body) else {
            return error_response(StatusCode::BAD_REQUEST, "expected a program and a reference");
        };
        let blocks = match fetch(&request.reference).await {
            Ok(blocks) => blocks,
            Err(e) => return error_response(StatusCode::GONE, &format!("cannot import: {e:#}")),
        };
        self.run().lock().store(&blocks, Some(&request.program), Instant::now());
        json_response(StatusCode::OK, &json!({"blocks": blocks.len()}))
    }
}

/// Fetches exported blocks from the engine that a reference names.
async fn fetch(reference: &str) -> Result<Vec<u64>> {
    let (address, path) = reference.split_once('/').context("not a reference")?;
    let address: SocketAddr = address.parse().context("not a reference")?;
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(format!("/kv/{path}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            bail!("the exporter answered {}", response.status());
        }
        let body = Limited::new(response.into_body(), MAX_IMPORT_BYTES).collect().await;
        let body = body.map_err(|e| anyhow::anyhow!("the export is not whole: {e}"))?;
        Ok(serde_json::from_slice::<Blocks>(&body.to_bytes())?.blocks)
    };
    tokio::pin!(exchange);
    tokio::select! {
        result = &mut exchange => result,
        ended = connection => {
            ended?;
            // The complete response may have arrived before the connection closed.
            exchange.await
        }
    }
}
