//! Test helpers: a ledger with a settable clock, and constructors for commands and outcomes.
#![allow(dead_code)]

use bytes::Bytes;
use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{
    Answer, Begin, CallId, CallKind, Claimant, End, Expire, Finish, Granted, InstanceGone,
    LedgerAnswer, LedgerCommand, Limits, NotRun, Swept, Unknown, end::Outcome, ledger_answer,
    ledger_command::Command,
};
use prost::Message;

pub use poplarspan_proto::ledger::ledger_answer::Answer as Reply;

/// A ledger whose clock is set by the test.
#[derive(Default)]
pub struct TestLedger {
    pub ledger: Ledger,
    pub now_ms: u64,
    pub index: u64,
}

impl TestLedger {
    pub fn new() -> Self {
        Self { now_ms: 1_000_000, ..Self::default() }
    }

    pub fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let data = LedgerCommand { now_ms: self.now_ms, command: Some(command) }.encode_to_vec();
        let answer = self.ledger.apply(self.index, &data);
        LedgerAnswer::decode(answer).expect("decode answer").answer.expect("known answer")
    }

    pub fn begin(&mut self, begin: &Begin) -> Reply {
        self.apply(Command::Begin(begin.clone()))
    }

    pub fn granted(&mut self, begin: &Begin) -> Granted {
        let reply = self.begin(begin);
        let Reply::Granted(granted) = reply else { panic!("expected a grant, got {reply:?}") };
        granted
    }

    pub fn end(&mut self, begin: &Begin, granted: Granted, outcome: Outcome) -> Reply {
        self.apply(Command::End(end(begin, granted, outcome)))
    }

    /// Begins a call and ends it with an answer that costs `cost_tokens`.
    pub fn run(&mut self, begin: &Begin, cost_tokens: u64) -> Granted {
        let granted = self.granted(begin);
        let reply = self.end(begin, granted, answered(cost_tokens));
        assert_eq!(reply, ledger_answer::Answer::Recorded(Default::default()));
        granted
    }

    pub fn finish(&mut self, program: &str) -> Reply {
        self.apply(Command::Finish(Finish { team: "t".into(), program: program.into() }))
    }

    pub fn gone(&mut self, instance: &str, incarnation: u64) -> Swept {
        let gone = InstanceGone { instance: instance.into(), incarnation };
        self.swept(Command::InstanceGone(gone))
    }

    /// Advances the clock by `ms` and applies an `Expire` command.
    pub fn expire_after(&mut self, ms: u64) -> Swept {
        self.now_ms += ms;
        self.swept(Command::Expire(Expire {}))
    }

    fn swept(&mut self, command: Command) -> Swept {
        let reply = self.apply(command);
        let Reply::Swept(swept) = reply else { panic!("expected sweep counts, got {reply:?}") };
        swept
    }

    /// Endpoint and claim of the unacknowledged release orders, in ascending order of their numbers.
    pub fn orders(&self) -> Vec<(String, Option<u64>)> {
        self.ledger.orders(0).map(|order| (order.endpoint.clone(), order.claim)).collect()
    }
}

/// An idempotent call of team `t` by instance `i`. Digest and request follow from the key; 10 tokens
/// and 100 bytes are reserved.
pub fn call(program: &str, turn: Option<u32>, key: &str) -> Begin {
    Begin {
        team: "t".into(),
        program: Some(program.into()),
        turn,
        idempotency_key: key.into(),
        body_digest: digest(key),
        kind: CallKind::Idempotent.into(),
        reserve_tokens: 10,
        reserve_bytes: 100,
        limits: Some(Limits::default()),
        claimant: Some(claimant("i", 1)),
        endpoint: "e".into(),
        request: Bytes::copy_from_slice(key.as_bytes()),
        ..Begin::default()
    }
}

pub fn non_idempotent(program: &str, turn: Option<u32>, key: &str) -> Begin {
    Begin { kind: CallKind::NonIdempotent.into(), ..call(program, turn, key) }
}

/// A non-idempotent call without a program.
pub fn keyed(key: &str) -> Begin {
    Begin { program: None, ..non_idempotent("", None, key) }
}

/// The same call, begun by another instance or incarnation.
pub fn from_instance(instance: &str, incarnation: u64, begin: Begin) -> Begin {
    Begin { claimant: Some(claimant(instance, incarnation)), ..begin }
}

pub fn with_budget(tokens: u64, begin: Begin) -> Begin {
    Begin { limits: Some(Limits { tokens: Some(tokens), ..Limits::default() }), ..begin }
}

pub fn end(begin: &Begin, granted: Granted, outcome: Outcome) -> End {
    let call = CallId {
        team: begin.team.clone(),
        program: begin.program.clone(),
        turn: granted.turn,
        idempotency_key: begin.idempotency_key.clone(),
    };
    End { call: Some(call), claim: granted.claim, outcome: Some(outcome) }
}

pub fn answered(cost_tokens: u64) -> Outcome {
    Outcome::Answered(answer(cost_tokens))
}

pub fn answer(cost_tokens: u64) -> Answer {
    Answer { status: 200, head: Bytes::new(), body: "body".into(), cost_tokens }
}

pub fn not_run() -> Outcome {
    Outcome::NotRun(NotRun {})
}

pub fn unknown() -> Outcome {
    Outcome::Unknown(Unknown::default())
}

pub fn claimant(instance: &str, incarnation: u64) -> Claimant {
    Claimant { instance: instance.into(), incarnation }
}

pub fn digest(body: &str) -> Bytes {
    let mut digest = [0; 32];
    digest.iter_mut().zip(body.bytes()).for_each(|(d, b)| *d = b);
    Bytes::copy_from_slice(&digest)
}
