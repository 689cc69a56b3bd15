//! Control plane: leases, publications, the program ledger and release orders.
//!
//! Objects, registered instances and programs are stored in the replicated log. Leases are kept in
//! the memory of the leader of group 0. A new leader does not rely on its lease table until every
//! lease that an earlier leader may have granted has expired.

mod group;
mod leases;
mod log_group;
mod orders;
mod publish;
mod replicas;
mod service;
mod start;
mod status;
mod sweep;
mod voters;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use poplarspan_ledger::{Catalog, Ledger};
use poplarspan_objects::{ObjectSet, Record};
use poplarspan_proto::{
    ledger::{CatalogAnswer, CatalogCommand, catalog_answer, catalog_command},
    peer::{self, FailureCode},
};
use prost::Message;

use crate::membership::decode_change;
pub(crate) use group::{Group, ProposeError};
use leases::Leases;
pub(crate) use log_group::{LogGroup, SharedState};
pub(crate) use orders::ReleaseOrders;
pub(crate) use replicas::ReplicaAddresses;
pub(crate) use service::Service;
pub use start::init_data_folder;
pub(crate) use start::{ControlReplica, PROGRAM_GROUPS, start};
pub(crate) use sweep::Sweeper;

/// A program group: its log and the state machine that the log drives.
pub(crate) struct ProgramGroup {
    pub(crate) log: Arc<dyn Group>,
    pub(crate) state: Arc<Mutex<Ledger>>,
}

/// A control replica.
pub(crate) struct Control {
    pub(crate) catalog_log: Arc<dyn Group>,
    pub(crate) catalog: Arc<Mutex<Catalog>>,
    /// Program groups; group `g` is at index `g - 1`.
    pub(crate) programs: Vec<ProgramGroup>,
    pub(crate) leases: Mutex<Leases>,
    pub(crate) replicas: Arc<ReplicaAddresses>,
    /// Cache of the validated object set and its generation.
    checked: Mutex<Option<(u64, Arc<ObjectSet>)>>,
}

impl Control {
    pub(crate) fn new(
        catalog_log: Arc<dyn Group>,
        catalog: Arc<Mutex<Catalog>>,
        programs: Vec<ProgramGroup>,
        replicas: Arc<ReplicaAddresses>,
    ) -> Self {
        Self {
            catalog_log,
            catalog,
            programs,
            leases: Mutex::default(),
            replicas,
            checked: Mutex::default(),
        }
    }

    pub(crate) fn catalog(&self) -> MutexGuard<'_, Catalog> {
        self.catalog.lock().expect("no panic while locked")
    }

    pub(crate) fn leases(&self) -> MutexGuard<'_, Leases> {
        self.leases.lock().expect("no panic while locked")
    }

    /// Whether this replica is the leader of group 0 with a valid leader lease. Clears the table of
    /// instance leases if the leadership has changed.
    pub(crate) fn holds_leadership(&self) -> bool {
        let leadership = self.catalog_log.leadership();
        let holds_leadership = leadership.is_leader && leadership.lease_valid;
        self.leases().set_leadership(holds_leadership.then_some(leadership.term));
        holds_leadership
    }

    /// Waits until this replica, as the leader of group 0, has applied everything that was
    /// committed before the call. Fails if it is not the leader.
    pub(crate) async fn leader_read_barrier(&self) -> Result<(), peer::Failure> {
        if !self.holds_leadership() {
            return Err(self.not_leader(&*self.catalog_log));
        }
        let barrier = self.catalog_log.read_barrier().await;
        barrier.map_err(|e| self.propose_failure(&*self.catalog_log, e))
    }

    /// Builds the failure for a request that only the leader of `log` can execute.
    pub(crate) fn not_leader(&self, log: &dyn Group) -> peer::Failure {
        let address = log.leadership().leader.and_then(|replica| self.replicas.address(replica));
        peer::Failure {
            code: FailureCode::NotLeader.into(),
            message: "this replica does not lead the group".to_owned(),
            leader_address: address.map(|a| a.to_string()).unwrap_or_default(),
        }
    }

    /// Commits a command in group 0.
    pub(crate) async fn commit(
        &self,
        command: catalog_command::Command,
    ) -> Result<catalog_answer::Answer, peer::Failure> {
        let command = CatalogCommand { now_ms: now_ms(), command: Some(command) };
        let answer = self.catalog_log.propose(Bytes::from(command.encode_to_vec())).await;
        let answer = answer.map_err(|e| self.propose_failure(&*self.catalog_log, e))?;
        CatalogAnswer::decode(answer)
            .ok()
            .and_then(|a| a.answer)
            .ok_or_else(|| failed(FailureCode::Invalid, "malformed answer of the state machine"))
    }

    /// Converts a failed proposal to the failure that is sent to the peer.
    pub(crate) fn propose_failure(&self, log: &dyn Group, error: ProposeError) -> peer::Failure {
        match error {
            ProposeError::NotLeader => self.not_leader(log),
            ProposeError::Unknown(cause) => failed(FailureCode::UnknownOutcome, &cause),
            ProposeError::Refused(cause) => failed(FailureCode::Unavailable, &cause),
            ProposeError::Stopped => failed(FailureCode::Unavailable, "the replica is stopping"),
        }
    }

    /// Returns the current generation and its objects.
    pub(crate) fn current_objects(&self) -> Result<(u64, Arc<ObjectSet>), peer::Failure> {
        let (generation, objects) = {
            let catalog = self.catalog();
            let generation = catalog.generation();
            if let Some((g, set)) = &*self.checked.lock().expect("no panic while locked")
                && *g == generation
            {
                return Ok((generation, set.clone()));
            }
            (generation, catalog.objects())
        };
        let records = objects
            .iter()
            .map(|o| decode_record(&o.kind, &o.name, &o.body))
            .collect::<anyhow::Result<Vec<_>>>()
            .map_err(|e| failed(FailureCode::Invalid, &e.to_string()))?;
        let set = ObjectSet::from_records(&records)
            .map_err(|e| failed(FailureCode::Invalid, &format!("stored objects: {e}")))?;
        let set = Arc::new(set);
        *self.checked.lock().expect("no panic while locked") = Some((generation, set.clone()));
        Ok((generation, set))
    }

    /// Verifies the key of an operator and returns the operator's name.
    ///
    /// While no operator is published, any key is accepted and the name is `bootstrap`.
    pub(crate) fn operator(&self, key: &str) -> Result<String, peer::Failure> {
        let (_, objects) = self.current_objects()?;
        if objects.operators().is_empty() {
            return Ok("bootstrap".to_owned());
        }
        let digest = poplarspan_objects::Digest::of_secret(key);
        objects
            .operators()
            .iter()
            .find(|o| o.digest == digest)
            .map(|o| o.name.to_string())
            .ok_or_else(|| failed(FailureCode::Unauthorized, "a valid operator key is required"))
    }
}

fn decode_record(kind: &str, name: &str, body: &Bytes) -> anyhow::Result<Record> {
    let change =
        peer::Change { kind: kind.to_owned(), name: name.to_owned(), body: Some(body.clone()) };
    match decode_change(&change)? {
        poplarspan_objects::Change::Upsert(record) => Ok(record),
        poplarspan_objects::Change::Remove { .. } => anyhow::bail!("not an object"),
    }
}

/// Builds a failure without a leader address.
pub(crate) fn failed(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}

/// Returns the wall-clock time for commands, in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
