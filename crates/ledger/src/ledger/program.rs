//! One program: its turns in order, its limits, and the resources that it and its descendants used.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use poplarspan_proto::ledger::{
    Begin, BodyMismatch, EndCause, Limits, OutOfOrder, ledger_answer::Answer,
};

use super::{
    Settings,
    call::{Call, Resend, State},
};

/// Memory accounted for a program in addition to its calls.
pub(super) const PROGRAM_OVERHEAD_BYTES: u64 = 512;

#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) limits: ProgramLimits,
    pub(super) created_ms: u64,
    /// Time of the last begin or end of a call of this program or a descendant.
    pub(super) touched_ms: u64,
    /// Tokens spent by the program and its descendants, never more than the budget.
    pub(super) spent: u64,
    /// Tokens that calls cost above their reservation and that exceeded the budget.
    pub(super) overrun: u64,
    /// Calls of the program and its descendants, except those that did not run.
    pub(super) turns_used: u32,
    /// Turn n is at index n - 1. Only the last one may be pending.
    pub(super) turns: Vec<Call>,
    /// Endpoints that calls of this program were sent to.
    pub(super) endpoints: BTreeSet<Arc<str>>,
    pub(super) ended: Option<End>,

    // Derived from the calls and rebuilt when a snapshot is restored.
    /// Turn of each idempotency key.
    pub(super) keys: BTreeMap<Arc<str>, u32>,
    /// Tokens reserved by the open calls of the program and its descendants.
    pub(super) reserved: u64,
    /// Number of open calls of the program and its descendants.
    pub(super) open: u32,
}

/// Why a program has ended, and until when it is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) cause: EndCause,
    pub(super) keep_until_ms: u64,
}

/// Limits of a program, with defaults filled in.
#[derive(Clone, Debug)]
pub(super) struct ProgramLimits {
    pub(super) tokens: u64,
    pub(super) turns: u32,
    pub(super) lifetime_ms: u64,
    pub(super) idle_ms: u64,
}

/// How a program handles a [`Begin`].
pub(super) enum TurnLookup {
    /// Return this answer; no run is needed.
    Answer(Answer),
    /// A new call, which takes the next turn.
    Next,
    /// The last turn, whose claimant is gone; the call replaces it.
    Reclaim,
    /// A turn after the expected one.
    Ahead(OutOfOrder),
}

impl ProgramLimits {
    pub(super) fn new(limits: Option<&Limits>, settings: &Settings) -> Self {
        let limits = limits.copied().unwrap_or_default();
        Self {
            tokens: limits.tokens.unwrap_or(u64::MAX),
            turns: limits.turns.unwrap_or(u32::MAX),
            lifetime_ms: limits.lifetime_ms.unwrap_or(settings.lifetime_ms),
            idle_ms: limits.idle_ms.unwrap_or(settings.idle_ms),
        }
    }
}

impl Program {
    pub(super) fn new(limits: ProgramLimits, now_ms: u64) -> Self {
        Self {
            limits,
            created_ms: now_ms,
            touched_ms: now_ms,
            spent: 0,
            overrun: 0,
            turns_used: 0,
            turns: Vec::new(),
            endpoints: BTreeSet::new(),
            ended: None,
            keys: BTreeMap::new(),
            reserved: 0,
            open: 0,
        }
    }

    pub(super) fn lookup(&self, begin: &Begin) -> TurnLookup {
        let by_key = self.keys.get(begin.idempotency_key.as_str()).copied();
        match (begin.turn, by_key) {
            (Some(turn), Some(known)) if turn != known => body_mismatch(),
            (_, Some(known)) => self.resend(begin, known),
            (Some(turn), None) if turn as usize <= self.turns.len() => {
                self.resend_by_turn(begin, turn)
            }
            (Some(turn), None) if turn != self.expected() || self.pending().is_some() => {
                TurnLookup::Ahead(OutOfOrder { expected: self.expected() })
            }
            (Some(_), None) => TurnLookup::Next,
            (None, None) => match self.pending().map(|call| &call.state) {
                None => TurnLookup::Next,
                Some(State::Open(open)) => TurnLookup::Answer(open.running(self.expected())),
                Some(_) => TurnLookup::Reclaim,
            },
        }
    }

    fn resend(&self, begin: &Begin, turn: u32) -> TurnLookup {
        match self.turns.get(turn as usize - 1).map(|call| call.answer_resend(begin, turn)) {
            Some(Resend::Answer(answer)) => TurnLookup::Answer(answer),
            Some(Resend::Reclaim) => TurnLookup::Reclaim,
            None => body_mismatch(),
        }
    }

    /// Handles a `begin` that names an existing turn with another key. If either key was generated,
    /// the turn identifies the call; two different keys set by the caller are two different calls.
    fn resend_by_turn(&self, begin: &Begin, turn: u32) -> TurnLookup {
        let Some(call) = self.turns.get(turn as usize - 1) else { return body_mismatch() };
        match call.state {
            State::Claimable => TurnLookup::Reclaim,
            _ if begin.key_generated || call.key_generated => self.resend(begin, turn),
            _ => body_mismatch(),
        }
    }

    /// Refuses a `begin` that names any turn but the first of a program that does not exist yet.
    pub(super) fn ahead_of_first(begin: &Begin) -> Option<OutOfOrder> {
        begin.turn.filter(|turn| *turn != 1).map(|_| OutOfOrder { expected: 1 })
    }

    /// The last call, if it has no outcome yet.
    pub(super) fn pending(&self) -> Option<&Call> {
        self.turns.last().filter(|call| call.is_pending())
    }

    /// Number of the first turn that has no outcome yet.
    pub(super) fn expected(&self) -> u32 {
        let closed = self.turns.len() - usize::from(self.pending().is_some());
        closed as u32 + 1
    }

    /// Appends a call and returns its turn.
    pub(super) fn push(&mut self, call: Call) -> u32 {
        let turn = self.turns.len() as u32 + 1;
        self.keys.insert(call.key.clone(), turn);
        self.turns.push(call);
        turn
    }

    /// Removes the last call, which frees its turn.
    pub(super) fn pop(&mut self) -> Option<Call> {
        let call = self.turns.pop()?;
        self.keys.remove(&call.key);
        Some(call)
    }

    /// The limit that the program has exceeded at `now_ms`, if any.
    pub(super) fn expiry_cause(&self, now_ms: u64) -> Option<EndCause> {
        if now_ms >= self.created_ms.saturating_add(self.limits.lifetime_ms) {
            Some(EndCause::Lifetime)
        } else if self.open == 0 && now_ms >= self.touched_ms.saturating_add(self.limits.idle_ms) {
            Some(EndCause::Idle)
        } else {
            None
        }
    }

    /// A time at or before the one at which the program must be ended or dropped. While calls are
    /// open, the idle limit counts from `now_ms`, so the caller must check again at that time.
    pub(super) fn due_ms(&self, now_ms: u64) -> u64 {
        match self.ended {
            Some(end) => end.keep_until_ms,
            None => {
                let touched_ms = if self.open == 0 { self.touched_ms } else { now_ms };
                let idle = touched_ms.saturating_add(self.limits.idle_ms);
                idle.min(self.created_ms.saturating_add(self.limits.lifetime_ms))
            }
        }
    }

    pub(super) fn bytes(&self) -> u64 {
        let calls = self.turns.iter().map(Call::bytes);
        calls.fold(PROGRAM_OVERHEAD_BYTES, u64::saturating_add)
    }
}

fn body_mismatch() -> TurnLookup {
    TurnLookup::Answer(Answer::BodyMismatch(BodyMismatch {}))
}
