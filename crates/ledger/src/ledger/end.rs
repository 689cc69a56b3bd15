//! Ends of calls, by their claimant or because the claimant is gone.

use poplarspan_proto::ledger::{
    CallId, CallKind, End, Recorded, ReleaseOrder, Stale, end::Outcome, ledger_answer::Answer,
};

use super::{
    Ledger, Place,
    budget::Settlement,
    call::{Call, State},
    program::Program,
};
use crate::names::Key;

/// Where a call is found, and its turn.
pub(super) fn locate(id: &CallId) -> (Place, u32) {
    match &id.program {
        Some(program) => (Place::Turn(Key::new(&id.team, program)), id.turn),
        None => (Place::Keyed(Key::new(&id.team, &id.idempotency_key)), 0),
    }
}

impl Ledger {
    pub(super) fn call(&self, place: &Place, turn: u32) -> Option<&Call> {
        match place {
            Place::Turn(key) => self.programs.get(key)?.turns.get((turn as usize).checked_sub(1)?),
            Place::Keyed(key) => self.calls.get(key),
        }
    }

    pub(super) fn call_mut(&mut self, place: &Place, turn: u32) -> Option<&mut Call> {
        match place {
            Place::Turn(key) => {
                self.programs.get_mut(key)?.turns.get_mut((turn as usize).checked_sub(1)?)
            }
            Place::Keyed(key) => self.calls.get_mut(key),
        }
    }

    pub(super) fn end(&mut self, end: End) -> Answer {
        let End { call: Some(id), claim, outcome: Some(outcome) } = end else {
            return super::invalid("call or outcome is missing");
        };
        let (place, turn) = locate(&id);
        let Some(call) = self.call(&place, turn).filter(|call| call.claim == claim) else {
            return Answer::Stale(Stale {});
        };
        // An end that is proposed again after a lost answer is recorded already.
        let is_recorded = match (&call.state, &outcome) {
            (State::Open(_), _) => {
                self.close(&place, turn, outcome);
                true
            }
            (State::Answered(first), Outcome::Answered(answer)) => first == answer,
            (State::Unknown | State::Claimable, Outcome::Unknown(_)) => true,
            _ => false,
        };
        if is_recorded { Answer::Recorded(Recorded {}) } else { Answer::Stale(Stale {}) }
    }

    /// Closes an open call.
    pub(super) fn close(&mut self, place: &Place, turn: u32, outcome: Outcome) {
        let Some(call) = self.call(place, turn) else { return };
        let Some(open) = call.open().cloned() else { return };
        let (claim, bytes, kind) = (call.claim, call.bytes(), call.kind);
        self.open.remove(&claim);
        let is_used = !matches!(outcome, Outcome::NotRun(_));
        let (cost, state) = match outcome {
            Outcome::Answered(answer) => (answer.cost_tokens, Some(State::Answered(answer))),
            Outcome::NotRun(_) => (0, None),
            // What the lost run has cost can't be known, so the worst case counts as spent.
            Outcome::Unknown(unknown) => {
                let is_idempotent = kind == CallKind::Idempotent;
                let state = if is_idempotent { State::Claimable } else { State::Unknown };
                (unknown.cost_tokens.unwrap_or(open.reserved_tokens), Some(state))
            }
        };
        let is_lost = matches!(state, Some(State::Claimable | State::Unknown));
        let team = match place {
            Place::Turn(key) | Place::Keyed(key) => key.team.clone(),
        };
        self.remove_bytes(&team, bytes);
        match state {
            Some(state) => self.set_state(place, turn, state),
            None => self.remove_call(place),
        }
        if is_lost {
            let endpoints = open.endpoints.iter().map(|e| e.to_string()).collect::<Vec<_>>();
            endpoints.into_iter().for_each(|endpoint| self.order(place, endpoint, Some(claim)));
        }
        if let Place::Turn(key) = place {
            self.settle(key, Settlement { reserved: open.reserved_tokens, cost, is_used });
            self.keep_ended(key, is_used);
        }
    }

    fn set_state(&mut self, place: &Place, turn: u32, state: State) {
        let now_ms = self.now_ms;
        let keep_until_ms = now_ms.saturating_add(self.settings.resend_window_ms);
        let Some(call) = self.call_mut(place, turn) else { return };
        let was_open = call.open().is_some();
        call.state = state;
        call.closed_ms = now_ms;
        if let Place::Keyed(_) = place {
            call.keep_until_ms = keep_until_ms;
        }
        let bytes = call.bytes();
        let (Place::Turn(key) | Place::Keyed(key)) = place;
        self.add_bytes(&key.team, bytes);
        if let Place::Keyed(key) = place {
            self.calls_due.insert((keep_until_ms, key.clone()));
        }
        self.assert(was_open, "an answer or unknown outcome is never overwritten", key);
    }

    /// Removes a call that did not run, so that its turn or key is free again.
    fn remove_call(&mut self, place: &Place) {
        match place {
            Place::Turn(key) => {
                self.programs.get_mut(key).and_then(Program::pop);
            }
            Place::Keyed(key) => {
                self.calls.remove(key);
            }
        }
    }

    /// After the late end of a call of an ended program: keeps its answer for the whole resend
    /// window, and makes its endpoints release what the call held after the first orders.
    fn keep_ended(&mut self, key: &Key, has_run: bool) {
        if self.programs.get(key).is_none_or(|program| program.ended.is_none()) {
            return;
        }
        if has_run {
            self.order_release(key);
        }
        let keep_until_ms = self.now_ms.saturating_add(self.settings.resend_window_ms);
        for level in key.lineage() {
            if let Some(end) = self.programs.get_mut(&level).and_then(|p| p.ended.as_mut()) {
                end.keep_until_ms = end.keep_until_ms.max(keep_until_ms);
                self.due.insert((end.keep_until_ms, level));
            }
        }
    }

    /// Orders each endpoint that the program used to release all it holds for the program.
    pub(super) fn order_release(&mut self, key: &Key) {
        let Some(program) = self.programs.get(key) else { return };
        let endpoints = program.endpoints.iter().map(|e| e.to_string()).collect::<Vec<_>>();
        let place = Place::Turn(key.clone());
        endpoints.into_iter().for_each(|endpoint| self.order(&place, endpoint, None));
    }

    fn order(&mut self, place: &Place, endpoint: String, claim: Option<u64>) {
        let number = self.next_number();
        let (key, program) = match place {
            Place::Turn(key) => (key, Some(key.name.to_string())),
            Place::Keyed(key) => (key, None),
        };
        let team = key.team.to_string();
        self.orders.insert(number, ReleaseOrder { number, team, program, endpoint, claim });
    }
}
