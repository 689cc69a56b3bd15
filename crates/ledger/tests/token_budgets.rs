//! Guards against programs that exceed a budget or turn limit, alone or together with their
//! sub-agents.

mod common;

use common::{Reply, TestLedger, answered, call, not_run, unknown, with_budget};
use poplarspan_proto::ledger::{Begin, BudgetExceeded, Limits, TurnLimit};

fn exceeded(remaining: u64) -> Reply {
    Reply::BudgetExceeded(BudgetExceeded { remaining })
}

/// Spent and reserved tokens of a program.
fn used(m: &TestLedger, program: &str) -> (u64, u64) {
    let status = m.ledger.status("t", program).expect("status");
    (status.spent_tokens, status.reserved_tokens)
}

#[test]
fn reservation_is_settled_to_the_cost() {
    let mut m = TestLedger::new();
    let begin = with_budget(25, call("p", None, "a"));
    let granted = m.granted(&begin);
    assert_eq!(used(&m, "p"), (0, 10));
    m.end(&begin, granted, answered(4));
    assert_eq!(used(&m, "p"), (4, 0));
    let second = m.granted(&call("p", None, "b"));
    m.end(&call("p", None, "b"), second, not_run());
    assert_eq!(used(&m, "p"), (4, 0));
    let third = call("p", None, "c");
    assert_eq!(m.begin(&Begin { reserve_tokens: 22, ..third.clone() }), exceeded(21));
    m.granted(&Begin { reserve_tokens: 21, ..third });
}

#[test]
fn children_share_the_budget_of_their_ancestors() {
    let mut m = TestLedger::new();
    m.run(&with_budget(40, call("p", None, "root")), 10);
    m.granted(&call("p/a", None, "a"));
    m.granted(&call("p/b/c", None, "c"));
    assert_eq!(used(&m, "p"), (10, 20));
    assert_eq!(used(&m, "p/b"), (0, 10));
    let last = call("p/d", None, "d");
    assert_eq!(m.begin(&Begin { reserve_tokens: 11, ..last.clone() }), exceeded(10));
    assert!(m.ledger.status("t", "p/d").is_none(), "a refused call must not create a program");
    m.granted(&last);
    assert_eq!(m.begin(&call("p", None, "own")), exceeded(0));
    let own = with_budget(5, call("q/x", None, "x"));
    assert_eq!(m.begin(&own), exceeded(5), "the budget of a new program must be checked too");
}

#[test]
fn turns_of_children_count_for_their_ancestors() {
    let mut m = TestLedger::new();
    let limits = Some(Limits { turns: Some(2), ..Limits::default() });
    m.run(&Begin { limits, ..call("p", None, "a") }, 1);
    m.run(&call("p/c", None, "b"), 1);
    assert_eq!(m.begin(&call("p/c", None, "c")), Reply::TurnLimit(TurnLimit {}));
    assert_eq!(m.begin(&call("p", None, "c")), Reply::TurnLimit(TurnLimit {}));
}

#[test]
fn lost_runs_count_with_their_worst_case() {
    let mut m = TestLedger::new();
    let begin = with_budget(25, call("p", None, "a"));
    m.granted(&begin);
    m.gone("i", 1);
    assert_eq!(used(&m, "p"), (10, 0));
    let begin = common::from_instance("i", 2, begin);
    let again = m.granted(&begin);
    assert_eq!(used(&m, "p"), (10, 10));
    m.end(&begin, again, unknown());
    assert_eq!(m.begin(&begin), exceeded(5));
}

#[test]
fn cost_above_the_reservation_is_an_overrun() {
    let mut m = TestLedger::new();
    let begin = with_budget(25, call("p/c", None, "a"));
    let granted = m.granted(&begin);
    m.granted(&call("p/d", None, "d"));
    m.end(&begin, granted, answered(100));
    assert_eq!(used(&m, "p"), (15, 10), "the other reservation must stay within the budget");
    assert_eq!(m.ledger.status("t", "p").expect("status").overrun_tokens, 85);
    assert_eq!((m.ledger.cost_overruns(), m.ledger.invariant_violations()), (1, 0));
    let page = m.ledger.history("t", "p/c", 0, 1000).expect("history");
    assert_eq!(page.records[0].answer.as_ref().expect("answer").cost_tokens, 100);
    assert_eq!(m.begin(&call("p", None, "b")), exceeded(0));
}
