//! Runs calls of a program through a ledger. A turn begins and ends, and its retry gets the recorded
//! answer. A turn out of order is refused. A non-idempotent call whose instance is lost has an
//! unknown outcome, and a retry does not run it again.

use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{
    Answer, Begin, CallId, CallKind, Claimant, End, Granted, InstanceGone, LedgerAnswer,
    LedgerCommand, Limits, end::Outcome, ledger_answer, ledger_command::Command,
};
use prost::Message;

/// Applies a command directly. In a deployment, it is proposed to the replicated log and applied by
/// each replica.
fn apply(ledger: &mut Ledger, index: u64, command: Command) -> ledger_answer::Answer {
    let data = LedgerCommand { now_ms: 1_000 * index, command: Some(command) }.encode_to_vec();
    let answer = LedgerAnswer::decode(ledger.apply(index, &data)).ok().and_then(|a| a.answer);
    answer.expect("the ledger encodes a known answer")
}

fn begin(turn: u32, key: &str, kind: CallKind) -> Begin {
    Begin {
        team: "red".into(),
        program: Some("trip".into()),
        turn: Some(turn),
        idempotency_key: key.into(),
        // Digest of the request body. A retry with another digest is refused.
        body_digest: vec![turn as u8; 32].into(),
        kind: kind.into(),
        reserve_tokens: 100,
        limits: Some(Limits { tokens: Some(1_000), ..Limits::default() }),
        claimant: Some(Claimant { instance: "i1".into(), incarnation: 1 }),
        endpoint: "engine-1".into(),
        request: "request".into(),
        ..Begin::default()
    }
}

fn end(begin: &Begin, granted: Granted) -> End {
    let call = CallId {
        team: begin.team.clone(),
        program: begin.program.clone(),
        turn: granted.turn,
        idempotency_key: begin.idempotency_key.clone(),
    };
    let answer =
        Answer { status: 200, body: "answer".into(), cost_tokens: 60, ..Answer::default() };
    End { call: Some(call), claim: granted.claim, outcome: Some(Outcome::Answered(answer)) }
}

fn main() {
    let mut ledger = Ledger::new();
    let first = begin(1, "a", CallKind::Idempotent);
    let reply = apply(&mut ledger, 1, Command::Begin(first.clone()));
    println!("begin of turn 1:  {reply:?}");
    let ledger_answer::Answer::Granted(granted) = reply else { return };
    println!("end of turn 1:    {:?}", apply(&mut ledger, 2, Command::End(end(&first, granted))));
    println!("resend of turn 1: {:?}", apply(&mut ledger, 3, Command::Begin(first)));

    let ahead = begin(3, "c", CallKind::Idempotent);
    println!("begin of turn 3:  {:?}", apply(&mut ledger, 4, Command::Begin(ahead)));

    let order = begin(2, "b", CallKind::NonIdempotent);
    println!("begin of turn 2:  {:?}", apply(&mut ledger, 5, Command::Begin(order.clone())));
    let gone = InstanceGone { instance: "i1".into(), incarnation: 1 };
    println!("loss of i1:       {:?}", apply(&mut ledger, 6, Command::InstanceGone(gone)));
    let claimant = Some(Claimant { instance: "i2".into(), incarnation: 1 });
    let resend = Begin { claimant, ..order };
    println!("resend by i2:     {:?}", apply(&mut ledger, 7, Command::Begin(resend)));
}
