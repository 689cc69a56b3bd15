//! Conversion of messages between replicas.

use bytes::Bytes;
use pb::append_answer::Result as PbResult;
use pb::peer_message::Message as Pb;
use poplarspan_proto::agreement as pb;
use prost::Message as _;

use super::ConvertError;
use crate::{AppendResult, Entry, GroupId, LogPosition, Membership, Message};

/// A message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// Group of the sending and the receiving replica.
    pub group: GroupId,
    /// Content of the message.
    pub message: Message,
}

impl PeerMessage {
    /// Encodes the message as protobuf.
    pub fn encode(&self) -> Bytes {
        pb::PeerMessage::from(self).encode_to_vec().into()
    }

    /// Decodes a protobuf message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a protobuf message, or if a field is missing or invalid.
    pub fn decode(buf: Bytes) -> Result<Self, ConvertError> {
        let message = pb::PeerMessage::decode(buf);
        message.map_err(|_| ConvertError("not a protobuf message"))?.try_into()
    }
}

impl From<&PeerMessage> for pb::PeerMessage {
    fn from(m: &PeerMessage) -> Self {
        let message = Some(to_proto(&m.message));
        Self { group: m.group.0, term: m.message.term(), message }
    }
}

impl TryFrom<pb::PeerMessage> for PeerMessage {
    type Error = ConvertError;

    fn try_from(m: pb::PeerMessage) -> Result<Self, ConvertError> {
        let message = m.message.ok_or(ConvertError("unknown kind of message"))?;
        Ok(Self { group: GroupId(m.group), message: from_proto(m.term, message)? })
    }
}

fn to_proto(message: &Message) -> Pb {
    let position = |p: &LogPosition| Some((*p).into());
    match message {
        Message::PreVote { last, .. } => Pb::PreVote(pb::PreVote { last: position(last) }),
        Message::PreVoteAnswer { granted, .. } => {
            Pb::PreVoteAnswer(pb::VoteAnswer { granted: *granted })
        }
        Message::Vote { last, transfer, .. } => {
            Pb::Vote(pb::Vote { last: position(last), transfer: *transfer })
        }
        Message::VoteAnswer { granted, .. } => Pb::VoteAnswer(pb::VoteAnswer { granted: *granted }),
        Message::Append { previous, entries, commit, .. } => {
            let entries = entries.iter().map(Into::into).collect();
            Pb::Append(pb::Append { previous: position(previous), entries, commit: *commit })
        }
        Message::AppendAnswer { result, .. } => {
            let result = Some(match result {
                AppendResult::Matched(index) => PbResult::Matched(*index),
                AppendResult::Mismatch { rejected, hint } => {
                    PbResult::Mismatch(pb::Mismatch { rejected: *rejected, hint: position(hint) })
                }
            });
            Pb::AppendAnswer(pb::AppendAnswer { result })
        }
        Message::Heartbeat { round, commit, .. } => {
            Pb::Heartbeat(pb::Heartbeat { round: *round, commit: *commit })
        }
        Message::HeartbeatAnswer { round, .. } => {
            Pb::HeartbeatAnswer(pb::HeartbeatAnswer { round: *round })
        }
        Message::SnapshotChunk { last, membership, offset, data, done, .. } => {
            Pb::SnapshotChunk(pb::SnapshotChunk {
                last: position(last),
                membership: Some(membership.into()),
                offset: *offset,
                data: data.clone(),
                done: *done,
            })
        }
        Message::SnapshotAnswer { last, received, .. } => {
            Pb::SnapshotAnswer(pb::SnapshotAnswer { last: position(last), received: *received })
        }
        Message::TimeoutNow { .. } => Pb::TimeoutNow(pb::TimeoutNow {}),
    }
}

fn from_proto(term: u64, message: Pb) -> Result<Message, ConvertError> {
    Ok(match message {
        Pb::PreVote(m) => Message::PreVote { term, last: position(m.last)? },
        Pb::PreVoteAnswer(m) => Message::PreVoteAnswer { term, granted: m.granted },
        Pb::Vote(m) => Message::Vote { term, last: position(m.last)?, transfer: m.transfer },
        Pb::VoteAnswer(m) => Message::VoteAnswer { term, granted: m.granted },
        Pb::Append(m) => append_from_proto(term, m)?,
        Pb::AppendAnswer(m) => {
            let result = match m.result.ok_or(ConvertError("append answer without result"))? {
                PbResult::Matched(i) => AppendResult::Matched(index(i)?),
                PbResult::Mismatch(m) => {
                    AppendResult::Mismatch { rejected: index(m.rejected)?, hint: position(m.hint)? }
                }
            };
            Message::AppendAnswer { term, result }
        }
        Pb::Heartbeat(m) => Message::Heartbeat { term, round: m.round, commit: index(m.commit)? },
        Pb::HeartbeatAnswer(m) => Message::HeartbeatAnswer { term, round: m.round },
        Pb::SnapshotChunk(m) => {
            let membership = m.membership.ok_or(ConvertError("snapshot without membership"))?;
            Message::SnapshotChunk {
                term,
                last: position(m.last)?,
                membership: Membership::from(membership),
                offset: m.offset,
                data: m.data,
                done: m.done,
            }
        }
        Pb::SnapshotAnswer(m) => {
            Message::SnapshotAnswer { term, last: position(m.last)?, received: m.received }
        }
        Pb::TimeoutNow(_) => Message::TimeoutNow { term },
    })
}

fn append_from_proto(term: u64, m: pb::Append) -> Result<Message, ConvertError> {
    let previous = position(m.previous)?;
    let entries: Result<Vec<Entry>, _> = m.entries.into_iter().map(Entry::try_from).collect();
    let entries = entries?;
    if (previous.index + 1..).zip(&entries).any(|(i, e)| e.position.index != i) {
        return Err(ConvertError("entries are not consecutive"));
    }
    Ok(Message::Append { term, previous, entries, commit: index(m.commit)? })
}

fn position(p: Option<pb::LogPosition>) -> Result<LogPosition, ConvertError> {
    let p = p.ok_or(ConvertError("message without position"))?;
    Ok(LogPosition { index: index(p.index)?, term: p.term })
}

/// Rejects indices that could overflow the core's arithmetic.
fn index(index: u64) -> Result<u64, ConvertError> {
    if index > u64::MAX / 2 {
        return Err(ConvertError("index out of range"));
    }
    Ok(index)
}
