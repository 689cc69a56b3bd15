//! Parsing of event streams in chunks of any size.

use bytes::BytesMut;
use poplarspan_relay::EventReader;
use proptest::{prelude::*, test_runner::RngSeed};

/// Id and bytes of each event.
type Events = Vec<(Option<String>, Vec<u8>)>;

fn read(pieces: &[&[u8]]) -> (Events, Vec<u8>) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        reader.push(piece);
        while let Some(event) = reader.next_event() {
            let id = event.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
            events.push((id, event.raw.to_vec()));
        }
    }
    (events, reader.take_rest().to_vec())
}

#[test]
fn ids_and_data() {
    let mut reader = EventReader::default();
    reader.push(b"versions: 3\nid: 7\ndata: one\ndata: two\n\n: comment\r\n\r\nid:8\ndata:x\n");
    let first = reader.next_event().expect("a complete event");
    assert_eq!(first.id.as_deref(), Some(&b"7"[..]));
    let mut data = BytesMut::new();
    first.write_data(&mut data);
    assert_eq!(&data[..], b"one\ntwo\n");
    let second = reader.next_event().expect("a complete event");
    assert!(second.id.is_none() && !second.has_data());
    assert!(reader.next_event().is_none(), "the terminating empty line has not arrived");
    reader.push(b"\n");
    assert_eq!(reader.next_event().expect("a complete event").id.as_deref(), Some(&b"8"[..]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The result does not depend on how a stream is split into chunks, and no byte is lost.
    #[test]
    fn any_pieces(
        stream in proptest::collection::vec(
            prop_oneof![Just(b'\n'), Just(b'\r'), Just(b':'), Just(b'i'), Just(b'd'), any::<u8>()],
            0..200,
        ),
        cuts in proptest::collection::vec(0usize..200, 0..12),
    ) {
        let mut cuts: Vec<_> = cuts.into_iter().map(|at| at.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let pieces: Vec<_> = cuts.windows(2).map(|w| &stream[w[0]..w[1]]).collect();
        let (events, rest) = read(&pieces);
        prop_assert_eq!(read(&[&stream]), (events.clone(), rest.clone()));
        let mut whole: Vec<u8> = events.into_iter().flat_map(|(_, raw)| raw).collect();
        whole.extend(rest);
        prop_assert_eq!(whole, stream);
    }
}
