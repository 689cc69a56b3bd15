//! A replicated log for several groups, with storage, transport and clock behind traits.

mod types;

pub use types::{
    Entry, FolderId, GroupId, HardState, LogPosition, Membership, Payload, Persist, ReplicaId,
    Snapshot,
};
