//! Blocked requests in the state of the control group.

use poplarspan_agreement::StateMachine;
use poplarspan_policy::containment::Fingerprint;
use poplarspan_proto::relay::{self as pb, board_command::Body};
use poplarspan_relay::ControlState;
use prost::Message;

const WEEK_MS: u64 = 7 * 24 * 3600 * 1000;

fn apply(state: &mut ControlState, body: Body) {
    state.apply(1, &pb::BoardCommand { body: Some(body) }.encode_to_vec());
}

fn request(n: usize) -> Fingerprint {
    Fingerprint::new("/v1", &n.to_le_bytes())
}

fn block(state: &mut ControlState, n: usize, at_ms: u64) {
    let request = request(n).0.to_vec().into();
    apply(state, Body::Condemn(pb::Condemn { request, at_ms, times: 0 }));
}

fn is_blocked(state: &ControlState, n: usize) -> bool {
    state.blocked_request(request(n)).is_some()
}

/// The block of a request gets longer each time, and repeated reports of one trial count once.
#[test]
fn refused_for_longer() {
    const MINUTE_MS: u64 = 60_000;
    let mut state = ControlState::default();
    let mut now_ms = 5;
    for refused_ms in [MINUTE_MS, 10 * MINUTE_MS, WEEK_MS] {
        block(&mut state, 1, now_ms);
        block(&mut state, 1, now_ms + 1);
        let until_ms = state.blocked_request(request(1)).expect("blocked").blocked_until_ms();
        assert_eq!(until_ms, now_ms + refused_ms);
        now_ms = until_ms;
    }
}

#[test]
fn unblocked_by_answer() {
    let mut state = ControlState::default();
    block(&mut state, 1, 5);
    block(&mut state, 2, 6);
    assert!(is_blocked(&state, 1) && is_blocked(&state, 2));
    apply(&mut state, Body::Acquit(pb::Acquit { request: request(1).0.to_vec().into() }));
    assert!(!is_blocked(&state, 1) && is_blocked(&state, 2));
}

#[test]
fn survives_snapshots() {
    let mut state = ControlState::default();
    for n in 0..50 {
        block(&mut state, n, n as u64);
    }
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("a valid snapshot");
    assert_eq!(restored, state);
    assert!(is_blocked(&restored, 49));
}

#[test]
fn bounded_and_dropped_in_time() {
    const BOUND: usize = 4_096;
    let mut state = ControlState::default();
    for n in 0..BOUND + 100 {
        block(&mut state, n, 10 + n as u64);
    }
    assert_eq!(state.blocked().len(), BOUND);
    assert!(!is_blocked(&state, 0) && is_blocked(&state, BOUND));
    block(&mut state, 0, WEEK_MS * 2);
    assert_eq!(state.blocked().len(), 1);
}

#[test]
fn malformed_digest_ignored() {
    let mut state = ControlState::default();
    let short = vec![1, 2, 3].into();
    apply(&mut state, Body::Condemn(pb::Condemn { request: short, at_ms: 1, times: 0 }));
    assert!(state.blocked().is_empty());
}
