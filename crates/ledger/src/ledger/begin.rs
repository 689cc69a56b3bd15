//! Handling of begins: retries of existing calls, turn order, limits, and granting a claim.

use std::sync::Arc;

use poplarspan_proto::ledger::{
    Begin, BudgetExceeded, Dispatch, Ended, Fenced, Granted, Recorded, Stale, StoreFull, TurnLimit,
    ledger_answer::Answer,
};

use super::{
    CallLocation, Ledger, OpenClaim,
    call::{Call, Resend, State},
    program::{PROGRAM_OVERHEAD_BYTES, Program, ProgramLimits, TurnLookup},
};
use crate::names::TeamKey;

impl Ledger {
    pub(super) fn begin(&mut self, begin: Begin) -> Answer {
        if begin.claimant.as_ref().is_none_or(|claimant| self.is_fenced(claimant)) {
            return Answer::Fenced(Fenced {});
        }
        match &begin.program {
            Some(program) => {
                let key = TeamKey::new(&begin.team, program);
                self.begin_turn(&key, &begin)
            }
            None => {
                let key = TeamKey::new(&begin.team, &begin.idempotency_key);
                self.begin_keyed(&key, &begin)
            }
        }
    }

    fn begin_turn(&mut self, key: &TeamKey, begin: &Begin) -> Answer {
        let path = key.ancestors_and_self();
        self.end_expired(&path);
        let (is_reclaim, ahead) = match self.programs.get(key).map(|p| p.lookup(begin)) {
            Some(TurnLookup::Answer(answer)) => return answer,
            Some(TurnLookup::Next) => (false, None),
            Some(TurnLookup::Reclaim) => (true, None),
            Some(TurnLookup::Ahead(ahead)) => (false, Some(ahead)),
            None => (false, Program::ahead_of_first(begin)),
        };
        let ended = path.iter().find_map(|level| self.programs.get(level)?.ended);
        if let Some(end) = ended {
            return Answer::Ended(Ended { cause: end.cause.into() });
        }
        if let Some(ahead) = ahead {
            return Answer::OutOfOrder(ahead);
        }
        if let Err(refusal) = self.check_limits(&path, begin, is_reclaim) {
            return refusal;
        }
        if is_reclaim {
            self.remove_abandoned(key);
        }
        self.create_missing_programs(&path, begin);
        self.grant_turn(key, begin)
    }

    /// Checks the capacity of the team's store and the limits of the program and its ancestors.
    /// Missing ancestors count with the limits that they would be created with.
    fn check_limits(
        &self,
        path: &[TeamKey],
        begin: &Begin,
        is_reclaim: bool,
    ) -> Result<(), Answer> {
        let missing = path.iter().filter(|level| !self.programs.contains_key(level)).count();
        let abandoned = path.last().and_then(|key| self.programs.get(key)?.pending());
        let freed_bytes = abandoned.filter(|_| is_reclaim).map_or(0, Call::bytes);
        self.check_store_capacity(begin, missing as u64 * PROGRAM_OVERHEAD_BYTES, freed_bytes)?;

        let new =
            Program::new(ProgramLimits::new(begin.limits.as_ref(), &self.settings), self.now_ms);
        let levels = || path.iter().map(|level| self.programs.get(level).unwrap_or(&new));
        let has_turn = |p: &Program| is_reclaim || p.turns_used < p.limits.turns;
        if !levels().all(has_turn) {
            return Err(Answer::TurnLimit(TurnLimit {}));
        }
        let remaining = levels().map(Program::remaining).min().unwrap_or(0);
        if begin.reserve_tokens > remaining {
            return Err(Answer::BudgetExceeded(BudgetExceeded { remaining }));
        }
        Ok(())
    }

    /// Refuses a call whose answer might exceed the team's limit. Answers within their retention
    /// time are never dropped to make room for others.
    fn check_store_capacity(
        &self,
        begin: &Begin,
        extra_bytes: u64,
        freed_bytes: u64,
    ) -> Result<(), Answer> {
        let used_bytes = self.used_bytes(&begin.team);
        let needed = Call::worst_case_bytes(begin).saturating_add(extra_bytes);
        let limit_bytes = self.settings.team_bytes;
        if used_bytes.saturating_sub(freed_bytes).saturating_add(needed) > limit_bytes {
            return Err(Answer::StoreFull(StoreFull { used_bytes, limit_bytes }));
        }
        Ok(())
    }

    /// Removes the last turn, whose claimant is gone, before another call replaces it.
    fn remove_abandoned(&mut self, key: &TeamKey) {
        let Some(call) = self.programs.get_mut(key).and_then(Program::pop) else { return };
        let is_claimable = matches!(call.state, State::Claimable);
        self.check_invariant(is_claimable, "only an abandoned call may be replaced", key);
        self.remove_bytes(&key.team, call.bytes());
        self.refund_turn(key);
    }

    fn create_missing_programs(&mut self, path: &[TeamKey], begin: &Begin) {
        for level in path
            .iter()
            .filter(|level| !self.programs.contains_key(level))
            .cloned()
            .collect::<Vec<_>>()
        {
            let limits = ProgramLimits::new(begin.limits.as_ref(), &self.settings);
            let program = Program::new(limits, self.now_ms);
            self.programs_due.insert((program.due_ms(self.now_ms), level.clone()));
            self.add_bytes(&level.team, program.bytes());
            self.programs.insert(level, program);
        }
    }

    fn grant_turn(&mut self, key: &TeamKey, begin: &Begin) -> Answer {
        let claim = self.next_number();
        let call = Call::new(begin, claim, self.now_ms);
        self.index_open_call(CallLocation::Turn(key.clone()), &call);
        self.add_bytes(&key.team, call.bytes());
        let Some(program) = self.programs.get_mut(key) else { return super::invalid("no program") };
        let endpoints = call.open().map(|open| open.endpoints.clone()).unwrap_or_default();
        program.endpoints.extend(endpoints);
        let last_claim = program.turns.last().map_or(0, |call| call.claim);
        let turn = program.push(call);
        self.check_invariant(claim > last_claim, "claim numbers increase", key);
        self.charge(key, begin.reserve_tokens);
        Answer::Granted(Granted { claim, turn })
    }

    fn begin_keyed(&mut self, key: &TeamKey, begin: &Begin) -> Answer {
        let abandoned = match self.calls.get(key).map(|call| (call.answer_resend(begin, 0), call)) {
            Some((Resend::Answer(answer), _)) => return answer,
            Some((Resend::Reclaim, call)) => Some((call.bytes(), call.claim, call.keep_until_ms)),
            None => None,
        };
        let (freed_bytes, last_claim, keep_until_ms) = abandoned.unwrap_or_default();
        if let Err(refusal) = self.check_store_capacity(begin, 0, freed_bytes) {
            return refusal;
        }
        if abandoned.is_some() {
            self.calls_due.remove(&(keep_until_ms, key.clone()));
            self.remove_bytes(&key.team, freed_bytes);
        }
        let claim = self.next_number();
        let call = Call::new(begin, claim, self.now_ms);
        self.index_open_call(CallLocation::Keyed(key.clone()), &call);
        self.add_bytes(&key.team, call.bytes());
        self.calls.insert(key.clone(), call);
        self.check_invariant(claim > last_claim, "claim numbers increase", key);
        Answer::Granted(Granted { claim, turn: 0 })
    }

    /// Adds an open call to the index of open claims.
    pub(super) fn index_open_call(&mut self, location: CallLocation, call: &Call) {
        if let Some(open) = call.open() {
            let claim = OpenClaim {
                location,
                instance: open.claimant.instance.as_str().into(),
                incarnation: open.claimant.incarnation,
                deadline_ms: open.deadline_ms,
            };
            self.open.insert(call.claim, claim);
        }
    }

    /// Records a further endpoint of an open call before the call is sent there. Refused after the
    /// program has ended, because its release orders already exist and would miss the endpoint.
    pub(super) fn dispatch(&mut self, dispatch: Dispatch) -> Answer {
        let Some(id) = dispatch.call.as_ref() else { return super::invalid("call is missing") };
        let (location, turn) = super::end::locate(id);
        let is_held = self.call(&location, turn).is_some_and(|call| call.claim == dispatch.claim);
        if !is_held {
            return Answer::Stale(Stale {});
        }
        let endpoint: Arc<str> = dispatch.endpoint.as_str().into();
        if let CallLocation::Turn(key) = &location
            && let Some(program) = self.programs.get_mut(key)
        {
            if let Some(end) = program.ended {
                return Answer::Ended(Ended { cause: end.cause.into() });
            }
            if program.pending().and_then(Call::open).is_some() {
                program.endpoints.insert(endpoint.clone());
            }
        }
        match self.call_mut(&location, turn).map(|call| &mut call.state) {
            Some(State::Open(open)) => {
                if !open.endpoints.contains(&endpoint) {
                    open.endpoints.push(endpoint);
                }
                Answer::Recorded(Recorded {})
            }
            _ => Answer::Stale(Stale {}),
        }
    }
}
