//! The state of a store group in its own store, which refers to the bodies in segment files, and the
//! replacement of the state by a snapshot of the leader.

use std::sync::Arc;

use anyhow::{Context, Result, bail, ensure};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use poplarspan_agreement::SyncFiles;
use poplarspan_policy::Name;
use poplarspan_proto::relay as pb;
use prost::Message;

use super::{
    Account, KeptTurn, Key, StreamOrigin, TurnState,
    bodies::{Bodies, Body, Segment, StoredBody},
    rules::Comparison,
    transfer::{EncodedSnapshot, Record, RecordReader},
};

/// Start of a state with references. No `TurnSnapshot` starts with 0, which no field has as its key.
const MAGIC: &[u8] = b"\0turns01";
/// Encoded length of a reference: segment, offset, input, output and checksum.
const REFERENCE_BYTES: usize = 8 + 8 + 4 + 4 + 4;

/// A segment that the saved state refers to is missing or corrupt. The replica's disk counts as
/// lost: only another replica still has the bodies.
#[derive(Debug, thiserror::Error)]
#[error("segment {segment} is missing or corrupt: {source}")]
pub struct LostSegment {
    segment: u64,
    source: std::io::Error,
}

/// The files of a state, if it has any. A copy of a state has none.
#[derive(Debug, Default)]
pub(super) struct Files(Option<Box<OpenFiles>>);

#[derive(Debug)]
struct OpenFiles {
    bodies: Bodies,
    /// Bytes of bodies that are in memory since the last snapshot, because they could not be stored.
    unstored: u64,
    /// Whether a snapshot would free a segment, as of the last sweep.
    has_expired_segment: bool,
    incoming: Option<Incoming>,
}

/// The received part of a leader's snapshot.
#[derive(Debug, Default)]
struct Incoming {
    reader: RecordReader,
    state: TurnState,
}

impl Clone for Files {
    fn clone(&self) -> Self {
        Self(None)
    }
}

impl PartialEq for Files {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Files {}

impl Files {
    pub(super) fn new(bodies: Bodies) -> Self {
        Self(Some(Box::new(OpenFiles {
            bodies,
            unstored: 0,
            has_expired_segment: false,
            incoming: None,
        })))
    }

    pub(super) fn is_none(&self) -> bool {
        self.0.is_none()
    }

    /// Notes that expired turns have been removed.
    pub(super) fn swept(&mut self) {
        if let Some(files) = &mut self.0 {
            files.has_expired_segment = files.bodies.has_expired_segment();
        }
    }

    /// Returns whether a snapshot would free a segment. Without it, a store that is full and accepts
    /// nothing would stay full, because its log does not grow.
    pub(super) fn wants_snapshot(&self) -> bool {
        self.0.as_ref().is_some_and(|files| files.has_expired_segment)
    }

    pub(super) fn set_memory(&self, entries: u64) {
        if let Some(files) = &self.0 {
            files.bodies.set_memory(entries + files.unstored);
        }
    }

    pub(super) fn store(&mut self, input: Bytes, output: Bytes) -> Body {
        match &mut self.0 {
            Some(files) => {
                let body = files.bodies.store(input, output);
                if let Body::Memory { .. } = body {
                    files.unstored += body.len() as u64;
                }
                body
            }
            None => Body::Memory { input, output },
        }
    }

    pub(super) fn restore_turn(&mut self, turn: pb::Turn) -> (Key, KeptTurn) {
        let pb::Turn { team, turn, previous, input, output, expires_ms } = turn;
        let body = self.store(input, output);
        let kept = KeptTurn { previous: previous.map(Name::from), body, expires_ms };
        ((team.into(), turn.into()), kept)
    }

    /// Stores the bodies that could not be stored before.
    pub(super) fn store_remaining(&mut self, turns: &mut [(Key, KeptTurn)]) -> Result<()> {
        let Some(files) = &mut self.0 else { return Ok(()) };
        for (_, kept) in turns {
            if let Body::Memory { input, output } = &kept.body {
                let stored = files.bodies.append(input, output);
                kept.body = Body::Stored(stored.context("cannot store the body of a turn")?);
            }
        }
        files.unstored = 0;
        Ok(())
    }

    pub(super) fn snapshot(&mut self, index: u64, turns: &[(Key, KeptTurn)]) -> Option<SyncFiles> {
        let files = self.0.as_mut()?;
        let mut segments: Vec<Arc<Segment>> = Vec::new();
        for (_, kept) in turns {
            if let Body::Stored(StoredBody { segment, .. }) = &kept.body {
                let at = segments.binary_search_by_key(&segment.number, |s| s.number);
                if let Err(at) = at {
                    segments.insert(at, segment.clone());
                }
            }
        }
        files.has_expired_segment = false;
        Some(files.bodies.snapshot(index, segments))
    }

    pub(super) fn saved(&mut self, index: u64) {
        if let Some(files) = &mut self.0 {
            files.bodies.saved(index);
        }
    }

    pub(super) fn receive(&mut self, offset: u64, part: &[u8]) -> Result<()> {
        let files = self.0.as_mut().context("the state has no files")?;
        if offset == 0 {
            files.incoming = None;
        }
        let incoming = files.incoming.get_or_insert_default();
        incoming.reader.push(part);
        while let Some(record) = incoming.reader.next()? {
            let state = &mut incoming.state;
            match record {
                Record::Now(now_ms) => (state.now_ms, state.swept_ms) = (now_ms, now_ms),
                Record::Rules(rules) => state.adopt_rules(rules),
                Record::Account(account) => state.accounts.push(read_account(account)),
                Record::Stream(origin) => state.streams.push(read_stream(origin)),
                Record::Turn(turn) => {
                    let pb::Turn { team, turn, previous, input, output, expires_ms } = turn;
                    let body = files.bodies.store(input, output);
                    let previous = previous.map(Name::from);
                    let kept = KeptTurn { previous, body, expires_ms };
                    state.turns.push(((team.into(), turn.into()), kept));
                }
            }
        }
        Ok(())
    }

    /// Returns the received state, without files.
    pub(super) fn take_received(&mut self) -> Result<TurnState> {
        let files = self.0.as_mut().context("the state has no files")?;
        let Incoming { reader, state } = files.incoming.take().unwrap_or_default();
        ensure!(reader.is_empty(), "the received snapshot ends within a record");
        Ok(state)
    }
}

/// Splits a state with references into its head and its references. Returns `None` if it is a
/// `TurnSnapshot`.
pub(super) fn split(data: &Bytes) -> Result<Option<(Bytes, Bytes)>> {
    let Some(mut rest) = data.strip_prefix(MAGIC) else { return Ok(None) };
    let len = rest.try_get_u64().context("the saved state has no length")? as usize;
    ensure!(rest.len() >= len, "the saved state is too short");
    let start = data.len() - rest.len();
    Ok(Some((data.slice(start..start + len), data.slice(start + len..))))
}

impl TurnState {
    /// Replaces everything except the files.
    pub(super) fn replace(&mut self, state: Self) {
        let files = std::mem::take(&mut self.files);
        *self = Self { files, comparison: Comparison::default(), ..state };
        self.report_memory();
    }

    /// Converts a snapshot without turns.
    pub(super) fn from_proto(snapshot: pb::TurnSnapshot) -> Self {
        Self {
            now_ms: snapshot.now_ms,
            rules: snapshot.rules,
            swept_ms: snapshot.now_ms,
            accounts: snapshot.accounts.into_iter().map(read_account).collect(),
            streams: snapshot.streams.into_iter().map(read_stream).collect(),
            ..Self::default()
        }
    }

    /// Encodes a `TurnSnapshot`, whose bodies are read when they are sent.
    pub(super) fn encode(&self) -> EncodedSnapshot {
        let mut encoded = EncodedSnapshot::default();
        let accounts = self.accounts.iter().map(write_account).collect();
        let (now_ms, rules) = (self.now_ms, self.rules);
        let head = pb::TurnSnapshot { now_ms, rules, accounts, ..Default::default() };
        encoded.push(head.encode_to_vec().into());
        for turn in &self.turns {
            encoded.push_turn(&write_turn(turn), &turn.1.body);
        }
        let streams = self.streams.iter().map(write_stream).collect();
        let tail = pb::TurnSnapshot { streams, ..Default::default() };
        encoded.push(tail.encode_to_vec().into());
        encoded
    }

    /// Encodes the state with references to the bodies. All bodies must be stored.
    pub(super) fn encode_references(&self) -> Bytes {
        let head = pb::TurnSnapshot {
            now_ms: self.now_ms,
            rules: self.rules,
            accounts: self.accounts.iter().map(write_account).collect(),
            turns: self.turns.iter().map(write_turn).collect(),
            streams: self.streams.iter().map(write_stream).collect(),
        };
        let len = head.encoded_len();
        let references = self.turns.len() * REFERENCE_BYTES;
        let mut buf = BytesMut::with_capacity(MAGIC.len() + 8 + len + references);
        buf.put_slice(MAGIC);
        buf.put_u64(len as u64);
        buf.put_slice(&head.encode_to_vec());
        for (_, kept) in &self.turns {
            if let Body::Stored(stored) = &kept.body {
                buf.put_u64(stored.segment.number);
                buf.put_u64(stored.offset);
                buf.put_u32(stored.input);
                buf.put_u32(stored.output);
                buf.put_u32(stored.crc);
            }
        }
        buf.freeze()
    }

    /// Loads a state with references, after a check of every body that it refers to.
    pub(super) fn load_references(
        &mut self,
        index: u64,
        head: Bytes,
        mut references: Bytes,
    ) -> Result<()> {
        let mut head = pb::TurnSnapshot::decode(head)?;
        let turns = std::mem::take(&mut head.turns);
        ensure!(
            references.len() == turns.len() * REFERENCE_BYTES,
            "the saved state does not have one reference for each turn"
        );
        self.replace(Self::from_proto(head));
        let Some(files) = &mut self.files.0 else { bail!("the saved state needs its segments") };
        for turn in turns {
            let (segment, offset) = (references.get_u64(), references.get_u64());
            let lens = [references.get_u32(), references.get_u32(), references.get_u32()];
            let stored = files.bodies.restore(segment, offset, lens);
            let body = Body::Stored(stored.map_err(|source| LostSegment { segment, source })?);
            let previous = turn.previous.map(Name::from);
            let kept = KeptTurn { previous, body, expires_ms: turn.expires_ms };
            self.turns.push(((turn.team.into(), turn.turn.into()), kept));
        }
        self.report_memory();
        // Nothing is unsynced, so there is nothing to do for this snapshot.
        let _ = self.files.snapshot(index, &self.turns);
        Ok(())
    }
}

fn read_account(account: pb::Account) -> (Key, Account) {
    let pb::Account { team, program, used, open, touched_ms } = account;
    let reservations = open.into_iter().map(|r| (r.name.into(), r.amount)).collect();
    ((team.into(), program.into()), Account { used, reservations, touched_ms })
}

pub(super) fn write_account(((team, program), account): &(Key, Account)) -> pb::Account {
    let open = account.reservations.iter();
    let open =
        open.map(|(name, amount)| pb::Reservation { name: name.to_string(), amount: *amount });
    pb::Account {
        team: team.to_string(),
        program: program.to_string(),
        used: account.used,
        open: open.collect(),
        touched_ms: account.touched_ms,
    }
}

/// Returns the turn without its body.
pub(super) fn write_turn(((team, turn), kept): &(Key, KeptTurn)) -> pb::Turn {
    pb::Turn {
        team: team.to_string(),
        turn: turn.to_string(),
        previous: kept.previous.as_deref().map(str::to_owned),
        expires_ms: kept.expires_ms,
        ..Default::default()
    }
}

fn read_stream(origin: pb::StreamOrigin) -> (Key, StreamOrigin) {
    let pb::StreamOrigin { team, stream, service, software, expires_ms } = origin;
    let (service, software) = (service.into(), software.into());
    ((team.into(), stream.into()), StreamOrigin { service, software, expires_ms })
}

pub(super) fn write_stream(((team, stream), origin): &(Key, StreamOrigin)) -> pb::StreamOrigin {
    pb::StreamOrigin {
        team: team.to_string(),
        stream: stream.to_string(),
        service: origin.service.to_string(),
        software: origin.software.to_string(),
        expires_ms: origin.expires_ms,
    }
}
