//! Records the turn that a stream produces, so that the stores can keep it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use poplarspan_policy::Name;
use tokio::time::Instant;

use super::{
    events::Event,
    programs::{history::History, kept::KeptTurn, outputs::OutputRecord},
};

/// Data of a turn that is to be kept.
pub(crate) struct TurnRecording {
    /// Inputs and outputs of the turns before.
    history: History,
    input: Bytes,
    previous: Option<Name>,
    output: BytesMut,
    /// `None` if the caller cannot resume the stream.
    record: Option<OutputRecord>,
}

impl TurnRecording {
    pub(crate) fn new(history: History, input: Bytes, previous: Option<Name>) -> Self {
        Self { history, input, previous, output: BytesMut::new(), record: None }
    }

    /// Makes the events durable in `record` before they are passed on. `output` is what the turn
    /// has produced in earlier attempts of the caller.
    pub(crate) fn with_record(mut self, record: OutputRecord, output: &[u8]) -> Self {
        self.output.extend_from_slice(output);
        self.record = Some(record);
        self
    }

    /// Adds an event that is about to be passed on.
    pub(crate) fn push(&mut self, event: &Event) {
        event.write_data(&mut self.output);
        if let Some(record) = &mut self.record {
            record.push(event);
        }
    }

    /// Waits until the events are durable, if the caller may resume the stream.
    pub(crate) async fn sync(&mut self, deadline: Instant) {
        if let Some(record) = &mut self.record {
            record.sync(deadline).await;
        }
    }

    /// Size of the recorded output in memory, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.output.len() + self.record.as_ref().map_or(0, OutputRecord::pending_bytes)
    }

    /// Returns the turn with its complete output, and the record of its events.
    pub(crate) fn finish(self, retain: Duration) -> (KeptTurn, Option<OutputRecord>) {
        let Self { history, input, previous, output, record } = self;
        (KeptTurn { previous, history, input, output: output.freeze(), retain }, record)
    }
}
