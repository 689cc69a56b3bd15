//! Group 0: the object set, the results of publications, and the registered instances.
//!
//! The state follows from the replicated log of group 0. When its leader fails, another voter takes
//! over with the same state, so no acknowledged publication is lost.

mod instances;
mod publish;
mod snapshot;

use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use poplarspan_proto::ledger::{
    CatalogAnswer, CatalogCommand, Groups, Invalid, ObjectChange, RegisterInstance,
    catalog_answer::Answer, catalog_command::Command,
};
use prost::Message;

use self::{
    instances::Instances,
    publish::{PublicationResults, RecentPublications},
};
use crate::error::RestoreError;

pub use self::instances::InstanceView;

/// One object of the set, in its encoded form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Kind of the object, such as `team`.
    pub kind: Arc<str>,
    /// Name, unique within the kind.
    pub name: Arc<str>,
    /// Canonical encoding. The catalog does not interpret it.
    pub body: Bytes,
}

/// Update that brings an instance to the current generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// The changes since the instance's generation, at most one per object.
    Deltas {
        /// The current generation.
        generation: u64,
        /// Sorted by kind and name.
        changes: Vec<ObjectChange>,
    },
    /// The whole set, because the changes since the instance's generation are no longer kept or are
    /// no smaller than the set.
    FullSet {
        /// The current generation.
        generation: u64,
        /// Sorted by kind and name.
        objects: Arc<[Object]>,
    },
}

type ObjectKey = (Arc<str>, Arc<str>);

/// The state machine of group 0.
#[derive(Debug, Default)]
pub struct Catalog {
    index: u64,
    now_ms: u64,
    generation: u64,
    objects: BTreeMap<ObjectKey, Bytes>,
    /// The current set as a list, built on first use and cleared by each publication.
    full_set: OnceLock<Arc<[Object]>>,
    recent: RecentPublications,
    results: PublicationResults,
    instances: Instances,
    groups: u32,
}

impl Catalog {
    /// Creates an empty catalog at generation 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the log entry at `index`, an encoded [`CatalogCommand`], and returns an encoded
    /// [`CatalogAnswer`]. A malformed command is answered as invalid and changes only the index.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        self.index = index;
        let answer = match CatalogCommand::decode(data) {
            Ok(CatalogCommand { now_ms, command: Some(command) }) => match check(&command) {
                Ok(()) => self.execute(now_ms, command),
                Err(message) => invalid(message),
            },
            Ok(_) => invalid("command is missing or unknown"),
            Err(_) => invalid("command is not decodable"),
        };
        CatalogAnswer { answer: Some(answer) }.encode_to_vec().into()
    }

    fn execute(&mut self, now_ms: u64, command: Command) -> Answer {
        self.now_ms = self.now_ms.max(now_ms);
        match command {
            Command::Publish(publish) => self.publish(publish),
            Command::RegisterInstance(register) => self.instances.register(register),
            Command::InstanceGone(gone) => self.instances.remove(gone, self.now_ms),
            Command::FixGroups(fix) => {
                if self.groups == 0 {
                    self.groups = fix.groups;
                }
                Answer::Groups(Groups { groups: self.groups })
            }
        }
    }

    /// Encodes the whole state. [`Self::restore`] creates an equal state from it.
    pub fn snapshot(&self) -> Bytes {
        self.to_message().encode_to_vec().into()
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the state, if `snapshot` is not a valid snapshot.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        *self = Self::from_message(Message::decode(snapshot)?)?;
        Ok(())
    }

    /// Log index of the last entry applied; 0 before the first.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The current generation; 0 before the first publication.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of program groups; 0 until the first `FixGroups` command sets it for good.
    pub fn group_count(&self) -> u32 {
        self.groups
    }

    /// Encoded body of the object with this kind and name.
    pub fn object(&self, kind: &str, name: &str) -> Option<&Bytes> {
        self.objects.get(&(kind.into(), name.into()))
    }

    /// The current set, sorted by kind and name.
    pub fn objects(&self) -> Arc<[Object]> {
        let list = || {
            let object = |((kind, name), body): (&ObjectKey, &Bytes)| Object {
                kind: kind.clone(),
                name: name.clone(),
                body: body.clone(),
            };
            self.objects.iter().map(object).collect()
        };
        self.full_set.get_or_init(list).clone()
    }

    /// Returns the update from `generation` to the current one: deltas, or the full set if the
    /// deltas are not kept, `generation` is unknown, or the full set is no larger.
    pub fn changes_since(&self, generation: u64) -> Changes {
        match self.recent.since(generation, self.generation, self.objects.len()) {
            Some(changes) => Changes::Deltas { generation: self.generation, changes },
            None => Changes::FullSet { generation: self.generation, objects: self.objects() },
        }
    }

    /// Names of the instances that were declared gone, each with the highest incarnation that is
    /// gone. Entries older than 24 hours are removed when the next instance is declared gone.
    pub fn gone_instances(&self) -> Vec<(String, u64)> {
        let gone = self.instances.gone.values().filter(|g| g.gone);
        gone.map(|g| (g.instance.clone(), g.incarnation)).collect()
    }

    /// Epoch of the instance view; it rises with each change of the registered instances.
    pub fn epoch(&self) -> u64 {
        self.instances.epoch
    }

    /// The registration of `name`, if it is registered and was not declared gone.
    pub fn instance(&self, name: &str) -> Option<&RegisterInstance> {
        self.instances.live.get(name)
    }

    /// The registered instances and the epoch of that list.
    pub fn view(&self) -> InstanceView {
        self.instances.view()
    }
}

impl PartialEq for Catalog {
    fn eq(&self, other: &Self) -> bool {
        self.to_message() == other.to_message()
    }
}

/// Checks the sizes of names and the values that need no state.
fn check(command: &Command) -> Result<(), &'static str> {
    use crate::names::is_name;
    let ok = match command {
        Command::Publish(publish) => {
            let change_ok = |change: &ObjectChange| is_name(&change.kind) && is_name(&change.name);
            is_name(&publish.request_id)
                && is_name(&publish.operator)
                && publish.changes.iter().all(change_ok)
        }
        Command::RegisterInstance(register) => is_name(&register.instance),
        Command::InstanceGone(gone) => is_name(&gone.instance),
        Command::FixGroups(fix) => fix.groups > 0,
    };
    if ok { Ok(()) } else { Err("a name is empty or too long, or a count is 0") }
}

fn invalid(message: &str) -> Answer {
    Answer::Invalid(Invalid { message: message.into() })
}
