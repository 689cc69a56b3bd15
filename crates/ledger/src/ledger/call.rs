//! One call: a turn of a program, or a call without one.

use std::sync::Arc;

use bytes::Bytes;
use poplarspan_proto::ledger::{
    Answer, Begin, BodyMismatch, CallKind, Claimant, Granted, OutcomeUnknown, Running,
    ledger_answer,
};

/// Memory accounted for a call in addition to its key, request and answer.
const CALL_OVERHEAD_BYTES: u64 = 256;

#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Idempotency key.
    pub(super) key: Arc<str>,
    /// Whether the key was generated because the caller sent none.
    pub(super) key_generated: bool,
    /// Digest of the request body.
    pub(super) digest: Bytes,
    pub(super) kind: CallKind,
    pub(super) request: Bytes,
    /// Number of the latest claim, which serves as fencing token: only its holder may end the call.
    pub(super) claim: u64,
    pub(super) state: State,
    pub(super) closed_ms: u64,
    /// Time until which the call is kept. Only set for a call without a program that is not open.
    pub(super) keep_until_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) enum State {
    Open(Open),
    /// The call is idempotent and its run was lost, so it may run again.
    Claimable,
    Answered(Answer),
    /// The call is not idempotent and may have run, so it must not run again.
    Unknown,
}

#[derive(Clone, Debug)]
pub(super) struct Open {
    pub(super) claimant: Claimant,
    pub(super) attempt: u64,
    pub(super) reserved_tokens: u64,
    pub(super) reserved_bytes: u64,
    pub(super) endpoints: Vec<Arc<str>>,
    pub(super) deadline_ms: u64,
}

/// How to handle a [`Begin`] that refers to an existing call.
pub(super) enum Resend {
    /// Return this answer; no run is needed.
    Answer(ledger_answer::Answer),
    /// Grant a new claim to the call.
    Reclaim,
}

impl Call {
    pub(super) fn new(begin: &Begin, claim: u64, now_ms: u64) -> Self {
        let deadline_ms = match begin.timeout_ms {
            0 => u64::MAX,
            timeout => now_ms.saturating_add(timeout),
        };
        let endpoint = Some(begin.endpoint.as_str()).filter(|e| !e.is_empty());
        Self {
            key: begin.idempotency_key.as_str().into(),
            key_generated: begin.key_generated,
            digest: begin.body_digest.clone(),
            kind: begin.kind(),
            request: begin.request.clone(),
            claim,
            state: State::Open(Open {
                claimant: begin.claimant.clone().unwrap_or_default(),
                attempt: begin.attempt,
                reserved_tokens: begin.reserve_tokens,
                reserved_bytes: begin.reserve_bytes,
                endpoints: endpoint.map(Arc::from).into_iter().collect(),
                deadline_ms,
            }),
            closed_ms: 0,
            keep_until_ms: 0,
        }
    }

    /// Bytes that the call uses or, while it is open, the most it may use.
    pub(super) fn bytes(&self) -> u64 {
        let result = match &self.state {
            State::Open(open) => open.reserved_bytes,
            State::Answered(answer) => (answer.head.len() + answer.body.len()) as u64,
            State::Claimable | State::Unknown => 0,
        };
        let fixed_bytes = CALL_OVERHEAD_BYTES + (self.key.len() + self.request.len()) as u64;
        fixed_bytes.saturating_add(result)
    }

    /// The most bytes that a call begun by `begin` may use.
    pub(super) fn worst_case_bytes(begin: &Begin) -> u64 {
        let fixed_bytes =
            CALL_OVERHEAD_BYTES + (begin.idempotency_key.len() + begin.request.len()) as u64;
        fixed_bytes.saturating_add(begin.reserve_bytes)
    }

    pub(super) fn open(&self) -> Option<&Open> {
        match &self.state {
            State::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Whether the call has no outcome yet.
    pub(super) fn is_pending(&self) -> bool {
        matches!(self.state, State::Open(_) | State::Claimable)
    }

    /// Answers a `begin` that refers to this call. `turn` is its turn, or 0 without a program.
    pub(super) fn answer_resend(&self, begin: &Begin, turn: u32) -> Resend {
        use ledger_answer::Answer;
        if self.digest != begin.body_digest {
            return Resend::Answer(Answer::BodyMismatch(BodyMismatch {}));
        }
        Resend::Answer(match &self.state {
            State::Open(open) if self.kind == begin.kind() && open.is_same_proposal(begin) => {
                Answer::Granted(Granted { claim: self.claim, turn })
            }
            State::Open(open) => open.running(turn),
            // The abandoned run may have taken effect, so both the original call and the new one
            // must be idempotent.
            State::Claimable if self.kind == begin.kind() => return Resend::Reclaim,
            State::Claimable => Answer::BodyMismatch(BodyMismatch {}),
            State::Answered(answer) => Answer::Replay(answer.clone()),
            State::Unknown => Answer::OutcomeUnknown(OutcomeUnknown { turn }),
        })
    }
}

impl Open {
    /// Whether `begin` is the proposal that opened the call, proposed again because its answer was
    /// lost. An attempt number of 0 never matches.
    fn is_same_proposal(&self, begin: &Begin) -> bool {
        begin.attempt != 0
            && self.attempt == begin.attempt
            && Some(&self.claimant) == begin.claimant.as_ref()
    }

    pub(super) fn running(&self, turn: u32) -> ledger_answer::Answer {
        let claimant = Some(self.claimant.clone());
        ledger_answer::Answer::Running(Running { claimant, turn })
    }
}
