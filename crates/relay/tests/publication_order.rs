//! Replicated state of the control group: publications, zones and the layout of the store groups.

use bytes::Bytes;
use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay::{self as pb, board_command::Body};
use poplarspan_relay::ControlState;
use proptest::{prelude::*, test_runner::RngSeed};
use prost::Message;

fn apply(state: &mut ControlState, body: Body) -> u64 {
    let command = pb::BoardCommand { body: Some(body) }.encode_to_vec();
    pb::BoardResult::decode(state.apply(1, &command)).expect("a result").version
}

fn publish(version: u64, body: &'static str) -> Body {
    Body::Publish(pb::Publish { version, body: Bytes::from_static(body.as_bytes()) })
}

/// A version that is not higher is acknowledged without changing anything, whatever its content.
#[test]
fn highest_wins() {
    let mut state = ControlState::default();
    assert_eq!(apply(&mut state, publish(5, "five")), 5);
    assert_eq!(apply(&mut state, publish(5, "other")), 5);
    assert_eq!(apply(&mut state, publish(3, "three")), 5);
    assert_eq!(&state.body()[..], b"five");
    assert_eq!(apply(&mut state, publish(9, "nine")), 9);
    assert_eq!(&state.body()[..], b"nine");
}

/// The layout of the store groups is decided once.
#[test]
fn layout_decided_once() {
    let mut state = ControlState::default();
    apply(&mut state, Body::Form(pb::FormStore { ring: vec![3, 1, 2], groups: 2 }));
    apply(&mut state, Body::Form(pb::FormStore { ring: vec![4], groups: 1 }));
    assert_eq!((state.store_ring(), state.store_groups()), (&[3, 1, 2][..], 2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The version never decreases, and a snapshot restores the complete state.
    #[test]
    fn version_never_decreases(commands in proptest::collection::vec((0u64..20, 0u8..4, 0u8..3), 1..60)) {
        let mut state = ControlState::default();
        let mut highest = 0;
        for (version, kind, zone) in commands {
            let zone = format!("z{zone}");
            match kind {
                0 | 1 => {
                    highest = highest.max(version);
                    let body = Bytes::from(version.to_string());
                    apply(&mut state, Body::Publish(pb::Publish { version, body }));
                }
                2 => {
                    let out = version % 2 == 0;
                    apply(&mut state, Body::Zone(pb::SetZone { zone: zone.clone(), out }));
                    prop_assert_eq!(state.zones_out().iter().any(|z| **z == *zone), out);
                }
                _ => { apply(&mut state, Body::Retire(pb::Retire { instance: zone })); }
            }
            prop_assert_eq!(state.version(), highest);
            let mut copy = ControlState::default();
            copy.restore(&state.snapshot()).expect("its own snapshot");
            prop_assert_eq!(&copy, &state);
        }
    }

    /// Bytes that are not a valid command do not change the state.
    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut state = ControlState::default();
        apply(&mut state, publish(5, "five"));
        let before = state.clone();
        if pb::BoardCommand::decode(&bytes[..]).is_err() {
            state.apply(2, &bytes);
            prop_assert_eq!(state, before);
        }
    }
}
