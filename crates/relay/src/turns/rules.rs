//! The rules by which commands are applied, and the comparison of replicas.
//!
//! Replicas of two builds apply one log during a release, so a change in what a command does is
//! turned on by a command, once all members of the group know it.

use bytes::Bytes;
use poplarspan_proto::relay as pb;
use prost::Message;

use super::{
    RETAIN_MARGIN_MS, TurnState, find,
    saved::{write_account, write_stream, write_turn},
};

/// From this version on, an entry expires at the group's time. Before, it was there until it was
/// removed, which replicas that started from a snapshot do at other commands than the rest.
const EXPIRY_BY_TIME: u32 = 1;
/// Highest version of the rules that this build knows.
pub(crate) const COMMAND_RULES: u32 = EXPIRY_BY_TIME;
/// Time between two digests of the state, in milliseconds of the group's time. Each one takes a pass
/// over all entries.
const DIGEST_INTERVAL_MS: u64 = 60_000;

/// Whether an entry that is kept until `expires_ms` has expired.
pub(super) fn has_expired(now_ms: u64, expires_ms: u64) -> bool {
    now_ms >= expires_ms.saturating_add(RETAIN_MARGIN_MS)
}

/// The last digest of the state, which other replicas compare with theirs. Not part of the state.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    last: Option<pb::StateDigest>,
    /// Number of digests that differed from the leader's.
    divergences: u64,
}

impl PartialEq for Comparison {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Comparison {}

impl Comparison {
    /// Compares the leader's digest with the own one at the same index, if there is one.
    pub(super) fn compare(&mut self, leader: &pb::StateDigest) {
        let Some(own) = self.last.as_ref().filter(|own| own.index == leader.index) else { return };
        if own.digest != leader.digest {
            self.divergences += 1;
            metrics::counter!("poplarspan_store_state_divergences_total").increment(1);
            log::error!(index = own.index; "the state differs from the leader's");
        }
    }
}

impl TurnState {
    /// Version of the rules in force.
    pub fn rules(&self) -> u32 {
        self.rules
    }

    /// The last digest of the state and the index of its command. Taken once a minute of the group's
    /// time, at the same command by all replicas.
    pub fn last_digest(&self) -> Option<&pb::StateDigest> {
        self.comparison.last.as_ref()
    }

    /// Number of digests of the leader, since the start, that differed from the own ones.
    pub fn divergences(&self) -> u64 {
        self.comparison.divergences
    }

    pub(super) fn adopt_rules(&mut self, rules: u32) {
        if rules > COMMAND_RULES {
            metrics::counter!("poplarspan_store_unknown_rules_total").increment(1);
            log::error!(rules; "a command has rules of a later build");
        }
        self.rules = self.rules.max(rules);
    }

    /// Whether an entry that is kept until `expires_ms` is still there.
    pub(super) fn is_live(&self, expires_ms: u64) -> bool {
        self.rules < EXPIRY_BY_TIME || !has_expired(self.now_ms, expires_ms)
    }

    pub(super) fn find_turn(&self, team: &str, turn: &str) -> Option<usize> {
        let at = find(&self.turns, team, turn).ok()?;
        self.is_live(self.turns[at].1.expires_ms).then_some(at)
    }

    pub(super) fn find_account(&self, team: &str, program: &str) -> Option<usize> {
        let at = find(&self.accounts, team, program).ok()?;
        let is_live = self.rules < EXPIRY_BY_TIME || !self.accounts[at].1.has_expired(self.now_ms);
        is_live.then_some(at)
    }

    /// Returns a digest of what commands and reads depend on: everything except expired entries and
    /// the contents of bodies.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        let head =
            pb::TurnSnapshot { now_ms: self.now_ms, rules: self.rules, ..Default::default() };
        hasher.update(&head.encode_to_vec());
        for account in self.accounts.iter().filter(|(_, a)| !a.has_expired(self.now_ms)) {
            hasher.update(&write_account(account).encode_length_delimited_to_vec());
        }
        for turn in self.turns.iter().filter(|(_, t)| !has_expired(self.now_ms, t.expires_ms)) {
            let body = &turn.1.body;
            hasher.update(&write_turn(turn).encode_length_delimited_to_vec());
            hasher.update(&(body.input_len() as u64).to_le_bytes());
            hasher.update(&(body.len() as u64).to_le_bytes());
        }
        for stream in self.streams.iter().filter(|(_, s)| !has_expired(self.now_ms, s.expires_ms)) {
            hasher.update(&write_stream(stream).encode_length_delimited_to_vec());
        }
        *hasher.finalize().as_bytes()
    }

    /// Computes a digest at the first command of each interval of the group's time.
    pub(super) fn compute_digest(&mut self, index: u64, before_ms: u64) {
        let is_due = before_ms / DIGEST_INTERVAL_MS != self.now_ms / DIGEST_INTERVAL_MS;
        if is_due && self.rules >= EXPIRY_BY_TIME {
            let digest = Bytes::copy_from_slice(&self.digest());
            self.comparison.last = Some(pb::StateDigest { index, digest });
        }
    }
}
