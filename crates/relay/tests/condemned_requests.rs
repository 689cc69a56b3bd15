//! Requests that the board refuses.

use poplarspan_agreement::StateMachine;
use poplarspan_policy::containment::Fingerprint;
use poplarspan_proto::relay::{self as pb, board_command::Body};
use poplarspan_relay::Board;
use prost::Message;

const WEEK_MS: u64 = 7 * 24 * 3600 * 1000;

fn apply(board: &mut Board, body: Body) {
    board.apply(1, &pb::BoardCommand { body: Some(body) }.encode_to_vec());
}

fn request(n: usize) -> Fingerprint {
    Fingerprint::new("/v1", &n.to_le_bytes())
}

fn condemn(board: &mut Board, n: usize, at_ms: u64) {
    let request = request(n).0.to_vec().into();
    apply(board, Body::Condemn(pb::Condemn { request, at_ms, times: 0 }));
}

fn is_condemned(board: &Board, n: usize) -> bool {
    board.condemnation(request(n)).is_some()
}

/// Each time that a request is condemned anew it is refused for longer, and repeated reports of one
/// trial count once.
#[test]
fn refused_for_longer() {
    const MINUTE_MS: u64 = 60_000;
    let mut board = Board::default();
    let mut now_ms = 5;
    for refused_ms in [MINUTE_MS, 10 * MINUTE_MS, WEEK_MS] {
        condemn(&mut board, 1, now_ms);
        condemn(&mut board, 1, now_ms + 1);
        let until_ms = board.condemnation(request(1)).expect("condemned").refused_until_ms();
        assert_eq!(until_ms, now_ms + refused_ms);
        now_ms = until_ms;
    }
}

#[test]
fn acquitted_by_answer() {
    let mut board = Board::default();
    condemn(&mut board, 1, 5);
    condemn(&mut board, 2, 6);
    assert!(is_condemned(&board, 1) && is_condemned(&board, 2));
    apply(&mut board, Body::Acquit(pb::Acquit { request: request(1).0.to_vec().into() }));
    assert!(!is_condemned(&board, 1) && is_condemned(&board, 2));
}

#[test]
fn survives_snapshots() {
    let mut board = Board::default();
    for n in 0..50 {
        condemn(&mut board, n, n as u64);
    }
    let mut restored = Board::default();
    restored.restore(&board.snapshot()).expect("a sound snapshot");
    assert_eq!(restored, board);
    assert!(is_condemned(&restored, 49));
}

#[test]
fn bounded_and_dropped_in_time() {
    const BOUND: usize = 4_096;
    let mut board = Board::default();
    for n in 0..BOUND + 100 {
        condemn(&mut board, n, 10 + n as u64);
    }
    assert_eq!(board.condemned().len(), BOUND);
    assert!(!is_condemned(&board, 0) && is_condemned(&board, BOUND));
    condemn(&mut board, 0, WEEK_MS * 2);
    assert_eq!(board.condemned().len(), 1);
}

#[test]
fn malformed_digest_ignored() {
    let mut board = Board::default();
    let short = vec![1, 2, 3].into();
    apply(&mut board, Body::Condemn(pb::Condemn { request: short, at_ms: 1, times: 0 }));
    assert!(board.condemned().is_empty());
}
