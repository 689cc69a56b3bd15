//! Snapshots of kept turns as they are sent to other replicas: a `TurnSnapshot`, written and read
//! in parts so that no replica holds all bodies in memory.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use poplarspan_agreement::SnapshotSource;
use poplarspan_proto::relay as pb;
use prost::{
    Message,
    encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint},
};

use super::bodies::{Body, StoredBody};

/// Numbers of the fields of `TurnSnapshot`.
const NOW_FIELD: u32 = 1;
const ACCOUNT_FIELD: u32 = 2;
const TURN_FIELD: u32 = 3;
const STREAM_FIELD: u32 = 4;
const RULES_FIELD: u32 = 5;
/// Numbers of the fields of `Turn` with its body.
const INPUT_FIELD: u32 = 4;
const OUTPUT_FIELD: u32 = 5;
/// Maximum length of the key and the length of a field, in bytes.
const MAX_FIELD_HEADER: usize = 20;

#[derive(Debug)]
enum Part {
    Memory(Bytes),
    /// A part of a body from an offset in the body on.
    Stored(StoredBody, u64),
}

/// An encoded snapshot whose bodies are read when they are sent.
#[derive(Debug, Default)]
pub(super) struct EncodedSnapshot {
    /// Parts with the offsets of their ends.
    parts: Vec<(u64, Part)>,
}

impl EncodedSnapshot {
    pub(super) fn push(&mut self, data: Bytes) {
        let len = data.len() as u64;
        self.push_part(Part::Memory(data), len);
    }

    fn push_part(&mut self, part: Part, len: u64) {
        if len > 0 {
            self.parts.push((self.len() + len, part));
        }
    }

    /// Appends a turn. `turn` has no body.
    pub(super) fn push_turn(&mut self, turn: &pb::Turn, body: &Body) {
        let expires = pb::Turn { expires_ms: turn.expires_ms, ..Default::default() };
        let expires = expires.encode_to_vec();
        let names = pb::Turn { expires_ms: 0, ..turn.clone() }.encode_to_vec();
        let (input, output) = (body.input_len() as u64, (body.len() - body.input_len()) as u64);
        let (input_header, output_header) =
            (header(INPUT_FIELD, input), header(OUTPUT_FIELD, output));
        let inline = names.len() + input_header.len() + output_header.len() + expires.len();
        let mut start = BytesMut::with_capacity(MAX_FIELD_HEADER + names.len());
        encode_key(TURN_FIELD, WireType::LengthDelimited, &mut start);
        encode_varint(inline as u64 + input + output, &mut start);
        start.extend_from_slice(&names);
        start.extend_from_slice(&input_header);
        self.push(start.freeze());
        match body {
            Body::Memory { input, output } => {
                self.push(input.clone());
                self.push(output_header);
                self.push(output.clone());
            }
            Body::Stored(stored) => {
                self.push_part(Part::Stored(stored.clone(), 0), input);
                self.push(output_header);
                self.push_part(Part::Stored(stored.clone(), input), output);
            }
        }
        self.push(expires.into());
    }
}

/// Key and length of a field of bytes; nothing if it is empty and thus absent.
fn header(field: u32, len: u64) -> Bytes {
    let mut buf = BytesMut::new();
    if len > 0 {
        encode_key(field, WireType::LengthDelimited, &mut buf);
        encode_varint(len, &mut buf);
    }
    buf.freeze()
}

impl SnapshotSource for EncodedSnapshot {
    fn len(&self) -> u64 {
        self.parts.last().map_or(0, |(end, _)| *end)
    }

    fn read(&self, offset: u64, max: usize) -> io::Result<Bytes> {
        let end = self.len().min(offset.saturating_add(max as u64));
        let mut buf = BytesMut::with_capacity(end.saturating_sub(offset) as usize);
        let mut i = self.parts.partition_point(|(part_end, _)| *part_end <= offset);
        let mut at = offset;
        while at < end {
            let start = i.checked_sub(1).map_or(0, |before| self.parts[before].0);
            let (part_end, part) = &self.parts[i];
            let (skip, len) = (at - start, end.min(*part_end) - at);
            match part {
                Part::Memory(data) => {
                    buf.extend_from_slice(&data[skip as usize..(skip + len) as usize]);
                }
                Part::Stored(body, body_offset) => {
                    let filled = buf.len();
                    buf.resize(filled + len as usize, 0);
                    body.read_part(body_offset + skip, &mut buf[filled..])?;
                }
            }
            at += len;
            i += 1;
        }
        Ok(buf.freeze())
    }
}

/// A record of a snapshot.
pub(super) enum Record {
    Now(u64),
    Rules(u32),
    Account(pb::Account),
    Turn(pb::Turn),
    Stream(pb::StreamOrigin),
}

/// Splits a snapshot that is received in parts into its records.
#[derive(Debug, Default)]
pub(super) struct RecordReader {
    /// Bytes of the next record.
    buf: BytesMut,
}

impl RecordReader {
    pub(super) fn push(&mut self, part: &[u8]) {
        self.buf.extend_from_slice(part);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the next record, or `None` until it is complete.
    pub(super) fn next(&mut self) -> anyhow::Result<Option<Record>> {
        loop {
            let mut rest = &self.buf[..];
            let header = decode_key(&mut rest).and_then(|key| Ok((key, decode_varint(&mut rest)?)));
            let ((field, wire), value) = match header {
                Ok(header) => header,
                Err(_) if self.buf.len() < MAX_FIELD_HEADER => return Ok(None),
                Err(e) => return Err(e.into()),
            };
            let header_len = self.buf.len() - rest.len();
            let record = match wire {
                WireType::Varint => {
                    self.buf.advance(header_len);
                    match field {
                        NOW_FIELD => Some(Record::Now(value)),
                        RULES_FIELD => Some(Record::Rules(u32::try_from(value)?)),
                        _ => None,
                    }
                }
                WireType::LengthDelimited => {
                    if (rest.len() as u64) < value {
                        return Ok(None);
                    }
                    self.buf.advance(header_len);
                    decode(field, self.buf.split_to(value as usize).freeze())?
                }
                _ => anyhow::bail!("a snapshot has a field of unknown type"),
            };
            if record.is_some() {
                return Ok(record);
            }
        }
    }
}

/// Decodes a record. Returns `None` for one that a later version has added.
fn decode(field: u32, data: Bytes) -> anyhow::Result<Option<Record>> {
    Ok(match field {
        ACCOUNT_FIELD => Some(Record::Account(pb::Account::decode(data)?)),
        TURN_FIELD => Some(Record::Turn(pb::Turn::decode(data)?)),
        STREAM_FIELD => Some(Record::Stream(pb::StreamOrigin::decode(data)?)),
        _ => None,
    })
}
