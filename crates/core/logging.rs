//! Logger that writes JSON lines.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use log::LevelFilter;
use structured_logger::{Builder, json::new_writer};

/// Maximum number of lines queued for standard output. When the queue is full, lines are dropped
/// and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogOutput {
    /// Standard error, written synchronously by the logging thread.
    Stderr,
    /// Standard output, written by a dedicated thread. If the reader stops reading, only this
    /// thread blocks.
    Stdout,
}

/// Installs the global logger of the process.
pub(crate) fn install(level: LevelFilter, output: LogOutput) {
    let builder = Builder::with_level(level.as_str());
    match output {
        LogOutput::Stderr => builder.with_target_writer("*", new_writer(io::stderr())).init(),
        LogOutput::Stdout => {
            builder.with_target_writer("*", new_writer(QueuedWriter::new())).init()
        }
    }
}

/// Queues complete lines for the writer thread and never blocks.
struct QueuedWriter {
    tx: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl QueuedWriter {
    fn new() -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let writer_dropped_lines = dropped_lines.clone();
        thread::spawn(move || write_lines(&rx, &writer_dropped_lines));
        Self { tx, dropped_lines, line: Vec::new() }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") && self.tx.try_send(std::mem::take(&mut self.line)).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("poplarspan_dropped_log_lines_total").increment(1);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, dropped_lines: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut lines) = rx.recv() {
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        let count = dropped_lines.swap(0, Ordering::Relaxed);
        if count > 0 {
            let warning =
                format!("{{\"level\":\"WARN\",\"message\":\"{count} log lines dropped\"}}\n");
            lines.extend_from_slice(warning.as_bytes());
        }
        // An error means that standard output is closed, so it cannot be reported there.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
    }
}
