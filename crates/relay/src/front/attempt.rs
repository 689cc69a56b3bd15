//! Sends a call to endpoints and retries where the route allows it.

use std::{sync::Arc, time::Duration};

use http::{Request, StatusCode, response};
use hyper::body::Incoming;
use poplarspan_node::{
    RequestBody, SendPermission,
    pool::{PooledConnection, SendError},
};
use poplarspan_policy::Name;
use tokio::time::Instant;

use super::{
    Front,
    call::Call,
    endpoints::{ChosenEndpoint, Outcome},
    placement::EndpointFilter,
    programs::history::Transfer,
    quarantine::{Admission, ProbationRun},
    refusal::Refusal,
    rollouts::OpenCall,
    schedule::{PlacementError, Slot},
};
use crate::{Forward, ResponseHead};

/// Maximum number of endpoints that refuse a call or cannot be reached before the call is refused.
const MAX_UNSENT: u32 = 6;
/// Pause before endpoints that refused the call are asked again.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// When to retry a call that no endpoint has run.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A response whose head has arrived.
pub(crate) struct StartedResponse {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) reuse: PooledConnection,
    pub(crate) slot: Slot,
}

/// State of the attempts of one call.
pub(crate) struct Attempts {
    pub(crate) front: Arc<Front>,
    pub(crate) call: Arc<Call>,
    filter: EndpointFilter,
    /// Number of endpoints that may have run the call.
    pub(crate) ran: u32,
    /// Number of attempts that certainly did not run the call.
    pub(crate) unsent: u32,
    /// Time spent waiting for a slot.
    pub(crate) waited: Duration,
    /// The endpoint of the last attempt.
    pub(crate) last: Option<ChosenEndpoint>,
    /// Set while the call runs on probation.
    probation: Option<ProbationRun>,
    /// Set once the attempts are restricted to one software version.
    held: Option<OpenCall>,
}

/// Why an attempt yielded no response.
enum AttemptError {
    /// The endpoint has not run the call and will not run it.
    NotRun,
    /// The endpoint may have run the call.
    Unknown,
    /// The call must not be sent to any endpoint now.
    Refused(Refusal),
}

impl Attempts {
    pub(crate) fn new(front: Arc<Front>, call: Arc<Call>) -> Self {
        Self {
            front,
            call,
            filter: EndpointFilter::default(),
            ran: 0,
            unsent: 0,
            waited: Duration::ZERO,
            last: None,
            probation: None,
            held: None,
        }
    }

    /// Sends the call until an endpoint starts a response. A stream is resumed after `last_event`.
    pub(crate) async fn next(
        &mut self,
        last_event: Option<&Name>,
    ) -> Result<StartedResponse, Refusal> {
        loop {
            if self.front.quarantine.is_refused(&self.call) {
                return Err(self.crashes_endpoints());
            }
            // Before the call takes a slot, which it would keep while other histories are sent.
            let transfer = self.begin_transfer().await?;
            let since = Instant::now();
            let placed = self.front.schedule.acquire(&self.call.placement, &self.filter).await;
            self.waited += since.elapsed();
            let slot = match placed {
                Ok(slot) => slot,
                Err(PlacementError::NoEndpoint { .. }) if self.may_retry_refused() => {
                    tokio::time::sleep(REFUSED_PAUSE).await;
                    self.filter.tried.clear();
                    continue;
                }
                Err(PlacementError::NoEndpoint { retry_after }) => {
                    return Err(self.refuse("no_endpoint", "no endpoint is open", retry_after));
                }
                Err(PlacementError::TooLate { retry_after }) => {
                    let message = "the call cannot be served in time";
                    return Err(self.refuse("too_late", message, retry_after));
                }
                Err(PlacementError::SoftwareGone) => return Err(self.software_gone()),
            };
            self.last = Some(slot.endpoint.clone());
            match self.send(slot, last_event, transfer).await {
                Ok(started) => return Ok(started),
                Err(AttemptError::NotRun) => {
                    self.unsent += 1;
                    if self.unsent >= MAX_UNSENT {
                        let message = "endpoints refuse the call or cannot be reached";
                        return Err(self.refuse("refused", message, RETRY_AFTER));
                    }
                }
                Err(AttemptError::Refused(refusal)) => return Err(refusal),
                Err(AttemptError::Unknown) => {
                    self.ran += 1;
                    self.filter.has_failed = true;
                    if !self.may_retry() {
                        return Err(self.unknown_outcome());
                    }
                }
            }
        }
    }

    /// Waits until the history of the call may be sent, if it is read from the stores.
    async fn begin_transfer(&self) -> Result<Option<Transfer>, Refusal> {
        let Some(history) = self.call.body.stored_history() else { return Ok(None) };
        // The history and the answer need the rest of the time.
        let until = Instant::now() + self.call.time_left() / 2;
        let transfer = history.begin_transfer(until).await;
        let message = "too many long histories are being sent";
        transfer.map(Some).ok_or_else(|| self.refuse("no_transfer", message, RETRY_AFTER))
    }

    /// Whether endpoints that refused the call may be asked again.
    fn may_retry_refused(&self) -> bool {
        self.unsent > 0 && self.ran == 0 && self.call.time_left() > 4 * REFUSED_PAUSE
    }

    /// Whether the call may be sent to another endpoint after one that may have run it.
    pub(crate) fn may_retry(&self) -> bool {
        self.call.route.may_run_again()
            && self.ran < self.call.route.max_endpoints
            && !self.call.time_left().is_zero()
    }

    /// Restricts further attempts to endpoints of one software version.
    pub(crate) fn restrict_to(&mut self, software: Name) {
        let service = &self.call.placement.service;
        // Between two endpoints of its version, the stream still needs that version.
        self.held = Some(self.front.schedule.hold_version(service, &software));
        self.filter.software = Some(software);
    }

    /// Records that an endpoint did not complete its response.
    pub(crate) fn failed(&mut self, slot: Slot, cause: &str) {
        self.note_incomplete(&slot.endpoint, cause);
        self.ran += 1;
        self.filter.has_failed = true;
        self.filter.tried.push(slot.endpoint.name.clone());
        slot.finish(Outcome::Failed);
    }

    async fn send(
        &mut self,
        mut slot: Slot,
        last_event: Option<&Name>,
        transfer: Option<Transfer>,
    ) -> Result<StartedResponse, AttemptError> {
        let call = self.call.clone();
        let endpoint = slot.endpoint.clone();
        self.filter.tried.push(endpoint.name.clone());
        if self.front.fleet.lease_left().is_none() {
            self.unsent = MAX_UNSENT;
            return Err(AttemptError::NotRun);
        }
        match self.front.quarantine.admit(&call, &endpoint).await {
            Admission::Free => {}
            Admission::OnProbation(probation) => self.probation = Some(probation),
            Admission::EndpointTaken => return Err(AttemptError::NotRun),
            Admission::EndpointUnreachable => {
                slot.finish(Outcome::Unreached);
                return Err(AttemptError::NotRun);
            }
            Admission::Refused => return Err(AttemptError::Refused(self.crashes_endpoints())),
            Admission::Busy => {
                let message = "the request is on probation, since endpoints have ended under it";
                return Err(AttemptError::Refused(self.refuse("on_trial", message, RETRY_AFTER)));
            }
        }
        let request = self.request(&endpoint.name, last_event, transfer);
        let (front, claim) = (self.front.clone(), slot.claim(&self.filter));
        let may_send: SendPermission = Arc::new(move || front.may_send(&claim));
        let (address, deadline) = (endpoint.address, call.deadline);
        let pool = &self.front.pool;
        let sending = pool.send_if_permitted(address, request, false, deadline, deadline, may_send);
        let may_run_again = call.route.may_run_again() && self.ran + 1 < call.route.max_endpoints;
        let sent = self.front.links.watch(may_run_again, sending).await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(e) => return Err(self.note_failure(slot, &e)),
        };
        let is_attributed = exchange.is_attributed;
        let (response, reuse) = exchange.into_parts();
        let (parts, body) = response.into_parts();
        let head = self.front.protocol.parse_response(&parts);
        if (head.not_run || head.is_other_endpoint) && !is_attributed {
            // An earlier refusal may have been sent again while the endpoint runs the call.
            metrics::counter!("poplarspan_relay_foreign_answers_total").increment(1);
            self.note_incomplete(&endpoint, "the refusal may belong to an earlier call");
            slot.finish(Outcome::Failed);
            return Err(AttemptError::Unknown);
        }
        if let Some(load) = head.load {
            slot.report(load);
        }
        if !head.is_other_endpoint {
            slot.note_limit(head.call_limit);
            if head.is_leaving {
                slot.note_leaving();
            }
        }
        if head.not_run || head.is_other_endpoint {
            self.log_no_answer(&slot, "endpoint did not run the call", parts.status.as_u16());
            self.probation = None;
            tokio::spawn(drain(body, reuse));
            slot.finish(match head.is_other_endpoint {
                true => Outcome::Unreached,
                false => Outcome::Refused,
            });
            return Err(AttemptError::NotRun);
        }
        if !is_genuine(parts.status, &head) {
            self.log_no_answer(
                &slot,
                "response was not created by the endpoint",
                parts.status.as_u16(),
            );
            metrics::counter!("poplarspan_relay_foreign_answers_total").increment(1);
            self.probation = None;
            slot.finish(Outcome::Failed);
            return Err(AttemptError::Unknown);
        }
        slot.set_server_error(parts.status.is_server_error());
        Ok(StartedResponse { parts, body, reuse, slot })
    }

    fn request(
        &self,
        endpoint: &Name,
        last_event: Option<&Name>,
        transfer: Option<Transfer>,
    ) -> Request<RequestBody> {
        let call = &self.call;
        let forward = Forward {
            endpoint: endpoint.clone(),
            team: call.team.clone(),
            time_left: call.time_left(),
            urgency: call.urgency,
            last_event: last_event.cloned(),
        };
        let mut request = Request::new(call.body.to_request(call.deadline, transfer));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = self.front.protocol.forward_headers(&call.headers, &forward);
        request
    }

    fn note_failure(&mut self, slot: Slot, error: &SendError) -> AttemptError {
        let cause = error.to_string();
        if matches!(error, SendError::NotSent(_) | SendError::Lost(_)) {
            self.front.links.note_failure();
        }
        match error {
            SendError::NotPermitted | SendError::NotSent(_) => {
                let (endpoint, id) = (&*slot.endpoint.name, &*self.call.head.id);
                log::warn!(id, endpoint, cause = cause.as_str(); "call was not sent");
            }
            _ => self.note_incomplete(&slot.endpoint, &cause),
        }
        self.probation = None;
        match error {
            SendError::NotPermitted => {
                // The lease expired or the endpoint is leaving; neither is a failure of the
                // endpoint.
                slot.finish(Outcome::Abandoned);
                AttemptError::NotRun
            }
            SendError::NotSent(_) => {
                slot.finish(Outcome::Unreached);
                AttemptError::NotRun
            }
            SendError::Timeout if self.call.time_left().is_zero() => {
                slot.finish(Outcome::Late);
                AttemptError::Unknown
            }
            _ => {
                slot.finish(Outcome::Failed);
                AttemptError::Unknown
            }
        }
    }

    /// Records that an endpoint may have run the call without completing a response.
    fn note_incomplete(&mut self, endpoint: &ChosenEndpoint, cause: &str) {
        let (id, request) = (&*self.call.head.id, self.call.fingerprint().to_string());
        let name = &*endpoint.name;
        log::warn!(id, request = request.as_str(), endpoint = name, cause; "endpoint did not complete its response");
        metrics::counter!("poplarspan_relay_lost_runs_total").increment(1);
        self.front.quarantine.note_incomplete(&self.call, endpoint, self.probation.take());
    }

    /// Records that the call has a complete response.
    pub(crate) fn answered(&mut self) {
        self.front.quarantine.answered(&self.call, self.probation.take());
    }

    fn log_no_answer(&self, slot: &Slot, what: &'static str, status: u16) {
        let (id, endpoint) = (&*self.call.head.id, &*slot.endpoint.name);
        log::info!(id, endpoint, status; "{what}");
    }

    /// The refusal for a call that is not sent again. Its outcome is unknown if an endpoint may
    /// have run it.
    fn refuse(&self, code: &'static str, message: &'static str, retry_after: Duration) -> Refusal {
        if self.ran > 0 {
            self.unknown_outcome()
        } else {
            Refusal::retry_later(code, message, retry_after)
        }
    }

    /// The refusal for a stream that no endpoint can resume. It names no time to retry, since the
    /// caller can only start the stream anew.
    fn software_gone(&self) -> Refusal {
        if self.ran > 0 {
            return self.unknown_outcome();
        }
        let message = "no endpoint of the software version that began the stream is left";
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "software_gone", message)
    }

    /// The refusal for a request that terminates endpoints.
    fn crashes_endpoints(&self) -> Refusal {
        let message = "endpoints have ended each time that they ran this request";
        Refusal::new(StatusCode::UNPROCESSABLE_ENTITY, "request_crashes_endpoints", message)
    }

    /// The refusal for a call that may have run but has no response.
    pub(crate) fn unknown_outcome(&self) -> Refusal {
        if self.call.time_left().is_zero() {
            let message = "no answer in time";
            return Refusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout", message);
        }
        Refusal::new(StatusCode::BAD_GATEWAY, "lost", "the answer was lost")
    }
}

/// Whether a response was created by the endpoint itself.
fn is_genuine(status: StatusCode, head: &ResponseHead) -> bool {
    !head.is_encoded && (head.is_sealed || !status.is_success())
}

/// Reads a short body to its end so that the connection can be reused. Runs in the background,
/// because the body may never end.
async fn drain(mut body: Incoming, reuse: PooledConnection) {
    use http_body_util::BodyExt;
    const MAX_FRAMES: usize = 4;
    const TIMEOUT: Duration = Duration::from_millis(100);
    let until = Instant::now() + TIMEOUT;
    for _ in 0..MAX_FRAMES {
        match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => return reuse.release(),
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_))) | Err(_) => return,
        }
    }
}
