//! [`Ledger`] client that uses the peer protocol.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_proto::{
    ledger::{LedgerAnswer, LedgerCommand, ledger_answer, ledger_command},
    peer::{FailureCode, LedgerCall, request, response},
};
use prost::Message;
use tokio::time::Instant;

use super::{Ledger, LedgerError, RESEND_INTERVAL};
use crate::{
    membership::{Directory, Membership},
    peer::{CallError, PeerClient},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends commands to the leaders of the program groups.
pub(crate) struct PeerLedger {
    client: PeerClient,
    directory: Arc<Directory>,
    membership: Arc<Membership>,
    /// Presumed leader of each group, indexed by group number.
    leaders: Mutex<Vec<Option<SocketAddr>>>,
}

impl PeerLedger {
    pub(crate) fn new(
        client: PeerClient,
        directory: Arc<Directory>,
        membership: Arc<Membership>,
    ) -> Self {
        Self { client, directory, membership, leaders: Mutex::default() }
    }

    fn leader(&self, group: u32) -> Option<SocketAddr> {
        *self.leaders.lock().expect("no panic while locked").get(group as usize)?
    }

    fn set_leader(&self, group: u32, leader: Option<SocketAddr>) {
        let mut leaders = self.leaders.lock().expect("no panic while locked");
        if leaders.len() <= group as usize {
            leaders.resize(group as usize + 1, None);
        }
        leaders[group as usize] = leader;
    }

    /// Sends a call to the leader of the group. Tries the replicas in turn while the leader is not
    /// known, until `deadline`.
    async fn call(&self, call: LedgerCall, deadline: Instant) -> Result<Bytes, LedgerError> {
        let group = call.group;
        let mut may_have_run = false;
        let mut last_error = String::from("no control replica is known");
        for attempt in 0usize.. {
            let candidates = self.directory.candidates();
            let target = self.leader(group).or_else(|| {
                (!candidates.is_empty()).then(|| candidates[attempt % candidates.len()])
            });
            if let Some(target) = target {
                match self.call_once(target, call.clone(), deadline).await {
                    Ok(answer) => {
                        self.set_leader(group, Some(target));
                        return Ok(answer);
                    }
                    Err(e) => {
                        may_have_run |= self.handle_error(group, &e);
                        last_error = e.to_string();
                    }
                }
            }
            if Instant::now() + RESEND_INTERVAL >= deadline {
                break;
            }
            // The first replica often returns the leader, which is then tried without a pause.
            if attempt > 0 || self.leader(group).is_none() {
                tokio::time::sleep(RESEND_INTERVAL).await;
            }
        }
        Err(if may_have_run {
            LedgerError::Unknown(last_error)
        } else {
            LedgerError::Unavailable(last_error)
        })
    }

    async fn call_once(
        &self,
        target: SocketAddr,
        call: LedgerCall,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let timeout = CALL_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        match self.client.call(target, request::Body::Ledger(call), timeout).await? {
            response::Body::Ledger(reply) => Ok(reply.answer),
            _ => Err(CallError::Unknown {
                address: target,
                cause: "unexpected kind of answer".to_owned(),
            }),
        }
    }

    /// Updates the presumed leader after a failed call. Returns whether the call may have been
    /// executed.
    fn handle_error(&self, group: u32, error: &CallError) -> bool {
        match error {
            CallError::Failed(failure) => {
                self.set_leader(group, failure.leader_address.parse().ok());
                failure.code() == FailureCode::UnknownOutcome
            }
            CallError::Unreachable { .. } => {
                self.set_leader(group, None);
                false
            }
            CallError::Unknown { .. } => {
                self.set_leader(group, None);
                true
            }
        }
    }
}

impl Ledger for PeerLedger {
    fn groups(&self) -> u32 {
        self.membership.load().view.program_groups
    }

    fn command(
        &self,
        group: u32,
        command: ledger_command::Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<ledger_answer::Answer, LedgerError>> {
        // The leader sets the time.
        let command = LedgerCommand { now_ms: 0, command: Some(command) };
        let command = Bytes::from(command.encode_to_vec());
        Box::pin(async move {
            let answer = self.call(LedgerCall { group, command, query: false }, deadline).await?;
            LedgerAnswer::decode(answer)
                .ok()
                .and_then(|a| a.answer)
                .ok_or_else(|| LedgerError::Unknown("malformed answer".to_owned()))
        })
    }

    fn query(
        &self,
        group: u32,
        query: Bytes,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Bytes, LedgerError>> {
        Box::pin(self.call(LedgerCall { group, command: query, query: true }, deadline))
    }
}
