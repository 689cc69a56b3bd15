//! Client of the program ledger: locates group leaders and resends commands.
//!
//! The ledger is stored by the replicas of the program's group. Commands carry unique numbers, so a
//! command that is resent after a lost response is applied only once.

mod peer_ledger;

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_proto::ledger::{ledger_answer, ledger_command};
use tokio::time::Instant;

pub(crate) use peer_ledger::PeerLedger;

/// Why a request to the ledger failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LedgerError {
    /// The command was not executed.
    #[error("the ledger of programs cannot be reached: {0}")]
    Unavailable(String),
    /// The command may have been executed.
    #[error("the ledger of programs gave no answer: {0}")]
    Unknown(String),
}

/// Pause before a failed command is resent.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Sends commands and queries to the program groups.
pub(crate) trait Ledger: Send + Sync {
    /// Returns the number of program groups, or 0 if it is not known yet.
    fn groups(&self) -> u32;

    /// Commits a command in a group, resending it until `deadline`.
    fn command(
        &self,
        group: u32,
        command: ledger_command::Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<ledger_answer::Answer, LedgerError>>;

    /// Executes an encoded query in a group, resending it until `deadline`.
    fn query(
        &self,
        group: u32,
        query: Bytes,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Bytes, LedgerError>>;
}
