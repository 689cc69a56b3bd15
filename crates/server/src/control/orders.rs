//! Delivery of release orders to endpoints.
//!
//! The leader of each program group delivers the orders of its group and retries until they are
//! acknowledged. A new leader continues with the orders that are not acknowledged yet.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, header};
use http_body_util::Full;
use poplarspan_proto::ledger::{ReleaseAcknowledged, ReleaseOrder, ledger_command};
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Control, ProgramGroup, sweep};
use crate::{
    dispatch::{Pool, collect},
    membership::Membership,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ACKNOWLEDGEMENT_BYTES: usize = 4096;
/// Maximum number of orders of one group that are delivered concurrently.
const MAX_ORDERS_IN_FLIGHT: usize = 64;

/// Body of `POST /orders` at endpoints.
#[derive(Serialize)]
struct OrderDocument<'a> {
    kind: &'static str,
    /// Increases with each order. Endpoints that check it reject lower numbers for the same
    /// program.
    fencing: u64,
    program: String,
    /// Set if only the stream of one claim is to be released.
    claim: Option<u64>,
    team: &'a str,
}

/// Task of a control replica that delivers release orders.
pub(crate) struct ReleaseOrders {
    pub(crate) control: Arc<Control>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) pool: Arc<Pool>,
}

impl ReleaseOrders {
    /// Delivers orders until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for group in &self.control.programs {
                if group.log.leadership().is_leader {
                    self.deliver_all(group).await;
                }
            }
            self.pool.close_expired();
        }
    }

    async fn deliver_all(&self, group: &ProgramGroup) {
        let orders: Vec<ReleaseOrder> = {
            let state = group.state.lock().expect("no panic while locked");
            state.orders(0).take(MAX_ORDERS_IN_FLIGHT).cloned().collect()
        };
        if orders.is_empty() {
            return;
        }
        let delivered = futures::future::join_all(orders.iter().map(|o| self.deliver(o))).await;
        let numbers: Vec<u64> = orders
            .iter()
            .zip(delivered)
            .filter(|(_, delivered)| *delivered)
            .map(|(o, _)| o.number)
            .collect();
        if numbers.is_empty() {
            return;
        }
        let acknowledged =
            ledger_command::Command::ReleaseAcknowledged(ReleaseAcknowledged { numbers });
        if let Err(e) = sweep::commit(group, acknowledged).await {
            log::warn!(
                error = e.message.as_str();
                "cannot record the acknowledgement of release orders"
            );
        }
    }

    /// Delivers one order. Returns true if the endpoint has accepted it or is no longer published.
    async fn deliver(&self, order: &ReleaseOrder) -> bool {
        let snapshot = self.membership.load();
        let Some(endpoint) = snapshot.objects.endpoint(&order.endpoint) else {
            return snapshot.generation > 0;
        };
        let program = order.program.as_deref().unwrap_or_default();
        let document = OrderDocument {
            kind: "release",
            fencing: order.number,
            program: format!("{}/{program}", order.team),
            claim: order.claim,
            team: &order.team,
        };
        let buf = serde_json::to_vec(&document).expect("plain strings serialize");
        let mut request = Request::new(Full::new(Bytes::from(buf)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static("/orders");
        let host = HeaderValue::from_str(&endpoint.address.to_string()).expect("plain ASCII");
        request.headers_mut().insert(header::HOST, host);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let Ok(exchange) = self.pool.send(endpoint.address, request, true, deadline).await else {
            return false;
        };
        let (response, reuse) = exchange.into_parts();
        let status = response.status();
        if collect(response.into_body(), MAX_ACKNOWLEDGEMENT_BYTES, deadline).await.is_ok() {
            reuse.release();
        }
        // An endpoint without support for orders holds nothing that an order could release.
        status.is_success() || status == http::StatusCode::NOT_FOUND
    }
}
