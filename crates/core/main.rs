//! The `poplarspan` command.

mod commands;
mod flags;
mod logging;

use std::process::ExitCode;

use clap::Parser;

use crate::flags::Flags;

fn main() -> ExitCode {
    let flags = Flags::parse();
    logging::install(flags.log_level, flags.command.log_output());
    match commands::run(flags.command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("poplarspan: {e:#}");
            ExitCode::FAILURE
        }
    }
}
