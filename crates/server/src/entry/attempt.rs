//! Attempts of a call at one endpoint after another, as long as retries are safe.

mod hedge;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use poplarspan_node::SendPermission;
use poplarspan_objects::{Name, ZoneState};
use poplarspan_policy::containment::{Admission, Fingerprint};
use tokio::time::Instant;

use super::{
    auth::{self, Credential},
    call::ProgramCall,
    handler::EntryHandler,
    program::{Claim, is_event_stream},
    record::completion_tokens,
    refusal::{Code, Executed, Refusal},
};
use crate::{
    crashes::{SuspectGuard, wait_admission},
    dispatch::{
        Exchange, PooledConnection, REQUEST_ID_HEADER, ResponseError, SendError, collect,
        is_delimited,
    },
    membership::{LEASE, Membership, Snapshot},
    schedule::{CallSpec, DispatchOutcome, EndpointRef, Slot},
    telemetry,
};

/// Maximum number of attempts of one call, not counting a hedge.
const MAX_ATTEMPTS: usize = 3;
/// Request header with the program of a call. Release orders for its memory refer to the program.
const ENGINE_PROGRAM_HEADER: HeaderName = HeaderName::from_static("x-program");
/// Request header with the ledger claim of a call. Release orders for one call refer to the claim.
const ENGINE_CLAIM_HEADER: HeaderName = HeaderName::from_static("x-claim");
/// Request header with the priority of a call in the queue of an engine, lowest first.
const ENGINE_PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Maximum time for a crash record to reach the other instances. An instance without the record has
/// lost its lease by then.
const CRASH_REPORT_DELAY: Duration = LEASE;
/// Maximum time to wait for the head of a response on a reused connection.
const REUSED_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time to wait for a response head on a reused connection, unless the deadline is earlier.
const MIN_REUSED_HEAD_TIMEOUT: Duration = Duration::from_millis(250);
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Connection-specific headers and headers that are only used by this system. Not forwarded.
const STRIPPED_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-poplarspan-deadline",
    "x-poplarspan-parent",
    "x-request-id",
];

/// The parts of a request that are forwarded to endpoints.
#[derive(Clone, Debug)]
pub(crate) struct RequestParts {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl RequestParts {
    /// Creates the parts from a caller's request. Removes credentials and [`STRIPPED_HEADERS`].
    pub(crate) fn new(method: Method, path: String, mut headers: HeaderMap, body: Bytes) -> Self {
        auth::remove_credentials(&mut headers);
        for name in STRIPPED_HEADERS {
            headers.remove(name);
        }
        Self { method, path, headers, body }
    }

    /// Sets the header with the program, or removes a header that the caller has sent.
    pub(crate) fn with_program(
        mut self,
        credential: Option<&Credential>,
        program: Option<&ProgramCall>,
    ) -> Self {
        self.headers.remove(ENGINE_PROGRAM_HEADER);
        if let (Some(credential), Some(call)) = (credential, program) {
            let name = format!("{}/{}", credential.team, call.program);
            let value = HeaderValue::from_str(&name).expect("validated names are plain ASCII");
            self.headers.insert(ENGINE_PROGRAM_HEADER, value);
        }
        self
    }

    fn request(&self, slot: &Slot, id: &HeaderValue, claim: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        let host = HeaderValue::from_str(&slot.endpoint.address.to_string()).expect("plain ASCII");
        request.headers_mut().insert(header::HOST, host);
        request.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        request.headers_mut().remove(ENGINE_CLAIM_HEADER);
        if let Some(claim) = claim {
            request.headers_mut().insert(ENGINE_CLAIM_HEADER, HeaderValue::from(claim));
        }
        // Callers must not set the priority themselves.
        request.headers_mut().remove(ENGINE_PRIORITY_HEADER);
        if let Some(priority) = slot.priority {
            request.headers_mut().insert(ENGINE_PRIORITY_HEADER, HeaderValue::from(priority));
        }
        request
    }
}

/// A call that is ready to be sent.
pub(crate) struct PreparedCall {
    pub(crate) parts: RequestParts,
    /// `None` on open routes.
    pub(crate) credential: Option<Credential>,
    pub(crate) spec: Arc<CallSpec>,
    /// Whether the call may be executed more than once.
    pub(crate) idempotent: bool,
    pub(crate) request_id: HeaderValue,
    pub(crate) deadline: Instant,
}

impl PreparedCall {
    /// Returns the fingerprint that identifies the request in crash records.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(&self.parts.path, &self.parts.body)
    }
}

/// A complete response.
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A response whose head has arrived. The call keeps its slot at the endpoint.
pub(crate) struct PendingResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) reuse: PooledConnection,
    pub(crate) slot: Slot,
    /// Time from the dispatch to the head of the response.
    pub(crate) first_byte: Duration,
    /// Run of the endpoint when the call was sent.
    pub(crate) run: Option<u64>,
    pub(crate) _suspect: Option<SuspectGuard>,
}

/// A slot at an endpoint, with the reservation if the request has crashed another endpoint.
pub(crate) struct Placement {
    pub(crate) slot: Slot,
    suspect: Option<SuspectGuard>,
}

/// A failed attempt.
struct AttemptFailure {
    ran: Executed,
    cause: String,
    outcome: DispatchOutcome,
    /// Whether the connection was lost after the request was sent.
    may_have_crashed: bool,
    /// Whether the same endpoint may be tried again over another connection.
    same_endpoint_allowed: bool,
}

impl AttemptFailure {
    fn from_send(error: &SendError) -> Self {
        let (ran, outcome) = match error {
            SendError::NotPermitted => (Executed::No, DispatchOutcome::Abandoned),
            SendError::NotSent(_) => (Executed::No, DispatchOutcome::Failed),
            SendError::Lost(_) | SendError::Timeout => (Executed::Unknown, DispatchOutcome::Failed),
            // Only the connection has failed; the endpoint may be healthy.
            SendError::ReusedTimeout => (Executed::Unknown, DispatchOutcome::Abandoned),
            SendError::IdMismatch => (Executed::Unknown, DispatchOutcome::Failed),
        };
        let may_have_crashed = matches!(error, SendError::Lost(_));
        let same_endpoint_allowed = matches!(error, SendError::ReusedTimeout);
        Self { ran, cause: error.to_string(), outcome, may_have_crashed, same_endpoint_allowed }
    }

    fn from_response(error: &ResponseError) -> Self {
        let may_have_crashed = matches!(error, ResponseError::Truncated(_));
        let (ran, outcome) = (Executed::Yes, DispatchOutcome::Failed);
        Self {
            ran,
            cause: error.to_string(),
            outcome,
            may_have_crashed,
            same_endpoint_allowed: false,
        }
    }
}

/// The attempts of one call so far.
pub(crate) struct Attempts<'a> {
    entry: &'a EntryHandler,
    call: &'a PreparedCall,
    tried: Vec<Name>,
    /// Number of failed attempts.
    failures: usize,
    /// Whether any attempt was executed.
    ran: Executed,
    last_cause: String,
    /// The claim under which the call runs, if the ledger records it.
    pub(crate) claim: Option<Claim>,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(entry: &'a EntryHandler, call: &'a PreparedCall) -> Self {
        if let Some(team) = &call.spec.team {
            entry.retries().record_attempt(team);
        }
        let (ran, last_cause) = (Executed::No, String::new());
        Self { entry, call, tried: Vec::new(), failures: 0, ran, last_cause, claim: None }
    }

    /// Waits for a slot at an endpoint that was not tried yet.
    pub(crate) async fn acquire(&self) -> Result<Placement, Refusal> {
        let crashes = &self.entry.crashes;
        if crashes.is_empty() {
            return Ok(Placement { slot: self.acquire_slot(&self.tried).await?, suspect: None });
        }
        let fingerprint = self.call.fingerprint();
        let mut skipped = Vec::new();
        loop {
            let crashed = wait_admission(crashes, fingerprint, self.call.deadline).await;
            let crashed = crashed.ok_or_else(|| self.crash_refusal())?;
            if crashed.is_empty() {
                return Ok(Placement {
                    slot: self.acquire_slot(&self.tried).await?,
                    suspect: None,
                });
            }
            let unsettled = self.tried.last().filter(|name| !crashed.contains(name));
            if unsettled.is_some() && !self.crash_reports_settled(fingerprint, &crashed).await {
                continue;
            }
            let excluded: Vec<&Name> = self.tried.iter().chain(&crashed).chain(&skipped).collect();
            let mut candidates = crashes.candidate_order(&self.call.spec.group, fingerprint);
            let Some(at) = candidates.iter().position(|name| !excluded.contains(&name)) else {
                let message = "no endpoint is left for this call";
                let refusal = Refusal::not_run(Code::Unavailable, message);
                return Err(self.with_ran(refusal.retry_after(DEFAULT_RETRY_AFTER)));
            };
            let endpoint = candidates.remove(at);
            let slot = match self.acquire_slot(&candidates).await {
                Ok(slot) => slot,
                Err(refusal) if refusal.code == Code::Unavailable => {
                    // The endpoint was unhealthy for as long as a crash record may take to arrive.
                    skipped.push(endpoint);
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            // Two suspect requests never run on the same endpoint concurrently. Otherwise a crash
            // could not be attributed to one of them.
            if let Some(suspect) = crashes.begin_suspect(&slot.endpoint.name, fingerprint) {
                return Ok(Placement { slot, suspect: Some(suspect) });
            }
            drop(slot);
            tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        }
    }

    /// Waits for [`CRASH_REPORT_DELAY`], in which other instances may report crashes of this
    /// request. Returns false as soon as the admission of the request changes.
    async fn crash_reports_settled(&self, fingerprint: Fingerprint, crashed: &[Name]) -> bool {
        let until = self.call.deadline.min(Instant::now() + CRASH_REPORT_DELAY);
        while Instant::now() < until {
            match self.entry.crashes.admission(fingerprint) {
                Admission::Excluding(endpoints) if endpoints.len() == crashed.len() => {}
                _ => return false,
            }
            tokio::time::sleep(SUSPECT_POLL_INTERVAL).await;
        }
        true
    }

    async fn acquire_slot(&self, avoid: &[Name]) -> Result<Slot, Refusal> {
        let started = Instant::now();
        let assigned = self.entry.scheduler.acquire(&self.call.spec, avoid).await;
        telemetry::record_queue_time(self.call.spec.team.as_ref(), started.elapsed());
        assigned.map_err(|refusal| self.with_ran(refusal))
    }

    fn crash_refusal(&self) -> Refusal {
        let message = "this request has crashed the endpoints that ran it";
        Refusal::with_ran(Code::RequestCrashesEndpoints, self.ran, message)
    }

    /// Adds the result of earlier attempts to a refusal.
    pub(crate) fn with_ran(&self, mut refusal: Refusal) -> Refusal {
        if self.ran != Executed::No {
            refusal.ran = self.ran;
            refusal.code = Code::EndpointFailed;
            refusal.message = self.last_cause.clone().into();
        }
        refusal
    }

    /// Sends the call to the assigned endpoint. `Ok(None)` means that the attempt has failed and
    /// the call may be retried.
    pub(crate) async fn send(
        &mut self,
        placement: Placement,
    ) -> Result<Option<PendingResponse>, Refusal> {
        let Placement { slot, suspect } = placement;
        if !self.entry.may_dispatch(self.call, &slot.endpoint).map_err(|r| self.with_ran(r))? {
            let failure = AttemptFailure {
                ran: Executed::No,
                cause: "the endpoint has left".to_owned(),
                outcome: DispatchOutcome::Abandoned,
                may_have_crashed: false,
                same_endpoint_allowed: false,
            };
            return self.handle_failure(slot, None, failure).await.map(|()| None);
        }
        let claim = self.claim.as_ref().map(|c| c.number);
        let request = self.call.parts.request(&slot, &self.call.request_id, claim);
        let fresh = !self.call.idempotent;
        let address = slot.endpoint.address;
        let run = self.entry.crashes.run_of(&slot.endpoint.name);
        let deadline = self.call.deadline;
        let until = halfway(deadline).min(Instant::now() + REUSED_HEAD_TIMEOUT);
        let pool = &self.entry.pool;
        let may_send = self.entry.permission(self.call, &slot.endpoint);
        let sent = pool.send_if_permitted(address, request, fresh, deadline, until, may_send).await;
        match sent {
            Ok(exchange) => self.handle_head(exchange, slot, run, suspect).await,
            Err(e) => {
                self.handle_failure(slot, run, AttemptFailure::from_send(&e)).await.map(|()| None)
            }
        }
    }

    async fn handle_head(
        &mut self,
        exchange: Exchange,
        slot: Slot,
        run: Option<u64>,
        suspect: Option<SuspectGuard>,
    ) -> Result<Option<PendingResponse>, Refusal> {
        let (response, reuse) = exchange.into_parts();
        let is_delimited = is_delimited(&response);
        let (head, body) = response.into_parts();
        let refused =
            matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if refused && self.call.idempotent {
            let failure = AttemptFailure {
                ran: Executed::Unknown,
                cause: format!("the endpoint refused with status {}", head.status),
                outcome: DispatchOutcome::Refused,
                may_have_crashed: false,
                same_endpoint_allowed: false,
            };
            return self.handle_failure(slot, run, failure).await.map(|()| None);
        }
        if !is_delimited && !is_event_stream(&head.headers) {
            let cause = "nothing tells the end of the answer from a lost connection";
            let error = ResponseError::Truncated(cause.to_owned());
            return self
                .handle_failure(slot, run, AttemptFailure::from_response(&error))
                .await
                .map(|()| None);
        }
        let mut headers = head.headers;
        for name in STRIPPED_HEADERS {
            headers.remove(name);
        }
        let first_byte = slot.elapsed();
        let status = head.status;
        Ok(Some(PendingResponse {
            status,
            headers,
            body,
            reuse,
            slot,
            first_byte,
            run,
            _suspect: suspect,
        }))
    }

    /// Reads the complete response. `Ok(None)` means that the attempt has failed and the call may
    /// be retried.
    pub(crate) async fn collect(
        &mut self,
        pending: PendingResponse,
    ) -> Result<Option<FullResponse>, Refusal> {
        let max = self.entry.limits.max_response;
        match collect(pending.body, max, self.call.deadline).await {
            Ok(body) => {
                pending.reuse.release();
                let tokens = completion_tokens(&body).map(|n| n + self.call.spec.prompt_tokens);
                let first_byte = pending.first_byte;
                pending.slot.finish(DispatchOutcome::Answered { first_byte, tokens });
                Ok(Some(FullResponse { status: pending.status, headers: pending.headers, body }))
            }
            Err(e) => {
                let failure = AttemptFailure::from_response(&e);
                self.handle_failure(pending.slot, pending.run, failure).await.map(|()| None)
            }
        }
    }

    /// Records a failed attempt. Returns the refusal if the call must not be retried.
    async fn handle_failure(
        &mut self,
        slot: Slot,
        run: Option<u64>,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        let endpoint = slot.endpoint.clone();
        log::warn!(
            endpoint = &*endpoint.name,
            request_id = self.call.request_id.to_str().unwrap_or_default(),
            cause = failure.cause.as_str();
            "attempt failed"
        );
        let label = endpoint.name.to_string();
        metrics::counter!("poplarspan_failed_attempts_total", "endpoint" => label).increment(1);
        slot.finish(failure.outcome);
        if !failure.same_endpoint_allowed {
            self.tried.push(endpoint.name.clone());
        }
        self.failures += 1;
        if failure.ran != Executed::No && self.ran != Executed::Yes {
            self.ran = failure.ran;
        }
        self.last_cause = failure.cause;
        if failure.may_have_crashed {
            let call = self.call;
            let fingerprint = call.fingerprint();
            self.entry
                .crashes
                .report_lost_connection(&endpoint, run, fingerprint, call.deadline)
                .await;
        }
        let may_retry = failure.ran == Executed::No || self.call.idempotent;
        let in_time = Instant::now() < self.call.deadline;
        if may_retry && in_time && self.failures < MAX_ATTEMPTS && self.take_retry() {
            return Ok(());
        }
        Err(self.refusal())
    }

    /// Takes a retry from the retry budgets of the team and the instance.
    fn take_retry(&self) -> bool {
        let Some(team) = &self.call.spec.team else { return true };
        let granted = self.entry.retries().try_retry(team);
        if !granted {
            metrics::counter!("poplarspan_retries_denied_total").increment(1);
        }
        granted
    }

    /// Builds the refusal after the last failed attempt.
    fn refusal(&self) -> Refusal {
        let cause = self.last_cause.clone();
        let in_time = Instant::now() < self.call.deadline;
        let code = match (self.call.idempotent, self.ran) {
            (false, Executed::Unknown | Executed::Yes) => Code::OutcomeUnknown,
            _ if !in_time => Code::Deadline,
            _ => Code::EndpointFailed,
        };
        let refusal = Refusal::with_ran(code, self.ran, cause);
        if self.ran == Executed::No || self.call.idempotent {
            return refusal.retry_after(DEFAULT_RETRY_AFTER);
        }
        refusal
    }
}

/// Returns the time at which half of the remaining time has passed.
fn halfway(deadline: Instant) -> Instant {
    let now = Instant::now();
    let half = deadline.saturating_duration_since(now) / 2;
    // Close to the deadline, a short delay must not cause a working connection to be dropped.
    deadline.min(now + half.max(MIN_REUSED_HEAD_TIMEOUT))
}

impl EntryHandler {
    /// Checks that the call may still run, and returns whether it may be sent to this endpoint.
    ///
    /// Repeats the checks of acceptance because the call may have been queued, or the process
    /// suspended, in the meantime.
    fn may_dispatch(&self, call: &PreparedCall, endpoint: &EndpointRef) -> Result<bool, Refusal> {
        may_dispatch(&self.membership, call.credential.as_ref(), endpoint)
    }

    /// Returns the same check as a closure, to be called right before the first byte is sent.
    fn permission(&self, call: &PreparedCall, endpoint: &EndpointRef) -> SendPermission {
        let (membership, credential) = (self.membership.clone(), call.credential.clone());
        let endpoint = endpoint.clone();
        Arc::new(move || {
            matches!(may_dispatch(&membership, credential.as_ref(), &endpoint), Ok(true))
        })
    }
}

fn may_dispatch(
    membership: &Membership,
    credential: Option<&Credential>,
    endpoint: &EndpointRef,
) -> Result<bool, Refusal> {
    let snapshot = membership.load();
    if let Some(credential) = credential {
        check_lease(&snapshot)?;
        if !credential.is_valid(&snapshot.objects) {
            return Err(Refusal::not_run(Code::Unauthorized, "the key was withdrawn"));
        }
    }
    Ok(snapshot.objects.endpoint(&endpoint.name).is_some_and(|e| {
        let zone_in = snapshot.objects.zone(&e.zone).is_some_and(|z| z.state == ZoneState::In);
        !e.leaving && zone_in && e.address == endpoint.address
    }))
}

/// Fails if the instance has no valid lease.
pub(crate) fn check_lease(snapshot: &Snapshot) -> Result<(), Refusal> {
    if snapshot.lease_valid() {
        return Ok(());
    }
    Err(Refusal::not_run(Code::NoLease, "this instance is cut off from the control replicas")
        .retry_after(DEFAULT_RETRY_AFTER))
}
