//! Calls that the ledger of programs records: those of programs, and those that must run at most
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
    attempt::{Answer, Attempts, Begun, Place},
    body::AnswerBody,
    handler::{Accepted, Entry, whole_response},
    record::{RECORD_TIMEOUT, completion_tokens, encode_headers, replay},
    refusal::{Code, Ran, Refusal},
};
use crate::{programs::LedgerError, schedule::Slot};

const COME_BACK: Duration = Duration::from_secs(1);
/// How long a call waits for an earlier turn of its program, or for another copy of itself.
const LONGEST_ORDER_WAIT: Duration = Duration::from_secs(5);
const ORDER_POLL: Duration = Duration::from_millis(50);
/// Bytes of a streamed answer for each token, with the event around it.
const ANSWER_BYTES_PER_TOKEN: u64 = 256;
const SERVICE_ANSWER_BYTES: u64 = 64 * 1024;

/// A call that the ledger lets this instance run.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) group: u32,
    pub(crate) call: CallId,
    pub(crate) number: u64,
    /// Endpoints that the ledger knows to be used under this claim.
    named: Vec<Name>,
    deadline: Instant,
}

/// Where the answer of a call goes.
type Caller = oneshot::Sender<Result<Response<AnswerBody>, Refusal>>;

/// Ends a call that has not begun; nobody reads this.
fn caller_gone() -> Refusal {
    Refusal::not_run(Code::Unavailable, "the caller has gone")
}

/// What the ledger says to the begin of a call.
enum BeginAnswer {
    Granted(Claim),
    Replay(ledger::Answer),
    /// Another call must end first.
    Wait,
}

impl Entry {
    /// Runs a call under a claim of the ledger.
    ///
    /// It runs in a task of its own: a caller that hangs up must not leave the claim open, since
    /// its resend would then find the call running for ever.
    pub(crate) async fn run_recorded(
        self: Arc<Self>,
        accepted: Accepted,
        stream: bool,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let (mut caller, answer) = oneshot::channel();
        tokio::spawn(async move {
            let result = self.run_claimed(accepted, stream, &mut caller).await;
            // An error means that the caller has gone; the answer is recorded for its resend.
            let _ = caller.send(result);
        });
        answer.await.unwrap_or_else(|_| {
            let message = "the instance failed while it ran the call";
            Err(Refusal::with_ran(Code::Unavailable, Ran::Unknown, message))
        })
    }

    async fn run_claimed(
        self: Arc<Self>,
        accepted: Accepted,
        stream: bool,
        caller: &mut Caller,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let begin = self.begin_command(&accepted)?;
        let wait_until = accepted.prepared.deadline.min(Instant::now() + LONGEST_ORDER_WAIT);
        let mut attempts = Attempts::new(&self, &accepted.prepared);
        let (claim, place) = loop {
            let place = tokio::select! {
                place = attempts.place() => place?,
                () = caller.closed() => return Err(caller_gone()),
            };
            match self.begin(&accepted, begin.clone(), &place.slot, wait_until).await? {
                BeginAnswer::Granted(claim) => break (claim, place),
                BeginAnswer::Replay(answer) => return replay(answer),
                BeginAnswer::Wait => {
                    drop(place);
                    tokio::time::sleep(ORDER_POLL).await;
                }
            }
        };
        attempts.claim = Some(claim.clone());
        if !stream {
            let answer = self.exchange_recorded(&mut attempts, claim.clone(), place).await;
            drop(attempts);
            return self.conclude(&accepted, claim, answer).await;
        }
        match self.attempt_recorded(&mut attempts, claim.clone(), place).await {
            Ok((claim, begun)) if is_event_stream(&begun.headers) => {
                drop(attempts);
                Ok(self.relay(accepted, begun, Some(claim)))
            }
            Ok((claim, begun)) => {
                let answer = self.collect_recorded(&mut attempts, claim.clone(), begun).await;
                drop(attempts);
                self.conclude(&accepted, claim, answer).await
            }
            Err(refusal) => {
                drop(attempts);
                self.conclude(&accepted, claim, Err(refusal)).await
            }
        }
    }

    /// Sends the call until an endpoint begins to answer.
    async fn attempt_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut place: Place,
    ) -> Result<(Claim, Begun), Refusal> {
        loop {
            if !claim.named.contains(&place.slot.endpoint.name) {
                let named = self.name_endpoint(&mut claim, &place.slot).await;
                named.map_err(|refusal| attempts.with_ran(refusal))?;
            }
            if let Some(begun) = attempts.send(place).await? {
                return Ok((claim, begun));
            }
            place = attempts.place().await?;
        }
    }

    /// Sends the call until an endpoint has answered it whole.
    async fn exchange_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut place: Place,
    ) -> Result<Answer, Refusal> {
        loop {
            if !claim.named.contains(&place.slot.endpoint.name) {
                let named = self.name_endpoint(&mut claim, &place.slot).await;
                named.map_err(|refusal| attempts.with_ran(refusal))?;
            }
            if let Some(answer) = attempts.exchange(place).await? {
                return Ok(answer);
            }
            place = attempts.place().await?;
        }
    }

    async fn collect_recorded(
        &self,
        attempts: &mut Attempts<'_>,
        mut claim: Claim,
        mut begun: Begun,
    ) -> Result<Answer, Refusal> {
        loop {
            if let Some(answer) = attempts.collect(begun).await? {
                return Ok(answer);
            }
            let place = attempts.place().await?;
            (claim, begun) = self.attempt_recorded(attempts, claim, place).await?;
        }
    }

    /// Records how the call ended, and only then answers the caller.
    async fn conclude(
        self: &Arc<Self>,
        accepted: &Accepted,
        claim: Claim,
        outcome: Result<Answer, Refusal>,
    ) -> Result<Response<AnswerBody>, Refusal> {
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
                let response = whole_response(answer.status, answer.headers, answer.body);
                (end::Outcome::Answered(record), Ok(response))
            }
            Err(refusal) if refusal.ran == Ran::No => {
                (end::Outcome::NotRun(ledger::NotRun {}), Err(refusal))
            }
            Err(refusal) => {
                (end::Outcome::Unknown(ledger::Unknown { cost_tokens: None }), Err(refusal))
            }
        };
        match (self.record(claim, end).await, result) {
            (Ok(()), result) => result,
            (Err(unrecorded), Ok(_)) => Err(unrecorded),
            // What is known of the call stays true, whether it is recorded or not.
            (Err(_), Err(refusal)) => Err(refusal),
        }
    }

    fn begin_command(&self, accepted: &Accepted) -> Result<Begin, Refusal> {
        let prepared = &accepted.prepared;
        let Some(credential) = &prepared.credential else {
            let message = "a call that must run at most once needs a route with a key";
            return Err(Refusal::not_run(Code::BadRequest, message));
        };
        let spec = &prepared.spec;
        let known = self.membership.load();
        let budget = known.objects.team(&credential.team).and_then(|t| t.budget.clone());
        let budget = budget.and_then(|name| known.objects.budget(&name).cloned());
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
            request: accepted.kept_request(),
            timeout_ms: (prepared.deadline.saturating_duration_since(Instant::now())
                + RECORD_TIMEOUT)
                .as_millis() as u64,
        })
    }

    async fn begin(
        self: &Arc<Self>,
        accepted: &Accepted,
        mut begin: Begin,
        slot: &Slot,
        wait_until: Instant,
    ) -> Result<BeginAnswer, Refusal> {
        let groups = self.ledger.groups();
        if groups == 0 {
            return Err(unavailable("the program groups are not known yet"));
        }
        begin.endpoint = slot.endpoint.name.to_string();
        // A proposal of its own: an earlier one with the same number would get its first answer.
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
            self.take_back(group, begin);
        }
        let may_wait = Instant::now() < wait_until;
        match answer.map_err(begin_failed)? {
            ledger_answer::Answer::Granted(granted) => {
                call.turn = granted.turn;
                let named = vec![slot.endpoint.name.clone()];
                let deadline = accepted.prepared.deadline;
                let claim = Claim { group, call, number: granted.claim, named, deadline };
                Ok(BeginAnswer::Granted(claim))
            }
            ledger_answer::Answer::Replay(answer) => Ok(BeginAnswer::Replay(answer)),
            ledger_answer::Answer::OutOfOrder(_) | ledger_answer::Answer::Running(_)
                if may_wait =>
            {
                Ok(BeginAnswer::Wait)
            }
            other => Err(begin_refused(&other)),
        }
    }

    pub(crate) async fn name_endpoint(
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
        let deadline = claim.deadline.min(Instant::now() + LONGEST_ORDER_WAIT);
        match self.ledger.command(claim.group, command, deadline).await {
            Ok(ledger_answer::Answer::Recorded(_)) => {
                claim.named.push(slot.endpoint.name.clone());
                Ok(())
            }
            Ok(other) => Err(begin_refused(&other)),
            Err(e) => Err(begin_failed(e)),
        }
    }
}

/// Whether an answer is a stream of events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn kind(idempotent: bool) -> CallKind {
    if idempotent { CallKind::Idempotent } else { CallKind::NonIdempotent }
}

/// Digest of everything that makes two calls the same call.
fn body_digest(accepted: &Accepted) -> Bytes {
    let parts = &accepted.prepared.parts;
    let mut hasher = blake3::Hasher::new();
    for part in [parts.method.as_str().as_bytes(), parts.path.as_bytes(), &parts.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(hasher.finalize().as_bytes())
}

pub(crate) fn unavailable(message: &str) -> Refusal {
    Refusal::not_run(Code::Unavailable, message.to_owned()).retry_after(COME_BACK)
}

/// The call was not dispatched, whatever became of its begin: the claim, if there is one, is only
/// used by this task, which gives up here.
fn begin_failed(error: LedgerError) -> Refusal {
    unavailable(&error.to_string())
}

pub(crate) fn begin_refused(answer: &ledger_answer::Answer) -> Refusal {
    use ledger_answer::Answer;
    let not_run = |code, message: &'static str| Refusal::not_run(code, message);
    match answer {
        Answer::OutcomeUnknown(_) => Refusal::with_ran(
            Code::OutcomeUnknown,
            Ran::Unknown,
            "the call was sent once, and its outcome cannot be known",
        ),
        Answer::BodyMismatch(_) => not_run(
            Code::Conflict,
            "the turn or idempotency key belongs to a call with another body",
        ),
        Answer::OutOfOrder(o) => {
            Refusal::not_run(Code::OutOfOrder, format!("the program's next turn is {}", o.expected))
                .retry_after(COME_BACK)
        }
        Answer::Running(_) => Refusal::with_ran(
            Code::Conflict,
            Ran::Unknown,
            "a call of this program, or a copy of this call, is still running",
        )
        .retry_after(COME_BACK),
        Answer::BudgetExceeded(b) => Refusal::not_run(
            Code::BudgetExceeded,
            format!("the program has {} tokens of its budget left", b.remaining),
        ),
        Answer::TurnLimit(_) => not_run(Code::BudgetExceeded, "the program has used all its turns"),
        Answer::Ended(_) => not_run(Code::ProgramEnded, "the program has ended"),
        Answer::StoreFull(_) => not_run(Code::Overloaded, "the team's answers cannot all be kept")
            .retry_after(COME_BACK),
        Answer::Fenced(_) | Answer::Stale(_) => {
            not_run(Code::NoLease, "this instance was declared gone").retry_after(COME_BACK)
        }
        Answer::NotFound(_) => not_run(Code::NotFound, "no such program"),
        Answer::Invalid(invalid) => Refusal::not_run(Code::BadRequest, invalid.message.clone()),
        _ => unavailable("unexpected answer of the ledger"),
    }
}
