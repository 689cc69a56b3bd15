//! A store on files that cannot grow for a while.

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

/// The only test of its process, since the limit holds for all of it.
#[test]
fn waits_for_room() {
    // The signal of a write beyond the limit would end the process.
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
    // The first bytes of the next frame find room, the others do not.
    setrlimit(Resource::RLIMIT_FSIZE, length + 20, hard).expect("lowered");

    let (tx, rx) = mpsc::channel();
    thread::scope(|scope| {
        scope.spawn(|| {
            let index = FIRST_ENTRIES + 1;
            tx.send(persist(&store, 1, entries(index, 1, &[8; 100]))).expect("the test waits");
        });
        let early = rx.recv_timeout(NO_ANSWER_WAIT);
        setrlimit(Resource::RLIMIT_FSIZE, soft, hard).expect("raised");
        assert!(early.is_err(), "answered without room: {early:?}");
        rx.recv_timeout(ANSWER_TIMEOUT).expect("an answer").expect("persisted");
    });
    persist(&store, 1, entries(FIRST_ENTRIES + 2, 1, &[9; 100])).expect("persisted");
    block_on(store.close()).expect("closed");
    let stored = contents(folder.path()).expect("sound");
    assert_eq!(stored[0].1.entries.len() as u64, FIRST_ENTRIES + 2);
}
