//! What the control group replicates: the publication, zones that are out, and the stores' groups.
//!
//! Owner: the replicated log of the control replicas. Of two publications the one with the higher
//! version takes effect, whatever the order in which they arrive; one that is not higher changes
//! nothing.

use bytes::Bytes;
use poplarspan_agreement::StateMachine;
use poplarspan_policy::Name;
use poplarspan_proto::relay::{self as pb, board_command::Body};
use prost::Message;

/// State machine of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Board {
    version: u64,
    body: Bytes,
    // Sorted.
    zones_out: Vec<Name>,
    stores: pb::FormStore,
    // Sorted.
    retiring: Vec<Name>,
}

impl Board {
    /// Version in force; 0 before the first publication.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Publication in force, as the operator sent it.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Zones that operators took out, sorted.
    pub fn zones_out(&self) -> &[Name] {
        &self.zones_out
    }

    /// The stores in the order in which groups take their first voters; empty until it is decided.
    pub fn store_ring(&self) -> &[u64] {
        &self.stores.ring
    }

    /// Groups into which programs are divided; 0 until it is decided.
    pub fn store_groups(&self) -> u32 {
        self.stores.groups
    }

    /// Instances that are to be emptied, sorted.
    pub fn retiring(&self) -> &[Name] {
        &self.retiring
    }

    fn execute(&mut self, body: Body) {
        match body {
            Body::Publish(publish) if publish.version > self.version => {
                self.version = publish.version;
                self.body = publish.body;
            }
            Body::Publish(_) => {}
            Body::Zone(zone) => set(&mut self.zones_out, zone.zone.into(), zone.out),
            Body::Form(form) if self.stores.ring.is_empty() => self.stores = form,
            Body::Form(_) => {}
            Body::Retire(retire) => set(&mut self.retiring, retire.instance.into(), true),
        }
    }
}

/// Makes a sorted list contain a name, or not.
fn set(list: &mut Vec<Name>, name: Name, present: bool) {
    match (list.binary_search(&name), present) {
        (Err(at), true) => list.insert(at, name),
        (Ok(at), false) => {
            list.remove(at);
        }
        _ => {}
    }
}

/// Encodes a command.
pub(crate) fn command(body: Body) -> Bytes {
    pb::BoardCommand { body: Some(body) }.encode_to_vec().into()
}

impl StateMachine for Board {
    fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        match pb::BoardCommand::decode(data) {
            Ok(pb::BoardCommand { body: Some(body) }) => self.execute(body),
            Ok(_) => log::error!(index; "command of an unknown kind is ignored"),
            Err(e) => {
                let error = e.to_string();
                log::error!(index, error = error.as_str(); "malformed command is ignored");
            }
        }
        pb::BoardResult { version: self.version }.encode_to_vec().into()
    }

    fn snapshot(&self) -> Bytes {
        let names = |list: &[Name]| list.iter().map(|n| n.to_string()).collect();
        pb::BoardSnapshot {
            version: self.version,
            body: self.body.clone(),
            zones_out: names(&self.zones_out),
            stores: Some(self.stores.clone()),
            retiring: names(&self.retiring),
        }
        .encode_to_vec()
        .into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        let pb::BoardSnapshot { version, body, zones_out, stores, retiring } =
            pb::BoardSnapshot::decode(snapshot)?;
        let names = |list: Vec<String>| list.into_iter().map(Name::from).collect();
        let (zones_out, retiring) = (names(zones_out), names(retiring));
        *self = Self { version, body, zones_out, stores: stores.unwrap_or_default(), retiring };
        Ok(())
    }
}
