//! Guards against logs whose entries fill the memory of a machine although a snapshot covers them.

use bytes::Bytes;
use poplarspan_agreement::{
    Core, CoreConfig, InitialState, Input, LogPosition, Membership, ReplicaId, Snapshot,
};
use std::time::Duration;

const ENTRY_BYTES: usize = 17_000;
const TRAILING_BYTES: usize = 100_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Steps the core and reports its writes as synced.
fn step(core: &mut Core, now: Duration, input: Input) {
    let mut out = core.step(now, input);
    while let Some(persist) = out.persist {
        out = core.step(now, Input::Synced { sequence: persist.sequence });
    }
}

/// Entries with large commands are dropped up to a bound in bytes, not in entries.
#[test]
fn trailing_bytes() {
    let initial = InitialState {
        membership: Membership { voters: vec![ReplicaId(1)], learners: Vec::new() },
        ..InitialState::default()
    };
    let cfg = CoreConfig { trailing_bytes: TRAILING_BYTES, ..CoreConfig::new(ReplicaId(1), 7) };
    let mut core = Core::new(cfg, initial);
    for ms in 0..2_000 {
        step(&mut core, at(ms), Input::Tick);
    }
    for request_id in 0..200 {
        let data = Bytes::from(vec![0; ENTRY_BYTES]);
        step(&mut core, at(2_000), Input::Propose { data, request_id });
    }
    let commit = core.status().commit;
    assert!(commit >= 200, "{commit}");
    let last = LogPosition { index: commit, term: 0 };
    let snapshot = Snapshot { last, membership: Membership::default(), data: Bytes::new() };
    step(&mut core, at(2_000), Input::Compact { snapshot });
    let kept = core.entries_from(1).len();
    assert!((1..=TRAILING_BYTES / ENTRY_BYTES).contains(&kept), "{kept} entries are in memory");
}
