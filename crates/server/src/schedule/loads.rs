//! Polling of endpoints for their load and cache events.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use poplarspan_objects::Name;
use poplarspan_policy::route::{CacheChange, CacheEvent};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::Instant;

use super::{EndpointRef, FairScheduler, endpoints::Report};
use crate::dispatch::{Pool, collect};

/// Minimum interval between load requests to the same endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum rate of load requests of one instance. With more endpoints than this allows, each is
/// polled less often, and the instance corrects the older reports by its own calls in flight.
const MAX_REQUESTS_PER_SECOND: f64 = 200.0;
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 1024 * 1024;
const MAX_CONCURRENT_POLLS: usize = 32;

/// Response to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadDocument {
    /// Identifies the run of the endpoint's process; changes with each start.
    run: u64,
    uptime_ms: Option<u64>,
    running: u32,
    #[serde(default)]
    queued: u32,
    /// Age of the report.
    #[serde(default)]
    age_ms: u64,
    cache_blocks: Option<u32>,
}

/// Response to `GET /events?after=N`.
#[derive(Debug, Deserialize)]
struct EventsDocument {
    events: Vec<EventDocument>,
}

#[derive(Debug, Deserialize)]
struct EventDocument {
    sequence: u64,
    #[serde(default)]
    age_ms: u64,
    kind: EventKind,
    #[serde(default)]
    blocks: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EventKind {
    Stored,
    Removed,
    Cleared,
}

impl EventDocument {
    fn into_event(self) -> (Duration, CacheEvent) {
        let change = match self.kind {
            EventKind::Stored => CacheChange::Stored(self.blocks),
            EventKind::Removed => CacheChange::Removed(self.blocks),
            EventKind::Cleared => CacheChange::Cleared,
        };
        let event = CacheEvent { sequence: self.sequence, occurred_at: Duration::ZERO, change };
        (Duration::from_millis(self.age_ms), event)
    }
}

/// Task that polls all endpoints.
pub(crate) struct LoadPoller {
    pub(crate) scheduler: Arc<FairScheduler>,
    pub(crate) pool: Arc<Pool>,
}

impl LoadPoller {
    /// Polls until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        // Sequence number of the last event of each endpoint, sorted by name.
        let mut last_events: Vec<(Name, u64)> = Vec::new();
        loop {
            let started = Instant::now();
            let endpoints = self.scheduler.endpoints();
            last_events.retain(|(name, _)| endpoints.iter().any(|e| e.name == *name));
            let count = endpoints.len();
            let polls = endpoints.into_iter().map(|endpoint| {
                let after = match last_events.binary_search_by(|(n, _)| n.cmp(&endpoint.name)) {
                    Ok(i) => last_events[i].1,
                    Err(_) => 0,
                };
                self.poll(endpoint, after)
            });
            let results: Vec<_> =
                futures::stream::iter(polls).buffer_unordered(MAX_CONCURRENT_POLLS).collect().await;
            for (name, last) in results {
                match last_events.binary_search_by(|(n, _)| n.cmp(&name)) {
                    Ok(i) => last_events[i].1 = last,
                    Err(i) => last_events.insert(i, (name, last)),
                }
            }
            let min_interval = Duration::from_secs_f64(count as f64 / MAX_REQUESTS_PER_SECOND);
            tokio::time::sleep_until(started + POLL_INTERVAL.max(min_interval)).await;
        }
    }

    /// Polls one endpoint. Returns its name and the sequence number of its last event.
    async fn poll(&self, endpoint: EndpointRef, after: u64) -> (Name, u64) {
        let load: Option<LoadDocument> =
            get(&self.pool, &endpoint, Uri::from_static("/load"), false).await;
        // A service may execute a request to any path as a call, so only engines are asked.
        let has_cache = self.scheduler.is_engine(&endpoint.name)
            && load.as_ref().is_some_and(|l| l.cache_blocks.is_some());
        let report = load.map(|l| Report {
            run: l.run,
            uptime: l.uptime_ms.map(Duration::from_millis),
            running: l.running,
            queued: l.queued,
            age: Duration::from_millis(l.age_ms),
            cache_blocks: l.cache_blocks,
        });
        self.scheduler.report(&endpoint.name, report);
        if !has_cache {
            return (endpoint.name, after);
        }
        let path = format!("/events?after={after}").parse().expect("a path with a number is valid");
        let events: Option<EventsDocument> = get(&self.pool, &endpoint, path, false).await;
        let events = events.map_or_else(Vec::new, |e| e.events);
        let last = events.iter().map(|e| e.sequence).max().unwrap_or(after).max(after);
        let events = events.into_iter().map(EventDocument::into_event);
        self.scheduler.cache_events(&endpoint.name, events);
        (endpoint.name, last)
    }
}

/// Queries the current run of an endpoint's process.
#[derive(Clone)]
pub(crate) struct RunProbe {
    pool: Arc<Pool>,
}

impl RunProbe {
    pub(crate) fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// Returns the run, using a new connection, or `None` if the endpoint does not respond.
    pub(crate) async fn run_of(&self, endpoint: &EndpointRef) -> Option<u64> {
        let load: LoadDocument = get(&self.pool, endpoint, Uri::from_static("/load"), true).await?;
        Some(load.run)
    }
}

async fn get<T: DeserializeOwned>(
    pool: &Arc<Pool>,
    endpoint: &EndpointRef,
    path: Uri,
    fresh: bool,
) -> Option<T> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path;
    let host = HeaderValue::from_str(&endpoint.address.to_string()).expect("plain ASCII");
    request.headers_mut().insert(header::HOST, host);
    let deadline = Instant::now() + POLL_TIMEOUT;
    let exchange = pool.send(endpoint.address, request, fresh, deadline).await.ok()?;
    let (response, reuse) = exchange.into_parts();
    let is_success = response.status().is_success();
    let buf = collect(response.into_body(), MAX_REPORT_BYTES, deadline).await.ok()?;
    reuse.release();
    if !is_success {
        return None;
    }
    serde_json::from_slice(&buf).ok()
}
