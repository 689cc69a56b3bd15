//! Polls the platform's endpoint list on behalf of the whole fleet.

use std::{sync::Arc, time::Duration};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use poplarspan_node::pool::{Pool, PoolConfig};
use tokio::time::{Instant, sleep};

use super::Control;
use crate::ListedEndpoint;

/// Time between two reads. Together with the age of the list and the time to the next heartbeat, it
/// stays well below the time that a leaving endpoint keeps serving.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Maximum number of pages; a longer list is rejected.
const MAX_PAGES: usize = 256;

/// Polls the endpoint list while its replica leads.
pub(crate) struct EndpointListReader {
    control: Arc<Control>,
    pool: Arc<Pool>,
    is_failing: bool,
}

impl EndpointListReader {
    pub(crate) fn new(control: Arc<Control>) -> Self {
        let cfg = PoolConfig::new(control.protocol.request_id_header());
        Self { control, pool: Pool::new(cfg), is_failing: false }
    }

    /// Polls until the task is cancelled.
    pub(crate) async fn run(mut self) -> Result<()> {
        loop {
            if self.control.leader_state().is_none() {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.read().await {
                Ok(endpoints) => {
                    if std::mem::take(&mut self.is_failing) {
                        log::info!("endpoint list is readable again");
                    }
                    self.apply(endpoints);
                    sleep(POLL_INTERVAL).await;
                }
                Err(e) => {
                    metrics::counter!("poplarspan_relay_list_failures_total").increment(1);
                    if !std::mem::replace(&mut self.is_failing, true) {
                        let error = format!("{e:#}");
                        log::warn!(error = error.as_str(); "cannot read the endpoint list");
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn apply(&self, endpoints: Vec<ListedEndpoint>) {
        let Some(mut state) = self.control.leader_state() else { return };
        let count = endpoints.len();
        let leaving = endpoints.iter().filter(|e| e.leaving).count();
        if state.leader.set_directory(endpoints, self.control.clock.now()) {
            let number = state.leader.directory_number();
            log::info!(count, leaving, number; "endpoint list changed");
        }
    }

    /// Reads all pages and sorts the endpoints by name.
    async fn read(&self) -> Result<Vec<ListedEndpoint>> {
        let mut endpoints: Vec<ListedEndpoint> = Vec::new();
        let mut unreadable = 0;
        let mut token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let body = self.page(token.as_deref()).await?;
            let page = self.control.protocol.parse_list_page(&body)?;
            endpoints.extend(page.endpoints);
            unreadable += page.unreadable;
            token = page.next;
            if token.is_none() {
                metrics::gauge!("poplarspan_relay_unreadable_entries").set(unreadable);
                endpoints.sort_by(|a, b| a.name.cmp(&b.name));
                endpoints.dedup_by(|a, b| a.name == b.name);
                return Ok(endpoints);
            }
        }
        anyhow::bail!("endpoint list has more than {MAX_PAGES} pages")
    }

    async fn page(&self, token: Option<&str>) -> Result<Bytes> {
        metrics::counter!("poplarspan_relay_list_calls_total").increment(1);
        let address = self.control.settings.endpoint_list_address;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.control.protocol.list_page_uri(token);
        let host = HeaderValue::from_str(&address.to_string()).context("invalid Host header")?;
        request.headers_mut().insert(header::HOST, host);
        let deadline = Instant::now() + READ_TIMEOUT;
        let exchange = self.pool.send(address, request, false, deadline).await?;
        let (response, reuse) = exchange.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect();
        let body =
            tokio::time::timeout_at(deadline, body).await.context("timed out reading a page")?;
        let body = body.map_err(|e| anyhow::anyhow!(e))?.to_bytes();
        reuse.release();
        ensure!(status.is_success(), "platform responded with status {status}");
        Ok(body)
    }
}
