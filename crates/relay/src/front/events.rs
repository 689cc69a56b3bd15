//! Parser for streams of server-sent events.

use bytes::{Bytes, BytesMut};

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event as received, including the empty line at its end.
    pub raw: Bytes,
    /// Value of the last `id` field, if there is one.
    pub id: Option<Bytes>,
}

impl Event {
    /// Appends the values of the `data` fields, each followed by a line feed.
    pub fn write_data(&self, buf: &mut BytesMut) {
        for line in lines(&self.raw) {
            if let Some(data) = field(line, b"data") {
                buf.extend_from_slice(data);
                buf.extend_from_slice(b"\n");
            }
        }
    }

    /// Whether the event has a `data` field.
    pub fn has_data(&self) -> bool {
        lines(&self.raw).any(|line| field(line, b"data").is_some())
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    /// Length of the prefix of `buf` that is known to contain no end of an event.
    searched: usize,
}

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Number of buffered bytes. After [`EventReader::next_event`] has returned `None`, these are
    /// the bytes of an incomplete event.
    pub fn pending(&self) -> usize {
        self.buf.len()
    }

    /// Whether the buffered bytes are the start of an event, rather than empty lines.
    pub fn is_within_event(&self) -> bool {
        self.buf.iter().any(|b| !matches!(b, b'\r' | b'\n'))
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// Takes the buffered bytes, which are what is left after the end of a stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.buf, self.searched) else {
            // The end may be split between the buffered bytes and the next ones.
            self.searched = self.buf.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let raw = self.buf.split_to(end).freeze();
        let id = lines(&raw).filter_map(|line| field(line, b"id")).next_back();
        let id = id.map(|id| raw.slice_ref(id));
        Some(Event { raw, id })
    }
}

/// Length of the first event including the empty line.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = buf[at..].iter().position(|b| *b == b'\n') {
        let next = at + found + 1;
        match &buf[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn lines(raw: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    raw.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the value if `line` is the field `name`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
