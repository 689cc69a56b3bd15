//! Guards against lost or spurious records after crashes and on faulty disks.

mod common;

use std::fs;

use common::{Model, contents, entries, hard_state, open, persist, segments, snapshot};
use futures::executor::block_on;
use poplarspan_agreement::{
    FileStore, GroupId, MemoryDisk, MemoryStore, PersistRequest, Storage, StoreError, StoreOptions,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Writes each body as its own batch. Returns the length of the only segment and the expected
/// content after each batch.
fn write_batches(folder: &std::path::Path, bodies: &[Vec<u8>]) -> (Vec<usize>, Vec<Model>) {
    FileStore::create(folder).expect("created");
    let store = open(folder, 1 << 20).expect("opened");
    let mut model = Model::default();
    let (mut lengths, mut models) = (Vec::new(), Vec::new());
    for (index, body) in (1..).zip(bodies) {
        let request = entries(index, 1, body);
        model.apply(GroupId(1), &request);
        persist(&store, 1, request).expect("persisted");
        lengths.push(fs::read(&segments(folder)[0]).expect("segment").len());
        models.push(model.clone());
    }
    block_on(store.close()).expect("closed");
    (lengths, models)
}

proptest! {
    #![proptest_config(common::proptest_config())]

    #[test]
    fn truncation_loses_only_the_unsynced_batch(
        bodies in vec(vec(any::<u8>(), 0..100), 2..8), at in any::<prop::sample::Index>(),
        garbage in vec(any::<u8>(), 0..50), zeros in 0..100usize,
    ) {
        let folder = tempfile::tempdir()?;
        let (lengths, models) = write_batches(folder.path(), &bodies);
        let (synced, all) = (lengths[lengths.len() - 2], lengths[lengths.len() - 1]);
        let path = &segments(folder.path())[0];
        let mut buf = fs::read(path)?;
        buf.truncate(synced + at.index(all - synced));
        buf.extend(garbage);
        buf.extend(vec![0; zeros]);
        fs::write(path, buf)?;
        for _ in 0..2 {
            prop_assert_eq!(&contents(folder.path())?, &models[models.len() - 2].0);
            // The truncation is durable: the second open finds no torn write.
            prop_assert_eq!(fs::read(path)?.len(), synced);
        }
    }

    #[test]
    fn flipped_bit_before_the_last_batch_is_reported(
        bodies in vec(vec(any::<u8>(), 0..100), 2..8), at in any::<prop::sample::Index>(),
        bit in 0..8u8, zeros in 0..100usize,
    ) {
        let folder = tempfile::tempdir()?;
        let (lengths, _) = write_batches(folder.path(), &bodies);
        let path = &segments(folder.path())[0];
        let mut buf = fs::read(path)?;
        let at = at.index(lengths[lengths.len() - 2]);
        buf[at] ^= 1 << bit;
        buf.extend(vec![0; zeros]);
        fs::write(path, &buf)?;
        match contents(folder.path()) {
            Err(StoreError::Corrupt { path: reported, offset, .. }) => {
                prop_assert_eq!(reported, path.display().to_string());
                prop_assert!(offset <= at as u64);
            }
            other => prop_assert!(false, "byte {at} was corrupted, but the result is {other:?}"),
        }
        prop_assert_eq!(fs::read(path)?, buf, "a corrupt segment was modified");
    }

    #[test]
    fn arbitrary_segment_does_not_panic(buf in vec(any::<u8>(), 0..300), number in 1..3u64) {
        let folder = tempfile::tempdir()?;
        write_batches(folder.path(), &[vec![1]]);
        fs::write(folder.path().join(format!("wal-{number:016x}.log")), buf)?;
        let _ = contents(folder.path());
    }

    #[test]
    fn changed_segment_does_not_panic(
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
        cut in any::<prop::sample::Index>(),
    ) {
        let folder = tempfile::tempdir()?;
        write_batches(folder.path(), &[vec![1; 50], vec![2; 50], vec![3; 50]]);
        let path = &segments(folder.path())[0];
        let mut buf = fs::read(path)?;
        for (at, byte) in changes {
            let at = at.index(buf.len());
            buf[at] = byte;
        }
        buf.truncate(cut.index(buf.len()));
        fs::write(path, buf)?;
        let _ = contents(folder.path());
    }
}

/// Creates a store with several sealed segments.
fn sealed_segments(folder: &std::path::Path) {
    FileStore::create(folder).expect("created");
    let store = open(folder, 100).expect("opened");
    for index in 1..10 {
        persist(&store, 1, entries(index, 1, &[7; 60])).expect("persisted");
    }
    block_on(store.close()).expect("closed");
    assert!(segments(folder).len() > 3);
}

#[test]
fn torn_sealed_segment_is_corruption() {
    let folder = tempfile::tempdir().expect("folder");
    sealed_segments(folder.path());
    let path = &segments(folder.path())[1];
    let buf = fs::read(path).expect("segment");
    fs::write(path, &buf[..buf.len() - 1]).expect("written");
    assert!(matches!(contents(folder.path()), Err(StoreError::Corrupt { .. })));
}

#[test]
fn zeroed_end_of_sealed_segment_is_corruption() {
    let folder = tempfile::tempdir().expect("folder");
    sealed_segments(folder.path());
    let path = &segments(folder.path())[1];
    let mut buf = fs::read(path).expect("segment");
    buf[36..].fill(0);
    fs::write(path, buf).expect("written");
    assert!(matches!(contents(folder.path()), Err(StoreError::Corrupt { .. })));
}

#[test]
fn missing_segment_is_corruption() {
    let folder = tempfile::tempdir().expect("folder");
    sealed_segments(folder.path());
    fs::remove_file(&segments(folder.path())[1]).expect("removed");
    assert!(matches!(contents(folder.path()), Err(StoreError::Corrupt { .. })));
    fs::remove_file(&segments(folder.path())[0]).expect("removed");
    assert!(matches!(contents(folder.path()), Err(StoreError::Corrupt { .. })));
}

#[test]
fn unfinished_segment_is_removed() {
    let folder = tempfile::tempdir().expect("folder");
    let (_, models) = write_batches(folder.path(), &[vec![1], vec![2]]);
    for len in [0, 20, 36, 5000] {
        let path = folder.path().join("wal-0000000000000002.log");
        fs::write(path, vec![0; len]).expect("written");
        assert_eq!(contents(folder.path()).expect("loaded"), models[1].0);
        assert_eq!(segments(folder.path()).len(), 1);
    }
}

#[test]
fn damaged_snapshot_is_reported() {
    let folder = tempfile::tempdir().expect("folder");
    FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1000).expect("opened");
    let install =
        PersistRequest { snapshot: Some(snapshot(5, 2, &[1; 100])), ..PersistRequest::default() };
    persist(&store, 1, install).expect("persisted");
    block_on(store.close()).expect("closed");
    let names = fs::read_dir(folder.path()).expect("folder").map(|item| item.expect("name").path());
    let path = names.into_iter().find(|p| p.to_string_lossy().contains("snap-")).expect("file");
    let mut buf = fs::read(&path).expect("snapshot");
    *buf.last_mut().expect("not empty") ^= 1;
    fs::write(&path, buf).expect("written");
    assert!(matches!(contents(folder.path()), Err(StoreError::Corrupt { .. })));
    fs::remove_file(&path).expect("removed");
    assert!(matches!(contents(folder.path()), Err(StoreError::Io { .. })));
}

#[test]
fn failed_sync_is_final() {
    let disk = MemoryDisk::new();
    MemoryStore::create(&disk).expect("created");
    let store = MemoryStore::open(&disk, StoreOptions::default()).expect("opened");
    persist(&store, 1, hard_state(1, Some(1))).expect("persisted");
    disk.fail_next_sync();
    let first = persist(&store, 1, hard_state(2, Some(2))).expect_err("sync fails");
    for _ in 0..3 {
        let later = persist(&store, 1, hard_state(3, None)).expect_err("store has failed");
        assert_eq!(later.to_string(), first.to_string());
    }
    assert!(block_on(store.save_snapshot(GroupId(1), snapshot(0, 0, &[]))).is_err());
    assert!(block_on(store.load()).is_err());
    disk.crash(0);
    let store = MemoryStore::open(&disk, StoreOptions::default()).expect("opened");
    let loaded = block_on(store.load()).expect("loaded");
    assert_eq!(loaded[0].1.hard_state.term, 1);
}

#[test]
fn lost_disk_has_no_store() {
    let disk = MemoryDisk::new();
    MemoryStore::create(&disk).expect("created");
    let store = MemoryStore::open(&disk, StoreOptions::default()).expect("opened");
    disk.erase();
    assert!(persist(&store, 1, hard_state(1, None)).is_err());
    assert!(matches!(
        MemoryStore::open(&disk, StoreOptions::default()),
        Err(StoreError::Missing { .. })
    ));
}

#[test]
fn gap_in_the_log_is_refused() {
    let disk = MemoryDisk::new();
    MemoryStore::create(&disk).expect("created");
    let store = MemoryStore::open(&disk, StoreOptions::default()).expect("opened");
    persist(&store, 1, entries(1, 1, &[])).expect("persisted");
    assert!(matches!(persist(&store, 1, entries(3, 1, &[])), Err(StoreError::Invalid { .. })));
}
