//! Guards against histories that lose turns, mix those of two programs, or show them to another
//! team.

mod common;

use common::{Reply, TestLedger, call, keyed, non_idempotent, unknown};
use poplarspan_ledger::{group_of_key, group_of_program};
use poplarspan_proto::ledger::{
    Begin, Finish, LedgerQuery, LedgerQueryAnswer, StatusQuery, ledger_command::Command,
    ledger_query::Query, ledger_query_answer,
};
use prost::Message;

#[test]
fn teams_see_their_own_programs_only() {
    let mut m = TestLedger::new();
    m.run(&call("p", None, "mine"), 1);
    assert_eq!(m.ledger.history("u", "p", 0, 1000), None);
    assert_eq!(m.ledger.status("u", "p"), None);
    assert_eq!(m.ledger.call_by_key("u", Some("p"), "mine"), None);
    m.run(&keyed("k"), 0);
    assert_eq!(m.ledger.call_by_key("u", None, "k"), None);
    m.granted(&Begin { team: "u".into(), ..keyed("k") });
    let finish = Finish { team: "u".into(), program: "p".into() };
    assert!(matches!(m.apply(Command::Finish(finish)), Reply::NotFound(_)));
    m.run(&Begin { team: "u".into(), ..call("p", None, "theirs") }, 1);
    for (team, request) in [("t", "mine"), ("u", "theirs")] {
        let page = m.ledger.history(team, "p", 0, 1000).expect("history");
        assert_eq!(page.records.len(), 1);
        assert_eq!(page.records[0].request, request);
    }
    let query = Query::Status(StatusQuery { team: "v".into(), program: "p".into() });
    let reply = m.ledger.query(&LedgerQuery { query: Some(query) }.encode_to_vec());
    let reply = LedgerQueryAnswer::decode(reply).expect("decode answer").answer;
    assert!(matches!(reply, Some(ledger_query_answer::Answer::NotFound(_))));
}

#[test]
fn pages_cover_each_turn_once() {
    let mut m = TestLedger::new();
    for n in 1..=20 {
        m.run(&call("p", Some(n), &format!("k{n}")), 1);
    }
    let lost = m.granted(&non_idempotent("p", Some(21), "k21"));
    m.end(&non_idempotent("p", Some(21), "k21"), lost, unknown());
    m.granted(&call("p", Some(22), "open"));
    let (mut from, mut turns) = (0, Vec::new());
    loop {
        let page = m.ledger.history("t", "p", from, 1000).expect("history");
        assert!((1..=4).contains(&page.records.len()));
        assert!(page.records.iter().all(|r| r.request == format!("k{}", r.turn)));
        assert!(page.records.iter().all(|r| r.answer.is_some() == (r.turn < 21)));
        turns.extend(page.records.iter().map(|r| r.turn));
        from = page.next_turn;
        if from == 0 {
            break;
        }
    }
    assert_eq!(turns, (1..=21).collect::<Vec<_>>());
}

#[test]
fn descendants_share_a_group() {
    for groups in [1, 2, 7] {
        let groups_of = |n: u32| group_of_program("t", &format!("root{n}"), groups);
        assert!(
            (0..200)
                .all(|n| groups_of(n) == group_of_program("t", &format!("root{n}/a/b"), groups))
        );
        let mut seen = (0..200).map(groups_of).collect::<Vec<_>>();
        seen.extend((0..200).map(|n| group_of_key("t", &format!("k/{n}"), groups)));
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen, (1..=groups).collect::<Vec<_>>());
    }
}
