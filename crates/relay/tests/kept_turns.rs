//! Token budgets and kept turns in the state of a store group.

use bytes::Bytes;
use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay as pb;
use poplarspan_relay::TurnState;
use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message;

fn run(turns: &mut TurnState, command: pb::TurnCommand) -> pb::TurnResult {
    let result = turns.apply(1, &command.encode_to_vec());
    pb::TurnResult::decode(result).expect("a result")
}

fn reserve(turns: &mut TurnState, name: &str, most: u64, budget: u64) -> u64 {
    let reserve = pb::Reserve {
        team: "red".to_owned(),
        program: "p".to_owned(),
        name: name.to_owned(),
        most,
        budget,
        least: most,
    };
    run(turns, pb::TurnCommand { reserve: vec![reserve], ..Default::default() }).reserved[0].amount
}

fn settle(turns: &mut TurnState, name: &str, used: u64) {
    let (team, program) = ("red".to_owned(), "p".to_owned());
    let settle = pb::Settle { team, program, name: name.to_owned(), used, kept: None };
    run(turns, pb::TurnCommand { settle: vec![settle], ..Default::default() });
}

/// Returns the turns that cannot be continued.
fn keep(
    turns: &mut TurnState,
    now_ms: u64,
    turn: &str,
    previous: Option<&str>,
    retain_ms: u64,
) -> Vec<String> {
    let kept = pb::Turn {
        team: "red".to_owned(),
        turn: turn.to_owned(),
        previous: previous.map(str::to_owned),
        input: Bytes::from(format!("in-{turn} ")),
        output: Bytes::from(format!("out-{turn}\n")),
        expires_ms: now_ms + retain_ms,
    };
    let settle = vec![pb::Settle { kept: Some(kept), ..Default::default() }];
    run(turns, pb::TurnCommand { now_ms, settle, ..Default::default() }).incomplete
}

/// Repeating a reservation or its settlement does not count tokens twice.
#[test]
fn resends_count_once() {
    let mut turns = TurnState::default();
    assert_eq!(reserve(&mut turns, "t1", 60, 100), 60);
    assert_eq!(reserve(&mut turns, "t1", 60, 100), 60);
    assert_eq!(reserve(&mut turns, "t2", 60, 100), 0);
    settle(&mut turns, "t1", 20);
    settle(&mut turns, "t1", 20);
    assert_eq!(turns.committed("red", "p"), 20);
    assert_eq!(reserve(&mut turns, "t2", 60, 100), 60);
}

/// A history is returned oldest first, and only to its own team.
#[test]
fn chain_in_order() {
    let mut turns = TurnState::default();
    keep(&mut turns, 0, "a", None, 1_000);
    keep(&mut turns, 0, "b", Some("a"), 1_000);
    keep(&mut turns, 0, "c", Some("a"), 1_000);
    let history = |turn| turns.history("red", turn).map(|h| h.read().expect("readable"));
    assert_eq!(&history("b").expect("kept")[..], b"in-a out-a\nin-b out-b\n");
    assert_eq!(&history("c").expect("kept")[..], b"in-a out-a\nin-c out-c\n");
    assert!(history("d").is_none());
    assert!(turns.history("blue", "b").is_none());
}

/// A turn is kept as long as the turns that continue it, and dropped afterwards.
#[test]
fn chain_expires_together() {
    let mut turns = TurnState::default();
    keep(&mut turns, 0, "a", None, 60_000);
    keep(&mut turns, 50_000, "b", Some("a"), 60_000);
    keep(&mut turns, 100_000, "other", None, 60_000);
    assert!(turns.history("red", "b").is_some(), "kept for 60 s from its end");
    keep(&mut turns, 109_000, "another", None, 60_000);
    assert!(turns.history("red", "b").is_some());
    keep(&mut turns, 300_000, "last", None, 60_000);
    assert_eq!(turns.len(), 1);
}

/// Guards against conversations that cannot be continued after some number of turns, although the
/// last one was acknowledged.
#[test]
fn long_conversation() {
    const TURNS: usize = 5_000;
    let mut turns = TurnState::default();
    let mut previous: Option<String> = None;
    let mut expected = String::new();
    for n in 0..TURNS {
        let turn = n.to_string();
        assert!(keep(&mut turns, 0, &turn, previous.as_deref(), 60_000).is_empty());
        expected.push_str(&format!("in-{n} out-{n}\n"));
        previous = Some(turn);
    }
    let last = previous.expect("no turn was kept");
    let history = turns.history("red", &last).expect("the last turn is unknown");
    assert!(history.read().expect("readable") == expected, "the history is incomplete");
}

/// A caller that gives a turn the name of an earlier one of its conversation gets no history,
/// instead of one without end.
#[test]
fn circular_conversation() {
    let mut turns = TurnState::default();
    keep(&mut turns, 0, "a", None, 60_000);
    keep(&mut turns, 0, "b", Some("a"), 60_000);
    keep(&mut turns, 1, "a", Some("b"), 60_000);
    keep(&mut turns, 2, "c", Some("c"), 60_000);
    for turn in ["a", "b", "c"] {
        assert!(turns.history("red", turn).is_none(), "{turn}");
    }
}

/// Guards against turns that are acknowledged and cannot be continued: a turn that continues an
/// expired one is reported, and can be kept without it.
#[test]
fn expired_predecessor() {
    let mut turns = TurnState::default();
    assert!(keep(&mut turns, 0, "a", None, 60_000).is_empty());
    assert!(keep(&mut turns, 60_000, "b", Some("a"), 60_000).is_empty());
    keep(&mut turns, 131_000, "other", None, 60_000);
    assert_eq!(keep(&mut turns, 131_100, "c", Some("b"), 60_000), ["c"]);
    assert!(turns.history("red", "c").is_none());
    assert!(keep(&mut turns, 131_200, "c", None, 60_000).is_empty());
    assert!(turns.history("red", "c").is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Used and reserved tokens never exceed the budget for any order of commands, including
    /// repeated ones. A copy restored from a snapshot behaves the same.
    #[test]
    fn never_above_budget(
        commands in proptest::collection::vec((0u8..12, any::<bool>(), 0u64..80), 1..120),
    ) {
        const BUDGET: u64 = 300;
        let (mut turns, mut handed_out) = (TurnState::default(), 0);
        let mut open: Vec<(u8, u64)> = Vec::new();
        for (turn, is_end, tokens) in commands {
            let name = turn.to_string();
            if is_end {
                let found = open.iter().position(|(t, _)| *t == turn);
                let used = found.map_or(0, |at| open.remove(at).1.min(tokens));
                handed_out += used;
                settle(&mut turns, &name, used);
            } else {
                let amount = reserve(&mut turns, &name, tokens, BUDGET);
                if amount > 0 && !open.iter().any(|(t, _)| *t == turn) {
                    open.push((turn, amount));
                }
            }
            prop_assert!(turns.committed("red", "p") <= BUDGET);
            let most: u64 = open.iter().map(|(_, amount)| amount).sum();
            prop_assert!(handed_out + most <= BUDGET);
            let mut copy = TurnState::default();
            copy.restore(&turns.snapshot()).expect("its own snapshot");
            prop_assert_eq!(copy.committed("red", "p"), turns.committed("red", "p"));
            turns = copy;
        }
    }

    /// Bytes that are not a valid command neither panic nor change the state.
    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut turns = TurnState::default();
        keep(&mut turns, 0, "a", None, 1_000);
        let before = turns.clone();
        if pb::TurnCommand::decode(&bytes[..]).is_err() {
            turns.apply(2, &bytes);
            prop_assert_eq!(turns, before);
        }
    }
}

/// Any parts of a history together are the history, and their checksum is the one that is known
/// without reading. Guards against histories that cannot be read because they are long.
#[test]
fn history_in_parts() {
    let mut turns = TurnState::default();
    keep(&mut turns, 0, "a", None, 1_000);
    keep(&mut turns, 0, "b", Some("a"), 1_000);
    keep(&mut turns, 0, "c", Some("b"), 1_000);
    let history = turns.history("red", "c").expect("kept");
    let whole = history.read().expect("readable");
    assert_eq!(history.checksum(), crc32c::crc32c(&whole));
    for max in 1..=whole.len() + 1 {
        let mut parts = Vec::new();
        while parts.len() < whole.len() {
            let part = history.read_part(parts.len() as u64, max).expect("readable");
            assert_eq!(part.len(), max.min(whole.len() - parts.len()), "parts of {max} bytes");
            parts.extend_from_slice(&part);
        }
        assert_eq!(parts, whole, "parts of {max} bytes");
    }
    for offset in [whole.len() as u64, u64::MAX] {
        assert!(history.read_part(offset, usize::MAX).expect("readable").is_empty());
    }
}
