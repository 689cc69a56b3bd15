//! The duties of control replicas: leases, publications, the ledger of programs, release orders.
//!
//! The objects, the registered instances and the programs belong to the replicated log. The leases
//! belong to the leader of group 0, in memory: a new leader waits until every lease that a former
//! one may have granted has run out before it relies on its own table.

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

/// One program group: its log and the state that the log builds.
pub(crate) struct ProgramGroup {
    pub(crate) log: Arc<dyn Group>,
    pub(crate) state: Arc<Mutex<Ledger>>,
}

/// A control replica.
pub(crate) struct Control {
    pub(crate) catalog_log: Arc<dyn Group>,
    pub(crate) catalog: Arc<Mutex<Catalog>>,
    /// Program group `g` stands at index `g - 1`.
    pub(crate) programs: Vec<ProgramGroup>,
    pub(crate) leases: Mutex<Leases>,
    pub(crate) replicas: Arc<ReplicaAddresses>,
    /// Checked form of the catalog's current set.
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

    /// Whether this replica may act for group 0 now. Starts the table of leases anew when it leads
    /// in a new term.
    pub(crate) fn holds_leadership(&self) -> bool {
        let leadership = self.catalog_log.leadership();
        let holds_leadership = leadership.is_leader && leadership.lease_valid;
        self.leases().set_leadership(holds_leadership.then_some(leadership.term));
        holds_leadership
    }

    /// Returns once this replica, as the leader of group 0, has applied everything that was
    /// committed before the call.
    pub(crate) async fn leader_read_barrier(&self) -> Result<(), peer::Failure> {
        if !self.holds_leadership() {
            return Err(self.not_leader(&*self.catalog_log));
        }
        let barrier = self.catalog_log.read_barrier().await;
        barrier.map_err(|e| self.propose_failure(&*self.catalog_log, e))
    }

    /// The answer to a call that only the leader of `log` can carry out.
    pub(crate) fn not_leader(&self, log: &dyn Group) -> peer::Failure {
        let address = log.leadership().leader.and_then(|replica| self.replicas.address(replica));
        peer::Failure {
            code: FailureCode::NotLeader.into(),
            message: "this replica does not lead the group".to_owned(),
            leader_address: address.map(|a| a.to_string()).unwrap_or_default(),
        }
    }

    /// Commits a command of group 0.
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

    /// Tells a peer why a proposal has no answer.
    pub(crate) fn propose_failure(&self, log: &dyn Group, error: ProposeError) -> peer::Failure {
        match error {
            ProposeError::NotLeader => self.not_leader(log),
            ProposeError::Unknown(cause) => failed(FailureCode::UnknownOutcome, &cause),
            ProposeError::Refused(cause) => failed(FailureCode::Unavailable, &cause),
            ProposeError::Stopped => failed(FailureCode::Unavailable, "the replica is stopping"),
        }
    }

    /// The current generation and its objects.
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

    /// Checks the key of an operator and returns its name.
    ///
    /// While no operator is published, any holder of an operator's certificate may act.
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

/// Builds a failure without a leader's address.
pub(crate) fn failed(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}

/// Wall-clock time that is stamped on commands, in milliseconds.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
