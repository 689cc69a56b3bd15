//! A plain service that counts how often each request ran.

use std::sync::{Arc, Mutex};

use anyhow::Result;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    config::ServiceConfig,
    life::{Counters, Life, Totals},
    load::{Load, LoadHistory},
    server::{self, AnswerBody, Handler},
};

/// Executions under one name.
#[derive(Clone, Debug, Serialize)]
struct Executions {
    key: Arc<str>,
    executions: u64,
}

/// Counts, sorted by key.
#[derive(Debug, Default)]
struct Tally(Vec<Executions>);

impl Tally {
    fn add(&mut self, key: &str) -> u64 {
        let i = match self.0.binary_search_by(|e| (*e.key).cmp(key)) {
            Ok(i) => i,
            Err(i) => {
                self.0.insert(i, Executions { key: key.into(), executions: 0 });
                i
            }
        };
        self.0[i].executions += 1;
        self.0[i].executions
    }

    fn get(&self, key: &str) -> u64 {
        self.0.binary_search_by(|e| (*e.key).cmp(key)).map_or(0, |i| self.0[i].executions)
    }
}

#[derive(Debug)]
struct State {
    by_key: Tally,
    by_body: Tally,
    running: u32,
    history: LoadHistory,
}

/// A stand-in service. Executions are counted over all runs, as effects outlive a crash.
#[derive(Debug)]
pub struct Service {
    cfg: ServiceConfig,
    life: Life,
    state: Mutex<State>,
}

impl Default for Service {
    fn default() -> Self {
        Self::new(ServiceConfig::default())
    }
}

impl Service {
    /// Creates a service.
    pub fn new(cfg: ServiceConfig) -> Self {
        let life = Life::new(cfg.life.clone());
        let history = LoadHistory::new(life.run().started, cfg.life.load_lag);
        let state =
            State { by_key: Tally::default(), by_body: Tally::default(), running: 0, history };
        Self { cfg, life, state: Mutex::new(state) }
    }

    /// Serves on a socket until the task is ended.
    ///
    /// # Errors
    ///
    /// Fails when the socket fails, and with [`Crashed`](crate::Crashed) when the service crashes
    /// and is set to end then.
    pub async fn serve(self: Arc<Self>, socket: TcpListener) -> Result<()> {
        server::serve(self, socket, CancellationToken::new()).await
    }

    /// Executions under an idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        self.lock().by_key.get(key)
    }

    /// Executions with a body.
    pub fn executions_of_body(&self, body: &str) -> u64 {
        self.lock().by_body.get(body)
    }

    /// What the service has counted.
    pub fn counters(&self) -> Counters {
        let run = self.life.run().number;
        Counters { run, running: self.lock().running, ..self.life.totals.counters() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    async fn execute(self: Arc<Self>, key: &str, body: &str) -> Response<AnswerBody> {
        let mut execution = Execution::begin(self.clone());
        let executions = {
            let mut state = self.lock();
            state.by_body.add(body);
            state.by_key.add(key)
        };
        tokio::time::sleep(self.cfg.delay).await;
        execution.complete = true;
        server::json(StatusCode::OK, &json!({"key": key, "executions": executions}))
    }
}

/// A request in execution. Counts as cancelled if it is dropped before it is complete.
struct Execution {
    service: Arc<Service>,
    run: u64,
    complete: bool,
}

impl Execution {
    fn begin(service: Arc<Service>) -> Self {
        Totals::add(&service.life.totals.executions);
        let run = service.life.run().number;
        service.lock().change_running(1);
        Self { service, run, complete: false }
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.complete {
            Totals::add(&self.service.life.totals.cancelled);
        }
        if self.run == self.service.life.run().number {
            self.service.lock().change_running(-1);
        }
    }
}

impl State {
    fn change_running(&mut self, by: i32) {
        self.running = self.running.saturating_add_signed(by);
        let load = Load { running: self.running, ..Load::default() };
        self.history.note(Instant::now(), load);
    }
}

impl Handler for Service {
    const EXECUTES_BEFORE_FAULT: bool = true;

    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> BoxFuture<'static, Response<AnswerBody>> {
        Box::pin(async move {
            let get = request.method() == Method::GET;
            let run = self.life.run().number;
            match (request.uri().path(), request.uri().query()) {
                ("/load", _) if get => {
                    let report = self.lock().history.report(run, Instant::now());
                    server::json(StatusCode::OK, &report)
                }
                ("/executions", Some("by=body")) if get => {
                    server::json(StatusCode::OK, &self.lock().by_body.0)
                }
                ("/executions", _) if get => server::json(StatusCode::OK, &self.lock().by_key.0),
                _ => {
                    let key = request.headers().get("idempotency-key");
                    let key = key.and_then(|v| v.to_str().ok()).unwrap_or_default();
                    let body = String::from_utf8_lossy(request.body());
                    self.execute(key, &body).await
                }
            }
        })
    }

    fn life(&self) -> &Life {
        &self.life
    }

    fn begin_run(&self) {
        self.life.begin_run();
        let mut state = self.lock();
        state.running = 0;
        state.history = LoadHistory::new(self.life.run().started, self.cfg.life.load_lag);
    }
}
