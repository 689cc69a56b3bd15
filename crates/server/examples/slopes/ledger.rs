//! Time and memory of programs, turns and histories in one program group.

use bytes::Bytes;
use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{
    Answer, Begin, CallId, CallKind, Claimant, Configure, End, LedgerAnswer, LedgerCommand, Limits,
    end::Outcome, ledger_answer, ledger_command::Command,
};
use prost::Message;

use crate::{resident, timed};

const PROGRAMS_PER_TEAM: u64 = 10;

struct LedgerMachine {
    ledger: Ledger,
    index: u64,
    begin_bytes: usize,
    end_bytes: usize,
}

impl LedgerMachine {
    fn apply(&mut self, command: Command) -> (usize, ledger_answer::Answer) {
        self.index += 1;
        let now_ms = 1_780_000_000_000;
        let data = LedgerCommand { now_ms, command: Some(command) }.encode_to_vec();
        let answer = self.ledger.apply(self.index, &data);
        let answer = LedgerAnswer::decode(answer).expect("an answer");
        (data.len(), answer.answer.expect("a known answer"))
    }

    /// Runs one turn with a request of `sent` bytes and a response of `answered` bytes.
    fn turn(&mut self, program: u64, turn: u64, sent: u64, answered: u64) {
        let team = format!("team-{:05}", program / PROGRAMS_PER_TEAM);
        let program = Some(format!("program-{program:032}"));
        let idempotency_key = format!("{program:?}-{turn}");
        let begin = Begin {
            team: team.clone(),
            program: program.clone(),
            turn: Some(turn as u32),
            idempotency_key: idempotency_key.clone(),
            body_digest: Bytes::from_static(&[7; 32]),
            kind: CallKind::Idempotent.into(),
            reserve_tokens: 1,
            limits: Some(Limits::default()),
            claimant: Some(Claimant { instance: "instance-100".into(), incarnation: 1 }),
            endpoint: "engine-100".into(),
            request: vec![b'x'; sent as usize].into(),
            ..Begin::default()
        };
        let (bytes, reply) = self.apply(Command::Begin(begin));
        self.begin_bytes += bytes;
        let ledger_answer::Answer::Granted(granted) = reply else { panic!("{reply:?}") };
        let call = CallId { team, program, turn: granted.turn, idempotency_key };
        let body = vec![b'y'; answered as usize].into();
        let answer = Answer { status: 200, head: Bytes::new(), body, cost_tokens: 1 };
        let outcome = Some(Outcome::Answered(answer));
        let end = End { call: Some(call), claim: granted.claim, outcome };
        let (bytes, reply) = self.apply(Command::End(end));
        self.end_bytes += bytes;
        assert!(matches!(reply, ledger_answer::Answer::Recorded(_)), "{reply:?}");
    }
}

/// Runs `turns` turns of each program. Each turn adds `bytes` of request and a tenth as many of
/// response. With `resent` set to 1, the caller resends all earlier turns, as chat callers do.
pub(crate) fn run(programs: u64, turns: u64, bytes: u64, resent: u64) {
    let ledger = Ledger::new();
    let mut machine = LedgerMachine { ledger, index: 0, begin_bytes: 0, end_bytes: 0 };
    let unbounded = Configure { team_bytes: Some(u64::MAX), ..Configure::default() };
    machine.apply(Command::Configure(unbounded));
    let base = resident();
    let answered = bytes / 10;
    let mut stored = 0;
    timed("one turn, two entries applied", programs * turns, || {
        for turn in 1..=turns {
            let sent = if resent == 1 { turn * bytes + (turn - 1) * answered } else { bytes };
            stored += programs * (sent + answered);
            for program in 0..programs {
                machine.turn(program, turn, sent, answered);
            }
        }
    });
    let used = resident().saturating_sub(base);
    println!(
        "{programs} programs of {turns} turns, {bytes} bytes a turn, resent {resent}: {used} bytes \
         resident, {} a program, {stored} of them contents; begin {} and end {} bytes a call",
        used / programs,
        machine.begin_bytes as u64 / (programs * turns),
        machine.end_bytes as u64 / (programs * turns)
    );
    let snapshot = timed("snapshot", 1, || machine.ledger.snapshot());
    println!("snapshot: {} bytes", snapshot.len());
    drop(machine);
    timed("restore", 1, || Ledger::new().restore(&snapshot).expect("valid"));
}
