//! Mock model engine: batching, prefix cache, cold starts, orders, cache events and load reports.

mod batch;
mod cache;
mod chat;
mod events;
mod models;
mod orders;
mod run;
mod transfer;

use std::sync::{Arc, Mutex};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::CancellationToken;

pub use self::models::WeightStore;
use self::run::EngineRun;
use crate::{
    config::EngineConfig,
    lifecycle::{Counters, Lifecycle},
    server::{self, Handler, ResponseBody},
};

/// Bytes of messages in a block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// A mock model engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
    lifecycle: Lifecycle,
    run: Mutex<Arc<EngineRun>>,
}

impl Engine {
    /// Creates an engine and begins its first run, cold from this moment.
    pub fn new(cfg: EngineConfig) -> Self {
        let lifecycle = Lifecycle::new(cfg.lifecycle.clone());
        let run = Mutex::new(Arc::new(EngineRun::new(&cfg, &lifecycle.run())));
        Self { cfg, lifecycle, run }
    }

    /// Serves on a socket until the future is dropped. A crash begins the next run on the same
    /// address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound again after a crash, and with
    /// [`Crashed`](crate::Crashed) after a crash if `exit_on_crash` is set.
    pub async fn serve(self: Arc<Self>, socket: TcpListener) -> Result<()> {
        server::serve(self, socket, CancellationToken::new()).await
    }

    /// Returns the totals over all runs and the present load.
    pub fn counters(&self) -> Counters {
        let run = self.run();
        let state = run.lock();
        Counters {
            run: run.number,
            running: state.batch.running(),
            queued: state.batch.queued(),
            held_programs: state.held_programs().len(),
            ..self.lifecycle.totals.counters()
        }
    }

    /// Returns the programs that have running or queued calls, or have stored a prompt in this run
    /// and were not released since. Sorted by name.
    pub fn held_programs(&self) -> Vec<Arc<str>> {
        self.run().lock().held_programs()
    }

    /// Crashes the engine, like a call with the fault `crash`.
    pub fn crash(&self) {
        self.lifecycle.crash();
    }

    fn run(&self) -> Arc<EngineRun> {
        self.run.lock().expect("mutex is poisoned").clone()
    }

    fn get(&self, path: &str, query: Option<&str>) -> Response<ResponseBody> {
        let now = Instant::now();
        let run = self.run();
        let state = run.lock();
        match path {
            "/load" => {
                server::json_response(StatusCode::OK, &state.load_history.report(run.number, now))
            }
            "/events" => {
                let after = query.and_then(|q| q.strip_prefix("after=")).unwrap_or("0");
                let Ok(after) = after.parse() else {
                    return server::error_response(StatusCode::BAD_REQUEST, "expected after=N");
                };
                let delay = self.cfg.event_delay;
                server::json_response(
                    StatusCode::OK,
                    &state.events.events_after(after, run.number, delay, now),
                )
            }
            "/held" => server::json_response(StatusCode::OK, &state.held_programs()),
            "/models" => {
                let models = json!({"role": state.role, "models": state.models.states(now)});
                server::json_response(StatusCode::OK, &models)
            }
            _ => {
                drop(state);
                match path.strip_prefix("/kv/") {
                    Some(export) => self.get_export(export),
                    None => server::error_response(StatusCode::NOT_FOUND, "not found"),
                }
            }
        }
    }
}

impl Handler for Engine {
    const EXECUTES_BEFORE_FAULT: bool = false;

    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> BoxFuture<'static, Response<ResponseBody>> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            match (&head.method, head.uri.path()) {
                (&Method::POST, "/v1/chat/completions") => self.chat(&head.headers, &body).await,
                (&Method::POST, "/orders") => self.order(&body),
                (&Method::POST, "/kv/export") => self.export(&body),
                (&Method::POST, "/kv/import") => self.import(&body).await,
                (&Method::GET, path) => self.get(path, head.uri.query()),
                _ => server::error_response(StatusCode::NOT_FOUND, "not found"),
            }
        })
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn begin_run(&self) {
        self.lifecycle.begin_run();
        let run = EngineRun::new(&self.cfg, &self.lifecycle.run());
        *self.run.lock().expect("mutex is poisoned") = Arc::new(run);
    }
}
