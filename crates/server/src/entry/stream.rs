//! Streamed answers, relayed as they arrive.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use poplarspan_proto::ledger::{self, end};
use tokio::time::{Duration, Instant, timeout};

use super::{
    attempt::{Attempts, Begun},
    body::{self, AnswerBody, Chunk, RelaySender},
    handler::{Accepted, Entry, whole_response},
    program::{Claim, is_event_stream},
    record::encode_headers,
    refusal::Refusal,
};
use crate::{
    dispatch::{AnswerError, RelayLimits, Relayed, StreamEnd, relay_stream},
    schedule::DispatchOutcome,
    telemetry,
};

/// Longest time between two events of an engine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for an engine to end its body after the terminal event.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

impl Entry {
    /// Runs a streamed call that the ledger does not record.
    pub(crate) async fn run_stream(
        self: Arc<Self>,
        accepted: Accepted,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut attempts = Attempts::new(&self, &accepted.prepared);
        loop {
            let place = attempts.place().await?;
            let Some(begun) = attempts.send(place).await? else { continue };
            if is_event_stream(&begun.headers) {
                drop(attempts);
                return Ok(self.relay(accepted, begun, None));
            }
            if let Some(answer) = attempts.collect(begun).await? {
                return Ok(whole_response(answer.status, answer.headers, answer.body));
            }
        }
    }

    /// Starts to relay an answer; it goes on in a task of its own.
    pub(crate) fn relay(
        self: Arc<Self>,
        accepted: Accepted,
        begun: Begun,
        claim: Option<Claim>,
    ) -> Response<AnswerBody> {
        let (tx, answer) = body::relay();
        let mut response = Response::new(answer);
        *response.status_mut() = begun.status;
        *response.headers_mut() = begun.headers.clone();
        tokio::spawn(self.relay_to_end(accepted, begun, claim, tx));
        response
    }

    async fn relay_to_end(
        self: Arc<Self>,
        accepted: Accepted,
        begun: Begun,
        claim: Option<Claim>,
        tx: RelaySender,
    ) {
        let Begun { status, headers, mut body, reuse, slot, first_byte, run, _suspect } = begun;
        let started = Instant::now();
        let limits = RelayLimits {
            progress: PROGRESS_TIMEOUT,
            deadline: accepted.prepared.deadline,
            keep: if claim.is_some() { self.limits.max_answer } else { 0 },
        };
        let relayed = relay_stream(&mut body, &tx, limits).await;
        telemetry::streamed(accepted.team(), relayed.events, started.elapsed());
        match &relayed.end {
            StreamEnd::Whole { .. } => {
                if let Ok(None) = timeout(CLOSE_TIMEOUT, body.frame()).await {
                    reuse.finish();
                }
                let tokens = Some(accepted.prepared.spec.prompt_tokens + relayed.events);
                slot.finish(DispatchOutcome::Answered { first_byte, tokens });
            }
            StreamEnd::CallerGone => {
                // Closing the connection is what cancels the call at the engine.
                drop(body);
                drop(reuse);
                slot.finish(DispatchOutcome::Abandoned);
            }
            StreamEnd::Failed(e) => {
                let (cause, endpoint) = (e.to_string(), slot.endpoint.name.to_string());
                log::warn!(endpoint = endpoint.as_str(), cause = cause.as_str(); "stream failed");
                let chosen = slot.endpoint.clone();
                slot.finish(DispatchOutcome::Failed);
                if let AnswerError::Truncated(_) = e {
                    let call = &accepted.prepared;
                    let fingerprint = call.fingerprint();
                    self.crashes.note_lost(&chosen, run, fingerprint, call.deadline).await;
                }
            }
        }
        let head = (u32::from(status.as_u16()), encode_headers(&headers));
        // Boxed, so that it takes no memory while the stream runs.
        Box::pin(self.end_stream(&accepted, claim, head, relayed, &tx)).await;
    }

    /// Records the end of the stream, and only then passes on its last event.
    async fn end_stream(
        self: &Arc<Self>,
        accepted: &Accepted,
        claim: Option<Claim>,
        (status, head): (u32, Bytes),
        relayed: Relayed,
        tx: &RelaySender,
    ) {
        let cost_tokens = accepted.prepared.spec.prompt_tokens + relayed.events;
        let outcome = match &relayed.end {
            StreamEnd::Whole { .. } => end::Outcome::Answered(ledger::Answer {
                status,
                head,
                body: relayed.kept.freeze(),
                cost_tokens,
            }),
            StreamEnd::CallerGone | StreamEnd::Failed(_) => {
                end::Outcome::Unknown(ledger::Unknown { cost_tokens: Some(cost_tokens) })
            }
        };
        let recorded = match claim {
            Some(claim) => self.record(claim, outcome).await,
            None => Ok(()),
        };
        // Without its last chunk the answer is not whole for the caller.
        if let (StreamEnd::Whole { last }, Ok(())) = (relayed.end, recorded) {
            // An error means that the caller has gone.
            let _ = tx.send(Chunk::Last(last)).await;
        }
    }
}
