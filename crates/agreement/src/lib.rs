//! A replicated log for several groups, with storage, transport and clock behind traits.

mod convert;
mod identity;
mod storage;
mod types;

pub use convert::ConvertError;
pub use identity::{DataDir, IdentityError, PeerIdentities};
pub use storage::{
    FileStore, MemoryDisk, MemoryStore, Storage, StoreError, StoreOptions, StoreStats, Stored,
};
pub use types::{
    Entry, FolderId, GroupId, HardState, LogPosition, Membership, Payload, Persist, ReplicaId,
    Snapshot,
};
