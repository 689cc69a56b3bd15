//! A replicated log for several groups, with storage, transport and clock behind traits.

mod core;
mod message;
mod types;

pub use crate::core::{
    Core, CoreConfig, Input, Output, ProposalResult, ReadResult, Refusal, Restored, Role,
    RoleChange, Status, VoterChange,
};
pub use message::{AppendResult, Message};
pub use types::{
    Entry, FolderId, GroupId, HardState, LogPosition, Membership, Payload, Persist, ReplicaId,
    Snapshot,
};
