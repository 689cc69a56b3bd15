//! Conversion between this crate's types and the protobuf types.

mod peer;

use poplarspan_proto::agreement as pb;

pub use peer::PeerMessage;

use crate::{Entry, FolderId, HardState, LogPosition, Membership, Payload, ReplicaId};

/// A protobuf message is malformed, lacks a field or has an invalid one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid protobuf message: {0}")]
pub struct ConvertError(pub(crate) &'static str);

impl From<LogPosition> for pb::LogPosition {
    fn from(p: LogPosition) -> Self {
        Self { index: p.index, term: p.term }
    }
}

impl From<pb::LogPosition> for LogPosition {
    fn from(p: pb::LogPosition) -> Self {
        Self { index: p.index, term: p.term }
    }
}

impl From<HardState> for pb::HardState {
    fn from(state: HardState) -> Self {
        Self { term: state.term, vote: state.vote.map(|r| r.0) }
    }
}

impl From<pb::HardState> for HardState {
    fn from(state: pb::HardState) -> Self {
        Self { term: state.term, vote: state.vote.map(ReplicaId) }
    }
}

impl From<&Membership> for pb::Membership {
    fn from(m: &Membership) -> Self {
        let ids = |replicas: &[ReplicaId]| replicas.iter().map(|r| r.0).collect();
        Self { voters: ids(&m.voters), learners: ids(&m.learners) }
    }
}

impl From<pb::Membership> for Membership {
    fn from(m: pb::Membership) -> Self {
        let ids = |numbers: Vec<u64>| {
            let mut replicas = numbers.into_iter().map(ReplicaId).collect::<Vec<_>>();
            replicas.sort_unstable();
            replicas.dedup();
            replicas
        };
        Self { voters: ids(m.voters), learners: ids(m.learners) }
    }
}

impl From<&Entry> for pb::Entry {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Empty => pb::entry::Payload::Empty(true),
            Payload::Command(data) => pb::entry::Payload::Command(data.clone()),
            Payload::Membership(m) => pb::entry::Payload::Membership(m.into()),
        };
        Self { term: entry.position.term, index: entry.position.index, payload: Some(payload) }
    }
}

impl TryFrom<pb::Entry> for Entry {
    type Error = ConvertError;

    fn try_from(entry: pb::Entry) -> Result<Self, ConvertError> {
        let payload = match entry.payload.ok_or(ConvertError("entry without payload"))? {
            pb::entry::Payload::Empty(_) => Payload::Empty,
            pb::entry::Payload::Command(data) => Payload::Command(data),
            pb::entry::Payload::Membership(m) => Payload::Membership(m.into()),
        };
        if entry.index == 0 || entry.index > u64::MAX / 2 {
            return Err(ConvertError("entry index out of range"));
        }
        Ok(Self { position: LogPosition { index: entry.index, term: entry.term }, payload })
    }
}

pub(crate) fn identity_to_proto(replica: ReplicaId, folder: FolderId) -> pb::Identity {
    pb::Identity { replica: replica.0, folder: folder.0.to_be_bytes().to_vec().into() }
}

pub(crate) fn identity_from_proto(
    identity: &pb::Identity,
) -> Result<(ReplicaId, FolderId), ConvertError> {
    let folder: [u8; 16] = identity
        .folder
        .as_ref()
        .try_into()
        .map_err(|_| ConvertError("folder identity is not 16 bytes long"))?;
    Ok((ReplicaId(identity.replica), FolderId(u128::from_be_bytes(folder))))
}
