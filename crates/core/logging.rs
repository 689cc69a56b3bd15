//! Logs as JSON lines on standard error.

use log::LevelFilter;
use structured_logger::{Builder, json::new_writer};

/// Installs the logger of this process.
pub(crate) fn install(level: LevelFilter) {
    Builder::with_level(level.as_str())
        .with_target_writer("*", new_writer(std::io::stderr()))
        .init();
}
