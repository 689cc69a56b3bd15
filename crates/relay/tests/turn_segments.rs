//! Guards against kept turns that fill a store's memory, or that a store loses when their bodies are
//! in segment files.

use std::{fs, path::Path, sync::Arc};

use bytes::Bytes;
use poplarspan_agreement::{SavedState, StateMachine};
use poplarspan_proto::relay as pb;
use poplarspan_relay::{LostSegment, TurnState, TurnUsage};
use prost::Message;
use tempfile::TempDir;

const BODY_BYTES: usize = 17_000;
/// Length of the parts in which histories are read.
const PART_BYTES: usize = 5_000;
const RETAIN_MS: u64 = 60_000;

fn body(turn: u64) -> Vec<u8> {
    (0..BODY_BYTES as u64).map(|i| (i * 31 + turn * 7 + i / 251) as u8).collect()
}

fn keep(turns: &mut TurnState, turn: u64, previous: Option<u64>, now_ms: u64) {
    let body = body(turn);
    let (input, output) = body.split_at(BODY_BYTES / 3);
    let kept = pb::Turn {
        team: "red".to_owned(),
        turn: turn.to_string(),
        previous: previous.map(|p| p.to_string()),
        input: Bytes::copy_from_slice(input),
        output: Bytes::copy_from_slice(output),
        expires_ms: now_ms + RETAIN_MS,
    };
    let settle = vec![pb::Settle { kept: Some(kept), ..Default::default() }];
    let command = pb::TurnCommand { now_ms, settle, ..Default::default() };
    turns.apply_shared(turn, &command.encode_to_vec().into());
}

/// Keeps `count` turns, each third of which continues the one before it.
fn fill(turns: &mut TurnState, count: u64) {
    for turn in 0..count {
        keep(turns, turn, (turn % 3 == 1).then(|| turn - 1), 1_000 + turn);
    }
}

fn check(turns: &TurnState, count: u64) {
    for turn in 0..count {
        let history = turns.history("red", &turn.to_string()).expect("a kept turn");
        let mut expected = if turn % 3 == 1 { body(turn - 1) } else { Vec::new() };
        expected.extend(body(turn));
        assert!(history.read().expect("readable") == expected, "turn {turn} differs");
        let offsets = (0..expected.len() as u64).step_by(PART_BYTES);
        let parts = offsets.map(|at| history.read_part(at, PART_BYTES).expect("readable"));
        assert!(parts.collect::<Vec<_>>().concat() == expected, "parts of turn {turn} differ");
        assert_eq!(history.checksum(), crc32c::crc32c(&expected), "turn {turn}");
    }
}

struct Store {
    folder: TempDir,
    usage: Arc<TurnUsage>,
}

impl Store {
    fn new() -> Self {
        Self { folder: tempfile::tempdir().expect("folder"), usage: Arc::default() }
    }

    fn open(&self) -> TurnState {
        let path = self.folder.path().join("bodies");
        TurnState::with_segments(&path, 3, self.usage.clone()).expect("segments")
    }

    /// Segment files, oldest first.
    fn files(&self) -> Vec<std::path::PathBuf> {
        list(&self.folder.path().join("bodies"))
    }
}

fn list(path: &Path) -> Vec<std::path::PathBuf> {
    let items = fs::read_dir(path).expect("readable folder");
    let mut files: Vec<_> = items.map(|item| item.expect("readable").path()).collect();
    files.sort();
    files
}

fn save(turns: &mut TurnState, index: u64) -> SavedState {
    let saved = turns.save(index).expect("saved");
    if let Some(sync) = &saved.sync {
        sync().expect("synced");
    }
    turns.saved(index);
    saved
}

fn read_all(saved: &SavedState, part: usize) -> Vec<Bytes> {
    let (mut parts, mut offset) = (Vec::new(), 0);
    while offset < saved.source.len() {
        let data = saved.source.read(offset, part).expect("readable");
        offset += data.len() as u64;
        parts.push(data);
    }
    parts
}

/// Bodies are not part of the saved state, so that it can be saved often.
#[test]
fn small_snapshot() {
    let store = Store::new();
    let mut turns = store.open();
    fill(&mut turns, 600);
    check(&turns, 600);
    let saved = save(&mut turns, 600);
    assert!(saved.data.len() < 600 * 128, "{} bytes", saved.data.len());
    assert!(store.usage.disk() >= 600 * BODY_BYTES as u64);
}

/// A replica without segments, as of an earlier build, gets the same bytes as from its own kind.
#[test]
fn transfer_format() {
    let store = Store::new();
    let (mut turns, mut memory) = (store.open(), TurnState::default());
    fill(&mut turns, 100);
    fill(&mut memory, 100);
    let sent = read_all(&save(&mut turns, 100), 10_000).concat();
    assert!(sent == memory.snapshot(), "the snapshots for other replicas differ");
    let mut learner = TurnState::default();
    learner.restore(&sent).expect("valid");
    check(&learner, 100);
}

/// A learner takes a snapshot in parts of any size, also after an unfinished one.
#[test]
fn received_in_parts() {
    let mut memory = TurnState::default();
    fill(&mut memory, 100);
    let saved = memory.save(100).expect("saved");
    for part in [1_000, 33_333, 10_000_000] {
        let store = Store::new();
        let mut learner = store.open();
        assert!(learner.receives_parts());
        learner.receive_part(0, &saved.source.read(0, 5_000).expect("readable")).expect("valid");
        let mut offset = 0;
        for data in read_all(&saved, part) {
            learner.receive_part(offset, &data).expect("valid");
            offset += data.len() as u64;
        }
        learner.install_parts().expect("complete");
        check(&learner, 100);
        let own = save(&mut learner, 100);
        drop(learner);
        let mut again = store.open();
        again.load(100, &own.data).expect("valid");
        check(&again, 100);
    }
}

/// After a power loss, bytes after the last snapshot are missing or torn; the log has their turns.
#[test]
fn torn_tail() {
    let store = Store::new();
    let mut turns = store.open();
    fill(&mut turns, 400);
    let saved = save(&mut turns, 400);
    for turn in 400..480 {
        keep(&mut turns, turn, (turn % 3 == 1).then(|| turn - 1), 1_000 + turn);
    }
    drop(turns);
    let files = store.files();
    let last = files.last().expect("a segment");
    let len = fs::metadata(last).expect("metadata").len();
    let file = fs::OpenOptions::new().write(true).open(last).expect("opened");
    file.set_len(len - 20 * BODY_BYTES as u64 - 100).expect("truncated");
    let mut turns = store.open();
    turns.load(400, &saved.data).expect("the snapshot's bodies are complete");
    check(&turns, 400);
    for turn in 400..480 {
        keep(&mut turns, turn, (turn % 3 == 1).then(|| turn - 1), 1_000 + turn);
    }
    check(&turns, 480);
}

/// A damaged segment is reported, and no wrong bytes are returned.
#[test]
fn lost_segment() {
    let damage: [fn(&Path); 3] = [
        |path| fs::remove_file(path).expect("removed"),
        |path| fs::OpenOptions::new().write(true).open(path).unwrap().set_len(100).unwrap(),
        |path| {
            let mut data = fs::read(path).expect("readable");
            data[BODY_BYTES * 5] ^= 1;
            fs::write(path, data).expect("written");
        },
    ];
    for damage in damage {
        let store = Store::new();
        let mut turns = store.open();
        fill(&mut turns, 400);
        let saved = save(&mut turns, 400);
        drop(turns);
        damage(&store.files()[0]);
        let error = store.open().load(400, &saved.data).expect_err("a damaged segment");
        assert!(error.downcast_ref::<LostSegment>().is_some(), "{error:#}");
    }
}

/// Expired turns free their space on the disk, but not before a snapshot without them is saved.
#[test]
fn expired_turns_freed() {
    let store = Store::new();
    let mut turns = store.open();
    fill(&mut turns, 1_000);
    let saved = save(&mut turns, 1_000);
    let full = store.files().len();
    assert!(full >= 4, "{full} segments");
    keep(&mut turns, 1_000, None, 200_000);
    assert_eq!(turns.len(), 1);
    let next = turns.save(1_001).expect("saved");
    assert!(store.files().len() >= full, "a segment of the saved snapshot is removed");
    let path = store.folder.path().join("bodies");
    let mut restarted = TurnState::with_segments(&path, 3, Arc::default()).expect("segments");
    restarted.load(1_000, &saved.data).expect("the saved snapshot is complete");
    drop((restarted, saved, next));
    turns.saved(1_001);
    assert_eq!(store.files().len(), 1);
    assert!(store.usage.disk() <= (4 << 20) + 2 * BODY_BYTES as u64);
}

/// A snapshot that an earlier build has saved is loaded, and its bodies move to segments.
#[test]
fn saved_by_earlier_build() {
    let mut memory = TurnState::default();
    fill(&mut memory, 50);
    let store = Store::new();
    let mut turns = store.open();
    turns.load(50, &memory.snapshot()).expect("valid");
    check(&turns, 50);
    assert!(store.usage.disk() >= 50 * BODY_BYTES as u64);
}
