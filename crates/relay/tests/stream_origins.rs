//! Origins of streams in the state of a store group.

use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay as pb;
use poplarspan_relay::TurnState;
use prost::Message;

fn record(turns: &mut TurnState, now_ms: u64, stream: &str, software: &str, keep_ms: u64) {
    let origin = pb::StreamOrigin {
        team: "red".to_owned(),
        stream: stream.to_owned(),
        service: "s".to_owned(),
        software: software.to_owned(),
        expires_ms: now_ms + keep_ms,
    };
    let command = pb::TurnCommand { now_ms, streams: vec![origin], ..Default::default() };
    turns.apply(1, &command.encode_to_vec());
}

fn software(turns: &TurnState, team: &str, stream: &str) -> Option<String> {
    turns.stream_origin(team, stream).map(|origin| origin.software.to_string())
}

/// A delayed copy of another record does not change which version began a stream.
#[test]
fn first_record_stays() {
    let mut turns = TurnState::default();
    record(&mut turns, 0, "a", "v1", 3_000);
    record(&mut turns, 0, "a", "v2", 3_000);
    assert_eq!(software(&turns, "red", "a").as_deref(), Some("v1"));
    assert_eq!(software(&turns, "red", "b"), None);
    assert_eq!(software(&turns, "blue", "a"), None, "another team sees the stream");
}

/// Origins are kept as long as asked, and do not pile up.
#[test]
fn expired_origins() {
    let mut turns = TurnState::default();
    record(&mut turns, 0, "a", "v1", 3_000);
    record(&mut turns, 3_000, "b", "v1", 3_000);
    assert!(software(&turns, "red", "a").is_some(), "kept for 3 s");
    record(&mut turns, 60_000, "c", "v1", 3_000);
    assert_eq!(software(&turns, "red", "a"), None);
    assert_eq!(software(&turns, "red", "b"), None);
    assert!(software(&turns, "red", "c").is_some());
}

#[test]
fn restored_origins() {
    let mut turns = TurnState::default();
    record(&mut turns, 0, "b", "v2", 3_000);
    record(&mut turns, 0, "a", "v1", 3_000);
    let mut restored = TurnState::default();
    restored.restore(&turns.snapshot()).expect("valid snapshot");
    assert_eq!(restored, turns);
    assert_eq!(software(&restored, "red", "a").as_deref(), Some("v1"));
}
