//! State machine of a store group: used and reserved tokens of programs, kept turns, and the software
//! versions that began streams.
//!
//! The state lives in the replicated log of the group. A front reserves tokens of a program's
//! budget before it passes any on to the caller, and later settles the number it did pass on. If
//! the front dies first, the reservation stays open until the account expires, because nobody knows
//! how many of its tokens were used. All commands are idempotent.

use bytes::{BufMut, Bytes, BytesMut};
use poplarspan_agreement::StateMachine;
use poplarspan_policy::Name;
use poplarspan_proto::relay as pb;
use prost::Message;

/// How long the account of a program is kept after its last turn, in milliseconds. The pauses
/// between the turns of a running program are shorter.
const ACCOUNT_TTL_MS: u64 = 10 * 60 * 1000;
/// How long turns and origins of streams are kept beyond the requested time, in milliseconds. Covers
/// the clock difference between successive leaders.
const RETAIN_MARGIN_MS: u64 = 10_000;
/// Time between two sweeps for expired entries, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 5_000;

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
    fn committed(&self) -> u64 {
        self.used + self.reservations.iter().map(|(_, amount)| amount).sum::<u64>()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeptTurn {
    previous: Option<Name>,
    input: Bytes,
    output: Bytes,
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
    swept_ms: u64,
    // Sorted by key.
    accounts: Vec<(Key, Account)>,
    // Sorted by key.
    turns: Vec<(Key, KeptTurn)>,
    // Sorted by key.
    streams: Vec<(Key, StreamOrigin)>,
}

impl TurnState {
    /// Returns the inputs and outputs of a kept turn and of the turns before it, oldest first.
    /// Returns `None` if the team has no such turn.
    pub fn history(&self, team: &str, turn: &str) -> Option<Bytes> {
        let chain = self.chain(team, turn)?;
        let len = chain.iter().map(|k| k.input.len() + k.output.len()).sum();
        let mut buf = BytesMut::with_capacity(len);
        for kept in chain.iter().rev() {
            buf.put_slice(&kept.input);
            buf.put_slice(&kept.output);
        }
        Some(buf.freeze())
    }

    /// Tokens that a program has used or reserved.
    pub fn committed(&self, team: &str, program: &str) -> u64 {
        find(&self.accounts, team, program).map_or(0, |at| self.accounts[at].1.committed())
    }

    /// Where a stream of the team began, if that is recorded.
    pub fn stream_origin(&self, team: &str, stream: &str) -> Option<&StreamOrigin> {
        find(&self.streams, team, stream).ok().map(|at| &self.streams[at].1)
    }

    /// Number of kept turns.
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
            let kept = &self.turns[find(&self.turns, team, turn).ok()?].1;
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
        let account = entry(&mut self.accounts, (team.into(), program.into()));
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
        if let Ok(at) = find(&self.accounts, &team, &program) {
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
        let is_complete = previous.as_ref().is_none_or(|p| find(&self.turns, &team, p).is_ok());
        let mut next = previous.clone();
        while let Some(previous) = next {
            let Ok(at) = find(&self.turns, &team, &previous) else { break };
            let kept = &mut self.turns[at].1;
            if kept.expires_ms >= expires_ms {
                break;
            }
            kept.expires_ms = expires_ms;
            next = kept.previous.as_deref().map(str::to_owned);
        }
        let previous = previous.map(Name::from);
        let kept = KeptTurn { previous, input, output, expires_ms };
        match find(&self.turns, &team, &turn) {
            Ok(at) => self.turns[at].1 = kept,
            Err(at) => self.turns.insert(at, ((team, turn), kept)),
        }
        is_complete
    }

    fn record_stream(&mut self, origin: pb::StreamOrigin) {
        let pb::StreamOrigin { team, stream, service, software, expires_ms } = origin;
        if let Err(at) = find(&self.streams, &team, &stream) {
            let origin =
                StreamOrigin { service: service.into(), software: software.into(), expires_ms };
            self.streams.insert(at, ((team.into(), stream.into()), origin));
        }
    }

    fn sweep(&mut self) {
        if self.now_ms < self.swept_ms + SWEEP_INTERVAL_MS {
            return;
        }
        let now_ms = self.now_ms;
        self.swept_ms = now_ms;
        self.turns.retain(|(_, kept)| now_ms < kept.expires_ms + RETAIN_MARGIN_MS);
        self.streams.retain(|(_, origin)| now_ms < origin.expires_ms + RETAIN_MARGIN_MS);
        self.accounts.retain(|(_, account)| now_ms < account.touched_ms + ACCOUNT_TTL_MS);
    }

    fn execute(&mut self, command: pb::TurnCommand) -> pb::TurnResult {
        self.now_ms = self.now_ms.max(command.now_ms);
        let incomplete = command.settle.into_iter().filter_map(|s| self.settle(s)).collect();
        for origin in command.streams {
            self.record_stream(origin);
        }
        let reserved = command.reserve.into_iter().map(|r| self.reserve(r)).collect();
        self.sweep();
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
            Ok(command) => self.execute(command),
            Err(e) => {
                let error = e.to_string();
                log::error!(index, error = error.as_str(); "ignored a malformed command");
                pb::TurnResult::default()
            }
        };
        result.encode_to_vec().into()
    }

    fn snapshot(&self) -> Bytes {
        let account = |((team, program), account): &(Key, Account)| pb::Account {
            team: team.to_string(),
            program: program.to_string(),
            used: account.used,
            open: account
                .reservations
                .iter()
                .map(|(name, amount)| pb::Reservation { name: name.to_string(), amount: *amount })
                .collect(),
            touched_ms: account.touched_ms,
        };
        let turn = |((team, turn), kept): &(Key, KeptTurn)| pb::Turn {
            team: team.to_string(),
            turn: turn.to_string(),
            previous: kept.previous.as_deref().map(str::to_owned),
            input: kept.input.clone(),
            output: kept.output.clone(),
            expires_ms: kept.expires_ms,
        };
        let stream = |((team, stream), origin): &(Key, StreamOrigin)| pb::StreamOrigin {
            team: team.to_string(),
            stream: stream.to_string(),
            service: origin.service.to_string(),
            software: origin.software.to_string(),
            expires_ms: origin.expires_ms,
        };
        pb::TurnSnapshot {
            now_ms: self.now_ms,
            accounts: self.accounts.iter().map(account).collect(),
            turns: self.turns.iter().map(turn).collect(),
            streams: self.streams.iter().map(stream).collect(),
        }
        .encode_to_vec()
        .into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.restore_shared(&Bytes::copy_from_slice(snapshot))
    }

    fn restore_shared(&mut self, snapshot: &Bytes) -> anyhow::Result<()> {
        let snapshot = pb::TurnSnapshot::decode(snapshot.clone())?;
        let account = |a: pb::Account| {
            let reservations = a.open.into_iter().map(|r| (r.name.into(), r.amount)).collect();
            let account = Account { used: a.used, reservations, touched_ms: a.touched_ms };
            ((a.team.into(), a.program.into()), account)
        };
        let turn = |t: pb::Turn| {
            let previous = t.previous.map(Name::from);
            let kept =
                KeptTurn { previous, input: t.input, output: t.output, expires_ms: t.expires_ms };
            ((t.team.into(), t.turn.into()), kept)
        };
        let stream = |s: pb::StreamOrigin| {
            let (service, software) = (s.service.into(), s.software.into());
            let origin = StreamOrigin { service, software, expires_ms: s.expires_ms };
            ((s.team.into(), s.stream.into()), origin)
        };
        *self = Self {
            now_ms: snapshot.now_ms,
            swept_ms: snapshot.now_ms,
            accounts: snapshot.accounts.into_iter().map(account).collect(),
            turns: snapshot.turns.into_iter().map(turn).collect(),
            streams: snapshot.streams.into_iter().map(stream).collect(),
        };
        Ok(())
    }
}
