//! Replacement of a control replica that has lost its disk.

use std::{net::SocketAddr, time::Duration};

use poplarspan_proto::peer::{self, FailureCode, request, response};
use tokio::time::{Instant, sleep};

use super::{Control, Group, ProposeError, failed, group::VoterStep};
use crate::peer::{CallError, PeerClient};

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for the new replica to catch up with a group.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(65);

impl Control {
    /// Replaces a voter in every group. Safe to retry after a lost response, since completed steps
    /// are skipped.
    pub(crate) async fn replace_voter(
        &self,
        client: &PeerClient,
        request: peer::ReplaceVoter,
    ) -> Result<(), peer::Failure> {
        if !self.holds_leadership() {
            return Err(self.not_leader(&*self.catalog_log));
        }
        self.operator(&request.operator_key)?;
        let address: SocketAddr = request
            .new_address
            .parse()
            .map_err(|_| failed(FailureCode::Invalid, "the address of the new replica"))?;
        self.replicas.set_reported(request.new, address);
        self.replace_in_group(&*self.catalog_log, request.old, request.new).await?;
        for group in 1..=self.programs.len() as u32 {
            let change = peer::ChangeVoters { group, old: request.old, new: request.new };
            self.replace_remote(client, change).await?;
        }
        log::info!(old = request.old, new = request.new; "voter replaced in all groups");
        Ok(())
    }

    /// Replaces a voter in a program group, locally or at the replica that leads the group.
    async fn replace_remote(
        &self,
        client: &PeerClient,
        change: peer::ChangeVoters,
    ) -> Result<(), peer::Failure> {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        for attempt in 0usize.. {
            let failure = match self.change_voters(change).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            if failure.code() != FailureCode::NotLeader || Instant::now() > deadline {
                return Err(failure);
            }
            // A replica that has not joined the group yet does not know its leader.
            let replicas = self.replicas.list();
            let other = || replicas.get(attempt % replicas.len().max(1)).map(|(_, a)| *a);
            if let Some(leader) = failure.leader_address.parse().ok().or_else(other) {
                let body = request::Body::ChangeVoters(change);
                match client.call(leader, body, CALL_TIMEOUT).await {
                    Ok(response::Body::VoterReplaced(_)) => return Ok(()),
                    Err(CallError::Failed(f)) if f.code() != FailureCode::NotLeader => {
                        return Err(f);
                    }
                    Ok(_) | Err(_) => {}
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        unreachable!("the loop only ends by returning")
    }

    /// Replaces a voter in a program group that this replica leads.
    pub(crate) async fn change_voters(
        &self,
        change: peer::ChangeVoters,
    ) -> Result<(), peer::Failure> {
        let group = (change.group as usize).checked_sub(1).and_then(|i| self.programs.get(i));
        let group = group.ok_or_else(|| failed(FailureCode::Invalid, "no such program group"))?;
        self.replace_in_group(&*group.log, change.old, change.new).await
    }

    async fn replace_in_group(
        &self,
        log: &dyn Group,
        old: u64,
        new: u64,
    ) -> Result<(), peer::Failure> {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            let Some(step) = next_step(log, old, new).await else { return Ok(()) };
            if step == VoterStep::Remove(old) && log.leadership().leader == Some(old) {
                // A leader cannot remove itself. The caller continues at the new leader.
                let replicas = log.replicas().await;
                let successor =
                    replicas.iter().find(|r| r.voter && r.replica != old && r.replica != new);
                let successor = successor.map_or(new, |r| r.replica);
                log.transfer(successor).await.map_err(|e| self.propose_failure(log, e))?;
                return Err(self.not_leader(log));
            }
            match log.change_voters(step).await {
                Ok(()) => {}
                // Usually the new replica has not caught up yet, or the previous change is not
                // committed yet.
                Err(ProposeError::Refused(cause) | ProposeError::Unknown(cause)) => {
                    if Instant::now() > deadline {
                        return Err(failed(FailureCode::Unavailable, &cause));
                    }
                    sleep(RETRY_INTERVAL).await;
                }
                Err(e) => return Err(self.propose_failure(log, e)),
            }
        }
    }
}

/// Returns the next step of replacing the voter `old` by `new`, or `None` once it is complete.
async fn next_step(log: &dyn Group, old: u64, new: u64) -> Option<VoterStep> {
    let replicas = log.replicas().await;
    match replicas.iter().find(|r| r.replica == new) {
        None => Some(VoterStep::AddLearner(new)),
        Some(r) if !r.voter => Some(VoterStep::Promote(new)),
        Some(_) if replicas.iter().any(|r| r.replica == old) => Some(VoterStep::Remove(old)),
        Some(_) => None,
    }
}
