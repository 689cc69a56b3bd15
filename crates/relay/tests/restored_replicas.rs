//! Guards against replicas that come to different states from the same log because some of them
//! started from a snapshot: a turn that a caller has got whole was kept by the leader only.
//!
//! Several replicas apply random logs. Now and then one of them ends and starts from another one's
//! snapshot, in each of the ways in which replicas do. After each command all have the same result
//! and digest.

use std::sync::Arc;

use bytes::Bytes;
use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay::{self as pb, RolloutStage, board_command::Body};
use poplarspan_relay::{ControlState, TurnState};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tempfile::TempDir;

const REPLICAS: usize = 4;
const COMMANDS: u64 = 400;
const SEEDS: u64 = 60;
/// Longer than any entry is kept.
const FORGET_ALL_MS: u64 = 11 * 60 * 1000;
/// Number of bytes in which a leader's snapshot is received.
const PART_BYTES: usize = 700;

/// Draws the commands of one log.
struct Commands {
    rng: SmallRng,
    now_ms: u64,
    rules: u32,
}

impl Commands {
    fn new(seed: u64, rules: u32) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), now_ms: 1_000_000, rules }
    }

    fn name(&mut self, kind: &str, count: u32) -> String {
        format!("{kind}{}", self.rng.random_range(0..count))
    }

    fn settle(&mut self) -> pb::Settle {
        let kept = pb::Turn {
            team: self.name("team", 2),
            turn: self.name("turn", 40),
            previous: self.rng.random_bool(0.6).then(|| self.name("turn", 40)),
            input: vec![b'i'; self.rng.random_range(0..50)].into(),
            output: vec![b'o'; self.rng.random_range(0..50)].into(),
            expires_ms: self.now_ms + self.rng.random_range(0..30_000),
        };
        pb::Settle {
            team: "team0".to_owned(),
            program: self.name("program", 4),
            name: self.name("call", 6),
            used: self.rng.random_range(0..50),
            kept: self.rng.random_bool(0.7).then_some(kept),
        }
    }

    fn reserve(&mut self) -> pb::Reserve {
        pb::Reserve {
            team: "team0".to_owned(),
            program: self.name("program", 4),
            name: self.name("call", 6),
            most: 50,
            budget: 600,
            least: 20,
        }
    }

    fn origin(&mut self) -> pb::StreamOrigin {
        pb::StreamOrigin {
            team: "team0".to_owned(),
            stream: self.name("stream", 6),
            service: "s".to_owned(),
            software: self.name("v", 3),
            expires_ms: self.now_ms + self.rng.random_range(0..9_000),
        }
    }

    fn next(&mut self, digest: Option<pb::StateDigest>) -> Bytes {
        // A later leader's clock may be behind that of the one before it.
        let step = match self.rng.random_range(0..100) {
            0 => FORGET_ALL_MS - 2_000,
            1..5 => self.rng.random_range(5_000..60_000),
            _ => self.rng.random_range(0..1_500),
        };
        self.now_ms += step;
        let behind_ms = if self.rng.random_bool(0.1) { 3_000 } else { 0 };
        let command = pb::TurnCommand {
            now_ms: self.now_ms - behind_ms,
            settle: (0..self.rng.random_range(0..4)).map(|_| self.settle()).collect(),
            reserve: (0..self.rng.random_range(0..3)).map(|_| self.reserve()).collect(),
            streams: (0..self.rng.random_range(0..2)).map(|_| self.origin()).collect(),
            rules: self.rules,
            digest,
        };
        command.encode_to_vec().into()
    }
}

/// A replica of a store group with its folder.
struct Replica {
    state: TurnState,
    folder: TempDir,
}

impl Replica {
    fn open(folder: TempDir) -> Self {
        let path = folder.path().join("bodies");
        let state = TurnState::with_segments(&path, 1, Arc::default()).expect("segments");
        Self { state, folder }
    }

    fn new() -> Self {
        Self::open(tempfile::tempdir().expect("folder"))
    }

    /// Ends and starts again from a snapshot of its own.
    fn restart(self, index: u64) -> Self {
        let Self { mut state, folder } = self;
        let saved = state.save(index).expect("saved");
        if let Some(sync) = &saved.sync {
            sync().expect("synced");
        }
        state.saved(index);
        drop(state);
        let mut replica = Self::open(folder);
        replica.state.load(index, &saved.data).expect("its own snapshot");
        replica
    }

    /// Returns a replica with an empty disk that receives a snapshot of this one.
    fn successor(&mut self, index: u64) -> Self {
        let saved = self.state.save(index).expect("saved");
        let mut replica = Self::new();
        let mut offset = 0;
        while offset < saved.source.len() {
            let part = saved.source.read(offset, PART_BYTES).expect("readable");
            replica.state.receive_part(offset, &part).expect("valid");
            offset += part.len() as u64;
        }
        replica.state.install_parts().expect("complete");
        replica
    }
}

/// Applies a log to all replicas, of which some start again meanwhile. Checks their states after each
/// command from `first_checked` on.
fn play(
    commands: &mut Commands,
    replicas: &mut Vec<Replica>,
    indexes: std::ops::Range<u64>,
    checks: bool,
) {
    for index in indexes {
        let command = commands.next(replicas[0].state.last_digest().cloned());
        let apply = |r: &mut Replica| r.state.apply_shared(index, &command);
        let results: Vec<_> = replicas.iter_mut().map(apply).collect();
        if checks {
            let digest = replicas[0].state.digest();
            for (n, r) in replicas.iter().enumerate() {
                assert!(results[n] == results[0], "results differ at {index}");
                assert!(r.state.digest() == digest, "states differ at {index}");
                assert_eq!(r.state.divergences(), 0, "at {index}");
            }
        }
        match commands.rng.random_range(0..60) {
            0..4 => {
                let replica = replicas.pop().expect("a replica").restart(index);
                replicas.insert(0, replica);
            }
            4..8 => {
                replicas.pop();
                let successor = replicas[0].successor(index);
                replicas.insert(0, successor);
            }
            _ => {}
        }
    }
}

/// Turns, accounts with their budgets, and origins of streams expire at the same command everywhere.
#[test]
fn store_groups() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut replicas: Vec<_> = (0..REPLICAS).map(|_| Replica::new()).collect();
        play(&mut Commands::new(seed, 1), &mut replicas, 1..COMMANDS, true);
    }
}

/// Guards against a release that leaves replicas in different states: they agree once the log has
/// turned the new rules on and what was kept before has expired.
#[test]
fn rules_turned_on() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut replicas: Vec<_> = (0..REPLICAS).map(|_| Replica::new()).collect();
        let mut commands = Commands::new(seed, 0);
        play(&mut commands, &mut replicas, 1..COMMANDS, false);
        assert!(replicas.iter().all(|r| r.state.rules() == 0));
        commands.rules = 1;
        commands.now_ms += FORGET_ALL_MS;
        play(&mut commands, &mut replicas, COMMANDS..COMMANDS + 1, true);
        // A later leader that does not know all members yet sends no version.
        commands.rules = 0;
        play(&mut commands, &mut replicas, COMMANDS + 1..2 * COMMANDS, true);
        assert!(replicas.iter().all(|r| r.state.rules() == 1));
    }
}

/// Replicas notice that their states differ.
#[test]
fn divergence_noticed() {
    let mut replicas: Vec<_> = (0..2).map(|_| TurnState::default()).collect();
    let command = |now_ms, turn: &str, digest| {
        let kept = pb::Turn { turn: turn.to_owned(), expires_ms: now_ms, ..Default::default() };
        let settle = vec![pb::Settle { kept: Some(kept), ..Default::default() }];
        pb::TurnCommand { now_ms, settle, rules: 1, digest, ..Default::default() }.encode_to_vec()
    };
    let mut apply = |index, now_ms, turns: [&str; 2], digest: Option<pb::StateDigest>| {
        for (replica, turn) in replicas.iter_mut().zip(turns) {
            replica.apply(index, &command(now_ms, turn, digest.clone()));
        }
        replicas.iter().map(TurnState::divergences).sum::<u64>()
    };
    let first = |state: &TurnState| state.last_digest().cloned();
    let mut leader = TurnState::default();
    leader.apply(1, &command(60_000, "a", None));
    apply(1, 60_000, ["a", "a"], None);
    assert_eq!(apply(2, 60_001, ["b", "b"], first(&leader)), 0);
    leader.apply(2, &command(60_001, "b", None));
    leader.apply(3, &command(120_000, "c", None));
    apply(3, 120_000, ["c", "another"], None);
    assert_eq!(apply(4, 120_001, ["d", "d"], first(&leader)), 1);
}

fn board_command(rng: &mut SmallRng, index: u64) -> pb::BoardCommand {
    let at_ms = 1_000_000 + index * rng.random_range(0..100_000);
    let name = |rng: &mut SmallRng, kind: &str| format!("{kind}{}", rng.random_range(0..4));
    let request = Bytes::from(vec![rng.random_range(0..5u8); 32]);
    let body = match rng.random_range(0..8) {
        0 => Body::Publish(pb::Publish { version: rng.random_range(0..index + 2), body: request }),
        1 => Body::Zone(pb::SetZone { zone: name(rng, "z"), out: rng.random_bool(0.5) }),
        2 => Body::Form(pb::FormStore { ring: vec![index], groups: 2 }),
        3 => Body::Retire(pb::Retire { instance: name(rng, "i") }),
        4 => Body::Condemn(pb::Condemn { request, at_ms, times: 0 }),
        5 => Body::Acquit(pb::Acquit { request }),
        6 => Body::StartRollout(pb::StartRollout {
            service: name(rng, "s"),
            target: name(rng, "v"),
            over_ms: 1_000,
            started_ms: at_ms,
            repeat_ms: 5_000,
        }),
        _ => Body::AdvanceRollout(pb::AdvanceRollout {
            id: rng.random_range(0..index + 1),
            stage: RolloutStage::Reverted.into(),
            retired: vec![name(rng, "v")],
        }),
    };
    pb::BoardCommand { body: Some(body) }
}

/// The publication, zones, the layout of the stores, retirements, blocked requests and rollouts.
#[test]
fn control_group() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut first = ControlState::default();
        let mut restored = ControlState::default();
        for index in 1..COMMANDS {
            let command = board_command(&mut rng, index).encode_to_vec();
            let results = [first.apply(index, &command), restored.apply(index, &command)];
            assert_eq!(results[0], results[1], "results differ at {index}");
            assert!(first == restored, "states differ at {index}");
            let snapshot = first.snapshot();
            restored = ControlState::default();
            restored.restore(&snapshot).expect("its own snapshot");
        }
    }
}
