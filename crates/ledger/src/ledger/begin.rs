//! Begins of calls: resends, turn order, limits, and the grant of a claim.

use std::sync::Arc;

use poplarspan_proto::ledger::{
    Begin, BudgetExceeded, Dispatch, Ended, Fenced, Granted, Recorded, Stale, StoreFull, TurnLimit,
    ledger_answer::Answer,
};

use super::{
    Ledger, OpenClaim, Place,
    call::{Call, Resend, State},
    program::{Ceilings, Lookup, PROGRAM_OVERHEAD_BYTES, Program},
};
use crate::names::Key;

impl Ledger {
    pub(super) fn begin(&mut self, begin: Begin) -> Answer {
        if begin.claimant.as_ref().is_none_or(|claimant| self.is_fenced(claimant)) {
            return Answer::Fenced(Fenced {});
        }
        match &begin.program {
            Some(program) => {
                let key = Key::new(&begin.team, program);
                self.begin_turn(&key, &begin)
            }
            None => {
                let key = Key::new(&begin.team, &begin.idempotency_key);
                self.begin_keyed(&key, &begin)
            }
        }
    }

    fn begin_turn(&mut self, key: &Key, begin: &Begin) -> Answer {
        let lineage = key.lineage();
        self.end_overdue(&lineage);
        let (is_reclaim, ahead) = match self.programs.get(key).map(|p| p.lookup(begin)) {
            Some(Lookup::Answer(answer)) => return answer,
            Some(Lookup::Next) => (false, None),
            Some(Lookup::Reclaim) => (true, None),
            Some(Lookup::Ahead(ahead)) => (false, Some(ahead)),
            None => (false, Program::ahead_of_first(begin)),
        };
        let ended = lineage.iter().find_map(|level| self.programs.get(level)?.ended);
        if let Some(end) = ended {
            return Answer::Ended(Ended { cause: end.cause.into() });
        }
        if let Some(ahead) = ahead {
            return Answer::OutOfOrder(ahead);
        }
        if let Err(refusal) = self.check_room(&lineage, begin, is_reclaim) {
            return refusal;
        }
        if is_reclaim {
            self.remove_abandoned(key);
        }
        self.create_missing(&lineage, begin);
        self.grant_turn(key, begin)
    }

    /// Checks the team's store and the limits of the program and its ancestors.
    fn check_room(&self, lineage: &[Key], begin: &Begin, is_reclaim: bool) -> Result<(), Answer> {
        let missing = lineage.iter().filter(|level| !self.programs.contains_key(level)).count();
        let abandoned = lineage.last().and_then(|key| self.programs.get(key)?.pending());
        let freed = abandoned.filter(|_| is_reclaim).map_or(0, Call::bytes);
        self.check_store(begin, missing as u64 * PROGRAM_OVERHEAD_BYTES, freed)?;

        let new = Program::new(Ceilings::new(begin.limits.as_ref(), &self.settings), self.now_ms);
        let levels = || lineage.iter().map(|level| self.programs.get(level).unwrap_or(&new));
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

    /// Refuses a call whose answer might not fit. Answers that were promised to be kept are never
    /// dropped to make room.
    fn check_store(&self, begin: &Begin, more: u64, freed: u64) -> Result<(), Answer> {
        let used_bytes = self.used_bytes(&begin.team);
        let needed = Call::worst_case_bytes(begin).saturating_add(more);
        let limit_bytes = self.settings.team_bytes;
        if used_bytes.saturating_sub(freed).saturating_add(needed) > limit_bytes {
            return Err(Answer::StoreFull(StoreFull { used_bytes, limit_bytes }));
        }
        Ok(())
    }

    fn remove_abandoned(&mut self, key: &Key) {
        let Some(call) = self.programs.get_mut(key).and_then(Program::pop) else { return };
        let is_idle = matches!(call.state, State::Claimable);
        self.assert(is_idle, "only an abandoned call may be replaced", key);
        self.remove_bytes(&key.team, call.bytes());
        self.return_turn(key);
    }

    fn create_missing(&mut self, lineage: &[Key], begin: &Begin) {
        for level in lineage
            .iter()
            .filter(|level| !self.programs.contains_key(level))
            .cloned()
            .collect::<Vec<_>>()
        {
            let limits = Ceilings::new(begin.limits.as_ref(), &self.settings);
            let program = Program::new(limits, self.now_ms);
            self.due.insert((program.due_ms(self.now_ms), level.clone()));
            self.add_bytes(&level.team, program.bytes());
            self.programs.insert(level, program);
        }
    }

    fn grant_turn(&mut self, key: &Key, begin: &Begin) -> Answer {
        let claim = self.next_number();
        let call = Call::new(begin, claim, self.now_ms);
        self.track(Place::Turn(key.clone()), &call);
        self.add_bytes(&key.team, call.bytes());
        let Some(program) = self.programs.get_mut(key) else { return super::invalid("no program") };
        let endpoints = call.open().map(|open| open.endpoints.clone()).unwrap_or_default();
        program.endpoints.extend(endpoints);
        let last_claim = program.turns.last().map_or(0, |call| call.claim);
        let turn = program.push(call);
        self.assert(claim > last_claim, "claims rise", key);
        self.charge(key, begin.reserve_tokens);
        Answer::Granted(Granted { claim, turn })
    }

    fn begin_keyed(&mut self, key: &Key, begin: &Begin) -> Answer {
        let abandoned = match self.calls.get(key).map(|call| (call.resend(begin, 0), call)) {
            Some((Resend::Answer(answer), _)) => return answer,
            Some((Resend::Reclaim, call)) => Some((call.bytes(), call.claim, call.keep_until_ms)),
            None => None,
        };
        let (freed, last_claim, keep_until_ms) = abandoned.unwrap_or_default();
        if let Err(refusal) = self.check_store(begin, 0, freed) {
            return refusal;
        }
        if abandoned.is_some() {
            self.calls_due.remove(&(keep_until_ms, key.clone()));
            self.remove_bytes(&key.team, freed);
        }
        let claim = self.next_number();
        let call = Call::new(begin, claim, self.now_ms);
        self.track(Place::Keyed(key.clone()), &call);
        self.add_bytes(&key.team, call.bytes());
        self.calls.insert(key.clone(), call);
        self.assert(claim > last_claim, "claims rise", key);
        Answer::Granted(Granted { claim, turn: 0 })
    }

    /// Adds an open call to the index by claim.
    pub(super) fn track(&mut self, place: Place, call: &Call) {
        if let Some(open) = call.open() {
            let claim = OpenClaim {
                place,
                instance: open.claimant.instance.as_str().into(),
                incarnation: open.claimant.incarnation,
                deadline_ms: open.deadline_ms,
            };
            self.open.insert(call.claim, claim);
        }
    }

    /// Notes a further endpoint of an open call before the call is sent there. Refused after the
    /// program has ended, because its release orders are out already.
    pub(super) fn dispatch(&mut self, dispatch: Dispatch) -> Answer {
        let Some(id) = dispatch.call.as_ref() else { return super::invalid("call is missing") };
        let (place, turn) = super::end::locate(id);
        let is_held = self.call(&place, turn).is_some_and(|call| call.claim == dispatch.claim);
        if !is_held {
            return Answer::Stale(Stale {});
        }
        let endpoint: Arc<str> = dispatch.endpoint.as_str().into();
        if let Place::Turn(key) = &place
            && let Some(program) = self.programs.get_mut(key)
        {
            if let Some(end) = program.ended {
                return Answer::Ended(Ended { cause: end.cause.into() });
            }
            if program.pending().and_then(Call::open).is_some() {
                program.endpoints.insert(endpoint.clone());
            }
        }
        match self.call_mut(&place, turn).map(|call| &mut call.state) {
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
