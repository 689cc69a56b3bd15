//! A replicated log for several groups, with storage, transport and clock behind traits.

mod convert;
mod core;
mod driver;
mod identity;
mod message;
mod storage;
mod types;

pub use crate::core::{
    Core, CoreConfig, Input, Output, ProposalResult, ReadResult, Refusal, Restored, Role,
    RoleChange, Status, VoterChange,
};
pub use convert::{ConvertError, PeerMessage};
pub use driver::{
    GroupHandle, GroupStatus, GroupView, InitError, Node, NodeBuilder, NodeConfig, NodeError,
    ProposeError, ReadError, StateMachine, Transport, init_voters,
};
pub use identity::{DataDir, IdentityError, PeerIdentities};
pub use message::{AppendResult, Message};
pub use storage::{
    FileStore, MemoryDisk, MemoryStore, Storage, StoreError, StoreOptions, StoreStats, Stored,
};
pub use types::{
    Entry, FolderId, GroupId, HardState, LogPosition, Membership, Payload, Persist, ReplicaId,
    Snapshot,
};
