//! The operators' interface: publishes, takes zones out, empties stores.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use poplarspan_agreement::ProposeError;
use poplarspan_policy::Name;
use poplarspan_proto::{
    peer::Duty as PeerDuty,
    relay::{self as pb, board_command::Body},
};
use tokio::{net::TcpListener, sync::Semaphore, time::timeout};

use super::Control;
use crate::{Order, Publication, replica::plan::MIN_VOTERS};

/// Largest publication, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time in which the body of an order must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an order is committed, or its outcome is left open.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_CONNECTIONS: usize = 256;

type Answer = Response<Full<Bytes>>;

/// Serves operators.
pub(crate) struct OrderServer {
    control: Arc<Control>,
    slots: Arc<Semaphore>,
}

impl OrderServer {
    pub(crate) fn new(control: Arc<Control>) -> Arc<Self> {
        Arc::new(Self { control, slots: Arc::new(Semaphore::new(MAX_CONNECTIONS)) })
    }

    /// Accepts connections until the task is ended.
    pub(crate) async fn run(self: Arc<Self>, socket: Arc<TcpListener>) -> Result<()> {
        loop {
            let permit = self.slots.clone().acquire_owned().await?;
            let (stream, _) = socket.accept().await?;
            let server = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| server.answer(req));
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(e) = served {
                    let error = e.to_string();
                    log::debug!(error = error.as_str(); "an operator's connection has failed");
                }
                drop(permit);
            });
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Answer, Infallible> {
        let (method, path) = (req.method().clone(), req.uri().path().to_owned());
        let answer = match self.control.dialect.order(&method, &path) {
            Some(order) => self.carry_out(order, req, &path).await,
            None => self.refuse(StatusCode::NOT_FOUND, "there is no such order"),
        };
        if method != Method::GET || !answer.status().is_success() {
            let status = answer.status().as_u16();
            log::info!(method = method.as_str(), path = path.as_str(), status; "order");
        }
        metrics::counter!("poplarspan_relay_orders_total",
            "status" => answer.status().as_u16().to_string())
        .increment(1);
        Ok(answer)
    }

    async fn carry_out(&self, order: Order, req: Request<Incoming>, path: &str) -> Answer {
        if self.control.leading().is_none() {
            return self.redirect(path);
        }
        match order {
            Order::Publish => self.publish(req.into_body(), path).await,
            Order::Read => self.read(path).await,
            Order::Zone { zone, out } => {
                if !self.control.settings.zones.contains(&zone) {
                    return self.refuse(StatusCode::NOT_FOUND, "there is no such zone");
                }
                let set = pb::SetZone { zone: zone.to_string(), out };
                self.commit(Body::Zone(set), path).await
            }
            Order::Retire { instance } => self.retire(&instance, path).await,
            Order::RetireState { instance } => self.retire_state(&instance, path).await,
        }
    }

    async fn publish(&self, body: Incoming, path: &str) -> Answer {
        let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return self.refuse(StatusCode::BAD_REQUEST, &e.to_string()),
            Err(_) => return self.refuse(StatusCode::REQUEST_TIMEOUT, "the body is late"),
        };
        let checked = self.control.dialect.objects(&body).and_then(Publication::new);
        match checked {
            Ok(publication) => {
                let version = publication.version;
                self.commit(Body::Publish(pb::Publish { version, body }), path).await
            }
            Err(findings) => {
                let text = findings.to_string();
                log::warn!(findings = text.as_str(); "publication refused");
                self.refuse(StatusCode::BAD_REQUEST, &text)
            }
        }
    }

    async fn read(&self, path: &str) -> Answer {
        let Ok(board) = self.control.board().await else { return self.redirect(path) };
        if board.version() == 0 {
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, "nothing has been published yet");
        }
        whole(StatusCode::OK, board.body().clone())
    }

    async fn retire(&self, instance: &Name, path: &str) -> Answer {
        let Ok(board) = self.control.board().await else { return self.redirect(path) };
        if board.retiring().contains(instance) {
            return whole(StatusCode::OK, Bytes::from_static(b"{}"));
        }
        {
            let now = self.control.clock.now();
            let Some(state) = self.control.leading() else { return self.redirect(path) };
            let leading = &state.leading;
            if !leading.knows_all(now) {
                let message = "this leader does not know all instances yet";
                return self.refuse(StatusCode::SERVICE_UNAVAILABLE, message);
            }
            let is_store = leading.member(instance).is_some_and(|m| m.duty == PeerDuty::Store);
            if !is_store {
                return self.refuse(StatusCode::NOT_FOUND, "there is no such store");
            }
            let stays = leading
                .members(PeerDuty::Store)
                .filter(|m| m.name != *instance && !board.retiring().contains(&m.name))
                .count();
            // As many as bear what may be lost at once, and still are a majority.
            let needed = 2 * self.control.settings.tolerated_losses + 1;
            if stays < needed.max(MIN_VOTERS) {
                return self.refuse(StatusCode::CONFLICT, "too few stores would be left");
            }
        }
        self.commit(Body::Retire(pb::Retire { instance: instance.to_string() }), path).await
    }

    async fn retire_state(&self, instance: &Name, path: &str) -> Answer {
        let Ok(board) = self.control.board().await else { return self.redirect(path) };
        if !board.retiring().contains(instance) {
            return self.refuse(StatusCode::NOT_FOUND, "this store is not being emptied");
        }
        let Some(state) = self.control.leading() else { return self.redirect(path) };
        // While a leader is not known, nobody can say that the store holds nothing.
        let is_done = state.leading.holds_nothing(instance, board.store_groups()).unwrap_or(false);
        whole(StatusCode::OK, self.control.dialect.retire_state(is_done))
    }

    async fn commit(&self, body: Body, path: &str) -> Answer {
        match timeout(COMMIT_TIMEOUT, self.control.commit(body)).await {
            Ok(Ok(_)) => whole(StatusCode::OK, Bytes::from_static(b"{}")),
            Ok(Err(ProposeError::NotLeader { .. })) => self.redirect(path),
            Ok(Err(e)) => self.refuse(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            Err(_) => {
                self.refuse(StatusCode::GATEWAY_TIMEOUT, "the order may still be carried out")
            }
        }
    }

    /// Sends the operator to the leader.
    fn redirect(&self, path: &str) -> Answer {
        let (leader, port) = (self.control.replica.leader(), self.control.settings.orders);
        let (Some(leader), Some(own)) = (leader, port) else {
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, "no leader is known");
        };
        let address = SocketAddr::new(leader.ip(), own.port());
        let mut answer =
            self.refuse(StatusCode::TEMPORARY_REDIRECT, "another replica leads the group");
        if let Ok(location) = format!("http://{address}{path}").parse() {
            answer.headers_mut().insert(header::LOCATION, location);
        }
        answer
    }

    fn refuse(&self, status: StatusCode, message: &str) -> Answer {
        whole(status, self.control.dialect.fault(message))
    }
}

fn whole(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
