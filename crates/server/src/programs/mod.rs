//! The entry's side of the ledger of programs: finds the group and its leader, and resends.
//!
//! The ledger itself is owned by the replicas of the program's group. Commands carry numbers of
//! their own, so that a command resent after a lost answer changes nothing twice.

mod peer_ledger;

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_proto::ledger::{ledger_answer, ledger_command};
use tokio::time::Instant;

pub(crate) use peer_ledger::PeerLedger;

/// Why the ledger gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LedgerError {
    /// The command was certainly not carried out.
    #[error("the ledger of programs cannot be reached: {0}")]
    Unavailable(String),
    /// The command may have been carried out.
    #[error("the ledger of programs gave no answer: {0}")]
    Unknown(String),
}

/// Time after which an unanswered command is resent.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Carries commands and queries to the program groups.
pub(crate) trait Ledger: Send + Sync {
    /// Number of program groups; 0 while it is not known yet.
    fn groups(&self) -> u32;

    /// Commits a command in a group, resending it until `deadline`.
    fn command(
        &self,
        group: u32,
        command: ledger_command::Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<ledger_answer::Answer, LedgerError>>;

    /// Asks a question of a group.
    fn query(
        &self,
        group: u32,
        query: Bytes,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Bytes, LedgerError>>;
}
