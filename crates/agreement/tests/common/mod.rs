//! Helpers for the storage and driver tests.
#![allow(dead_code, reason = "not every test file uses every helper")]

pub mod cluster;

use std::path::{Path, PathBuf};

use bytes::Bytes;
use futures::executor::block_on;
use poplarspan_agreement::{
    Entry, FileStore, GroupId, HardState, LogPosition, Membership, Payload, PersistRequest,
    ReplicaId, Snapshot, Storage, StoreError, StoreOptions, StoredGroup,
};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

pub fn entry(index: u64, term: u64, data: &[u8]) -> Entry {
    let payload = Payload::Command(Bytes::copy_from_slice(data));
    Entry { position: LogPosition { index, term }, payload }
}

pub fn entries(first: u64, term: u64, data: &[u8]) -> PersistRequest {
    PersistRequest { entries: vec![entry(first, term, data)], ..PersistRequest::default() }
}

pub fn snapshot(index: u64, term: u64, data: &[u8]) -> Snapshot {
    let voters = vec![ReplicaId(1), ReplicaId(index + 2)];
    Snapshot {
        last: LogPosition { index, term },
        membership: Membership { voters, learners: vec![ReplicaId(9)] },
        data: Bytes::copy_from_slice(data),
    }
}

pub fn persist(store: &dyn Storage, group: u32, persist: PersistRequest) -> Result<(), StoreError> {
    block_on(store.persist(vec![(GroupId(group), persist)]))
}

pub fn open(folder: &Path, segment_bytes: u64) -> Result<FileStore, StoreError> {
    FileStore::open(folder, StoreOptions { segment_bytes, preallocate_bytes: 0 })
}

/// Configuration of all property tests. The fixed seed makes failures reproducible.
pub fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_204);
    ProptestConfig { cases: 128, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Removes the groups without stored state.
pub fn not_empty(mut groups: Vec<(GroupId, StoredGroup)>) -> Vec<(GroupId, StoredGroup)> {
    groups.retain(|(_, stored)| *stored != StoredGroup::default());
    groups
}

/// Opens the store in a folder, loads its non-empty groups and closes it.
pub fn contents(folder: &Path) -> Result<Vec<(GroupId, StoredGroup)>, StoreError> {
    let store = open(folder, 1 << 20)?;
    let loaded = block_on(store.load());
    block_on(store.close())?;
    loaded.map(not_empty)
}

/// Returns the paths of the log segments in a folder, oldest first.
pub fn segments(folder: &Path) -> Vec<PathBuf> {
    let names = std::fs::read_dir(folder).expect("readable folder");
    let mut paths: Vec<_> = names.map(|item| item.expect("readable name").path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ext| ext == "log"));
    paths.sort();
    paths
}

/// Expected content of a store, as a simple reference model.
#[derive(Clone, Debug, Default)]
pub struct Model(pub Vec<(GroupId, StoredGroup)>);

impl Model {
    pub fn group(&mut self, id: GroupId) -> &mut StoredGroup {
        let i = self.0.binary_search_by_key(&id, |(g, _)| *g).unwrap_or_else(|i| {
            self.0.insert(i, (id, StoredGroup::default()));
            i
        });
        &mut self.0[i].1
    }

    /// Returns the last position of a group's log, or of its snapshot if the log is empty.
    pub fn last(&mut self, id: GroupId) -> LogPosition {
        let g = self.group(id);
        let snapshot = g.snapshot.as_ref().map(|s| s.last).unwrap_or_default();
        g.entries.last().map_or(snapshot, |e| e.position)
    }

    pub fn apply(&mut self, id: GroupId, persist: &PersistRequest) {
        let g = self.group(id);
        if let Some(state) = persist.hard_state {
            g.hard_state = state;
        }
        if let Some(s) = &persist.snapshot {
            let kept = g.entries.iter().any(|e| e.position == s.last);
            g.entries.retain(|e| kept && e.position.index > s.last.index);
            g.snapshot = Some(s.clone());
        }
        if let Some(first) = persist.entries.first() {
            g.entries.retain(|e| e.position.index < first.position.index);
            g.entries.extend(persist.entries.iter().cloned());
        }
    }
}

pub fn hard_state(term: u64, vote: Option<u64>) -> PersistRequest {
    let state = HardState { term, vote: vote.map(ReplicaId) };
    PersistRequest { hard_state: Some(state), ..PersistRequest::default() }
}
