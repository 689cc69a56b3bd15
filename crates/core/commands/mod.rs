//! Implementations of the commands.

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

/// Runs a command and returns the exit code of the process.
pub(crate) fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Serve(flags) => block_on(serve::run(*flags)),
        Command::Node(flags) => block_on_current_thread(node::run(flags)),
        Command::Check(flags) => files::check(&flags),
        Command::Diff(flags) => files::diff(&flags),
        Command::Publish(flags) => block_on(operator::publish(flags)),
        Command::Get(flags) => block_on(operator::get(flags)),
        Command::Status(flags) => block_on(operator::status(flags)),
        Command::Init(flags) => block_on(serve::init(flags)),
        Command::ReplaceVoter(flags) => block_on(operator::replace_voter(flags)),
        Command::Keygen => files::keygen(),
        Command::Certs(flags) => certs::run(&flags),
        Command::Dev(flags) => block_on(dev::run(flags)),
        Command::Endpoint(flags) => block_on(endpoint::run(flags)),
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

/// Runs a command on a single-threaded runtime, for machines where a process gets less than one
/// core.
fn block_on_current_thread(command: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}

/// Runs a command on a multi-threaded runtime.
pub(crate) fn block_on(command: impl Future<Output = Result<ExitCode>>) -> Result<ExitCode> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(command)
}
