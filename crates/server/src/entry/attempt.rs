//! Tries a call at one endpoint after another, as far as it may run again.

mod hedge;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use poplarspan_node::Permission;
use poplarspan_objects::{Name, ZoneState};
use poplarspan_policy::containment::{Admission, Fingerprint};
use tokio::time::Instant;

use super::{
    auth::{self, Credential},
    call::ProgramCall,
    handler::Entry,
    program::{Claim, is_event_stream},
    record::completion_tokens,
    refusal::{Code, Ran, Refusal},
};
use crate::{
    crashes::{Suspect, wait_admission},
    dispatch::{AnswerError, Exchange, REQUEST_ID_HEADER, Reuse, SendError, collect, has_end},
    membership::{Known, LEASE, Membership},
    schedule::{CallSpec, Chosen, DispatchOutcome, Slot},
    telemetry,
};

/// Endpoints that one call may be sent to.
const MAX_ATTEMPTS: usize = 3;
/// Header of requests to engines that names the program, for its memory to be released later.
const ENGINE_PROGRAM_HEADER: HeaderName = HeaderName::from_static("x-program");
/// Header of requests to engines that names the claim of the ledger, for orders that concern it.
const ENGINE_CLAIM_HEADER: HeaderName = HeaderName::from_static("x-claim");
/// Header of requests to engines that orders the calls that wait there, lowest first.
const ENGINE_PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Longest time in which the record of a crash reaches the other instances: after that an instance
/// without the record has lost its lease.
const RECORD_DELAY: Duration = LEASE;
/// Time for the head of an answer on a connection that was used before.
const REUSED_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const SHORTEST_PATIENCE: Duration = Duration::from_millis(250);
const SUSPECT_PAUSE: Duration = Duration::from_millis(20);
const COME_BACK: Duration = Duration::from_secs(1);

/// Headers that belong to one connection, or that only concern this system.
const NOT_FORWARDED: [&str; 12] = [
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

/// A request as it goes to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Parts {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Parts {
    /// Prepares a caller's request: without the key and the headers of the caller's connection.
    pub(crate) fn new(method: Method, path: String, mut headers: HeaderMap, body: Bytes) -> Self {
        auth::strip(&mut headers);
        for name in NOT_FORWARDED {
            headers.remove(name);
        }
        Self { method, path, headers, body }
    }

    /// Names the program to the endpoint, so that orders can refer to what it holds for it.
    pub(crate) fn with_program(
        mut self,
        credential: Option<&Credential>,
        program: Option<&ProgramCall>,
    ) -> Self {
        self.headers.remove(ENGINE_PROGRAM_HEADER);
        if let (Some(credential), Some(call)) = (credential, program) {
            let name = format!("{}/{}", credential.team, call.program);
            let value = HeaderValue::from_str(&name).expect("checked names are plain ASCII");
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
        // A caller must not set its own priority.
        request.headers_mut().remove(ENGINE_PRIORITY_HEADER);
        if let Some(priority) = slot.priority {
            request.headers_mut().insert(ENGINE_PRIORITY_HEADER, HeaderValue::from(priority));
        }
        request
    }
}

/// A call that is ready to be sent.
pub(crate) struct Prepared {
    pub(crate) parts: Parts,
    /// None on open routes.
    pub(crate) credential: Option<Credential>,
    pub(crate) spec: Arc<CallSpec>,
    /// Whether the call may run more than once.
    pub(crate) idempotent: bool,
    pub(crate) request_id: HeaderValue,
    pub(crate) deadline: Instant,
}

impl Prepared {
    /// Identifies the request among those that crash endpoints.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::new(&self.parts.path, &self.parts.body)
    }
}

/// A whole answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer whose head has arrived, at an endpoint that keeps the place of the call.
pub(crate) struct Begun {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) reuse: Reuse,
    pub(crate) slot: Slot,
    /// Time from the dispatch to the head of the answer.
    pub(crate) first_byte: Duration,
    /// Run of the endpoint when the call was sent.
    pub(crate) run: Option<u64>,
    pub(crate) _suspect: Option<Suspect>,
}

/// A place at an endpoint, and the reservation of a request that has crashed another one.
pub(crate) struct Place {
    pub(crate) slot: Slot,
    suspect: Option<Suspect>,
}

/// How one attempt went wrong.
struct Failed {
    ran: Ran,
    cause: String,
    outcome: DispatchOutcome,
    /// The connection was lost while the endpoint had the request.
    may_have_crashed: bool,
    /// The endpoint may be tried again over another connection.
    may_return: bool,
}

impl Failed {
    fn from_send(error: &SendError) -> Self {
        let (ran, outcome) = match error {
            SendError::NotPermitted => (Ran::No, DispatchOutcome::Abandoned),
            SendError::NotSent(_) => (Ran::No, DispatchOutcome::Failed),
            SendError::Lost(_) | SendError::Silent => (Ran::Unknown, DispatchOutcome::Failed),
            // The connection was at fault, and the endpoint may be well.
            SendError::SilentReused => (Ran::Unknown, DispatchOutcome::Abandoned),
            SendError::Crossed => (Ran::Unknown, DispatchOutcome::Failed),
        };
        let may_have_crashed = matches!(error, SendError::Lost(_));
        let may_return = matches!(error, SendError::SilentReused);
        Self { ran, cause: error.to_string(), outcome, may_have_crashed, may_return }
    }

    fn from_answer(error: &AnswerError) -> Self {
        let may_have_crashed = matches!(error, AnswerError::Truncated(_));
        let (ran, outcome) = (Ran::Yes, DispatchOutcome::Failed);
        Self { ran, cause: error.to_string(), outcome, may_have_crashed, may_return: false }
    }
}

/// The attempts of one call so far.
pub(crate) struct Attempts<'a> {
    entry: &'a Entry,
    call: &'a Prepared,
    tried: Vec<Name>,
    /// Attempts that have failed.
    sent: usize,
    /// What is known of all attempts together.
    ran: Ran,
    last_cause: String,
    /// The claim under which the call runs, if the ledger records it.
    pub(crate) claim: Option<Claim>,
}

impl<'a> Attempts<'a> {
    pub(crate) fn new(entry: &'a Entry, call: &'a Prepared) -> Self {
        if let Some(team) = &call.spec.team {
            entry.retries().record_attempt(team);
        }
        let (ran, last_cause) = (Ran::No, String::new());
        Self { entry, call, tried: Vec::new(), sent: 0, ran, last_cause, claim: None }
    }

    /// Waits for a place at an endpoint that was not tried yet.
    pub(crate) async fn place(&self) -> Result<Place, Refusal> {
        let crashes = &self.entry.crashes;
        if crashes.is_empty() {
            return Ok(Place { slot: self.slot(&self.tried).await?, suspect: None });
        }
        let fingerprint = self.call.fingerprint();
        let mut skipped = Vec::new();
        loop {
            let crashed = wait_admission(crashes, fingerprint, self.call.deadline).await;
            let crashed = crashed.ok_or_else(|| self.crashes_endpoints())?;
            if crashed.is_empty() {
                return Ok(Place { slot: self.slot(&self.tried).await?, suspect: None });
            }
            let unreached = self.tried.last().filter(|name| !crashed.contains(name));
            if unreached.is_some() && !self.settled(fingerprint, &crashed).await {
                continue;
            }
            let passed: Vec<&Name> = self.tried.iter().chain(&crashed).chain(&skipped).collect();
            let mut order = crashes.order(&self.call.spec.group, fingerprint);
            let Some(at) = order.iter().position(|name| !passed.contains(&name)) else {
                let message = "no endpoint is left for this call";
                let refusal = Refusal::not_run(Code::Unavailable, message);
                return Err(self.with_ran(refusal.retry_after(COME_BACK)));
            };
            let chosen = order.remove(at);
            let slot = match self.slot(&order).await {
                Ok(slot) => slot,
                Err(refusal) if refusal.code == Code::Unavailable => {
                    // It does not answer, for as long as its record may have been on the way.
                    skipped.push(chosen);
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            // Two requests that have crashed endpoints never run side by side: if the endpoint
            // crashes again, it must be clear which of them did it.
            if let Some(suspect) = crashes.begin_suspect(&slot.endpoint.name, fingerprint) {
                return Ok(Place { slot, suspect: Some(suspect) });
            }
            drop(slot);
            tokio::time::sleep(SUSPECT_PAUSE).await;
        }
    }

    /// Waits until another instance that saw the same endpoint crash has had time to say so; false
    /// as soon as one has.
    async fn settled(&self, fingerprint: Fingerprint, crashed: &[Name]) -> bool {
        let until = self.call.deadline.min(Instant::now() + RECORD_DELAY);
        while Instant::now() < until {
            match self.entry.crashes.admission(fingerprint) {
                Admission::Excluding(endpoints) if endpoints.len() == crashed.len() => {}
                _ => return false,
            }
            tokio::time::sleep(SUSPECT_PAUSE).await;
        }
        true
    }

    async fn slot(&self, avoid: &[Name]) -> Result<Slot, Refusal> {
        let started = Instant::now();
        let placed = self.entry.scheduler.acquire(&self.call.spec, avoid).await;
        telemetry::waited(self.call.spec.team.as_ref(), started.elapsed());
        placed.map_err(|refusal| self.with_ran(refusal))
    }

    fn crashes_endpoints(&self) -> Refusal {
        let message = "this request has crashed the endpoints that ran it";
        Refusal::with_ran(Code::RequestCrashesEndpoints, self.ran, message)
    }

    /// Says of a refusal what is known of the attempts before it.
    pub(crate) fn with_ran(&self, mut refusal: Refusal) -> Refusal {
        if self.ran != Ran::No {
            refusal.ran = self.ran;
            refusal.code = Code::EndpointFailed;
            refusal.message = self.last_cause.clone().into();
        }
        refusal
    }

    /// Sends the call to the endpoint of `slot`. `Ok(None)` means that it may be tried elsewhere.
    pub(crate) async fn send(&mut self, place: Place) -> Result<Option<Begun>, Refusal> {
        let Place { slot, suspect } = place;
        if !self.entry.may_dispatch(self.call, &slot.endpoint).map_err(|r| self.with_ran(r))? {
            let failed = Failed {
                ran: Ran::No,
                cause: "the endpoint has left".to_owned(),
                outcome: DispatchOutcome::Abandoned,
                may_have_crashed: false,
                may_return: false,
            };
            return self.failed(slot, None, failed).await.map(|()| None);
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
        let sent = pool.send_watched(address, request, fresh, deadline, until, may_send).await;
        match sent {
            Ok(exchange) => self.head(exchange, slot, run, suspect).await,
            Err(e) => self.failed(slot, run, Failed::from_send(&e)).await.map(|()| None),
        }
    }

    async fn head(
        &mut self,
        exchange: Exchange,
        slot: Slot,
        run: Option<u64>,
        suspect: Option<Suspect>,
    ) -> Result<Option<Begun>, Refusal> {
        let (response, reuse) = exchange.into_parts();
        let has_end = has_end(&response);
        let (head, body) = response.into_parts();
        let refused =
            matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if refused && self.call.idempotent {
            let failed = Failed {
                ran: Ran::Unknown,
                cause: format!("the endpoint refused with status {}", head.status),
                outcome: DispatchOutcome::Refused,
                may_have_crashed: false,
                may_return: false,
            };
            return self.failed(slot, run, failed).await.map(|()| None);
        }
        if !has_end && !is_event_stream(&head.headers) {
            let cause = "nothing tells the end of the answer from a lost connection";
            let error = AnswerError::Truncated(cause.to_owned());
            return self.failed(slot, run, Failed::from_answer(&error)).await.map(|()| None);
        }
        let mut headers = head.headers;
        for name in NOT_FORWARDED {
            headers.remove(name);
        }
        let first_byte = slot.elapsed();
        let status = head.status;
        Ok(Some(Begun { status, headers, body, reuse, slot, first_byte, run, _suspect: suspect }))
    }

    /// Reads the answer whole. `Ok(None)` means that the call may be tried elsewhere.
    pub(crate) async fn collect(&mut self, begun: Begun) -> Result<Option<Answer>, Refusal> {
        let max = self.entry.limits.max_answer;
        match collect(begun.body, max, self.call.deadline).await {
            Ok(body) => {
                begun.reuse.finish();
                let tokens = completion_tokens(&body).map(|n| n + self.call.spec.prompt_tokens);
                let first_byte = begun.first_byte;
                begun.slot.finish(DispatchOutcome::Answered { first_byte, tokens });
                Ok(Some(Answer { status: begun.status, headers: begun.headers, body }))
            }
            Err(e) => {
                let failed = Failed::from_answer(&e);
                self.failed(begun.slot, begun.run, failed).await.map(|()| None)
            }
        }
    }

    /// Notes a failure; an error when the call may not be tried again.
    async fn failed(
        &mut self,
        slot: Slot,
        run: Option<u64>,
        failed: Failed,
    ) -> Result<(), Refusal> {
        let chosen = slot.endpoint.clone();
        let endpoint = chosen.name.clone();
        log::warn!(
            endpoint = &*endpoint,
            request_id = self.call.request_id.to_str().unwrap_or_default(),
            cause = failed.cause.as_str();
            "attempt failed"
        );
        metrics::counter!("poplarspan_failed_attempts_total", "endpoint" => endpoint.to_string())
            .increment(1);
        slot.finish(failed.outcome);
        if !failed.may_return {
            self.tried.push(endpoint);
        }
        self.sent += 1;
        if failed.ran != Ran::No && self.ran != Ran::Yes {
            self.ran = failed.ran;
        }
        self.last_cause = failed.cause;
        if failed.may_have_crashed {
            let call = self.call;
            let fingerprint = call.fingerprint();
            self.entry.crashes.note_lost(&chosen, run, fingerprint, call.deadline).await;
        }
        let may_repeat = failed.ran == Ran::No || self.call.idempotent;
        let in_time = Instant::now() < self.call.deadline;
        if may_repeat && in_time && self.sent < MAX_ATTEMPTS && self.take_retry() {
            return Ok(());
        }
        Err(self.refusal())
    }

    /// Takes a retry from the budgets of the team and the instance.
    fn take_retry(&self) -> bool {
        let Some(team) = &self.call.spec.team else { return true };
        let granted = self.entry.retries().try_retry(team);
        if !granted {
            metrics::counter!("poplarspan_retries_denied_total").increment(1);
        }
        granted
    }

    /// The final answer after the last failure.
    fn refusal(&self) -> Refusal {
        let cause = self.last_cause.clone();
        let in_time = Instant::now() < self.call.deadline;
        let code = match (self.call.idempotent, self.ran) {
            (false, Ran::Unknown | Ran::Yes) => Code::OutcomeUnknown,
            _ if !in_time => Code::Deadline,
            _ => Code::EndpointFailed,
        };
        let refusal = Refusal::with_ran(code, self.ran, cause);
        if self.ran == Ran::No || self.call.idempotent {
            return refusal.retry_after(COME_BACK);
        }
        refusal
    }
}

/// The middle of the time that is left.
fn halfway(deadline: Instant) -> Instant {
    let now = Instant::now();
    let half = deadline.saturating_duration_since(now) / 2;
    // Shortly before the deadline a working connection must not be given up for a moment's delay.
    deadline.min(now + half.max(SHORTEST_PATIENCE))
}

impl Entry {
    /// Checks that the call may still run, and returns whether it may go to this endpoint.
    ///
    /// The call may have waited, and the process may have been frozen, since it was accepted.
    fn may_dispatch(&self, call: &Prepared, endpoint: &Chosen) -> Result<bool, Refusal> {
        may_dispatch(&self.membership, call.credential.as_ref(), endpoint)
    }

    /// The same check, made when the first byte is about to leave.
    fn permission(&self, call: &Prepared, endpoint: &Chosen) -> Permission {
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
    endpoint: &Chosen,
) -> Result<bool, Refusal> {
    let known = membership.load();
    if let Some(credential) = credential {
        check_lease(&known)?;
        if !credential.holds(&known.objects) {
            return Err(Refusal::not_run(Code::Unauthorized, "the key was withdrawn"));
        }
    }
    Ok(known.objects.endpoint(&endpoint.name).is_some_and(|e| {
        let zone_in = known.objects.zone(&e.zone).is_some_and(|z| z.state == ZoneState::In);
        !e.leaving && zone_in && e.address == endpoint.address
    }))
}

/// Refuses when this instance may not act on its objects.
pub(crate) fn check_lease(known: &Known) -> Result<(), Refusal> {
    if known.lease_valid() {
        return Ok(());
    }
    Err(Refusal::not_run(Code::NoLease, "this instance is cut off from the control replicas")
        .retry_after(COME_BACK))
}
