//! Guards against a store that returns other state after a reopen than was written to it.

mod common;

use std::path::Path;

use common::{Model, contents, entry, hard_state, not_empty, open, persist, segments, snapshot};
use futures::executor::block_on;
use futures::future::join_all;
use poplarspan_agreement::{
    FileStore, GroupId, MemoryDisk, MemoryStore, PersistRequest, Storage, StoreError, StoreOptions,
};
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    HardState {
        term: u64,
        vote: Option<u64>,
    },
    /// Appends after removing `back` entries.
    Append {
        back: u64,
        data: Vec<Vec<u8>>,
    },
    /// Saves a snapshot of the local state machine, `back` entries before the end of the log.
    Save {
        back: u64,
        data: Vec<u8>,
    },
    /// Installs a leader's snapshot near the end of the log, whose entries may conflict with it.
    Install {
        ahead: i64,
        data: Vec<u8>,
    },
    Reopen,
}

fn op() -> impl Strategy<Value = Op> {
    let data = || vec(any::<u8>(), 0..200);
    prop_oneof![
        2 => (any::<u64>(), any::<Option<u64>>()).prop_map(|(term, vote)| Op::HardState { term, vote }),
        6 => (0..4u64, vec(data(), 1..5)).prop_map(|(back, data)| Op::Append { back, data }),
        2 => (0..3u64, data()).prop_map(|(back, data)| Op::Save { back, data }),
        1 => (-4..3i64, data()).prop_map(|(ahead, data)| Op::Install { ahead, data }),
        1 => Just(Op::Reopen),
    ]
}

/// Executes an operation on the store and on the model.
fn run(store: &dyn Storage, model: &mut Model, term: u64, id: GroupId, op: &Op) {
    let last = model.last(id);
    let base = model.group(id).snapshot.as_ref().map_or(0, |s| s.last.index);
    let request = match op {
        Op::HardState { term, vote } => hard_state(*term, *vote),
        Op::Append { back, data } => {
            let first = last.index.saturating_sub(*back).max(base) + 1;
            let list = data.iter().zip(first..).map(|(d, i)| entry(i, term, d)).collect();
            PersistRequest { entries: list, ..PersistRequest::default() }
        }
        Op::Save { back, data } => {
            let index = last.index.saturating_sub(*back);
            let Some(e) = model.group(id).entries.iter().find(|e| e.position.index == index) else {
                return;
            };
            let s = snapshot(index, e.position.term, data);
            block_on(store.save_snapshot(id, s.clone())).expect("saved");
            model.apply(id, &PersistRequest { snapshot: Some(s), ..PersistRequest::default() });
            return;
        }
        Op::Install { ahead, data } => {
            let s = snapshot(last.index.saturating_add_signed(*ahead).max(base + 1), term, data);
            PersistRequest { snapshot: Some(s), ..PersistRequest::default() }
        }
        Op::Reopen => return,
    };
    model.apply(id, &request);
    persist(store, id.0, request).expect("persisted");
}

proptest! {
    #![proptest_config(common::proptest_config())]

    #[test]
    fn keeps_every_record(
        ops in vec((0..3u32, op()), 1..40), segment_bytes in 64..2000u64,
        preallocate_bytes in prop_oneof![Just(0), 1..2000usize],
    ) {
        let open = |folder: &Path, segment_bytes| {
            FileStore::open(folder, StoreOptions { segment_bytes, preallocate_bytes })
        };
        let folder = tempfile::tempdir()?;
        FileStore::create(folder.path())?;
        let mut store = open(folder.path(), segment_bytes)?;
        let mut model = Model::default();
        for (term, (group, op)) in (1..).zip(&ops) {
            if matches!(op, Op::Reopen) {
                block_on(store.close())?;
                store = open(folder.path(), segment_bytes)?;
                prop_assert_eq!(not_empty(block_on(store.load())?), not_empty(model.0.clone()));
            } else {
                run(&store, &mut model, term, GroupId(*group), op);
            }
        }
        block_on(store.close())?;
        prop_assert_eq!(contents(folder.path())?, not_empty(model.0));
    }

    #[test]
    fn memory_store_keeps_what_was_synced(
        ops in vec((0..3u32, op()), 1..40), torn in 0..300usize, segment_bytes in 64..2000u64,
    ) {
        let disk = MemoryDisk::new();
        let options = StoreOptions { segment_bytes, ..StoreOptions::default() };
        MemoryStore::create(&disk)?;
        let mut store = MemoryStore::open(&disk, options)?;
        let mut model = Model::default();
        for (term, (group, op)) in (1..).zip(&ops) {
            run(&store, &mut model, term, GroupId(*group), op);
            if matches!(op, Op::Reopen) {
                // A write whose sync fails may survive the crash, but only as a whole.
                let mut longer = model.clone();
                let request = hard_state(term, None);
                longer.apply(GroupId(*group), &request);
                disk.fail_next_sync();
                prop_assert!(persist(&store, *group, request).is_err());
                disk.crash(torn);
                store = MemoryStore::open(&disk, options)?;
                let loaded = not_empty(block_on(store.load())?);
                let expected = [not_empty(model.0), not_empty(longer.0)];
                prop_assert!(expected.contains(&loaded), "{loaded:?} is not one of {expected:?}");
                model = Model(loaded);
            }
        }
    }
}

#[test]
fn superseded_segments_are_deleted() {
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1000).expect("opened");
    let mut model = Model::default();
    // Group 0 writes once and is then idle. Its entry must not retain all later segments.
    let op = Op::Append { back: 0, data: vec![vec![1; 100]] };
    run(&store, &mut model, 1, GroupId(0), &op);
    for round in 0..50 {
        for _ in 0..10 {
            run(&store, &mut model, 1, GroupId(1), &op);
        }
        run(&store, &mut model, 1, GroupId(1), &Op::Save { back: 0, data: vec![round; 10] });
        assert!(segments(folder.path()).len() <= 8, "{:?}", segments(folder.path()));
    }
    assert_eq!(store.stats().segments, segments(folder.path()).len() as u64);
    block_on(store.close()).expect("closed");
    assert_eq!(contents(folder.path()).expect("loaded"), model.0);
}

#[test]
fn one_sync_covers_many_writers() {
    const WRITERS: u32 = 1000;
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1 << 20).expect("opened");
    let batches = (0..WRITERS).map(|g| store.persist(vec![(GroupId(g), hard_state(1, None))]));
    for result in block_on(join_all(batches)) {
        result.expect("persisted");
    }
    assert!(store.stats().syncs < u64::from(WRITERS), "{:?}", store.stats());
}

#[test]
fn large_snapshot_survives() {
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1 << 20).expect("opened");
    let mut model = Model::default();
    run(&store, &mut model, 1, GroupId(1), &Op::Append { back: 0, data: vec![vec![1]; 9] });
    run(&store, &mut model, 1, GroupId(1), &Op::Save { back: 2, data: vec![7; 5 << 20] });
    block_on(store.close()).expect("closed");
    assert_eq!(contents(folder.path()).expect("loaded"), model.0);
}

#[test]
fn snapshots_are_written_concurrently() {
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1000).expect("opened");
    let mut model = Model::default();
    for group in [1, 2] {
        run(&store, &mut model, 1, GroupId(group), &Op::Append { back: 0, data: vec![vec![1]; 9] });
    }
    // The large snapshot is still being written while snapshots of the other group replace each
    // other.
    let large = snapshot(9, 1, &vec![7; 5 << 20]);
    let install = |index| {
        let s = snapshot(index, 1, &[1; 50]);
        (GroupId(2), PersistRequest { snapshot: Some(s), ..PersistRequest::default() })
    };
    let mut futures = vec![store.save_snapshot(GroupId(1), large.clone())];
    futures.extend((1..=8).map(|index| store.persist(vec![install(index)])));
    for result in block_on(join_all(futures)) {
        result.expect("saved");
    }
    model.apply(GroupId(1), &PersistRequest { snapshot: Some(large), ..PersistRequest::default() });
    for index in 1..=8 {
        model.apply(GroupId(2), &install(index).1);
    }
    block_on(store.close()).expect("closed");
    assert_eq!(contents(folder.path()).expect("loaded"), model.0);
}

#[test]
fn open_creates_nothing() {
    let folder = tempfile::tempdir().expect("folder");
    let missing = folder.path().join("missing");
    assert!(matches!(open(&missing, 1000), Err(StoreError::Missing { .. })));
    assert!(!missing.exists());
    assert!(matches!(open(folder.path(), 1000), Err(StoreError::Missing { .. })));
    assert!(segments(folder.path()).is_empty());
}

#[test]
fn second_opener_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    assert!(matches!(FileStore::create(folder.path()), Err(StoreError::Exists { .. })));
    let store = open(folder.path(), 1000).expect("opened");
    assert!(matches!(open(folder.path(), 1000), Err(StoreError::Locked { .. })));
    block_on(store.close()).expect("closed");
    assert!(matches!(persist(&store, 0, hard_state(1, None)), Err(StoreError::Closed)));
    open(folder.path(), 1000).expect("opened after the first store was closed");
}
