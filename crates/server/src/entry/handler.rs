//! Request handling: validation, admission and execution of calls.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use poplarspan_objects::{ObjectSet, Route, RouteKind};
use poplarspan_policy::retry::RetryBudget;
use rand::Rng;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::{
    attempt::{Attempts, PreparedCall, RequestParts, check_lease},
    auth::Credential,
    body::{self, ResponseBody},
    builtin::BuiltinPath,
    call::CallHead,
    chat::{ChatRequest, after_last_assistant_message},
    refusal::{Code, Executed, Refusal},
};
use crate::{
    admission::Admission,
    config::Limits,
    crashes::CrashRegistry,
    dispatch::{Pool, REQUEST_ID_HEADER},
    membership::Membership,
    programs::Ledger,
    schedule::{CallSpec, Scheduler, Target},
    telemetry,
};

/// Unit of memory accounting for open calls.
pub(crate) const MEMORY_UNIT_BYTES: usize = 1024;

/// Retry delay while no objects are known, a few heartbeat intervals.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State for serving calls.
pub(crate) struct EntryHandler {
    pub(crate) instance: poplarspan_objects::Name,
    pub(crate) membership: Arc<Membership>,
    pub(crate) limits: Limits,
    pub(crate) pool: Arc<Pool>,
    pub(crate) admission: Arc<dyn Admission>,
    pub(crate) scheduler: Arc<dyn Scheduler>,
    pub(crate) ledger: Arc<dyn Ledger>,
    pub(crate) crashes: Arc<CrashRegistry>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) incarnation: Arc<std::sync::atomic::AtomicU64>,
    pub(crate) attempts: std::sync::atomic::AtomicU64,
    pub(crate) memory: Arc<Semaphore>,
    pub(crate) draining: Arc<AtomicBool>,
}

/// A call whose caller, route and body are valid.
pub(crate) struct AcceptedCall {
    pub(crate) prepared: PreparedCall,
    pub(crate) head: CallHead,
    pub(crate) stream: bool,
    /// Reserved memory of the call, released on drop.
    pub(crate) _memory: OwnedSemaphorePermit,
}

impl AcceptedCall {
    /// Returns the part of the request that is stored in the program's history. Chat callers send
    /// the whole conversation in every turn, and the history already has the earlier turns.
    pub(crate) fn history_request(&self) -> Bytes {
        let body = &self.prepared.parts.body;
        let is_chat_turn = self.head.program.is_some() && self.prepared.spec.max_output_tokens > 0;
        let shortened = if is_chat_turn { after_last_assistant_message(body) } else { None };
        shortened.unwrap_or_else(|| body.clone())
    }

    pub(crate) fn team(&self) -> Option<&poplarspan_objects::Name> {
        self.prepared.credential.as_ref().map(|c| &c.team)
    }
}

impl EntryHandler {
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().expect("no panic while locked")
    }

    /// Handles a request. Failures are returned as responses.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let started = Instant::now();
        let id = request_id();
        let mut response = match self.clone().respond(&id, request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.log_refusal(&id, &refusal);
                refusal.into_response()
            }
        };
        telemetry::record_response(response.status(), started.elapsed());
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
        if self.draining.load(Ordering::Relaxed) && response.version() < http::Version::HTTP_2 {
            // Makes callers with keep-alive connections reconnect, to another instance.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn respond(
        self: Arc<Self>,
        id: &HeaderValue,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        if self.membership.load().generation == 0 {
            // Routes and keys are unknown without objects.
            let refusal = Refusal::not_run(Code::Unavailable, "no objects are known yet");
            return Err(refusal.retry_after(DEFAULT_RETRY_AFTER));
        }
        if let Some(path) = BuiltinPath::find(request.uri().path()) {
            return self.respond_builtin(path, &request).await;
        }
        let accepted = self.validate(id, request).await?;
        if let Some(team) = accepted.team() {
            self.admission.admit(team, accepted.prepared.deadline).await?;
        }
        let needs_ledger = accepted.head.program.is_some() || !accepted.prepared.idempotent;
        match (needs_ledger, accepted.stream) {
            (true, stream) => self.run_recorded(accepted, stream).await,
            (false, true) => self.run_stream(accepted).await,
            (false, false) => self.run_plain(&accepted).await,
        }
    }

    /// Validates the caller, the route and the body.
    async fn validate(
        &self,
        id: &HeaderValue,
        request: Request<Incoming>,
    ) -> Result<AcceptedCall, Refusal> {
        let snapshot = self.membership.load();
        let (head, incoming) = request.into_parts();
        let route = snapshot
            .objects
            .route_for(head.uri.path())
            .ok_or_else(|| Refusal::not_run(Code::NotFound, "no route for this path"))?;
        let credential = if route.open {
            None
        } else {
            check_lease(&snapshot)?;
            Some(Credential::from_headers(&head.headers, &snapshot.objects)?)
        };
        let call = CallHead::read(&head.method, &head.headers, route.timeout)?;
        let max = (route.max_body.bytes() as usize).min(self.limits.max_body);
        let body = body::read(incoming, max, self.limits.body_timeout).await?;
        let memory = self.reserve_memory(body.len())?;
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let (spec, stream) =
            call_spec(&snapshot.objects, route, &call, credential.as_ref(), &body)?;
        let idempotent = !route.is_non_idempotent(head.method.as_str());
        if call.program.is_some() && credential.is_none() {
            let message = "a program needs a route with a key";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        let prepared = PreparedCall {
            parts: RequestParts::new(head.method, path, head.headers, body)
                .with_program(credential.as_ref(), call.program.as_ref()),
            credential,
            spec: Arc::new(spec),
            idempotent,
            request_id: id.clone(),
            deadline: call.deadline,
        };
        Ok(AcceptedCall { prepared, head: call, stream, _memory: memory })
    }

    /// Reserves memory for a call. Fails if all open calls together would exceed the limit.
    fn reserve_memory(&self, bytes: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let units = bytes.div_ceil(MEMORY_UNIT_BYTES).max(1) as u32;
        self.memory.clone().try_acquire_many_owned(units).map_err(|_| {
            Refusal::not_run(Code::Overloaded, "the instance holds too many bodies")
                .retry_after(std::time::Duration::from_secs(1))
        })
    }

    /// Runs an idempotent call without a program whose response is not streamed.
    async fn run_plain(&self, accepted: &AcceptedCall) -> Result<Response<ResponseBody>, Refusal> {
        let mut attempts = Attempts::new(self, &accepted.prepared);
        loop {
            let placement = attempts.acquire().await?;
            if let Some(answer) = attempts.exchange(placement).await? {
                return Ok(build_response(answer.status, answer.headers, answer.body));
            }
        }
    }

    fn log_refusal(&self, id: &HeaderValue, refusal: &Refusal) {
        telemetry::record_refusal(refusal.code.as_str());
        let quiet = matches!(refusal.code, Code::Unauthorized | Code::NotFound | Code::BadRequest);
        let level =
            if quiet || refusal.ran == Executed::No { log::Level::Debug } else { log::Level::Warn };
        log::log!(
            level,
            request_id = id.to_str().unwrap_or_default(),
            code = refusal.code.as_str(),
            ran:? = refusal.ran,
            message = &*refusal.message;
            "call refused"
        );
    }
}

/// Builds the response to the caller from the complete response of an endpoint.
pub(crate) fn build_response(
    status: http::StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(body::full(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the scheduler's description of the call. Returns it and whether the response is streamed.
fn call_spec(
    objects: &ObjectSet,
    route: &Route,
    call: &CallHead,
    credential: Option<&Credential>,
    body: &Bytes,
) -> Result<(CallSpec, bool), Refusal> {
    let team = credential.and_then(|c| objects.team(&c.team));
    let mut spec = CallSpec {
        group: Target::Service(route.service.clone().unwrap_or_else(|| "".into())).group(),
        team: team.map(|t| t.name.clone()),
        weight: team.map_or(1, |t| t.weight),
        program: call.program.as_ref().map(|p| p.program.clone()),
        blocks: Arc::default(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        max_queue: route.max_queue,
        deadline: call.deadline,
    };
    if route.kind == RouteKind::Service {
        return Ok((spec, false));
    }
    if call.method != Method::POST {
        return Err(Refusal::not_run(Code::BadRequest, "chat routes take POST only"));
    }
    let chat = ChatRequest::read(body)?;
    let name = route.model.as_deref().or(chat.model.as_deref());
    let name = name.ok_or_else(|| Refusal::not_run(Code::BadRequest, "`model` is missing"))?;
    let model = objects
        .resolve_model(name)
        .ok_or_else(|| Refusal::not_run(Code::NotFound, "unknown model"))?;
    let most = model.max_output;
    spec.max_output_tokens = chat.max_output_tokens.map_or(most, |tokens| tokens.min(most));
    spec.prompt_tokens = chat.prompt_tokens;
    if spec.prompt_tokens + spec.max_output_tokens > model.max_context {
        return Err(Refusal::not_run(Code::TooLarge, "the prompt is longer than the model allows"));
    }
    spec.group = Target::Model(model.name.clone()).group();
    spec.blocks = chat.blocks(&format!("{}@{}", model.name, model.version));
    Ok((spec, chat.stream))
}

fn request_id() -> HeaderValue {
    let id = format!("{:032x}", rand::rng().random::<u128>());
    HeaderValue::from_maybe_shared(Bytes::from(id)).expect("hexadecimal digits")
}
