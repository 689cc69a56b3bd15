//! Calls that are recorded in the program ledger: calls of programs and calls that must run at most
//! once.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Response};
use poplarspan_ledger::{group_of_key, group_of_program};
use poplarspan_objects::Name;
use poplarspan_proto::ledger::{
    self, Begin, CallId, CallKind, Claimant, end, ledger_answer, ledger_command,
};
use tokio::{sync::oneshot, time::Instant};

use super::{
    attempt::{Attempts, FullResponse, PendingResponse, Placement},
    body::ResponseBody,
    handler::{AcceptedCall, EntryHandler, build_response},
    record::{RECORD_TIMEOUT, completion_tokens, encode_headers, replay},
    refusal::{Code, Executed, Refusal},
};
use crate::{programs::LedgerError, schedule::Slot};

const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time that a call waits for an earlier turn of its program or for another copy of itself.
const MAX_ORDER_WAIT: Duration = Duration::from_secs(5);
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Assumed bytes per token of a streamed response, including the event framing.
const ANSWER_BYTES_PER_TOKEN: u64 = 256;
const SERVICE_ANSWER_BYTES: u64 = 64 * 1024;

/// Permission of the ledger to run a call.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) group: u32,
    pub(crate) call: CallId,
    pub(crate) number: u64,
    /// Endpoints that are recorded in the ledger for this claim.
    recorded_endpoints: Vec<Name>,
    deadline: Instant,
}

/// Channel for the response to the caller.
type ResponseSender = oneshot::Sender<Result<Response<ResponseBody>, Refusal>>;

/// Result of a call whose caller has disconnected before it began. It is not sent to anyone.
fn caller_gone() -> Refusal {
    Refusal::not_run(Code::Unavailable, "the caller has gone")
}

/// Response of the ledger to the begin of a call.
enum BeginOutcome {
    Granted(Claim),
    Replay(ledger::Answer),
    /// The call must wait for another one to end.
    Wait,
}

impl EntryHandler {
    /// Runs a call under a claim of the ledger.
    ///
    /// The call runs in a separate task, so that its claim is ended even if the caller disconnects. A
    /// claim that is left open would block retries of the call.
    pub(crate) async fn run_recorded(
        self: Arc<Self>,
        accepted: AcceptedCall,
        stream: bool,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (mut response_tx, response_rx) = oneshot::channel();
        tokio::spawn(async move {
            let result = self.run_claimed(accepted, stream, &mut response_tx).await;
            // An error means that the caller has disconnected. A retry gets the recorded response.
            let _ = response_tx.send(result);
        });
        response_rx.await.unwrap_or_else(|_| {
            let message = "the instance failed while it ran the call";
            Err(Refusal::with_ran(Code::Unavailable, Executed::Unknown, message))
        })
    }

    async fn run_claimed(
        self: Arc<Self>,
        accepted: AcceptedCall,
        stream: bool,
        response_tx: &mut ResponseSender,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let begin = self.begin_command(&accepted)?;
        let wait_until = accepted.prepared.deadline.min(Instant::now() + MAX_ORDER_WAIT);
        let mut attempts = Attempts::new(&self, &accepted.prepared);
        let (claim, placement) = loop {
            let placement = tokio::select! {
                placement = attempts.acquire() => placement?,
                () = response_tx.closed() => return Err(caller_gone()),
            };
            match self.begin(&accepted, begin.clone(), &placement.slot, wait_until).await? {
                BeginOutcome::Granted(claim) => break (claim, placement),
                BeginOutcome::Replay(answer) => return replay(answer),
                BeginOutcome::Wait => {
                    drop(placement);
                    tokio::time::sleep(ORDER_POLL_INTERVAL).await;
                }
            }
        };
        attempts.claim = Some(claim.clone());
        if !stream {
            let response = self.exchange_recorded(&mut attempts, claim.clone(), placement).await;
            drop(attempts);
            return self.conclude(&accepted, claim, response).await;
        }
        match self.attempt_recorded(&mut attempts, claim.clone(), placement).await {
            Ok((claim, pending)) if is_event_stream(&pending.headers) => {
                drop(attempts);
                Ok(self.relay(accepted, pending, Some(claim)))
            }
            Ok((claim, pending)) => {
                let response = self.collect_recorded(&mut attempts, claim.clone(), pending).await;
                drop(attempts);
                self.conclude(&accepted, claim, response).await
            }
            Err(refusal) => {
                drop(attempts);
                self.conclude(&accepted, claim, Err(refusal)).await
            }
        }
    }

    /// Sends the call to endpoints until one returns a response head.
    async fn attempt_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut placement: Placement,
    ) -> Result<(Claim, PendingResponse), Refusal> {
        loop {
            if !claim.recorded_endpoints.contains(&placement.slot.endpoint.name) {
                let recorded = self.record_dispatch(&mut claim, &placement.slot).await;
                recorded.map_err(|refusal| attempts.with_ran(refusal))?;
            }
            if let Some(pending) = attempts.send(placement).await? {
                return Ok((claim, pending));
            }
            placement = attempts.acquire().await?;
        }
    }

    /// Sends the call to endpoints until one returns a complete response.
    async fn exchange_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut placement: Placement,
    ) -> Result<FullResponse, Refusal> {
        loop {
            if !claim.recorded_endpoints.contains(&placement.slot.endpoint.name) {
                let recorded = self.record_dispatch(&mut claim, &placement.slot).await;
                recorded.map_err(|refusal| attempts.with_ran(refusal))?;
            }
            if let Some(answer) = attempts.exchange(placement).await? {
                return Ok(answer);
            }
            placement = attempts.acquire().await?;
        }
    }

    async fn collect_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut pending: PendingResponse,
    ) -> Result<FullResponse, Refusal> {
        loop {
            if let Some(answer) = attempts.collect(pending).await? {
                return Ok(answer);
            }
            let placement = attempts.acquire().await?;
            (claim, pending) = self.attempt_recorded(attempts, claim, placement).await?;
        }
    }

    /// Records the outcome of the call, then builds the response to the caller.
    async fn conclude(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        claim: Claim,
        outcome: Result<FullResponse, Refusal>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (end, result) = match outcome {
            Ok(answer) => {
                let spec = &accepted.prepared.spec;
                let tokens = completion_tokens(&answer.body).unwrap_or(spec.max_output_tokens);
                let record = ledger::Answer {
                    status: u32::from(answer.status.as_u16()),
                    head: encode_headers(&answer.headers),
                    body: answer.body.clone(),
                    cost_tokens: spec.prompt_tokens + tokens,
                };
                let response = build_response(answer.status, answer.headers, answer.body);
                (end::Outcome::Answered(record), Ok(response))
            }
            Err(refusal) if refusal.ran == Executed::No => {
                (end::Outcome::NotRun(ledger::NotRun {}), Err(refusal))
            }
            Err(refusal) => {
                (end::Outcome::Unknown(ledger::Unknown { cost_tokens: None }), Err(refusal))
            }
        };
        match (self.record(claim, end).await, result) {
            (Ok(()), result) => result,
            (Err(unrecorded), Ok(_)) => Err(unrecorded),
            // The refusal is accurate whether or not it was recorded.
            (Err(_), Err(refusal)) => Err(refusal),
        }
    }

    fn begin_command(&self, accepted: &AcceptedCall) -> Result<Begin, Refusal> {
        let prepared = &accepted.prepared;
        let Some(credential) = &prepared.credential else {
            let message = "a call that must run at most once needs a route with a key";
            return Err(Refusal::not_run(Code::BadRequest, message));
        };
        let spec = &prepared.spec;
        let snapshot = self.membership.load();
        let budget = snapshot.objects.team(&credential.team).and_then(|t| t.budget.clone());
        let budget = budget.and_then(|name| snapshot.objects.budget(&name).cloned());
        let key = accepted.head.idempotency_key.clone();
        let is_chat = spec.max_output_tokens > 0;
        Ok(Begin {
            team: credential.team.to_string(),
            program: accepted.head.program.as_ref().map(|p| p.program.to_string()),
            turn: accepted.head.program.as_ref().and_then(|p| p.turn),
            key_generated: key.is_none(),
            idempotency_key: key.unwrap_or_else(|| {
                prepared.request_id.to_str().expect("hexadecimal digits").to_owned()
            }),
            body_digest: body_digest(accepted),
            kind: kind(prepared.idempotent).into(),
            reserve_tokens: spec.prompt_tokens + spec.max_output_tokens,
            reserve_bytes: if is_chat {
                spec.max_output_tokens * ANSWER_BYTES_PER_TOKEN
            } else {
                SERVICE_ANSWER_BYTES
            },
            limits: budget.map(|b| ledger::Limits {
                tokens: Some(b.tokens),
                turns: Some(b.turns),
                lifetime_ms: Some(b.lifetime.as_millis() as u64),
                idle_ms: None,
            }),
            claimant: Some(Claimant {
                instance: self.instance.to_string(),
                incarnation: self.incarnation.load(Ordering::Relaxed),
            }),
            attempt: self.attempts.fetch_add(1, Ordering::Relaxed),
            endpoint: String::new(),
            request: accepted.history_request(),
            timeout_ms: (prepared.deadline.saturating_duration_since(Instant::now())
                + RECORD_TIMEOUT)
                .as_millis() as u64,
        })
    }

    async fn begin(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        mut begin: Begin,
        slot: &Slot,
        wait_until: Instant,
    ) -> Result<BeginOutcome, Refusal> {
        let groups = self.ledger.groups();
        if groups == 0 {
            return Err(unavailable("the program groups are not known yet"));
        }
        begin.endpoint = slot.endpoint.name.to_string();
        // A new number for each proposal: with the same number, the ledger would return the first
        // result again.
        begin.attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let group = match &begin.program {
            Some(program) => group_of_program(&begin.team, program, groups),
            None => group_of_key(&begin.team, &begin.idempotency_key, groups),
        };
        let mut call = CallId {
            team: begin.team.clone(),
            program: begin.program.clone(),
            turn: 0,
            idempotency_key: begin.idempotency_key.clone(),
        };
        let command = ledger_command::Command::Begin(begin.clone());
        let answer = self.ledger.command(group, command, accepted.prepared.deadline).await;
        if let Err(LedgerError::Unknown(_)) = &answer {
            self.cancel_begin(group, begin);
        }
        let may_wait = Instant::now() < wait_until;
        match answer.map_err(ledger_unavailable)? {
            ledger_answer::Answer::Granted(granted) => {
                call.turn = granted.turn;
                let recorded_endpoints = vec![slot.endpoint.name.clone()];
                let deadline = accepted.prepared.deadline;
                let claim =
                    Claim { group, call, number: granted.claim, recorded_endpoints, deadline };
                Ok(BeginOutcome::Granted(claim))
            }
            ledger_answer::Answer::Replay(answer) => Ok(BeginOutcome::Replay(answer)),
            ledger_answer::Answer::OutOfOrder(_) | ledger_answer::Answer::Running(_)
                if may_wait =>
            {
                Ok(BeginOutcome::Wait)
            }
            other => Err(refusal_for(&other)),
        }
    }

    /// Records in the ledger that the call is sent to the endpoint of `slot`.
    pub(crate) async fn record_dispatch(
        &self,
        claim: &mut Claim,
        slot: &Slot,
    ) -> Result<(), Refusal> {
        let dispatch = ledger::Dispatch {
            call: Some(claim.call.clone()),
            claim: claim.number,
            endpoint: slot.endpoint.name.to_string(),
        };
        let command = ledger_command::Command::Dispatch(dispatch);
        let deadline = claim.deadline.min(Instant::now() + MAX_ORDER_WAIT);
        match self.ledger.command(claim.group, command, deadline).await {
            Ok(ledger_answer::Answer::Recorded(_)) => {
                claim.recorded_endpoints.push(slot.endpoint.name.clone());
                Ok(())
            }
            Ok(other) => Err(refusal_for(&other)),
            Err(e) => Err(ledger_unavailable(e)),
        }
    }
}

/// Whether the response is an event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn kind(idempotent: bool) -> CallKind {
    if idempotent { CallKind::Idempotent } else { CallKind::NonIdempotent }
}

/// Returns the digest of method, path and body, which identifies copies of a call.
fn body_digest(accepted: &AcceptedCall) -> Bytes {
    let parts = &accepted.prepared.parts;
    let mut hasher = blake3::Hasher::new();
    for part in [parts.method.as_str().as_bytes(), parts.path.as_bytes(), &parts.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(hasher.finalize().as_bytes())
}

pub(crate) fn unavailable(message: &str) -> Refusal {
    Refusal::not_run(Code::Unavailable, message.to_owned()).retry_after(DEFAULT_RETRY_AFTER)
}

/// Refusal of a call that was not dispatched because the ledger failed. If the begin was committed,
/// its claim is not used, since only this task could use it.
fn ledger_unavailable(error: LedgerError) -> Refusal {
    unavailable(&error.to_string())
}

/// Converts a negative answer of the ledger to a refusal.
pub(crate) fn refusal_for(answer: &ledger_answer::Answer) -> Refusal {
    use ledger_answer::Answer;
    let not_run = |code, message: &'static str| Refusal::not_run(code, message);
    match answer {
        Answer::OutcomeUnknown(_) => Refusal::with_ran(
            Code::OutcomeUnknown,
            Executed::Unknown,
            "the call was sent once, and its outcome cannot be known",
        ),
        Answer::BodyMismatch(_) => not_run(
            Code::Conflict,
            "the turn or idempotency key belongs to a call with another body",
        ),
        Answer::OutOfOrder(o) => {
            Refusal::not_run(Code::OutOfOrder, format!("the program's next turn is {}", o.expected))
                .retry_after(DEFAULT_RETRY_AFTER)
        }
        Answer::Running(_) => Refusal::with_ran(
            Code::Conflict,
            Executed::Unknown,
            "a call of this program, or a copy of this call, is still running",
        )
        .retry_after(DEFAULT_RETRY_AFTER),
        Answer::BudgetExceeded(b) => Refusal::not_run(
            Code::BudgetExceeded,
            format!("the program has {} tokens of its budget left", b.remaining),
        ),
        Answer::TurnLimit(_) => not_run(Code::BudgetExceeded, "the program has used all its turns"),
        Answer::Ended(_) => not_run(Code::ProgramEnded, "the program has ended"),
        Answer::StoreFull(_) => not_run(Code::Overloaded, "the team's answers cannot all be kept")
            .retry_after(DEFAULT_RETRY_AFTER),
        Answer::Fenced(_) | Answer::Stale(_) => {
            not_run(Code::NoLease, "this instance was declared gone")
                .retry_after(DEFAULT_RETRY_AFTER)
        }
        Answer::NotFound(_) => not_run(Code::NotFound, "no such program"),
        Answer::Invalid(invalid) => Refusal::not_run(Code::BadRequest, invalid.message.clone()),
        _ => unavailable("unexpected answer of the ledger"),
    }
}
