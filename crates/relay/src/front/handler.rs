//! Admits calls and answers them.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use poplarspan_policy::Name;
use tokio::time::Instant;

use super::{
    Front,
    admission::TurnTimer,
    attempt::{Attempts, StartedResponse},
    body::{self, ResponseBody},
    call::{Call, CallBody},
    endpoints::{ChosenEndpoint, Outcome, blocks},
    events::EventReader,
    memory::{MemoryReservation, ReadError},
    placement::PlacementRequest,
    programs::{OpenTurn, origins::Origin},
    rates::Token,
    recording::TurnRecording,
    refusal::Refusal,
    schedule::Slot,
    stream::{StreamRelay, tokens_per_event},
};
use crate::{CallHead, ProgramHead, Publication, Route, RouteKind, Team};

/// Maximum size of a response that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to retry while the front holds no lease; about the length of an election.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// When to retry a call that another front can serve.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(10);
/// Cost of a call to a plain service, in tokens.
const SERVICE_COST: u64 = 64;
/// Number of prompt tokens that cost as much as one generated token; most of a prompt is usually
/// cached.
const PROMPT_DISCOUNT: u64 = 16;
/// Engine priority of the most urgent calls. More urgent values are reserved.
const FIRST_URGENCY: u8 = 3;
/// Difference in engine priority between two route priorities.
const URGENCY_STEP: u8 = 2;
const LEAST_URGENCY: u8 = 9;
/// One in this many successful calls is logged. Other calls are always logged.
const LOG_SAMPLE: u64 = 16;

/// Hop-by-hop headers.
const HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Metrics and log line of a call, written when dropped.
pub(crate) struct CallRecord {
    id: Name,
    program: Option<Name>,
    route: Option<Name>,
    team: Option<Name>,
    endpoint: Option<ChosenEndpoint>,
    version: u64,
    lease_left: Duration,
    status: u16,
    ran: u32,
    unsent: u32,
    /// Time until the call was admitted: its body, its rate token and the stores.
    admitted: Duration,
    waited: Duration,
    /// Time until the first event of a stream, or the response to another call, could be passed on.
    responded: Option<Duration>,
    started: Instant,
    outcome: &'static str,
}

impl CallRecord {
    fn new(head: &CallHead, started: Instant) -> Self {
        Self {
            id: head.id.clone(),
            program: head.program.as_ref().map(|p| p.id.clone()),
            route: None,
            team: None,
            endpoint: None,
            version: 0,
            lease_left: Duration::ZERO,
            status: 0,
            ran: 0,
            unsent: 0,
            admitted: Duration::ZERO,
            waited: Duration::ZERO,
            responded: None,
            started,
            outcome: "caller_gone",
        }
    }

    /// Sets the outcome of the call.
    pub(crate) fn finish(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Records that the first part of the response can be passed on.
    pub(crate) fn note_response(&mut self) {
        self.responded.get_or_insert(self.started.elapsed());
    }

    fn attempts(&mut self, attempts: &Attempts) {
        self.endpoint = attempts.last.clone();
        (self.ran, self.unsent, self.waited) = (attempts.ran, attempts.unsent, attempts.waited);
    }

    fn is_logged(&self) -> bool {
        if !matches!(self.outcome, "answered" | "whole") {
            return true;
        }
        let digest = blake3::hash(self.id.as_bytes());
        u64::from(digest.as_bytes()[0]) % LOG_SAMPLE == 0
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let took = self.started.elapsed();
        let outcome = self.outcome;
        metrics::histogram!("poplarspan_relay_call_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        metrics::histogram!("poplarspan_relay_admission_seconds")
            .record(self.admitted.as_secs_f64());
        metrics::counter!("poplarspan_relay_calls_total", "outcome" => outcome).increment(1);
        if !self.is_logged() {
            return;
        }
        let name = |name: &Option<Name>| name.as_deref().unwrap_or("").to_owned();
        let (program, route, team) = (name(&self.program), name(&self.route), name(&self.team));
        let endpoint = name(&self.endpoint.as_ref().map(|e| e.name.clone()));
        let software = name(&self.endpoint.as_ref().and_then(|e| e.software.clone()));
        log::info!(
            id = &*self.id,
            program = program.as_str(),
            route = route.as_str(),
            team = team.as_str(),
            endpoint = endpoint.as_str(),
            software = software.as_str(),
            version = self.version,
            lease_left_ms = self.lease_left.as_millis() as u64,
            status = self.status,
            ran = self.ran,
            unsent = self.unsent,
            admitted_ms = self.admitted.as_millis() as u64,
            waited_ms = self.waited.as_millis() as u64,
            responded_ms = self.responded.map(|d| d.as_millis() as u64),
            took_ms = took.as_millis() as u64,
            outcome;
            "call"
        );
    }
}

impl Front {
    /// Handles a call.
    pub(crate) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let started = Instant::now();
        let (parts, body) = req.into_parts();
        let mut answer = match self.protocol.parse_call(&parts) {
            Ok(head) => {
                let record = CallRecord::new(&head, started);
                self.clone().answer(parts, head, body, record).await
            }
            Err(e) => {
                let error = e.to_string();
                log::info!(error = error.as_str(); "malformed request");
                self.refuse(&Refusal::new(StatusCode::BAD_REQUEST, "malformed", error))
            }
        };
        if self.fleet.is_draining() {
            let close = header::HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    async fn answer(
        self: Arc<Self>,
        parts: request::Parts,
        head: CallHead,
        body: Incoming,
        mut record: CallRecord,
    ) -> Response<ResponseBody> {
        let admitted = self.admit(parts, head, body, &mut record).await;
        record.admitted = record.started.elapsed();
        let admitted = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                record.status = refusal.status.as_u16();
                record.finish(refusal.code);
                return self.refuse(&refusal);
            }
        };
        self.run(admitted, record).await
    }

    fn refuse(&self, refusal: &Refusal) -> Response<ResponseBody> {
        metrics::counter!("poplarspan_relay_refusals_total", "code" => refusal.code).increment(1);
        let text = self.protocol.error_body(&refusal.message);
        let mut answer = Response::new(body::full(text));
        *answer.status_mut() = refusal.status;
        if let Some(after) = refusal.retry_after {
            let (name, value) = self.protocol.retry_after_header(after);
            answer.headers_mut().insert(name, value);
        }
        answer
    }

    /// Checks that a call may run, and determines its team, deadline and turn.
    async fn admit(
        self: &Arc<Self>,
        parts: request::Parts,
        head: CallHead,
        body: Incoming,
        record: &mut CallRecord,
    ) -> Result<AdmittedCall, Refusal> {
        let view = self.fleet.view();
        let Some(publication) = view.publication.clone() else {
            return Err(Refusal::retry_later(
                "not_ready",
                "nothing has been published",
                RETRY_AFTER,
            ));
        };
        record.version = publication.version;
        let Some(lease_left) = self.fleet.lease_left() else {
            return Err(Refusal::retry_later("no_lease", "the front holds no lease", RETRY_AFTER));
        };
        record.lease_left = lease_left;
        let Some(route) = publication.route(&head.host, parts.uri.path()).cloned() else {
            let refusal = Refusal::new(StatusCode::NOT_FOUND, "unknown_route", "no such route");
            return Err(self.unless_outdated(refusal));
        };
        record.route = Some(route.name.clone());
        let team = team_of(&publication, &route, &head).map_err(|r| self.unless_outdated(r))?;
        let team = team.cloned();
        record.team = team.as_ref().map(|t| t.name.clone());
        let time = head.time_left.map_or(route.timeout, |left| left.min(route.timeout));
        let deadline = record.started + time;
        if self.fleet.ends_at().is_some_and(|end| deadline > end) {
            let message = "the instance ends before the call could";
            return Err(Refusal::retry_later("shutting_down", message, RETRY_ELSEWHERE_AFTER));
        }
        let own_parts = || self.schedule.own_parts(&head.prompt);
        let timer = self.admission.admit(&route, &head, team.as_ref(), own_parts)?;
        let (body, mut reservation) =
            self.read_body(body, publication.limits.max_body, deadline).await?;
        let origin = self.origin(&route, &head, team.as_ref(), deadline).await?;
        let token = match &team {
            Some(team) => {
                let program = head.program.as_ref().map(|p| &p.id);
                self.rates.admit(team, program, deadline).await?
            }
            None => Token::Free,
        };
        let begun = self.begin_turn(&route, &head, team.as_ref(), body, deadline).await;
        let (turn, recording, body) = match begun {
            Ok(begun) => begun,
            Err(refusal) => {
                // Calls of programs that have spent their budget must not use up the team's rate.
                self.rates.give_back(token);
                return Err(refusal);
            }
        };
        if let Err(e) = reservation.resize(body.memory()) {
            self.rates.give_back(token);
            return Err(Refusal::retry_later("no_memory", e.to_string(), RETRY_AFTER));
        }
        let body = (body, reservation);
        let (team, service) = (team.as_ref(), origin.as_ref().map(|o| &o.service));
        let call = self.call(parts, head, body, route, team, service, deadline, &publication);
        let software = origin.map(|o| o.software);
        Ok(AdmittedCall { call: Arc::new(call), turn, recording, software, timer })
    }

    /// Where the stream began that the call resumes; `None` if it resumes none.
    async fn origin(
        &self,
        route: &Route,
        head: &CallHead,
        team: Option<&Team>,
        deadline: Instant,
    ) -> Result<Option<Origin>, Refusal> {
        let is_stream = matches!(route.kind, RouteKind::Stream { .. });
        if !is_stream || head.last_event.is_none() {
            return Ok(None);
        }
        let team = team.map_or("", |t| &*t.name);
        let origin = self.origins.find(team, head.resumes.as_ref(), deadline).await?;
        if !route.has_service(&origin.service) {
            let message = "the route no longer has the service that began the stream";
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "service_gone", message);
            return Err(refusal);
        }
        Ok(Some(origin))
    }

    /// The refusal, or a temporary one if a newer publication may be in force, under which the call
    /// could be served.
    fn unless_outdated(&self, refusal: Refusal) -> Refusal {
        if self.fleet.is_view_current() {
            return refusal;
        }
        let message = "the front may not have the publication in force";
        Refusal::retry_later("outdated_view", message, RETRY_AFTER)
    }

    #[allow(clippy::too_many_arguments)]
    fn call(
        &self,
        parts: request::Parts,
        head: CallHead,
        (body, reservation): (CallBody, MemoryReservation),
        route: Route,
        team: Option<&Team>,
        service: Option<&Name>,
        deadline: Instant,
        publication: &Publication,
    ) -> Call {
        let conversation = affinity_of(&head);
        let hash = hash_name(conversation.as_ref().unwrap_or(&head.id));
        let service = service.unwrap_or_else(|| route.service(hash)).clone();
        // The prompts of sub-agents begin with that of their parent, so all conversations of a
        // program go to one endpoint.
        let program = head.program.as_ref().filter(|_| !head.prompt.is_empty()).map(|p| &p.id);
        let affinity = program.or(conversation.as_ref()).map(|name| hash_name(name));
        let is_engine = publication.service(&service).is_some_and(|s| s.engine.is_some());
        let priority = team.and_then(|t| t.priority).unwrap_or(route.priority);
        let urgency = FIRST_URGENCY.saturating_add(priority.saturating_mul(URGENCY_STEP));
        let is_late = head.program.as_ref().is_some_and(|p| p.time_left == Some(Duration::ZERO));
        let urgency = match self.admission.is_enabled() {
            true if is_late => LEAST_URGENCY,
            // Late programs go after all that can still be in time.
            true => urgency.min(LEAST_URGENCY - 1),
            false => urgency.min(LEAST_URGENCY),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let program_id = head.program.as_ref().map(|p| &p.id);
        let split_key = program_id.or(conversation.as_ref()).unwrap_or(&head.id).clone();
        let placement = PlacementRequest {
            service,
            route: route.name.clone(),
            split_key,
            team: team.map_or_else(|| "".into(), |t| t.name.clone()),
            program: program_id.cloned(),
            conversation,
            affinity,
            parts: head.prompt.as_slice().into(),
            blocks: blocks(&head.prompt).into(),
            prompt_tokens: head.prompt.iter().map(|p| p.tokens).sum(),
            may_repeat: route.may_run_again() && route.max_endpoints > 1,
            cost: cost(&head),
            deadline: self.clock.now() + left,
        };
        Call {
            method: parts.method,
            uri: parts.uri.path_and_query().map_or_else(|| parts.uri.clone(), |p| p.clone().into()),
            headers: parts.headers,
            body,
            route,
            team: team.map(|t| t.name.clone()),
            placement: Arc::new(placement),
            urgency: is_engine.then_some(urgency),
            deadline,
            head,
            _memory: reservation,
            fingerprint: OnceLock::new(),
        }
    }

    async fn run(
        self: Arc<Self>,
        admitted: AdmittedCall,
        mut record: CallRecord,
    ) -> Response<ResponseBody> {
        let mut attempts = Attempts::new(self.clone(), admitted.call.clone());
        if let Some(software) = &admitted.software {
            attempts.restrict_to(software.clone());
        }
        let refusal = loop {
            let started = attempts.next(None).await;
            record.attempts(&attempts);
            let started = match started {
                Ok(begun) => begun,
                Err(refusal) => break refusal,
            };
            record.status = started.parts.status.as_u16();
            let is_stream = matches!(admitted.call.route.kind, RouteKind::Stream { .. });
            if is_stream && started.parts.status.is_success() {
                return self.stream(admitted, attempts, started, record);
            }
            match self.collect(started, admitted.call.deadline).await {
                Ok(answer) => {
                    attempts.answered();
                    record.note_response();
                    record.finish("answered");
                    return answer;
                }
                Err((slot, cause)) => attempts.failed(slot, &cause),
            }
            if !attempts.may_retry() {
                break attempts.unknown_outcome();
            }
        };
        debug_assert!(attempts.ran == 0 || !refusal.guarantees_not_run());
        record.status = refusal.status.as_u16();
        record.finish(refusal.code);
        self.refuse(&refusal)
    }

    /// Reads a complete response. On failure returns the slot and the cause.
    async fn collect(
        &self,
        started: StartedResponse,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, (Slot, String)> {
        let StartedResponse { parts, body, reuse, slot } = started;
        match self.memory.collect(body, MAX_ANSWER_BYTES, deadline).await {
            Ok((body, reservation)) => {
                reuse.release();
                slot.finish(Outcome::Answered);
                let mut answer = Response::new(body::reserved(body, reservation));
                *answer.status_mut() = parts.status;
                *answer.headers_mut() = end_to_end(&parts.headers);
                answer.headers_mut().remove(header::CONTENT_LENGTH);
                Ok(answer)
            }
            Err(e) => Err((slot, e.to_string())),
        }
    }

    /// Reads the body of a call.
    async fn read_body(
        &self,
        body: Incoming,
        max: usize,
        deadline: Instant,
    ) -> Result<(Bytes, MemoryReservation), Refusal> {
        let until = deadline.min(Instant::now() + BODY_TIMEOUT);
        self.memory.collect(body, max, until).await.map_err(|e| {
            let message = e.to_string();
            match e {
                ReadError::TooLarge(_) => {
                    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
                }
                ReadError::OutOfMemory => Refusal::retry_later("no_memory", message, RETRY_AFTER),
                ReadError::Interrupted(_) => {
                    Refusal::new(StatusCode::BAD_REQUEST, "broken_body", message)
                }
                ReadError::Timeout => {
                    Refusal::new(StatusCode::REQUEST_TIMEOUT, "late_body", message)
                }
            }
        })
    }

    /// Starts relaying a stream.
    fn stream(
        self: &Arc<Self>,
        admitted: AdmittedCall,
        attempts: Attempts,
        started: StartedResponse,
        record: CallRecord,
    ) -> Response<ResponseBody> {
        let AdmittedCall { call, turn, recording, timer, .. } = admitted;
        if call.head.last_event.is_some() {
            let endpoint = &started.slot.endpoint;
            log::info!(
                id = &*call.head.id,
                resumes = call.head.resumes.as_deref().unwrap_or(""),
                endpoint = &*endpoint.name,
                software = endpoint.software.as_deref().unwrap_or("");
                "caller resumes a stream"
            );
            metrics::counter!("poplarspan_relay_resumed_streams_total").increment(1);
        }
        let mut answer = Response::new(());
        *answer.status_mut() = started.parts.status;
        *answer.headers_mut() = end_to_end(&started.parts.headers);
        answer.headers_mut().remove(header::CONTENT_LENGTH);
        let relay = StreamRelay {
            attempts,
            response: Some(started),
            reader: EventReader::default(),
            last_event: call.head.last_event.clone(),
            events: 0,
            began_at: None,
            tokens_per_event: tokens_per_event(self, &call.placement.service),
            turn,
            recording,
            timer,
            record,
            is_done: false,
            reservation: self.memory.reserve(),
        };
        answer.map(|()| relay.into_body())
    }
}

/// A call that has been admitted.
struct AdmittedCall {
    call: Arc<Call>,
    turn: Option<OpenTurn>,
    recording: Option<TurnRecording>,
    /// The software version that began the stream which the call resumes.
    software: Option<Name>,
    /// Measures the turn, if the call is one.
    timer: Option<TurnTimer>,
}

/// Returns the headers of a response without the hop-by-hop ones.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}

/// The team whose key a call carries; `None` if no key is needed.
fn team_of<'a>(
    publication: &'a Publication,
    route: &Route,
    head: &CallHead,
) -> Result<Option<&'a Team>, Refusal> {
    if route.open || !publication.needs_keys() {
        return Ok(None);
    }
    let refusal =
        |message: &'static str| Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key", message);
    let Some(key) = &head.key else { return Err(refusal("a key is needed")) };
    publication.team_of(key).map(Some).ok_or_else(|| refusal("the key is unknown"))
}

/// Key that keeps related calls at one endpoint: the conversation, or for plain services the
/// affinity key.
fn affinity_of(head: &CallHead) -> Option<Name> {
    let conversation = |p: &ProgramHead| p.conversation.clone().unwrap_or_else(|| p.id.clone());
    if head.prompt.is_empty() {
        return head.affinity.clone();
    }
    head.program.as_ref().map(conversation)
}

/// Hash of a name that is the same at all fronts.
fn hash_name(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*digest.as_bytes().first_chunk().expect("32 bytes"))
}

/// Estimated service cost in generated tokens.
fn cost(head: &CallHead) -> u64 {
    if head.prompt.is_empty() {
        return SERVICE_COST;
    }
    u64::from(head.prompt_tokens) / PROMPT_DISCOUNT + u64::from(head.max_output_tokens)
}
