//! Guards against answers that are dropped before the resend window ends, and against memory that
//! grows without bound.

mod common;

use common::{Reply, TestLedger, answer, answered, call, keyed};
use poplarspan_proto::ledger::{Begin, Configure, EndCause, Limits, ledger_command::Command};

const HOUR_MS: u64 = 3_600_000;

#[test]
fn answers_stay_for_the_resend_window() {
    let mut m = TestLedger::new();
    m.run(&call("p/c", None, "a"), 1);
    m.run(&keyed("k"), 1);
    m.finish("p");
    m.expire_after(24 * HOUR_MS - 1);
    assert_eq!(m.begin(&call("p/c", None, "a")), Reply::Replay(answer(1)));
    assert_eq!(m.begin(&keyed("k")), Reply::Replay(answer(1)));
    let swept = m.expire_after(1);
    assert_eq!((swept.programs_dropped, swept.calls_dropped), (2, 1));
    assert_eq!((m.ledger.program_count(), m.ledger.stored_bytes("t")), (0, 0));
}

#[test]
fn full_store_refuses_new_calls_only() {
    let mut m = TestLedger::new();
    let configure = Configure { team_bytes: Some(4000), ..Configure::default() };
    m.apply(Command::Configure(configure));
    m.run(&call("p", None, "a"), 1);
    let replies = (0..10).map(|n| m.begin(&call(&format!("p{n}"), None, "a"))).collect::<Vec<_>>();
    assert!(matches!(replies[0], Reply::Granted(_)) && matches!(replies[9], Reply::StoreFull(_)));
    assert!(m.ledger.stored_bytes("t") <= 4000);
    assert_eq!(m.begin(&call("p", None, "a")), Reply::Replay(answer(1)));
    m.granted(&Begin { team: "u".into(), ..call("p", None, "a") });
    m.finish("p");
    m.expire_after(23 * HOUR_MS);
    assert_eq!(m.begin(&call("p", None, "a")), Reply::Replay(answer(1)));
    assert!(matches!(m.begin(&call("new", None, "a")), Reply::StoreFull(_)));
}

#[test]
fn idle_programs_end() {
    let mut m = TestLedger::new();
    m.run(&call("p", None, "a"), 1);
    m.now_ms += HOUR_MS / 2;
    let open = m.granted(&call("p/c", None, "a"));
    assert_eq!(m.expire_after(2 * HOUR_MS).programs_ended, 0, "a call is open");
    m.end(&call("p/c", None, "a"), open, answered(1));
    assert_eq!(m.expire_after(HOUR_MS - 1).programs_ended, 0);
    assert_eq!(m.expire_after(1).programs_ended, 2);
    let ended = m.ledger.status("t", "p/c").expect("status").ended;
    assert_eq!(ended, Some(EndCause::Idle.into()));
}

/// The leader may propose `Expire` late. The limits must hold without it.
#[test]
fn lifetime_ends_programs_without_a_sweep() {
    let mut m = TestLedger::new();
    let limits = Some(Limits { lifetime_ms: Some(1000), ..Limits::default() });
    let begin = Begin { limits, ..call("p", None, "a") };
    let open = m.granted(&begin);
    m.now_ms += 1000;
    assert!(matches!(m.begin(&call("p/c", None, "b")), Reply::Ended(_)));
    m.now_ms += 30 * HOUR_MS;
    assert_eq!(m.expire_after(0).programs_dropped, 0, "a call is open");
    m.end(&begin, open, answered(1));
    m.expire_after(24 * HOUR_MS - 1);
    assert_eq!(
        m.begin(&begin),
        Reply::Replay(answer(1)),
        "a late answer must be kept for the whole window"
    );
    assert_eq!(m.expire_after(1).programs_dropped, 1);
}

/// A new leader whose clock is behind must not postpone deadlines.
#[test]
fn time_never_falls() {
    let mut m = TestLedger::new();
    m.run(&call("p", None, "a"), 1);
    m.expire_after(HOUR_MS - 1);
    m.now_ms = 5;
    m.run(&call("q", None, "a"), 1);
    m.now_ms = 1_000_000 + HOUR_MS;
    assert_eq!(m.expire_after(0).programs_ended, 1);
    assert_eq!(m.expire_after(HOUR_MS - 2).programs_ended, 0);
    assert_eq!(m.expire_after(1).programs_ended, 1);
}
