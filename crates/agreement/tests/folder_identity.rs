//! Guards against a replica that lost its disk, and thus its votes, and votes again under the same
//! number.

mod common;

use std::fs;

use poplarspan_agreement::{DataDir, FolderId, IdentityError, ReplicaId};
use proptest::prelude::*;

#[test]
fn identity_survives_reopen() {
    let parent = tempfile::tempdir().expect("folder");
    let path = parent.path().join("data");
    let dir = DataDir::init(&path, ReplicaId(7)).expect("initialised");
    let folder = dir.folder();
    assert!(matches!(DataDir::open(&path), Err(IdentityError::Locked(_))));
    drop(dir);
    let dir = DataDir::open(&path).expect("opened");
    assert_eq!((dir.replica(), dir.folder()), (ReplicaId(7), folder));
}

#[test]
fn init_refuses_files() {
    let path = tempfile::tempdir().expect("folder");
    fs::write(path.path().join("something"), "").expect("written");
    let result = DataDir::init(path.path(), ReplicaId(1));
    assert!(matches!(result, Err(IdentityError::NotEmpty(_))));
}

#[test]
fn init_gives_a_new_folder_a_new_identity() {
    let (a, b) = (tempfile::tempdir().expect("folder"), tempfile::tempdir().expect("folder"));
    let a = DataDir::init(a.path(), ReplicaId(1)).expect("initialised");
    let b = DataDir::init(b.path(), ReplicaId(1)).expect("initialised");
    assert_ne!(a.folder(), b.folder());
}

#[test]
fn open_creates_nothing() {
    let path = tempfile::tempdir().expect("folder");
    let missing = path.path().join("missing");
    assert!(matches!(DataDir::open(&missing), Err(IdentityError::Missing(_))));
    assert!(!missing.exists());
    assert!(matches!(DataDir::open(path.path()), Err(IdentityError::Missing(_))));
    assert_eq!(fs::read_dir(path.path()).expect("folder").count(), 0);
}

#[test]
fn unreadable_identity_is_an_error() {
    let path = tempfile::tempdir().expect("folder");
    fs::create_dir(path.path().join("identity")).expect("created");
    assert!(matches!(DataDir::open(path.path()), Err(IdentityError::Io { .. })));
}

proptest! {
    #![proptest_config(common::proptest_config())]

    #[test]
    fn flipped_bit_is_reported(at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let path = tempfile::tempdir()?;
        drop(DataDir::init(path.path(), ReplicaId(1))?);
        let file = path.path().join("identity");
        let mut buf = fs::read(&file)?;
        let at = at.index(buf.len());
        buf[at] ^= 1 << bit;
        fs::write(&file, buf)?;
        let is_corrupt = matches!(DataDir::open(path.path()), Err(IdentityError::Corrupt { .. }));
        prop_assert!(is_corrupt);
    }
}

#[test]
fn another_folder_is_always_refused() {
    let path = tempfile::tempdir().expect("folder");
    let dir = DataDir::init(path.path(), ReplicaId(1)).expect("initialised");
    let peers = dir.peers().expect("peers");
    for (peer, folder) in [(3, 30), (2, 20), (3, 30)] {
        peers.check(ReplicaId(peer), FolderId(folder)).expect("accepted");
    }
    let refused = |peers: &poplarspan_agreement::PeerIdentities| {
        let result = peers.check(ReplicaId(3), FolderId(31));
        assert!(matches!(result, Err(IdentityError::ForeignFolder(ReplicaId(3)))));
    };
    refused(&peers);
    drop((peers, dir));
    let peers = DataDir::open(path.path()).expect("opened").peers().expect("peers");
    refused(&peers);
    peers.check(ReplicaId(3), FolderId(30)).expect("the recorded folder is still accepted");
    assert_eq!(peers.get(ReplicaId(2)), Some(FolderId(20)));
    assert_eq!(peers.get(ReplicaId(4)), None);
}

#[test]
fn lost_record_of_peers_is_an_error() {
    let path = tempfile::tempdir().expect("folder");
    let dir = DataDir::init(path.path(), ReplicaId(1)).expect("initialised");
    fs::remove_file(path.path().join("peers")).expect("removed");
    assert!(matches!(dir.peers(), Err(IdentityError::Io { .. })));
}
