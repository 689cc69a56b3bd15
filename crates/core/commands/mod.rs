//! The commands, one module each.

mod certs;
mod dev;
mod endpoint;
mod files;
mod node;
mod operator;
mod serve;

use std::process::ExitCode;

use anyhow::Result;
use clap::CommandFactory;

use crate::flags::{Command, Flags};

/// Runs a command and returns the exit status of the process.
pub(crate) fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Serve(flags) => on_runtime(serve::run(*flags)),
        Command::Node(flags) => on_one_thread(node::run(flags)),
        Command::Check(flags) => files::check(&flags),
        Command::Diff(flags) => files::diff(&flags),
        Command::Publish(flags) => on_runtime(operator::publish(flags)),
        Command::Get(flags) => on_runtime(operator::get(flags)),
        Command::Status(flags) => on_runtime(operator::status(flags)),
        Command::Init(flags) => on_runtime(serve::init(flags)),
        Command::ReplaceVoter(flags) => on_runtime(operator::replace_voter(flags)),
        Command::Keygen => files::keygen(),
        Command::Certs(flags) => certs::run(&flags),
        Command::Dev(flags) => on_runtime(dev::run(flags)),
        Command::Endpoint(flags) => on_runtime(endpoint::run(flags)),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Flags::command(),
                "poplarspan",
                &mut std::io::stdout(),
            );
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Runs a command on a runtime of one thread, for machines that give a process part of a core.
fn on_one_thread(command: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}

/// Runs a command that needs the asynchronous runtime.
pub(crate) fn on_runtime(command: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(command)
}
