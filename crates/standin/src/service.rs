//! Mock service that counts how often each request was executed.

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
    lifecycle::{Counters, Lifecycle, Totals},
    load::{Load, LoadHistory},
    server::{self, Handler, ResponseBody},
};

/// Number of executions with one key or body.
#[derive(Clone, Debug, Serialize)]
struct ExecutionCount {
    key: Arc<str>,
    executions: u64,
}

/// Execution counts, sorted by key.
#[derive(Debug, Default)]
struct ExecutionCounts(Vec<ExecutionCount>);

impl ExecutionCounts {
    fn add(&mut self, key: &str) -> u64 {
        let i = match self.0.binary_search_by(|e| (*e.key).cmp(key)) {
            Ok(i) => i,
            Err(i) => {
                self.0.insert(i, ExecutionCount { key: key.into(), executions: 0 });
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
    by_key: ExecutionCounts,
    by_body: ExecutionCounts,
    running: u32,
    load_history: LoadHistory,
}

/// A mock service. Executions are counted over all runs, as side effects outlive a crash.
#[derive(Debug)]
pub struct Service {
    cfg: ServiceConfig,
    lifecycle: Lifecycle,
    state: Mutex<State>,
}

impl Default for Service {
    fn default() -> Self {
        Self::new(ServiceConfig::default())
    }
}

impl Service {
    /// Creates a service and begins its first run.
    pub fn new(cfg: ServiceConfig) -> Self {
        let lifecycle = Lifecycle::new(cfg.lifecycle.clone());
        let load_history = LoadHistory::new(lifecycle.run().started, cfg.lifecycle.load_lag);
        let state = State {
            by_key: ExecutionCounts::default(),
            by_body: ExecutionCounts::default(),
            running: 0,
            load_history,
        };
        Self { cfg, lifecycle, state: Mutex::new(state) }
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

    /// Returns the number of executions with an idempotency key. Requests without one count under
    /// the empty key.
    pub fn executions(&self, key: &str) -> u64 {
        self.lock().by_key.get(key)
    }

    /// Returns the number of executions with a request body.
    pub fn executions_with_body(&self, body: &str) -> u64 {
        self.lock().by_body.get(body)
    }

    /// Returns the totals over all runs and the present load.
    pub fn counters(&self) -> Counters {
        let run = self.lifecycle.run().number;
        Counters { run, running: self.lock().running, ..self.lifecycle.totals.counters() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("mutex is poisoned")
    }

    async fn execute(self: Arc<Self>, key: &str, body: &str) -> Response<ResponseBody> {
        let mut execution = Execution::start(self.clone());
        let executions = {
            let mut state = self.lock();
            state.by_body.add(body);
            state.by_key.add(key)
        };
        tokio::time::sleep(self.cfg.delay).await;
        execution.complete = true;
        server::json_response(StatusCode::OK, &json!({"key": key, "executions": executions}))
    }
}

/// A request in execution. It counts as cancelled if it is dropped before it is complete.
struct Execution {
    service: Arc<Service>,
    run: u64,
    complete: bool,
}

impl Execution {
    fn start(service: Arc<Service>) -> Self {
        Totals::add(&service.lifecycle.totals.executions);
        let run = service.lifecycle.run().number;
        service.lock().add_running(1);
        Self { service, run, complete: false }
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.complete {
            Totals::add(&self.service.lifecycle.totals.cancelled);
        }
        if self.run == self.service.lifecycle.run().number {
            self.service.lock().add_running(-1);
        }
    }
}

impl State {
    fn add_running(&mut self, delta: i32) {
        self.running = self.running.saturating_add_signed(delta);
        let load = Load { running: self.running, ..Load::default() };
        self.load_history.record(Instant::now(), load);
    }
}

impl Handler for Service {
    const EXECUTES_BEFORE_FAULT: bool = true;

    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> BoxFuture<'static, Response<ResponseBody>> {
        Box::pin(async move {
            let is_get = request.method() == Method::GET;
            let run = self.lifecycle.run().number;
            match (request.uri().path(), request.uri().query()) {
                ("/load", _) if is_get => {
                    let report = self.lock().load_history.report(run, Instant::now());
                    server::json_response(StatusCode::OK, &report)
                }
                ("/executions", Some("by=body")) if is_get => {
                    server::json_response(StatusCode::OK, &self.lock().by_body.0)
                }
                ("/executions", _) if is_get => {
                    server::json_response(StatusCode::OK, &self.lock().by_key.0)
                }
                _ => {
                    let key = request.headers().get("idempotency-key");
                    let key = key.and_then(|v| v.to_str().ok()).unwrap_or_default();
                    let body = String::from_utf8_lossy(request.body());
                    self.execute(key, &body).await
                }
            }
        })
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn begin_run(&self) {
        self.lifecycle.begin_run();
        let mut state = self.lock();
        state.running = 0;
        state.load_history =
            LoadHistory::new(self.lifecycle.run().started, self.cfg.lifecycle.load_lag);
    }
}
