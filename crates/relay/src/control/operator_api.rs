//! HTTP server for operators: publishes objects, takes zones out of service, drains stores and
//! starts rollouts.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use poplarspan_agreement::ProposeError;
use poplarspan_policy::Name;
use poplarspan_proto::{
    peer::Duty as PbDuty,
    relay::{self as pb, RolloutStage, board_command::Body},
};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    time::{Instant, sleep, timeout},
};

use super::{
    Control,
    forwarding::{FORWARDED, Forwarder, ReceivedRequest, SuspensionWatch},
};
use crate::{
    ControlState, OperatorRequest, Publication, RolloutState, now_ms,
    replica::membership::MIN_VOTERS,
};

/// Maximum size of a publication, in bytes. It reaches each instance in the answer to a heartbeat,
/// and one of this size takes 1.1 s on the slowest link of a front (30 Mbit/s), after which the
/// heartbeat would time out. It is also one command of the replicated log, which delays the
/// heartbeats of its leader.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a command must commit; afterwards its outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_CONNECTIONS: usize = 256;
/// How many times the time limit of an acknowledgement an order may be resent after. Twice, because
/// the first copy may have been acknowledged late.
const REPEAT_FACTOR: u32 = 2;

/// Total time for forwarding a request. Operators turn to another replica after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(850);
/// Pause before the next attempt, in which another replica may be elected.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

type JsonResponse = Response<Full<Bytes>>;

/// This replica is not the leader.
struct NotLeading;

/// Serves operators.
pub(crate) struct OperatorServer {
    control: Arc<Control>,
    forwarder: Forwarder,
    watch: Arc<SuspensionWatch>,
    slots: Arc<Semaphore>,
}

impl OperatorServer {
    pub(crate) fn new(control: Arc<Control>) -> Arc<Self> {
        let watch = SuspensionWatch::new(control.clock.clone());
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        Arc::new(Self { control, forwarder: Forwarder::new(), watch, slots })
    }

    /// Detects suspensions until the task is cancelled.
    pub(crate) async fn run_watch(self: Arc<Self>) -> Result<()> {
        self.watch.clone().run().await
    }

    /// Accepts connections until the task is cancelled.
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
                    log::debug!(error = error.as_str(); "operator connection failed");
                }
                drop(permit);
            });
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<JsonResponse, Infallible> {
        let (method, path) = (req.method().clone(), req.uri().path().to_owned());
        let request = self.control.protocol.parse_operator_request(&method, &path);
        let answer = match request.filter(|r| self.is_offered(r)) {
            Some(request) => match self.receive(req).await {
                Ok(received) => self.execute(&request, &received).await,
                Err(refusal) => refusal,
            },
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

    /// Whether the settings offer this kind of request.
    fn is_offered(&self, request: &OperatorRequest) -> bool {
        let is_rollout = matches!(
            request,
            OperatorRequest::StartRollout | OperatorRequest::RolloutStatus { .. }
        );
        !is_rollout || self.control.settings.rollouts.is_some()
    }

    async fn receive(&self, req: Request<Incoming>) -> Result<ReceivedRequest, JsonResponse> {
        let (parts, body) = req.into_parts();
        let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                let message = format!("the body has more than {MAX_BODY_BYTES} bytes");
                return Err(self.refuse(StatusCode::PAYLOAD_TOO_LARGE, &message));
            }
            Ok(Err(e)) => return Err(self.refuse(StatusCode::BAD_REQUEST, &e.to_string())),
            Err(_) => return Err(self.refuse(StatusCode::REQUEST_TIMEOUT, "the body is late")),
        };
        let is_forwarded = parts.headers.contains_key(FORWARDED);
        let path = parts.uri.path().to_owned();
        Ok(ReceivedRequest { method: parts.method, path, body, is_forwarded })
    }

    /// Executes a request locally or forwards it to the leader.
    async fn execute(&self, request: &OperatorRequest, received: &ReceivedRequest) -> JsonResponse {
        if self.watch.is_stale() {
            let message = "the order may date from before a suspension";
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, message);
        }
        let until = Instant::now() + FORWARD_TIMEOUT + received.transfer_time();
        loop {
            if self.control.leader_state().is_some()
                && let Ok(answer) = self.execute_as_leader(request, received.body.clone()).await
            {
                return answer;
            }
            if received.is_forwarded {
                break;
            }
            if let Some(answer) = self.forward(received, until).await {
                return answer;
            }
            if Instant::now() + RETRY_PAUSE >= until {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        self.refuse(StatusCode::SERVICE_UNAVAILABLE, "no replica that leads can be reached")
    }

    /// Returns the leader's response, or `None` if it could not handle the request.
    async fn forward(&self, received: &ReceivedRequest, until: Instant) -> Option<JsonResponse> {
        let port = self.control.settings.operator_address?.port();
        let leader = SocketAddr::new(self.control.replica.leader()?.ip(), port);
        match self.forwarder.send(leader, received, until).await {
            Ok((status, body)) if !status.is_server_error() => Some(json_response(status, body)),
            Ok((status, _)) => {
                let status = status.as_u16();
                log::info!(leader = leader.to_string().as_str(), status; "leader did not execute the forwarded request");
                None
            }
            Err(e) => {
                let error = format!("{e:#}");
                log::warn!(
                    leader = leader.to_string().as_str(), error = error.as_str();
                    "cannot forward a request to the leader"
                );
                None
            }
        }
    }

    /// Executes a request if this replica leads.
    async fn execute_as_leader(
        &self,
        request: &OperatorRequest,
        body: Bytes,
    ) -> Result<JsonResponse, NotLeading> {
        match request {
            OperatorRequest::Publish => self.publish(body).await,
            OperatorRequest::Read => self.read().await,
            OperatorRequest::Zone { zone, out } => {
                if !self.control.settings.zones.contains(zone) {
                    return Ok(self.refuse(StatusCode::NOT_FOUND, "there is no such zone"));
                }
                let set = pb::SetZone { zone: zone.to_string(), out: *out };
                self.commit(Body::Zone(set)).await
            }
            OperatorRequest::Retire { instance } => self.retire(instance).await,
            OperatorRequest::RetireStatus { instance } => self.retire_status(instance).await,
            OperatorRequest::StartRollout => self.start_rollout(&body).await,
            OperatorRequest::RolloutStatus { service } => self.rollout_status(service).await,
        }
    }

    async fn publish(&self, body: Bytes) -> Result<JsonResponse, NotLeading> {
        let checked = self.control.protocol.parse_objects(&body).and_then(Publication::new);
        match checked {
            Ok(publication) => {
                let version = publication.version;
                self.commit(Body::Publish(pb::Publish { version, body })).await
            }
            Err(findings) => {
                let text = findings.to_string();
                log::warn!(findings = text.as_str(); "rejected an invalid publication");
                Ok(self.refuse(StatusCode::BAD_REQUEST, &text))
            }
        }
    }

    async fn read(&self) -> Result<JsonResponse, NotLeading> {
        let control_state = self.control_state().await?;
        if control_state.version() == 0 {
            let message = "nothing has been published yet";
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, message));
        }
        Ok(json_response(StatusCode::OK, control_state.body().clone()))
    }

    async fn retire(&self, instance: &Name) -> Result<JsonResponse, NotLeading> {
        let control_state = self.control_state().await?;
        if control_state.retiring().contains(instance) {
            return Ok(json_response(StatusCode::OK, Bytes::from_static(b"{}")));
        }
        {
            let now = self.control.clock.now();
            let state = self.control.leader_state().ok_or(NotLeading)?;
            let leader = &state.leader;
            if !leader.has_seen_all_instances(now) {
                let message = "this leader does not know all instances yet";
                return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, message));
            }
            let is_store = leader.member(instance).is_some_and(|m| m.duty == PbDuty::Store);
            if !is_store {
                return Ok(self.refuse(StatusCode::NOT_FOUND, "there is no such store"));
            }
            let stays = leader
                .members(PbDuty::Store)
                .filter(|m| m.name != *instance && !control_state.retiring().contains(&m.name))
                .count();
            // The remaining stores must keep a majority when `tolerated_losses` of them fail.
            let needed = 2 * self.control.settings.tolerated_losses + 1;
            if stays < needed.max(MIN_VOTERS) {
                return Ok(self.refuse(StatusCode::CONFLICT, "too few stores would be left"));
            }
        }
        self.commit(Body::Retire(pb::Retire { instance: instance.to_string() })).await
    }

    async fn retire_status(&self, instance: &Name) -> Result<JsonResponse, NotLeading> {
        let control_state = self.control_state().await?;
        if !control_state.retiring().contains(instance) {
            return Ok(self.refuse(StatusCode::NOT_FOUND, "this store is not being emptied"));
        }
        let state = self.control.leader_state().ok_or(NotLeading)?;
        // While the leader of a group is unknown, the store is not known to be drained.
        let is_done =
            state.leader.is_drained(instance, control_state.store_groups()).unwrap_or(false);
        Ok(json_response(StatusCode::OK, self.control.protocol.retire_status_body(is_done)))
    }

    async fn start_rollout(&self, body: &[u8]) -> Result<JsonResponse, NotLeading> {
        let order = match self.control.protocol.parse_rollout_order(body) {
            Ok(order) => order,
            Err(e) => return Ok(self.refuse(StatusCode::BAD_REQUEST, &e.0)),
        };
        let Some(limits) = self.control.settings.rollouts else {
            return Ok(self.refuse(StatusCode::NOT_FOUND, "there is no such order"));
        };
        let control_state = self.control_state().await?;
        let publication = {
            let mut state = self.control.leader_state().ok_or(NotLeading)?;
            self.control.publication(&mut state, &control_state)
        };
        let Some(publication) = publication else {
            let message = "nothing has been published yet";
            return Ok(self.refuse(StatusCode::SERVICE_UNAVAILABLE, message));
        };
        if publication.service(&order.service).is_none() {
            let message = format!("service: there is no service {:?}", order.service);
            return Ok(self.refuse(StatusCode::BAD_REQUEST, &message));
        }
        let repeat = limits.acknowledgement * REPEAT_FACTOR;
        let start = pb::StartRollout {
            service: order.service.to_string(),
            target: order.target.to_string(),
            // A time limit below one millisecond is not rounded to none.
            over_ms: u64::try_from(order.over.as_millis()).unwrap_or(u64::MAX).max(1),
            started_ms: now_ms(),
            repeat_ms: u64::try_from(repeat.as_millis()).unwrap_or(u64::MAX),
        };
        self.commit(Body::StartRollout(start)).await
    }

    async fn rollout_status(&self, service: &Name) -> Result<JsonResponse, NotLeading> {
        let control_state = self.control_state().await?;
        let Some(rollout) = control_state.rollout(service) else {
            return Ok(self.refuse(StatusCode::NOT_FOUND, "this service has no rollout"));
        };
        let state = match rollout.stage() {
            RolloutStage::Completed => RolloutState::Completed,
            RolloutStage::Reverted => RolloutState::Reverted,
            RolloutStage::Running | RolloutStage::Unspecified => RolloutState::Running,
        };
        let body = self.control.protocol.rollout_status_body(state, &rollout.target);
        Ok(json_response(StatusCode::OK, body))
    }

    async fn control_state(&self) -> Result<ControlState, NotLeading> {
        self.control.control_state().await.map_err(|_| NotLeading)
    }

    async fn commit(&self, body: Body) -> Result<JsonResponse, NotLeading> {
        match timeout(COMMIT_TIMEOUT, self.control.commit(body)).await {
            Ok(Ok(result)) if result.rollout_conflict => {
                let message = "another rollout of the service is running";
                Ok(self.refuse(StatusCode::CONFLICT, message))
            }
            Ok(Ok(_)) => Ok(json_response(StatusCode::OK, Bytes::from_static(b"{}"))),
            Ok(Err(ProposeError::NotLeader { .. })) => Err(NotLeading),
            Ok(Err(e)) => Ok(self.refuse(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())),
            Err(_) => {
                let message = "the order may still be carried out";
                Ok(self.refuse(StatusCode::GATEWAY_TIMEOUT, message))
            }
        }
    }

    fn refuse(&self, status: StatusCode, message: &str) -> JsonResponse {
        json_response(status, self.control.protocol.error_body(message))
    }
}

fn json_response(status: StatusCode, body: Bytes) -> JsonResponse {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
