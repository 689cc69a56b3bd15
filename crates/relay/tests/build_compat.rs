//! Guards against replicas of two builds whose states differ after the same log, while machines are
//! replaced one after the other. The digests are those of bc5b10a; a change that alters one on
//! purpose must keep the state of the earlier build until no replica runs it.

use poplarspan_agreement::StateMachine;
use poplarspan_proto::relay as pb;
use poplarspan_relay::TurnState;
use prost::Message;

const COMMANDS: u64 = 2_500;
/// A replica restores its snapshot after this many commands, as one that has fallen behind does.
const RESTORE_INTERVAL: u64 = 500;

/// Digests of the snapshots after the commands of seeds 1, 2 and so on.
const DIGESTS: [&str; 4] =
    ["fcd0266c4e35cd83", "37d1a9a15706d040", "4b6713cd89c7093f", "f2cfec5705eafc56"];

/// A xorshift generator, so that the commands do not depend on the version of a library.
struct Rng(u64);

impl Rng {
    /// Returns a number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }

    fn bytes(&mut self) -> bytes::Bytes {
        vec![b'a'; self.below(30) as usize].into()
    }

    /// Name of a turn, of an event of an unfinished turn, or of the latest attempt of a stream.
    fn turn(&mut self) -> String {
        match self.below(3) {
            0 => format!("t{}", self.below(60)),
            1 => format!("t{}\n{}", self.below(20), self.below(12)),
            _ => format!("t{}\n\n", self.below(20)),
        }
    }

    fn kept(&mut self, now_ms: u64) -> pb::Turn {
        pb::Turn {
            team: "red".to_owned(),
            turn: self.turn(),
            previous: (self.below(3) > 0).then(|| self.turn()),
            input: self.bytes(),
            output: self.bytes(),
            expires_ms: now_ms + self.below(40_000),
        }
    }

    fn settle(&mut self, now_ms: u64) -> pb::Settle {
        pb::Settle {
            team: "red".to_owned(),
            program: format!("p{}", self.below(5)),
            name: format!("r{}", self.below(9)),
            used: self.below(50),
            kept: (self.below(4) > 0).then(|| self.kept(now_ms)),
        }
    }

    fn reserve(&mut self) -> pb::Reserve {
        pb::Reserve {
            team: "red".to_owned(),
            program: format!("p{}", self.below(5)),
            name: format!("r{}", self.below(9)),
            most: 50,
            budget: 4_000,
            least: 20,
        }
    }

    fn origin(&mut self, now_ms: u64) -> pb::StreamOrigin {
        pb::StreamOrigin {
            team: "red".to_owned(),
            stream: self.turn(),
            service: "s".to_owned(),
            software: format!("v{}", self.below(3)),
            expires_ms: now_ms + self.below(9_000),
        }
    }

    fn command(&mut self, now_ms: u64) -> pb::TurnCommand {
        pb::TurnCommand {
            now_ms,
            settle: (0..self.below(4)).map(|_| self.settle(now_ms)).collect(),
            reserve: (0..self.below(2)).map(|_| self.reserve()).collect(),
            streams: (0..self.below(2)).map(|_| self.origin(now_ms)).collect(),
            ..Default::default()
        }
    }
}

fn digest(seed: u64) -> String {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut turns = TurnState::default();
    let mut now_ms = 1_000;
    for index in 1..=COMMANDS {
        now_ms += rng.below(900);
        turns.apply(index, &rng.command(now_ms).encode_to_vec());
        if index % RESTORE_INTERVAL == 0 {
            let snapshot = turns.snapshot();
            turns = TurnState::default();
            turns.restore(&snapshot).expect("its own snapshot");
        }
    }
    assert!(!turns.is_empty(), "the commands have left no turns");
    blake3::hash(&turns.snapshot()).to_hex()[..16].to_owned()
}

#[test]
fn turn_state() {
    let digests: Vec<_> = (1..).take(DIGESTS.len()).map(digest).collect();
    assert_eq!(digests, DIGESTS);
}
