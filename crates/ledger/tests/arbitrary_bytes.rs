//! Guards against a panic or a partial change on bytes that are not a valid command or snapshot. A
//! replica that panics on a log entry panics again after each restart, when it replays the log.

mod common;

use common::{TestLedger, call, keyed, non_idempotent, with_budget};
use poplarspan_ledger::{Catalog, Ledger};
use poplarspan_proto::ledger::{Begin, LedgerCommand, ledger_command::Command};
use proptest::prelude::*;
use prost::Message;

/// Checks the budgets and applies some commands. Used after damaged input was accepted, which must
/// not lead to a panic later.
fn run_commands(ledger: Ledger) {
    let mut m = TestLedger { ledger, ..TestLedger::new() };
    for status in ["p", "p/c", "q"].iter().filter_map(|p| m.ledger.status("t", p)) {
        let sum = status.spent_tokens.checked_add(status.reserved_tokens);
        assert!(sum.is_some_and(|sum| sum <= status.budget_tokens));
    }
    for begin in [call("p", None, "z"), call("p/c", Some(2), "b"), keyed("k")] {
        m.begin(&begin);
    }
    m.gone("i", 3);
    m.finish("p");
    m.expire_after(u64::MAX / 2);
    assert!(m.ledger.restore(&m.ledger.snapshot()).is_ok());
}

/// A ledger with programs, an ended program, a call without a program, and open calls.
fn populated() -> TestLedger {
    let mut m = TestLedger::new();
    m.run(&with_budget(13, call("p", None, "a")), 1);
    m.run(&call("p/c", None, "a"), 1);
    m.granted(&non_idempotent("p/c", None, "b"));
    m.granted(&call("q", None, "b"));
    m.run(&keyed("k"), 1);
    m.finish("q");
    m
}

#[test]
fn damaged_snapshots_are_refused_or_work() {
    let snapshot = populated().ledger.snapshot();
    for at in 0..snapshot.len() {
        for flip in [1, 2, 8, 0x80, 0xff] {
            let mut damaged = snapshot.to_vec();
            damaged[at] ^= flip;
            let mut ledger = populated().ledger;
            match ledger.restore(&damaged) {
                Ok(()) => run_commands(ledger),
                Err(_) => assert!(
                    ledger == populated().ledger,
                    "byte {at}: a refused snapshot changed the state"
                ),
            }
        }
        assert!(
            Ledger::new().restore(&snapshot[..at]).is_err(),
            "snapshot truncated at byte {at} was accepted"
        );
    }
}

#[test]
fn damaged_commands_never_panic() {
    let begin = Begin { turn: Some(3), timeout_ms: 9, ..with_budget(99, call("p/c", None, "x")) };
    let begin = Some(Command::Begin(begin));
    let data = LedgerCommand { now_ms: 5, command: begin }.encode_to_vec();
    for (at, flip) in (0..data.len()).flat_map(|at| [1, 2, 8, 0x80, 0xff].map(|f| (at, f))) {
        let (mut m, mut damaged) = (populated(), data.clone());
        damaged[at] ^= flip;
        m.ledger.apply(m.index + 1, &damaged);
        run_commands(m.ledger);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(data in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut m = populated();
        m.ledger.apply(m.index + 1, &data);
        m.ledger.query(&data);
        let mut catalog = Catalog::new();
        catalog.apply(1, &data);
        let _ = (m.ledger.restore(&data), catalog.restore(&data));
    }
}
