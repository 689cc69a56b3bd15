//! Recording of call outcomes in the ledger.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use poplarspan_proto::ledger::{self, Begin, CallId, End, end, ledger_answer, ledger_command};
use tokio::time::Instant;

use super::{
    body::ResponseBody,
    handler::{EntryHandler, build_response},
    program::{Claim, unavailable},
    refusal::{Code, Executed, Refusal},
};

const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time that a caller waits for its response to be recorded.
const RECORD_WAIT: Duration = Duration::from_secs(5);
/// Maximum time for which a command that must not be lost is resent to the ledger.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_secs(60);

impl EntryHandler {
    /// Commits the end of a call. After [`RECORD_WAIT`] the commit continues in the background and
    /// a refusal is returned, which states that the call was executed.
    pub(crate) async fn record(
        self: &Arc<Self>,
        claim: Claim,
        outcome: end::Outcome,
    ) -> Result<(), Refusal> {
        let end = End { call: Some(claim.call), claim: claim.number, outcome: Some(outcome) };
        let this = self.clone();
        // A separate task, since the caller may disconnect while the end is being committed.
        let recording = tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_TIMEOUT;
            let command = ledger_command::Command::End(end);
            this.ledger.command(claim.group, command, deadline).await
        });
        let not_recorded = |cause: String| {
            Refusal::with_ran(Code::Unavailable, Executed::Yes, cause)
                .retry_after(DEFAULT_RETRY_AFTER)
        };
        let recorded = tokio::time::timeout(RECORD_WAIT, recording).await;
        match recorded {
            Ok(Ok(Ok(ledger_answer::Answer::Recorded(_)))) => Ok(()),
            Ok(Ok(Ok(ledger_answer::Answer::Stale(_)))) => Err(Refusal::with_ran(
                Code::Conflict,
                Executed::Yes,
                "the call was taken over by another instance",
            )
            .retry_after(DEFAULT_RETRY_AFTER)),
            Ok(Ok(Ok(_))) => Err(not_recorded("unexpected answer of the ledger".to_owned())),
            Ok(Ok(Err(e))) => Err(not_recorded(e.to_string())),
            Ok(Err(e)) => Err(not_recorded(e.to_string())),
            Err(_) => Err(not_recorded("the answer is not recorded yet".to_owned())),
        }
    }

    /// Cancels a begin whose outcome is unknown, so that the call does not count as running.
    pub(crate) fn cancel_begin(self: &Arc<Self>, group: u32, begin: Begin) {
        let this = self.clone();
        let mut call = CallId {
            team: begin.team.clone(),
            program: begin.program.clone(),
            turn: 0,
            idempotency_key: begin.idempotency_key.clone(),
        };
        tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_TIMEOUT;
            // The same proposal again, which returns the result of the first one.
            let command = ledger_command::Command::Begin(begin);
            let answer = this.ledger.command(group, command, deadline).await;
            let Ok(ledger_answer::Answer::Granted(granted)) = answer else { return };
            call.turn = granted.turn;
            let outcome = Some(end::Outcome::NotRun(ledger::NotRun {}));
            let end = End { call: Some(call), claim: granted.claim, outcome };
            let command = ledger_command::Command::End(end);
            if let Err(e) = this.ledger.command(group, command, deadline).await {
                let error = e.to_string();
                log::warn!(
                    error = error.as_str();
                    "cannot cancel an unused claim; it stays open until it expires"
                );
            }
        });
    }
}

/// Builds the response that was recorded for an earlier copy of the call.
pub(crate) fn replay(answer: ledger::Answer) -> Result<Response<ResponseBody>, Refusal> {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let status = status.ok_or_else(|| unavailable("the recorded answer is malformed"))?;
    let mut headers = decode_headers(&answer.head);
    headers.insert("x-poplarspan-replay", HeaderValue::from_static("true"));
    Ok(build_response(status, headers, answer.body))
}

/// Encodes headers as a JSON array of pairs, which the ledger stores unchanged. Values that are not
/// visible ASCII are dropped.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Bytes {
    let pairs: Vec<(&str, &str)> = headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
        .collect();
    serde_json::to_vec(&pairs).expect("plain strings serialize").into()
}

fn decode_headers(buf: &[u8]) -> HeaderMap {
    let pairs: Vec<(String, String)> = serde_json::from_slice(buf).unwrap_or_default();
    pairs
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_str(value).ok()?))
        })
        .collect()
}

/// Returns the number of generated tokens that the engine reports.
pub(crate) fn completion_tokens(body: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct Document {
        usage: Usage,
    }
    serde_json::from_slice::<Document>(body).ok().map(|d| d.usage.completion_tokens)
}
