//! Runs random commands against a simple model and against a twin that is restored from snapshots.
//! Guards against second runs of non-idempotent calls, exceeded budgets, turns out of order, lost
//! or mixed histories, early drops, and replicas that differ after a snapshot.

mod common;

use std::collections::BTreeMap;

use common::{Machine, Reply, answer, call, claimant, end, not_run, unknown};
use poplarspan_ledger::Ledger;
use poplarspan_proto::ledger::{
    Begin, Configure, Dispatch, End, Expire, Finish, Granted, InstanceGone, LedgerCommand, Limits,
    ReleaseAcknowledged, end::Outcome, ledger_command::Command,
};
use prop::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest::prelude::*;
use prost::Message;

const PROGRAMS: [&str; 5] = ["p", "p/a", "p/a/x", "p/b", "q"];
const WINDOW_MS: u64 = 60;

#[derive(Clone, Debug)]
enum Op {
    Begin {
        begin: Box<Begin>,
    },
    /// Ends the call granted as number `pick` from the latest.
    End {
        pick: usize,
        outcome: Outcome,
    },
    Dispatch {
        pick: usize,
    },
    Finish(usize),
    Gone(u64, u64),
    Expire(u64),
    Restore,
}

/// What must hold, kept independently of the ledger: all by (team, program or key).
#[derive(Default)]
struct Model {
    granted: Vec<(Begin, Granted)>,
    last_claim: u64,
    /// Non-idempotent calls that were granted a claim and not reported as not run, and when they
    /// were last known to be needed.
    may_have_run: BTreeMap<CallName, u64>,
    /// Answers of each program, by turn; nothing stands for an unknown outcome.
    history: BTreeMap<(String, String), BTreeMap<u32, bytes::Bytes>>,
    /// Tokens that each root has certainly spent.
    spent: BTreeMap<(String, String), u64>,
    closed_ms: BTreeMap<(String, String), u64>,
}

type CallName = (String, Option<String>, u32, String);

fn call_name(begin: &Begin, granted: Granted) -> CallName {
    (begin.team.clone(), begin.program.clone(), granted.turn, begin.idempotency_key.clone())
}

fn program_name(begin: &Begin) -> Option<(String, String)> {
    Some((begin.team.clone(), begin.program.clone()?))
}

impl Model {
    fn on_granted(&mut self, m: &Machine, begin: &Begin, granted: Granted) {
        if self.granted.iter().any(|(b, g)| *g == granted && b == begin) {
            return; // The same proposal again.
        }
        assert!(granted.claim > self.last_claim, "claims rise");
        self.last_claim = granted.claim;
        if begin.kind == 2 {
            let former = self.may_have_run.insert(call_name(begin, granted), m.now_ms);
            assert_eq!(former, None, "a second run of {begin:?}");
        }
        if let Some(name) = program_name(begin) {
            let status = m.ledger.status(&name.0, &name.1).expect("status");
            assert_eq!(status.next_turn, granted.turn);
            assert_eq!(status.running, begin.claimant);
            let last = self.history.get(&name).and_then(|h| h.keys().next_back().copied());
            assert!(last < Some(granted.turn), "turn {} after turn {last:?}", granted.turn);
        }
        self.granted.push((begin.clone(), granted));
    }

    fn on_recorded(&mut self, now_ms: u64, begin: &Begin, granted: Granted, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(_) => self.may_have_run.remove(&call_name(begin, granted)),
            _ if begin.kind == 2 => self.may_have_run.insert(call_name(begin, granted), now_ms),
            _ => None,
        };
        let Some(name) = program_name(begin) else { return };
        self.closed_ms.insert(name.clone(), now_ms);
        if let Outcome::Answered(answer) = outcome {
            let history = self.history.entry(name.clone()).or_default();
            let former = history.insert(granted.turn, begin.request.clone());
            assert_eq!(former, None, "an answer was replaced");
            let root = name.1.split('/').next().unwrap_or_default().to_owned();
            let cost = answer.cost_tokens.min(begin.reserve_tokens);
            *self.spent.entry((name.0, root)).or_default() += cost;
        }
    }

    /// Compares the programs with what is known of them, and forgets those that were dropped.
    fn check(&mut self, m: &Machine) {
        assert_eq!(m.ledger.violations(), 0);
        self.may_have_run.retain(|(team, program, _, key), since_ms| {
            let is_kept = program.is_some() || m.ledger.call_by_key(team, None, key).is_some();
            assert!(is_kept || *since_ms + WINDOW_MS <= m.now_ms, "{key} was dropped early");
            is_kept
        });
        for (team, program) in ["t", "u"].iter().flat_map(|t| PROGRAMS.map(|p| (*t, p))) {
            let name = (team.to_owned(), program.to_owned());
            let Some(status) = m.ledger.status(team, program) else {
                let closed_ms = self.closed_ms.remove(&name).unwrap_or(0);
                assert!(closed_ms + WINDOW_MS <= m.now_ms, "{name:?} was dropped early");
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
            assert!(turns.eq(1..status.next_turn), "turns are contiguous");
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
        12 => begin().prop_map(|begin| Op::Begin { begin: Box::new(begin) }),
        9 => (0..4_usize, outcome).prop_map(|(pick, outcome)| Op::End { pick, outcome }),
        1 => (0..4_usize).prop_map(|pick| Op::Dispatch { pick }),
        1 => (0..PROGRAMS.len()).prop_map(Op::Finish),
        1 => (0..3_u64, 0..4_u64).prop_map(|(instance, n)| Op::Gone(instance, n)),
        2 => (0..25_u64).prop_map(Op::Expire),
        1 => Just(Op::Restore),
    ]
}

fn begin() -> impl Strategy<Value = Begin> {
    let program = prop_oneof![5 => (0..PROGRAMS.len()).prop_map(Some), 1 => Just(None)];
    let turn = prop_oneof![1 => Just(None), 2 => (1..7_u32).prop_map(Some)];
    let claimant_parts = (0..3_u64, 0..3_u64);
    let who = (any::<bool>(), program, turn, 0..12_u32, claimant_parts);
    let what = (any::<bool>(), 0..12_u64, prop::bool::weighted(0.1), 0..3_u64, 0..40_u64);
    (who, what).prop_map(|((team, program, turn, key, from), what)| {
        let (is_idempotent, reserve_tokens, key_generated, attempt, timeout_ms) = what;
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
            claimant: Some(claimant(&format!("i{}", from.0), from.1)),
            ..call("", None, &format!("k{key}"))
        }
    })
}

fn command(op: &Op, model: &Model) -> Option<Command> {
    let pick = |pick: usize| model.granted.iter().rev().nth(pick).cloned();
    Some(match op {
        Op::Begin { begin } => Command::Begin((**begin).clone()),
        Op::End { pick: n, outcome } => {
            let (begin, granted) = pick(*n)?;
            Command::End(end(&begin, granted, outcome.clone()))
        }
        Op::Dispatch { pick: n } => {
            let (begin, granted) = pick(*n)?;
            let End { call, claim, .. } = end(&begin, granted, not_run());
            Command::Dispatch(Dispatch { call, claim, endpoint: "f".into() })
        }
        Op::Finish(n) => Command::Finish(Finish { team: "t".into(), program: PROGRAMS[*n].into() }),
        Op::Gone(instance, incarnation) => Command::InstanceGone(InstanceGone {
            instance: format!("i{instance}"),
            incarnation: *incarnation,
        }),
        Op::Expire(_) => Command::Expire(Expire {}),
        Op::Restore => Command::ReleaseAcknowledged(ReleaseAcknowledged { numbers: vec![1, 2, 3] }),
    })
}

fn run(ops: &[Op]) {
    let (mut m, mut twin, mut model) = (Machine::new(), Ledger::new(), Model::default());
    let window = Configure {
        resend_window_ms: Some(WINDOW_MS),
        team_bytes: Some(20_000),
        ..Configure::default()
    };
    let mut commands = vec![(None, Command::Configure(window))];
    for op in [None].into_iter().chain(ops.iter().map(Some)) {
        if let Some(op) = op {
            let Some(command) = command(op, &model) else { continue };
            commands.push((Some(op), command));
        }
        let Some((op, command)) = commands.pop() else { continue };
        if let Some(Op::Expire(ms)) = op {
            m.now_ms += ms;
        }
        let data =
            LedgerCommand { now_ms: m.now_ms, command: Some(command.clone()) }.encode_to_vec();
        let open_before = m.ledger.open_count();
        let reply = m.apply(command.clone());
        let twin_reply = twin.apply(m.index, &data);
        let twin_reply = poplarspan_proto::ledger::LedgerAnswer::decode(twin_reply);
        assert_eq!(twin_reply.expect("an answer").answer.as_ref(), Some(&reply), "replicas differ");
        match (&command, reply) {
            (Command::Begin(begin), Reply::Granted(granted)) => {
                model.on_granted(&m, begin, granted)
            }
            // The same proposal again closes nothing.
            (Command::End(_), Reply::Recorded(_)) if m.ledger.open_count() == open_before => {}
            (Command::End(sent), Reply::Recorded(_)) => {
                let held = model.granted.iter().find(|(_, g)| g.claim == sent.claim).cloned();
                let (begin, granted) = held.expect("only granted claims are ended");
                let outcome = sent.outcome.as_ref().expect("outcome");
                model.on_recorded(m.now_ms, &begin, granted, outcome);
            }
            _ => {}
        }
        model.check(&m);
        if matches!(op, Some(Op::Restore)) {
            twin.restore(&m.ledger.snapshot()).expect("own snapshot");
        }
    }
    assert!(twin == m.ledger, "replicas differ");
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
        assert!(result.is_ok(), "seed {seed}: {}", result.expect_err("a failure"));
    }
}
