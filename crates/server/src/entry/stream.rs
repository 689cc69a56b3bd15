//! Relaying of streamed responses.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use poplarspan_proto::ledger::{self, end};
use tokio::time::{Duration, Instant, timeout};

use super::{
    attempt::{Attempts, PendingResponse},
    body::{self, Chunk, RelaySender, ResponseBody},
    handler::{AcceptedCall, EntryHandler, build_response},
    program::{Claim, is_event_stream},
    record::encode_headers,
    refusal::Refusal,
};
use crate::{
    dispatch::{RelayLimits, Relayed, ResponseError, StreamEnd, relay_stream},
    schedule::DispatchOutcome,
    telemetry,
};

/// Maximum time between two chunks from an engine.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for an engine to end its body after the terminal event.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

impl EntryHandler {
    /// Runs a streamed call that is not recorded in the ledger.
    pub(crate) async fn run_stream(
        self: Arc<Self>,
        accepted: AcceptedCall,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut attempts = Attempts::new(&self, &accepted.prepared);
        loop {
            let placement = attempts.acquire().await?;
            let Some(pending) = attempts.send(placement).await? else { continue };
            if is_event_stream(&pending.headers) {
                drop(attempts);
                return Ok(self.relay(accepted, pending, None));
            }
            if let Some(answer) = attempts.collect(pending).await? {
                return Ok(build_response(answer.status, answer.headers, answer.body));
            }
        }
    }

    /// Starts relaying a response in a separate task.
    pub(crate) fn relay(
        self: Arc<Self>,
        accepted: AcceptedCall,
        pending: PendingResponse,
        claim: Option<Claim>,
    ) -> Response<ResponseBody> {
        let (tx, answer) = body::relay();
        let mut response = Response::new(answer);
        *response.status_mut() = pending.status;
        *response.headers_mut() = pending.headers.clone();
        tokio::spawn(self.relay_to_end(accepted, pending, claim, tx));
        response
    }

    async fn relay_to_end(
        self: Arc<Self>,
        accepted: AcceptedCall,
        pending: PendingResponse,
        claim: Option<Claim>,
        tx: RelaySender,
    ) {
        let PendingResponse { status, headers, mut body, reuse, slot, first_byte, run, _suspect } =
            pending;
        let started = Instant::now();
        let limits = RelayLimits {
            idle_timeout: STREAM_IDLE_TIMEOUT,
            deadline: accepted.prepared.deadline,
            max_buffered: if claim.is_some() { self.limits.max_response } else { 0 },
        };
        let relayed = relay_stream(&mut body, &tx, limits).await;
        telemetry::record_stream(accepted.team(), relayed.events, started.elapsed());
        match &relayed.end {
            StreamEnd::Complete { .. } => {
                if let Ok(None) = timeout(CLOSE_TIMEOUT, body.frame()).await {
                    reuse.release();
                }
                let tokens = Some(accepted.prepared.spec.prompt_tokens + relayed.events);
                slot.finish(DispatchOutcome::Answered { first_byte, tokens });
            }
            StreamEnd::CallerGone => {
                // Closing the connection cancels the call at the engine.
                drop(body);
                drop(reuse);
                slot.finish(DispatchOutcome::Abandoned);
            }
            StreamEnd::Failed(e) => {
                let (cause, endpoint) = (e.to_string(), slot.endpoint.name.to_string());
                log::warn!(
                    endpoint = endpoint.as_str(), cause = cause.as_str();
                    "response stream from the endpoint failed"
                );
                let endpoint = slot.endpoint.clone();
                slot.finish(DispatchOutcome::Failed);
                if let ResponseError::Truncated(_) = e {
                    let call = &accepted.prepared;
                    let fingerprint = call.fingerprint();
                    self.crashes
                        .report_lost_connection(&endpoint, run, fingerprint, call.deadline)
                        .await;
                }
            }
        }
        let head = (u32::from(status.as_u16()), encode_headers(&headers));
        // Boxed, so that it uses no memory while the stream is running.
        Box::pin(self.end_stream(&accepted, claim, head, relayed, &tx)).await;
    }

    /// Records the end of the stream in the ledger, then sends the last event to the caller.
    async fn end_stream(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        claim: Option<Claim>,
        (status, head): (u32, Bytes),
        relayed: Relayed,
        tx: &RelaySender,
    ) {
        let cost_tokens = accepted.prepared.spec.prompt_tokens + relayed.events;
        let outcome = match &relayed.end {
            StreamEnd::Complete { .. } => end::Outcome::Answered(ledger::Answer {
                status,
                head,
                body: relayed.buffered.freeze(),
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
        // Without the last chunk, the caller detects that the response is incomplete.
        if let (StreamEnd::Complete { last }, Ok(())) = (relayed.end, recorded) {
            // An error means that the caller has disconnected.
            let _ = tx.send(Chunk::Final(last)).await;
        }
    }
}
