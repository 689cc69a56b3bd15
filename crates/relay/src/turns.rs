//! State machine of a store group: used and reserved tokens of programs, kept turns, and the software
//! versions that began streams.
//!
//! The state lives in the replicated log of the group. A front reserves tokens of a program's
//! budget before it passes any on to the caller, and later settles the number it did pass on. If
//! the front dies first, the reservation stays open until the account expires, because nobody knows
//! how many of its tokens were used. All commands are idempotent.
//!
//! What a command does depends on the earlier commands only, and a state restored from a snapshot
//! behaves like one that has applied them. An entry therefore expires at the group's time, whether or
//! not it has been removed by then: `rules.rs`.

mod bodies;
mod rules;
mod saved;
mod transfer;

use std::{io, path::Path, sync::Arc};

use bytes::Bytes;
use poplarspan_agreement::{SavedState, SnapshotSource, StateMachine};
use poplarspan_policy::Name;
use poplarspan_proto::relay as pb;
use prost::Message;

pub use bodies::{History, TurnUsage};
pub(crate) use rules::COMMAND_RULES;
pub use saved::LostSegment;

use bodies::{Bodies, Body};
use rules::{Comparison, has_expired};
use saved::Files;

/// How long the account of a program is kept after its last turn, in milliseconds. The pauses
/// between the turns of a running program are shorter.
const ACCOUNT_TTL_MS: u64 = 10 * 60 * 1000;
/// How long turns and origins of streams are kept beyond the requested time, in milliseconds. Covers
/// the clock difference between successive leaders.
const RETAIN_MARGIN_MS: u64 = 10_000;
/// Time between two sweeps for expired entries, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 5_000;

/// Estimated bytes in memory of a turn, account or recorded stream: its entry, its names of some 40
/// bytes each in buffers of their own, and the space that sorted vectors have in reserve.
const ENTRY_MEMORY_BYTES: u64 = 512;

/// Team and name of a program, turn or stream.
type Key = (Name, Name);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Account {
    used: u64,
    /// Open reservations and their tokens, sorted by name.
    reservations: Vec<(Name, u64)>,
    touched_ms: u64,
}

impl Account {
    fn has_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.touched_ms + ACCOUNT_TTL_MS
    }

    fn committed(&self) -> u64 {
        self.used + self.reservations.iter().map(|(_, amount)| amount).sum::<u64>()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeptTurn {
    previous: Option<Name>,
    body: Body,
    expires_ms: u64,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service of the endpoint that began the stream.
    pub service: Name,
    /// Version of the endpoint's software.
    pub software: Name,
    expires_ms: u64,
}

/// State machine of a store group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TurnState {
    now_ms: u64,
    /// Version of the rules in force.
    rules: u32,
    /// When expired entries were last removed. Not part of a snapshot.
    swept_ms: u64,
    // Sorted by key.
    accounts: Vec<(Key, Account)>,
    // Sorted by key.
    turns: Vec<(Key, KeptTurn)>,
    // Sorted by key.
    streams: Vec<(Key, StreamOrigin)>,
    comparison: Comparison,
    files: Files,
}

impl TurnState {
    /// Returns an empty state that keeps the bodies of turns in files in `folder`. Without files,
    /// they are kept in memory.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created or read.
    pub fn with_segments(folder: &Path, group: u32, usage: Arc<TurnUsage>) -> io::Result<Self> {
        let files = Files::new(Bodies::open(folder, group, usage)?);
        Ok(Self { files, ..Self::default() })
    }

    /// Returns the inputs and outputs of a kept turn and of the turns before it, oldest first.
    /// Returns `None` if the team has no such turn.
    pub fn history(&self, team: &str, turn: &str) -> Option<History> {
        let chain = self.chain(team, turn)?;
        Some(History(chain.iter().rev().map(|kept| kept.body.clone()).collect()))
    }

    /// Tokens that a program has used or reserved.
    pub fn committed(&self, team: &str, program: &str) -> u64 {
        self.find_account(team, program).map_or(0, |at| self.accounts[at].1.committed())
    }

    /// Where a stream of the team began, if that is recorded.
    pub fn stream_origin(&self, team: &str, stream: &str) -> Option<&StreamOrigin> {
        let at = find(&self.streams, team, stream).ok()?;
        let origin = &self.streams[at].1;
        self.is_live(origin.expires_ms).then_some(origin)
    }

    /// Number of kept turns, with expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether there are no kept turns.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Returns a turn and the turns before it, newest first. Returns `None` if one of them is not
    /// kept, or if they form a circle because a caller has given two turns the same name.
    fn chain(&self, team: &str, turn: &str) -> Option<Vec<&KeptTurn>> {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(turn) = next {
            let kept = &self.turns[self.find_turn(team, turn)?].1;
            if chain.len() == self.turns.len() {
                return None;
            }
            chain.push(kept);
            next = kept.previous.as_deref();
        }
        Some(chain)
    }

    fn reserve(&mut self, reserve: pb::Reserve) -> pb::Reserved {
        let now_ms = self.now_ms;
        let pb::Reserve { team, program, name, most, budget, least } = reserve;
        let is_known = self.find_account(&team, &program).is_some();
        let account = entry(&mut self.accounts, (team.into(), program.into()));
        if !is_known {
            *account = Account::default();
        }
        account.touched_ms = now_ms;
        let name = Name::from(name);
        let remaining = budget.saturating_sub(account.committed());
        match account.reservations.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(at) => pb::Reserved { amount: account.reservations[at].1, remaining },
            Err(at) if least > 0 && least <= remaining => {
                let amount = most.max(least).min(remaining);
                account.reservations.insert(at, (name, amount));
                pb::Reserved { amount, remaining: remaining - amount }
            }
            Err(_) => pb::Reserved { amount: 0, remaining },
        }
    }

    /// Returns the name of the turn to keep if it cannot be continued.
    fn settle(&mut self, settle: pb::Settle) -> Option<String> {
        let pb::Settle { team, program, name, used, kept } = settle;
        if let Some(at) = self.find_account(&team, &program) {
            let account = &mut self.accounts[at].1;
            account.touched_ms = self.now_ms;
            // A reservation that is not open has already been settled.
            if let Ok(at) = account.reservations.binary_search_by(|(n, _)| (**n).cmp(&*name)) {
                account.reservations.remove(at);
                account.used += used;
            }
        }
        let turn = kept?;
        let name = turn.turn.clone();
        (!self.keep(turn)).then_some(name)
    }

    /// Returns whether the turn can be continued: the turn before it has not expired. Turns expire
    /// no earlier than those that continue them, so the others before it have not either.
    fn keep(&mut self, turn: pb::Turn) -> bool {
        let pb::Turn { team, turn, previous, input, output, expires_ms } = turn;
        let (team, turn) = (Name::from(team), Name::from(turn));
        let is_complete = previous.as_ref().is_none_or(|p| self.find_turn(&team, p).is_some());
        let mut next = previous.clone();
        while let Some(previous) = next {
            let Some(at) = self.find_turn(&team, &previous) else { break };
            let kept = &mut self.turns[at].1;
            if kept.expires_ms >= expires_ms {
                break;
            }
            kept.expires_ms = expires_ms;
            next = kept.previous.as_deref().map(str::to_owned);
        }
        let previous = previous.map(Name::from);
        let kept = KeptTurn { previous, body: self.files.store(input, output), expires_ms };
        match find(&self.turns, &team, &turn) {
            Ok(at) => self.turns[at].1 = kept,
            Err(at) => self.turns.insert(at, ((team, turn), kept)),
        }
        is_complete
    }

    fn record_stream(&mut self, origin: pb::StreamOrigin) {
        let pb::StreamOrigin { team, stream, service, software, expires_ms } = origin;
        let origin =
            StreamOrigin { service: service.into(), software: software.into(), expires_ms };
        match find(&self.streams, &team, &stream) {
            Ok(at) if self.is_live(self.streams[at].1.expires_ms) => {}
            Ok(at) => self.streams[at].1 = origin,
            Err(at) => self.streams.insert(at, ((team.into(), stream.into()), origin)),
        }
    }

    /// Removes expired entries.
    fn sweep(&mut self) {
        if self.now_ms < self.swept_ms + SWEEP_INTERVAL_MS {
            return;
        }
        let now_ms = self.now_ms;
        self.swept_ms = now_ms;
        self.turns.retain(|(_, kept)| !has_expired(now_ms, kept.expires_ms));
        self.files.swept();
        self.streams.retain(|(_, origin)| !has_expired(now_ms, origin.expires_ms));
        self.accounts.retain(|(_, account)| !account.has_expired(now_ms));
    }

    /// Updates the bytes in memory for the store's budget.
    fn report_memory(&self) {
        let entries = self.turns.len() + self.accounts.len() + self.streams.len();
        self.files.set_memory(entries as u64 * ENTRY_MEMORY_BYTES);
    }

    fn execute(&mut self, index: u64, command: pb::TurnCommand) -> pb::TurnResult {
        let before_ms = self.now_ms;
        self.now_ms = self.now_ms.max(command.now_ms);
        self.adopt_rules(command.rules);
        if let Some(digest) = &command.digest {
            self.comparison.compare(digest);
        }
        let incomplete = command.settle.into_iter().filter_map(|s| self.settle(s)).collect();
        for origin in command.streams {
            self.record_stream(origin);
        }
        let reserved = command.reserve.into_iter().map(|r| self.reserve(r)).collect();
        self.sweep();
        self.compute_digest(index, before_ms);
        pb::TurnResult { reserved, incomplete }
    }
}

fn find<T>(list: &[(Key, T)], team: &str, name: &str) -> Result<usize, usize> {
    list.binary_search_by(|((t, n), _)| (**t).cmp(team).then_with(|| (**n).cmp(name)))
}

fn entry<T: Default>(list: &mut Vec<(Key, T)>, key: Key) -> &mut T {
    let at = match list.binary_search_by(|(k, _)| k.cmp(&key)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, (key, T::default()));
            at
        }
    };
    &mut list[at].1
}

impl StateMachine for TurnState {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        self.apply_shared(index, &Bytes::copy_from_slice(data))
    }

    fn apply_shared(&mut self, index: u64, data: &Bytes) -> Bytes {
        let result = match pb::TurnCommand::decode(data.clone()) {
            Ok(command) => self.execute(index, command),
            Err(e) => {
                let error = e.to_string();
                log::error!(index, error = error.as_str(); "ignored a malformed command");
                pb::TurnResult::default()
            }
        };
        self.report_memory();
        result.encode_to_vec().into()
    }

    /// Panics if a segment cannot be read. The node uses `save`, which reads no bodies.
    fn snapshot(&self) -> Bytes {
        let encoded = self.encode();
        encoded.read(0, encoded.len() as usize).expect("readable segments")
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.restore_shared(&Bytes::copy_from_slice(snapshot))
    }

    fn restore_shared(&mut self, snapshot: &Bytes) -> anyhow::Result<()> {
        let mut snapshot = pb::TurnSnapshot::decode(snapshot.clone())?;
        let turns = std::mem::take(&mut snapshot.turns);
        self.replace(Self::from_proto(snapshot));
        for turn in turns {
            let kept = self.files.restore_turn(turn);
            self.turns.push(kept);
        }
        Ok(())
    }

    fn save(&mut self, index: u64) -> anyhow::Result<SavedState> {
        if self.files.is_none() {
            let data = self.snapshot();
            return Ok(SavedState { source: Arc::new(data.clone()), data, sync: None });
        }
        self.files.store_remaining(&mut self.turns)?;
        let data = self.encode_references();
        let sync = self.files.snapshot(index, &self.turns);
        Ok(SavedState { data, source: Arc::new(self.encode()), sync })
    }

    fn wants_snapshot(&self) -> bool {
        self.files.wants_snapshot()
    }

    fn saved(&mut self, index: u64) {
        self.files.saved(index);
    }

    fn load(&mut self, index: u64, data: &Bytes) -> anyhow::Result<()> {
        match saved::split(data)? {
            Some((head, references)) => self.load_references(index, head, references),
            // Written by a build that had no segments.
            None => self.restore_shared(data),
        }
    }

    fn receives_parts(&self) -> bool {
        !self.files.is_none()
    }

    fn receive_part(&mut self, offset: u64, part: &Bytes) -> anyhow::Result<()> {
        self.files.receive(offset, part)
    }

    fn install_parts(&mut self) -> anyhow::Result<()> {
        let received = self.files.take_received()?;
        self.replace(received);
        Ok(())
    }
}
