//! Applies random commands to a ledger, to a second replica that is restored from snapshots now and
//! then, and to a simple model.
//!
//! Guards against second runs of non-idempotent calls, exceeded budgets, turns out of order, lost or
//! mixed histories, calls and programs that are dropped early, and replicas that diverge after a
//! snapshot.

mod common;

use std::collections::BTreeMap;

use common::{Reply, TestLedger, answer, call, end, from_instance, not_run, unknown};
use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{
    Begin, Configure, Dispatch, End, Expire, Finish, Granted, InstanceGone, LedgerAnswer,
    LedgerCommand, Limits, ReleaseAcknowledged, end::Outcome, ledger_command::Command,
};
use prop::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest::prelude::*;
use prost::Message;

const PROGRAMS: [&str; 5] = ["p", "p/a", "p/a/x", "p/b", "q"];
const WINDOW_MS: u64 = 60;

#[derive(Clone, Debug)]
enum Op {
    Send(Command),
    /// Ends the call of an earlier grant; 0 is the latest one.
    End(usize, Outcome),
    /// Dispatches the call of an earlier grant; 0 is the latest one.
    Dispatch(usize),
    /// Advances the clock by this many milliseconds and expires what is due.
    Expire(u64),
    /// Restores the second replica from a snapshot of the first.
    Restore,
}

/// Expected state, computed from the answers without using the ledger's code.
#[derive(Default)]
struct Model {
    granted: Vec<(Begin, Granted)>,
    last_claim: u64,
    /// Non-idempotent calls that were granted a claim and not reported as not run, with the time of
    /// their grant or end.
    may_have_run: BTreeMap<CallName, u64>,
    /// Answered requests of each program by turn. Turns with an unknown outcome are missing.
    history: BTreeMap<ProgramName, BTreeMap<u32, bytes::Bytes>>,
    /// Lower bound of the tokens that each root program has spent.
    spent: BTreeMap<ProgramName, u64>,
    /// Time of the last end of a call of each program.
    closed_ms: BTreeMap<ProgramName, u64>,
}

/// Team, program and idempotency key.
type CallName = (String, Option<String>, String);
/// Team and program.
type ProgramName = (String, String);

fn call_name(begin: &Begin) -> CallName {
    (begin.team.clone(), begin.program.clone(), begin.idempotency_key.clone())
}

fn program_name(begin: &Begin) -> Option<ProgramName> {
    Some((begin.team.clone(), begin.program.clone()?))
}

impl Model {
    fn on_granted(&mut self, m: &TestLedger, begin: &Begin, granted: Granted) {
        if let Some((first, _)) = self.granted.iter().find(|(_, g)| g.claim == granted.claim) {
            let is_same = first.attempt == begin.attempt && first.claimant == begin.claimant;
            assert!(is_same && begin.attempt != 0, "one claim was granted to two proposals");
            return;
        }
        assert!(granted.claim > self.last_claim, "claim numbers must increase");
        self.last_claim = granted.claim;
        if begin.kind == 2 {
            let former = self.may_have_run.insert(call_name(begin), m.now_ms);
            assert_eq!(former, None, "non-idempotent call was granted twice: {begin:?}");
        }
        if let Some(name) = program_name(begin) {
            let status = m.ledger.status(&name.0, &name.1).expect("status");
            assert_eq!(status.next_turn, granted.turn);
            assert_eq!(status.running, begin.claimant);
            let last = self.history.get(&name).and_then(|h| h.keys().next_back().copied());
            assert!(
                last < Some(granted.turn),
                "turn {} was granted after turn {last:?} was answered",
                granted.turn
            );
        }
        self.granted.push((begin.clone(), granted));
    }

    fn on_closed(&mut self, now_ms: u64, begin: &Begin, granted: Granted, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(_) => self.may_have_run.remove(&call_name(begin)),
            _ if begin.kind == 2 => self.may_have_run.insert(call_name(begin), now_ms),
            _ => None,
        };
        let Some(name) = program_name(begin) else { return };
        self.closed_ms.insert(name.clone(), now_ms);
        if let Outcome::Answered(answer) = outcome {
            let history = self.history.entry(name.clone()).or_default();
            let former = history.insert(granted.turn, begin.request.clone());
            assert_eq!(former, None, "a recorded answer was replaced");
            let root = name.1.split('/').next().unwrap_or_default().to_owned();
            let cost = answer.cost_tokens.min(begin.reserve_tokens);
            *self.spent.entry((name.0, root)).or_default() += cost;
        }
    }

    /// Compares the ledger's programs and calls with the model, and removes those that the ledger
    /// dropped from the model.
    fn check(&mut self, m: &TestLedger) {
        assert_eq!(m.ledger.invariant_violations(), 0);
        self.may_have_run.retain(|(team, program, key), since_ms| {
            let is_kept = program.is_some() || m.ledger.call_by_key(team, None, key).is_some();
            assert!(is_kept || *since_ms + WINDOW_MS <= m.now_ms, "call {key} was dropped early");
            is_kept
        });
        for (team, program) in ["t", "u"].iter().flat_map(|t| PROGRAMS.map(|p| (*t, p))) {
            let name = (team.to_owned(), program.to_owned());
            let Some(status) = m.ledger.status(team, program) else {
                let closed_ms = self.closed_ms.remove(&name).unwrap_or(0);
                assert!(closed_ms + WINDOW_MS <= m.now_ms, "program {name:?} was dropped early");
                self.history.remove(&name);
                self.spent.remove(&name);
                self.may_have_run
                    .retain(|(t, p, ..), _| t != team || p.as_deref() != Some(program));
                continue;
            };
            assert!(status.spent_tokens + status.reserved_tokens <= status.budget_tokens);
            assert!(self.spent.get(&name).copied().unwrap_or(0) <= status.spent_tokens);
            let page = m.ledger.history(team, program, 0, u64::MAX).expect("history");
            let turns = page.records.iter().map(|r| r.turn);
            assert!(turns.eq(1..status.next_turn), "turns of the history must be contiguous");
            let answers = page.records.into_iter().filter(|r| r.answer.is_some());
            let answers = answers.map(|r| (r.turn, r.request)).collect::<BTreeMap<_, _>>();
            assert_eq!(answers, self.history.get(&name).cloned().unwrap_or_default());
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        4 => (0..12_u64).prop_map(|cost| Outcome::Answered(answer(cost))),
        2 => Just(not_run()),
        1 => Just(unknown()),
    ];
    prop_oneof![
        12 => begin().prop_map(|begin| Op::Send(Command::Begin(begin))),
        9 => (0..4_usize, outcome).prop_map(|(ago, outcome)| Op::End(ago, outcome)),
        1 => (0..4_usize).prop_map(Op::Dispatch),
        1 => (0..PROGRAMS.len()).prop_map(|n| {
            Op::Send(Command::Finish(Finish { team: "t".into(), program: PROGRAMS[n].into() }))
        }),
        1 => (0..3_u64, 0..4_u64).prop_map(|(n, incarnation)| {
            let instance = format!("i{n}");
            Op::Send(Command::InstanceGone(InstanceGone { instance, incarnation }))
        }),
        1 => (0..40_u64).prop_map(|n| {
            Op::Send(Command::ReleaseAcknowledged(ReleaseAcknowledged { numbers: vec![n] }))
        }),
        2 => (0..25_u64).prop_map(Op::Expire),
        1 => Just(Op::Restore),
    ]
}

fn begin() -> impl Strategy<Value = Begin> {
    let program = prop_oneof![5 => (0..PROGRAMS.len()).prop_map(Some), 1 => Just(None)];
    let turn = prop_oneof![1 => Just(None), 2 => (1..7_u32).prop_map(Some)];
    let sender = (any::<bool>(), program, turn, 0..12_u32, (0..3_u64, 0..3_u64));
    let options = (any::<bool>(), 0..12_u64, prop::bool::weighted(0.1), 0..3_u64, 0..40_u64);
    (sender, options).prop_map(|((team, program, turn, key, (instance, incarnation)), options)| {
        let (is_idempotent, reserve_tokens, key_generated, attempt, timeout_ms) = options;
        let limits =
            Limits { tokens: Some(60), turns: Some(20), lifetime_ms: Some(200), idle_ms: Some(40) };
        Begin {
            team: if team { "t" } else { "u" }.into(),
            program: program.map(|n| PROGRAMS[n].into()),
            turn: turn.filter(|_| program.is_some()),
            kind: if is_idempotent { 1 } else { 2 },
            reserve_tokens,
            key_generated,
            attempt,
            timeout_ms,
            limits: Some(limits),
            ..from_instance(
                &format!("i{instance}"),
                incarnation,
                call("", None, &format!("k{key}")),
            )
        }
    })
}

/// Both replicas and the model, which also holds the calls granted so far.
struct Harness {
    m: TestLedger,
    replica: Ledger,
    model: Model,
}

impl Harness {
    fn step(&mut self, op: &Op) {
        let granted = |ago: usize| self.model.granted.iter().rev().nth(ago).cloned();
        match op {
            Op::Send(command) => self.send(command.clone()),
            Op::End(ago, outcome) => {
                let Some((begin, granted)) = granted(*ago) else { return };
                let open_before = self.m.ledger.open_call_count();
                self.send(Command::End(end(&begin, granted, outcome.clone())));
                if self.m.ledger.open_call_count() < open_before {
                    self.model.on_closed(self.m.now_ms, &begin, granted, outcome);
                }
            }
            Op::Dispatch(ago) => {
                let Some((begin, granted)) = granted(*ago) else { return };
                let End { call, claim, .. } = end(&begin, granted, not_run());
                self.send(Command::Dispatch(Dispatch { call, claim, endpoint: "f".into() }));
            }
            Op::Expire(ms) => {
                self.m.now_ms += ms;
                self.send(Command::Expire(Expire {}));
            }
            Op::Restore => {
                self.replica.restore(&self.m.ledger.snapshot()).expect("restore snapshot")
            }
        }
        self.model.check(&self.m);
    }

    fn send(&mut self, command: Command) {
        let begin = if let Command::Begin(begin) = &command { Some(begin.clone()) } else { None };
        let now_ms = self.m.now_ms;
        let data = LedgerCommand { now_ms, command: Some(command.clone()) }.encode_to_vec();
        let reply = self.m.apply(command);
        let replica_reply = LedgerAnswer::decode(self.replica.apply(self.m.index, &data));
        assert_eq!(
            replica_reply.expect("decode answer").answer.as_ref(),
            Some(&reply),
            "replicas diverged"
        );
        if let (Some(begin), Reply::Granted(granted)) = (begin, reply) {
            self.model.on_granted(&self.m, &begin, granted);
        }
    }
}

fn run(ops: &[Op]) {
    let mut run = Harness { m: TestLedger::new(), replica: Ledger::new(), model: Model::default() };
    run.send(Command::Configure(Configure {
        resend_window_ms: Some(WINDOW_MS),
        team_bytes: Some(20_000),
        ..Configure::default()
    }));
    ops.iter().for_each(|op| run.step(op));
    assert!(run.replica == run.m.ledger, "replicas diverged");
}

#[test]
fn invariants_hold_for_random_commands() {
    for seed in 1..=4_u8 {
        println!("seed {seed}");
        let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let ops = prop::collection::vec(op(), 100..300);
        let result = TestRunner::new_with_rng(config, rng).run(&ops, |ops| {
            run(&ops);
            Ok(())
        });
        assert!(result.is_ok(), "seed {seed}: {}", result.expect_err("failing case"));
    }
}
