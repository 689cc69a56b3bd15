//! Guards against messages that change when encoded and decoded, and against received bytes that
//! panic or overflow the receiver.

mod common;

use bytes::Bytes;
use poplarspan_agreement::{
    AppendResult, Entry, GroupId, LogPosition, Membership, Message, Payload, PeerMessage, ReplicaId,
};
use proptest::collection::vec;
use proptest::prelude::*;

fn index() -> impl Strategy<Value = u64> {
    0..u64::MAX / 4
}

fn position() -> impl Strategy<Value = LogPosition> {
    (index(), any::<u64>()).prop_map(|(index, term)| LogPosition { index, term })
}

fn bytes() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..50).prop_map(Bytes::from)
}

fn membership() -> impl Strategy<Value = Membership> {
    let ids = || prop::collection::btree_set(any::<u64>().prop_map(ReplicaId), 0..5);
    (ids(), ids()).prop_map(|(voters, learners)| Membership {
        voters: voters.into_iter().collect(),
        learners: learners.into_iter().collect(),
    })
}

fn payload() -> impl Strategy<Value = Payload> {
    prop_oneof![
        Just(Payload::Empty),
        bytes().prop_map(Payload::Command),
        membership().prop_map(Payload::Membership),
    ]
}

fn append() -> impl Strategy<Value = Message> {
    let payloads = vec((any::<u64>(), payload()), 0..5);
    (any::<u64>(), position(), payloads, index()).prop_map(|(term, previous, payloads, commit)| {
        let entries = (previous.index + 1..).zip(payloads).map(|(index, (term, payload))| Entry {
            position: LogPosition { index, term },
            payload,
        });
        Message::Append { term, previous, entries: entries.collect(), commit }
    })
}

fn chunk() -> impl Strategy<Value = Message> {
    (any::<u64>(), position(), membership(), any::<u64>(), bytes(), any::<bool>()).prop_map(
        |(term, last, membership, offset, data, done)| Message::SnapshotChunk {
            term,
            last,
            membership,
            offset,
            data,
            done,
        },
    )
}

fn small_message() -> impl Strategy<Value = Message> {
    (0..12, any::<u64>(), position(), any::<bool>(), index(), index()).prop_map(
        |(kind, term, last, flag, a, b)| match kind {
            0 => Message::PreVote { term, last },
            1 => Message::PreVoteAnswer { term, granted: flag },
            2 => Message::Vote { term, last, transfer: flag },
            3 => Message::VoteAnswer { term, granted: flag },
            4 => Message::AppendAnswer { term, result: AppendResult::Matched(a) },
            5 => Message::AppendAnswer {
                term,
                result: AppendResult::Mismatch { rejected: a, hint: last },
            },
            6 => Message::Heartbeat { term, round: a, commit: b },
            7 => Message::HeartbeatAnswer { term, round: a },
            8 => Message::SnapshotAnswer { term, last, received: a },
            _ => Message::TimeoutNow { term },
        },
    )
}

proptest! {
    #![proptest_config(common::proptest_config())]

    #[test]
    fn messages_round_trip(
        group in any::<u32>(),
        message in prop_oneof![append(), chunk(), small_message(), small_message()],
    ) {
        let message = PeerMessage { group: GroupId(group), message };
        prop_assert_eq!(PeerMessage::decode(message.encode()), Ok(message));
    }

    #[test]
    fn index_out_of_range_is_refused(index in u64::MAX / 2 + 1..) {
        let (term, result) = (1, AppendResult::Matched(index));
        let message = Message::AppendAnswer { term, result };
        let message = PeerMessage { group: GroupId(0), message };
        prop_assert!(PeerMessage::decode(message.encode()).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(buf in vec(any::<u8>(), 0..100)) {
        let _ = PeerMessage::decode(Bytes::from(buf));
    }
}
