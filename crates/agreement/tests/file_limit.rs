//! Guards against a store that fails or acknowledges a write while its files cannot grow. The file
//! size limit of the process simulates a full disk.

mod common;

use std::{fs, sync::mpsc, thread, time::Duration};

use common::{contents, entries, open, persist, segments};
use futures::executor::block_on;
use nix::sys::{
    resource::{Resource, getrlimit, setrlimit},
    signal::{SigSet, Signal},
};
use poplarspan_agreement::Storage;

const NO_ANSWER_WAIT: Duration = Duration::from_millis(400);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_ENTRIES: u64 = 4;

/// The only test in this file, because the file size limit applies to the whole process.
#[test]
fn waits_for_room() {
    // A write beyond the limit raises SIGXFSZ, which would kill the process.
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGXFSZ);
    signals.thread_block().expect("the signal can be blocked");
    let folder = tempfile::tempdir().expect("folder");
    poplarspan_agreement::FileStore::create(folder.path()).expect("created");
    let store = open(folder.path(), 1 << 20).expect("opened");
    for index in 1..=FIRST_ENTRIES {
        persist(&store, 1, entries(index, 1, &[7; 100])).expect("persisted");
    }
    let length = fs::metadata(&segments(folder.path())[0]).expect("a segment").len();
    let (soft, hard) = getrlimit(Resource::RLIMIT_FSIZE).expect("a limit");
    // Leaves space for only the first 20 bytes of the next frame.
    setrlimit(Resource::RLIMIT_FSIZE, length + 20, hard).expect("lowered");

    let (tx, rx) = mpsc::channel();
    thread::scope(|scope| {
        scope.spawn(|| {
            let index = FIRST_ENTRIES + 1;
            tx.send(persist(&store, 1, entries(index, 1, &[8; 100]))).expect("the test waits");
        });
        let early = rx.recv_timeout(NO_ANSWER_WAIT);
        setrlimit(Resource::RLIMIT_FSIZE, soft, hard).expect("raised");
        assert!(early.is_err(), "answered without space: {early:?}");
        rx.recv_timeout(ANSWER_TIMEOUT).expect("an answer").expect("persisted");
    });
    persist(&store, 1, entries(FIRST_ENTRIES + 2, 1, &[9; 100])).expect("persisted");
    block_on(store.close()).expect("closed");
    let stored = contents(folder.path()).expect("readable store");
    assert_eq!(stored[0].1.entries.len() as u64, FIRST_ENTRIES + 2);
}
