//! Closing of calls, by their claimant or because the claimant is gone.

use poplarspan_proto::ledger::{
    CallId, CallKind, End, Recorded, ReleaseOrder, Stale, end::Outcome, ledger_answer::Answer,
};

use super::{
    CallLocation, Ledger,
    budget::Settlement,
    call::{Call, State},
    program::Program,
};
use crate::names::TeamKey;

/// Returns where a call is stored, and its turn, which is 0 for a call without a program.
pub(super) fn locate(id: &CallId) -> (CallLocation, u32) {
    match &id.program {
        Some(program) => (CallLocation::Turn(TeamKey::new(&id.team, program)), id.turn),
        None => (CallLocation::Keyed(TeamKey::new(&id.team, &id.idempotency_key)), 0),
    }
}

impl Ledger {
    pub(super) fn call(&self, location: &CallLocation, turn: u32) -> Option<&Call> {
        match location {
            CallLocation::Turn(key) => {
                self.programs.get(key)?.turns.get((turn as usize).checked_sub(1)?)
            }
            CallLocation::Keyed(key) => self.calls.get(key),
        }
    }

    pub(super) fn call_mut(&mut self, location: &CallLocation, turn: u32) -> Option<&mut Call> {
        match location {
            CallLocation::Turn(key) => {
                self.programs.get_mut(key)?.turns.get_mut((turn as usize).checked_sub(1)?)
            }
            CallLocation::Keyed(key) => self.calls.get_mut(key),
        }
    }

    pub(super) fn end(&mut self, end: End) -> Answer {
        let End { call: Some(id), claim, outcome: Some(outcome) } = end else {
            return super::invalid("call or outcome is missing");
        };
        let (location, turn) = locate(&id);
        let Some(call) = self.call(&location, turn).filter(|call| call.claim == claim) else {
            return Answer::Stale(Stale {});
        };
        // The claimant proposes an end again when the answer was lost. The same end is accepted, a
        // different one is stale.
        let is_recorded = match (&call.state, &outcome) {
            (State::Open(_), _) => {
                self.close(&location, turn, outcome);
                true
            }
            (State::Answered(first), Outcome::Answered(answer)) => first == answer,
            (State::Unknown | State::Claimable, Outcome::Unknown(_)) => true,
            _ => false,
        };
        if is_recorded { Answer::Recorded(Recorded {}) } else { Answer::Stale(Stale {}) }
    }

    /// Closes an open call: records the outcome, settles its reservation, and orders the endpoints
    /// of a lost run to release its memory. Does nothing if the call is not open.
    pub(super) fn close(&mut self, location: &CallLocation, turn: u32, outcome: Outcome) {
        let Some(call) = self.call(location, turn) else { return };
        let Some(open) = call.open().cloned() else { return };
        let (claim, bytes, kind) = (call.claim, call.bytes(), call.kind);
        self.open.remove(&claim);
        let uses_turn = !matches!(outcome, Outcome::NotRun(_));
        let (cost, state) = match outcome {
            Outcome::Answered(answer) => (answer.cost_tokens, Some(State::Answered(answer))),
            Outcome::NotRun(_) => (0, None),
            // Unless the claimant reports it, the cost of a lost run is unknown, so the whole
            // reservation counts as spent.
            Outcome::Unknown(unknown) => {
                let is_idempotent = kind == CallKind::Idempotent;
                let state = if is_idempotent { State::Claimable } else { State::Unknown };
                (unknown.cost_tokens.unwrap_or(open.reserved_tokens), Some(state))
            }
        };
        let is_abandoned = matches!(state, Some(State::Claimable | State::Unknown));
        let team = match location {
            CallLocation::Turn(key) | CallLocation::Keyed(key) => key.team.clone(),
        };
        self.remove_bytes(&team, bytes);
        match state {
            Some(state) => self.set_state(location, turn, state),
            None => self.remove_call(location),
        }
        if is_abandoned {
            let endpoints = open.endpoints.iter().map(|e| e.to_string()).collect::<Vec<_>>();
            endpoints
                .into_iter()
                .for_each(|endpoint| self.add_release_order(location, endpoint, Some(claim)));
        }
        if let CallLocation::Turn(key) = location {
            self.settle(key, Settlement { reserved: open.reserved_tokens, cost, uses_turn });
            self.extend_retention(key, uses_turn);
        }
    }

    fn set_state(&mut self, location: &CallLocation, turn: u32, state: State) {
        let now_ms = self.now_ms;
        let keep_until_ms = now_ms.saturating_add(self.settings.resend_window_ms);
        let Some(call) = self.call_mut(location, turn) else { return };
        let was_open = call.open().is_some();
        call.state = state;
        call.closed_ms = now_ms;
        if let CallLocation::Keyed(_) = location {
            call.keep_until_ms = keep_until_ms;
        }
        let bytes = call.bytes();
        let (CallLocation::Turn(key) | CallLocation::Keyed(key)) = location;
        self.add_bytes(&key.team, bytes);
        if let CallLocation::Keyed(key) = location {
            self.calls_due.insert((keep_until_ms, key.clone()));
        }
        self.check_invariant(was_open, "a recorded outcome is never overwritten", key);
    }

    /// Removes a call that did not run, which frees its turn or key.
    fn remove_call(&mut self, location: &CallLocation) {
        match location {
            CallLocation::Turn(key) => {
                self.programs.get_mut(key).and_then(Program::pop);
            }
            CallLocation::Keyed(key) => {
                self.calls.remove(key);
            }
        }
    }

    /// Handles a call that closes after its program has ended: keeps its answer for the whole
    /// resend window, and orders the endpoints again to release memory, since the call may have
    /// used more after the first orders.
    fn extend_retention(&mut self, key: &TeamKey, uses_turn: bool) {
        if self.programs.get(key).is_none_or(|program| program.ended.is_none()) {
            return;
        }
        if uses_turn {
            self.order_program_release(key);
        }
        let keep_until_ms = self.now_ms.saturating_add(self.settings.resend_window_ms);
        for level in key.ancestors_and_self() {
            if let Some(end) = self.programs.get_mut(&level).and_then(|p| p.ended.as_mut()) {
                end.keep_until_ms = end.keep_until_ms.max(keep_until_ms);
                self.programs_due.insert((end.keep_until_ms, level));
            }
        }
    }

    /// Orders each endpoint that the program used to release all memory of the program.
    pub(super) fn order_program_release(&mut self, key: &TeamKey) {
        let Some(program) = self.programs.get(key) else { return };
        let endpoints = program.endpoints.iter().map(|e| e.to_string()).collect::<Vec<_>>();
        let location = CallLocation::Turn(key.clone());
        endpoints
            .into_iter()
            .for_each(|endpoint| self.add_release_order(&location, endpoint, None));
    }

    /// Adds a release order, for one claim or, without one, for the whole program.
    fn add_release_order(&mut self, location: &CallLocation, endpoint: String, claim: Option<u64>) {
        let number = self.next_number();
        let (key, program) = match location {
            CallLocation::Turn(key) => (key, Some(key.name.to_string())),
            CallLocation::Keyed(key) => (key, None),
        };
        let team = key.team.to_string();
        self.orders.insert(number, ReleaseOrder { number, team, program, endpoint, claim });
    }
}
