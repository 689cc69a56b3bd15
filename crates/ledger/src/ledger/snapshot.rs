//! Conversion of the ledger from and to its snapshot message.

use poplarspan_proto::ledger::{
    CallKind, CallState, Claimable, Configure, EndCause, GoneInstance, LedgerSnapshot, Limits,
    OpenState, ProgramState, Unknown, call_state,
};

use super::{
    CallLocation, Ledger, Settings,
    call::{Call, Open, State},
    check::DIGEST_BYTES,
    program::{End, Program, ProgramLimits},
    sweep::KnownIncarnation,
};
use crate::{
    error::{MAX_COUNTER, RestoreError, SNAPSHOT_FORMAT},
    names::{TeamKey, is_name, is_path},
};

type Result<T> = std::result::Result<T, RestoreError>;

impl Ledger {
    pub(super) fn to_message(&self) -> LedgerSnapshot {
        let instance = |(name, known): (&std::sync::Arc<str>, &KnownIncarnation)| GoneInstance {
            instance: name.to_string(),
            incarnation: known.incarnation,
            at_ms: known.at_ms,
            gone: known.gone,
        };
        LedgerSnapshot {
            format: SNAPSHOT_FORMAT,
            index: self.index,
            now_ms: self.now_ms,
            last_number: self.last_number,
            settings: Some(self.settings.to_message()),
            programs: self.programs.iter().map(|(key, p)| p.to_message(key)).collect(),
            calls: self.calls.iter().map(|(key, call)| call.to_message(&key.team)).collect(),
            orders: self.orders.values().cloned().collect(),
            instances: self.instances.iter().map(instance).collect(),
            overruns: self.overruns,
        }
    }

    pub(super) fn from_message(message: LedgerSnapshot) -> Result<Self> {
        if message.format != SNAPSHOT_FORMAT {
            return Err(RestoreError::Format(message.format));
        }
        require(message.last_number < MAX_COUNTER, "last number is out of bounds")?;
        let mut ledger = Self {
            index: message.index,
            now_ms: message.now_ms,
            last_number: message.last_number,
            overruns: message.overruns,
            ..Self::default()
        };
        ledger.settings.configure(&message.settings.unwrap_or_default());
        message.programs.into_iter().try_for_each(|program| ledger.add_program(program))?;
        message.calls.into_iter().try_for_each(|call| ledger.add_call(call))?;
        for order in message.orders {
            require(
                order.number <= ledger.last_number,
                "release order number exceeds the last number",
            )?;
            ledger.orders.insert(order.number, order);
        }
        for GoneInstance { instance, incarnation, at_ms, gone } in message.instances {
            ledger.instances.insert(instance.into(), KnownIncarnation { incarnation, gone, at_ms });
        }
        Ok(ledger)
    }

    /// Adds a program of a snapshot. Its ancestors must have been added before.
    fn add_program(&mut self, state: ProgramState) -> Result<()> {
        require(is_name(&state.team) && is_path(&state.program), "program has an invalid name")?;
        let key = TeamKey::new(&state.team, &state.program);
        let program = Program::from_message(state)?;
        let path = key.ancestors_and_self();
        let ancestors = &path[..path.len() - 1];
        require(
            ancestors.iter().all(|k| self.programs.contains_key(k)),
            "program has a missing ancestor",
        )?;
        require(!self.programs.contains_key(&key), "duplicate program")?;
        self.programs_due.insert((program.due_ms(self.now_ms), key.clone()));
        self.add_bytes(&key.team, program.bytes());
        let pending = program.pending().cloned();
        let latest_claim = program.turns.iter().map(|call| call.claim).max();
        require(latest_claim <= Some(self.last_number), "claim exceeds the last number")?;
        self.programs.insert(key.clone(), program);
        if let Some(open) = pending.as_ref().and_then(Call::open) {
            self.restore_reservation(&path, open.reserved_tokens)?;
        }
        match pending {
            Some(call) => self.restore_open_call(CallLocation::Turn(key), &call),
            None => Ok(()),
        }
    }

    /// Adds the reservation of an open call to each program on the path.
    fn restore_reservation(&mut self, path: &[TeamKey], tokens: u64) -> Result<()> {
        for level in path {
            let Some(program) = self.programs.get_mut(level) else { continue };
            require(tokens <= program.remaining(), "reservations exceed the budget of a program")?;
            program.reserved += tokens;
            program.open += 1;
        }
        Ok(())
    }

    fn restore_open_call(&mut self, location: CallLocation, call: &Call) -> Result<()> {
        require(!self.open.contains_key(&call.claim), "duplicate claim of an open call")?;
        self.index_open_call(location, call);
        Ok(())
    }

    fn add_call(&mut self, state: CallState) -> Result<()> {
        require(is_name(&state.team), "call has an invalid name")?;
        let key = TeamKey::new(&state.team, &state.key);
        let call = Call::from_message(state)?;
        require(!self.calls.contains_key(&key), "duplicate call")?;
        require(call.claim <= self.last_number, "claim exceeds the last number")?;
        self.restore_open_call(CallLocation::Keyed(key.clone()), &call)?;
        self.add_bytes(&key.team, call.bytes());
        if call.open().is_none() {
            self.calls_due.insert((call.keep_until_ms, key.clone()));
        }
        self.calls.insert(key, call);
        Ok(())
    }
}

impl Settings {
    fn to_message(&self) -> Configure {
        Configure {
            resend_window_ms: Some(self.resend_window_ms),
            team_bytes: Some(self.team_bytes),
            lifetime_ms: Some(self.lifetime_ms),
            idle_ms: Some(self.idle_ms),
        }
    }
}

impl Program {
    fn to_message(&self, key: &TeamKey) -> ProgramState {
        ProgramState {
            team: key.team.to_string(),
            program: key.name.to_string(),
            limits: Some(Limits {
                tokens: Some(self.limits.tokens),
                turns: Some(self.limits.turns),
                lifetime_ms: Some(self.limits.lifetime_ms),
                idle_ms: Some(self.limits.idle_ms),
            }),
            created_ms: self.created_ms,
            touched_ms: self.touched_ms,
            spent_tokens: self.spent,
            overrun_tokens: self.overrun,
            turns_used: self.turns_used,
            turns: self.turns.iter().map(|call| call.to_message("")).collect(),
            endpoints: self.endpoints.iter().map(|e| e.to_string()).collect(),
            ended: self.ended.map_or(EndCause::Unspecified, |end| end.cause).into(),
            keep_until_ms: self.ended.map_or(0, |end| end.keep_until_ms),
        }
    }

    fn from_message(state: ProgramState) -> Result<Self> {
        let limits = ProgramLimits::new(state.limits.as_ref(), &Settings::default());
        require(
            state.spent_tokens <= limits.tokens,
            "spent tokens exceed the budget of a program",
        )?;
        let mut program = Self::new(limits, state.created_ms);
        let keep_until_ms = state.keep_until_ms;
        program.ended = match state.ended() {
            EndCause::Unspecified => None,
            cause => Some(End { cause, keep_until_ms }),
        };
        program.touched_ms = state.touched_ms;
        program.spent = state.spent_tokens;
        program.overrun = state.overrun_tokens;
        program.turns_used = state.turns_used;
        program.endpoints = state.endpoints.iter().map(|e| e.as_str().into()).collect();
        for turn in state.turns {
            require(program.pending().is_none(), "pending turn is not the last one")?;
            let call = Call::from_message(turn)?;
            require(
                !program.keys.contains_key(&call.key),
                "duplicate idempotency key in a program",
            )?;
            program.push(call);
        }
        Ok(program)
    }
}

impl Call {
    fn to_message(&self, team: &str) -> CallState {
        CallState {
            team: team.to_owned(),
            key: self.key.to_string(),
            key_generated: self.key_generated,
            digest: self.digest.clone(),
            kind: self.kind.into(),
            request: self.request.clone(),
            claim: self.claim,
            state: Some(match &self.state {
                State::Open(open) => call_state::State::Open(open.to_message()),
                State::Claimable => call_state::State::Claimable(Claimable {}),
                State::Answered(answer) => call_state::State::Answered(answer.clone()),
                State::Unknown => call_state::State::Unknown(Unknown { cost_tokens: None }),
            }),
            closed_ms: self.closed_ms,
            keep_until_ms: self.keep_until_ms,
        }
    }

    fn from_message(message: CallState) -> Result<Self> {
        require(is_name(&message.key), "call has an invalid key")?;
        require(message.digest.len() == DIGEST_BYTES, "call has an invalid digest")?;
        let kind = message.kind();
        require(kind != CallKind::Unspecified, "call has no kind")?;
        let state = match message.state.ok_or(RestoreError::Inconsistent("call has no state"))? {
            call_state::State::Open(open) => State::Open(Open::from_message(open)?),
            call_state::State::Claimable(_) => State::Claimable,
            call_state::State::Answered(answer) => State::Answered(answer),
            call_state::State::Unknown(_) => State::Unknown,
        };
        Ok(Self {
            key: message.key.into(),
            key_generated: message.key_generated,
            digest: message.digest,
            kind,
            request: message.request,
            claim: message.claim,
            state,
            closed_ms: message.closed_ms,
            keep_until_ms: message.keep_until_ms,
        })
    }
}

impl Open {
    fn to_message(&self) -> OpenState {
        OpenState {
            claimant: Some(self.claimant.clone()),
            attempt: self.attempt,
            reserved_tokens: self.reserved_tokens,
            reserved_bytes: self.reserved_bytes,
            endpoints: self.endpoints.iter().map(|e| e.to_string()).collect(),
            deadline_ms: self.deadline_ms,
        }
    }

    fn from_message(message: OpenState) -> Result<Self> {
        let missing = RestoreError::Inconsistent("open call has no claimant");
        Ok(Self {
            claimant: message.claimant.ok_or(missing)?,
            attempt: message.attempt,
            reserved_tokens: message.reserved_tokens,
            reserved_bytes: message.reserved_bytes,
            endpoints: message.endpoints.iter().map(|e| e.as_str().into()).collect(),
            deadline_ms: message.deadline_ms,
        })
    }
}

fn require(ok: bool, message: &'static str) -> Result<()> {
    if ok { Ok(()) } else { Err(RestoreError::Inconsistent(message)) }
}
