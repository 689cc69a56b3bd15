//! A Raft library for many replicated logs (groups) in one process, with storage, transport and
//! clock behind traits.
//!
//! The replicas of a group agree on an order of commands, and each of them applies the commands to
//! its [`StateMachine`] in that order. The protocol is Raft (Ongaro and Ousterhout, "In Search of
//! an Understandable Consensus Algorithm", 2014), with pre-vote, check-quorum, leader leases,
//! learners and leadership transfer.
//!
//! * [`Node`] runs all groups of a process; [`GroupHandle`] proposes commands and reads. Users
//!   implement [`StateMachine`] and [`Transport`]. See `examples/replicated_counter.rs`.
//! * [`Core`] is the protocol of one group without I/O, for use with another driver.
//! * [`Storage`] is the interface to durable state. [`FileStore`] keeps the logs of all groups on
//!   disk; [`MemoryStore`] keeps them in memory and injects faults, for tests.
//! * [`DataDir`] gives a replica's disk an identity, so that a replica that lost its disk cannot
//!   vote again under the same number.
//!
//! # Ownership and failures
//!
//! A node's task owns the cores and the state machines, and its store owns the files; nothing else
//! writes to them. When a process dies, the other voters elect a leader and continue as long as a
//! majority of them runs. A restarted replica continues from its last synced state. While the disk
//! is full, writes wait. When a write or sync fails otherwise, the node stops permanently
//! ([`Node::failed`]) and the process should exit. A replica that lost its disk is replaced by one
//! with a new number.
//!
//! # Units and errors
//!
//! Time is a [`Duration`](std::time::Duration) since an arbitrary start, read from the configured
//! [`Clock`]; indices and terms count from 1. [`ProposeError`] distinguishes commands that will
//! never be executed from those with an unknown outcome.
//!
//! # Example
//!
//! A group with a single voter and a store in memory:
//!
//! ```
//! use std::sync::Arc;
//!
//! use bytes::Bytes;
//! use poplarspan_agreement::{
//!     GroupId, MemoryDisk, MemoryStore, Node, PeerMessage, ReplicaId, StateMachine, StoreOptions,
//!     Transport, init_voters,
//! };
//!
//! #[derive(Default)]
//! struct ByteCounter(u64);
//!
//! impl StateMachine for ByteCounter {
//!     fn apply(&mut self, _index: u64, data: &[u8]) -> Bytes {
//!         self.0 += data.len() as u64;
//!         self.snapshot()
//!     }
//!
//!     fn snapshot(&self) -> Bytes {
//!         Bytes::copy_from_slice(&self.0.to_be_bytes())
//!     }
//!
//!     fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
//!         self.0 = u64::from_be_bytes(snapshot.try_into()?);
//!         Ok(())
//!     }
//! }
//!
//! struct NoPeers;
//!
//! impl Transport for NoPeers {
//!     fn send(&self, _to: ReplicaId, _message: PeerMessage) {}
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> anyhow::Result<()> {
//! let (id, group) = (ReplicaId(1), GroupId(1));
//! let disk = MemoryDisk::new();
//! MemoryStore::create(&disk)?;
//! let store = MemoryStore::open(&disk, StoreOptions::default())?;
//! init_voters(&store, &[group], &[id]).await?;
//! let node = Node::builder(id, Box::new(store), Arc::new(NoPeers))
//!     .group(group, Box::<ByteCounter>::default())
//!     .start()
//!     .await?;
//! let handle = node.group(group).expect("added above");
//! handle.watch().wait_for(|view| view.lease).await?;
//! handle.propose(Bytes::from_static(b"four")).await?;
//! assert_eq!(handle.query(|machine: &ByteCounter| machine.0).await?, 4);
//! node.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod convert;
mod core;
mod driver;
mod identity;
mod message;
mod storage;
mod types;

pub use crate::core::{
    Core, CoreConfig, InitialState, Input, MembershipChange, MembershipChangeError, Output,
    ProposalResult, ReadResult, Role, RoleChange, Status,
};
pub use convert::{ConvertError, PeerMessage};
pub use driver::{
    Clock, GroupHandle, GroupStatus, InitError, Leadership, Node, NodeBuilder, NodeConfig,
    NodeError, ProposeError, ReadError, RuntimeClock, StateMachine, Transport, init_groups,
    init_voters,
};
pub use identity::{DataDir, IdentityError, PeerIdentities};
pub use message::{AppendResult, Message};
pub use storage::{
    FileStore, MemoryDisk, MemoryStore, Storage, StoreError, StoreOptions, StoreStats, StoredGroup,
    is_disk_full,
};
pub use types::{
    Entry, FolderId, GroupId, HardState, LogPosition, Membership, Payload, PersistRequest,
    ReplicaId, SavedState, Snapshot, SnapshotSource, SyncFiles,
};
