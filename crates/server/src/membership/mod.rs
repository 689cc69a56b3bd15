//! What an instance knows of the fleet: the objects in force, the live instances, and the lease
//! under which it may act on them.
//!
//! Owned by the heartbeat task of this instance; every other task reads a consistent copy. When the
//! instance restarts it starts without a lease and asks for everything again.

mod discovery;
mod heartbeat;
mod saved;

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use arc_swap::ArcSwap;
use poplarspan_objects::{Change, Name, ObjectSet};
use poplarspan_proto::peer;
use tokio::{sync::watch, time::Instant};

pub(crate) use discovery::{Directory, discover};
pub(crate) use heartbeat::{Heartbeats, Identity, new_incarnation};
pub(crate) use saved::SavedObjects;

/// Lease that the leader of group 0 grants with each heartbeat.
pub(crate) const LEASE: Duration = Duration::from_secs(2);
/// Time between heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// One live instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) incarnation: u64,
    pub(crate) zone: Name,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) draining: bool,
}

/// The live instances at one epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) epoch: u64,
    /// Sorted by name.
    pub(crate) members: Vec<Member>,
    pub(crate) program_groups: u32,
}

impl View {
    pub(crate) fn member(&self, name: &str) -> Option<&Member> {
        let i = self.members.binary_search_by(|m| (*m.name).cmp(name)).ok()?;
        Some(&self.members[i])
    }
}

/// A consistent copy of what the instance knows.
#[derive(Clone)]
pub(crate) struct Known {
    pub(crate) objects: Arc<ObjectSet>,
    pub(crate) generation: u64,
    pub(crate) view: Arc<View>,
    lease_until: Option<Instant>,
}

impl Known {
    /// Whether calls that need a key may be served now.
    pub(crate) fn lease_valid(&self) -> bool {
        self.lease_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Shared access to what the instance knows.
pub(crate) struct Membership {
    known: ArcSwap<Known>,
    /// Counts changes of objects and view.
    changes: watch::Sender<u64>,
}

impl Membership {
    /// Starts from the objects that were saved by an earlier run, if any, and without a lease.
    pub(crate) fn new(generation: u64, objects: ObjectSet) -> Self {
        let known = Known {
            objects: Arc::new(objects),
            generation,
            view: Arc::new(View::default()),
            lease_until: None,
        };
        Self { known: ArcSwap::from_pointee(known), changes: watch::Sender::new(0) }
    }

    /// Tells of each change of the objects or the view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn load(&self) -> Arc<Known> {
        self.known.load_full()
    }

    /// Gives the lease up, so that no further keyed call starts.
    pub(crate) fn release(&self) {
        let mut known = Known::clone(&self.known.load());
        known.lease_until = None;
        self.known.store(Arc::new(known));
    }

    /// Reads a grant that answers the heartbeat sent at `sent`: what is known once it is accepted.
    pub(crate) fn read(&self, sent: Instant, grant: peer::LeaseGrant) -> anyhow::Result<Known> {
        let mut known = Known::clone(&self.known.load());
        if grant.generation < known.generation {
            metrics::counter!("poplarspan_invariant_violations_total", "invariant" => "generation")
                .increment(1);
            anyhow::bail!(
                "the leader offers generation {} but {} is in force",
                grant.generation,
                known.generation
            );
        }
        if grant.generation > known.generation {
            let changes =
                grant.changes.iter().map(read_change).collect::<anyhow::Result<Vec<_>>>()?;
            let base = if grant.full { ObjectSet::default() } else { (*known.objects).clone() };
            // Changes of several generations are merged: an object that was added and removed in
            // between appears as removed, and was never here.
            let changes: Vec<_> = changes.into_iter().filter(|c| applies_to(c, &base)).collect();
            let objects = base.apply(&changes).map_err(|e| anyhow::anyhow!("{e}"))?;
            known.objects = Arc::new(objects);
            known.generation = grant.generation;
        }
        if let Some(view) = grant.view
            && view.epoch >= known.view.epoch
        {
            known.view = Arc::new(read_view(view)?);
        }
        let until = sent + Duration::from_millis(grant.duration_ms);
        known.lease_until = Some(known.lease_until.map_or(until, |old| old.max(until)));
        Ok(known)
    }

    /// Takes over what was read from a grant.
    ///
    /// Only the heartbeat task reads and accepts grants, so that no lock is needed.
    pub(crate) fn accept(&self, known: Known) {
        let old = self.known.load();
        let changed = (old.generation, old.view.epoch) != (known.generation, known.view.epoch);
        self.known.store(Arc::new(known));
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }
}

fn applies_to(change: &Change, base: &ObjectSet) -> bool {
    match change {
        Change::Upsert(_) => true,
        Change::Remove { kind, name } => base.record(*kind, name).is_some(),
    }
}

fn read_view(view: peer::View) -> anyhow::Result<View> {
    let members = view
        .members
        .into_iter()
        .map(|m| {
            Ok(Member {
                address: m.peer_address.parse().context("peer address of a member")?,
                name: m.instance.into(),
                incarnation: m.incarnation,
                zone: m.zone.into(),
                draining: m.draining,
            })
        })
        .collect::<anyhow::Result<Vec<_>>>()?;
    Ok(View { epoch: view.epoch, members, program_groups: view.program_groups })
}

/// Converts a change received from a peer.
pub(crate) fn read_change(change: &peer::Change) -> anyhow::Result<Change> {
    let kind = change.kind.parse().map_err(|_| anyhow::anyhow!("unknown kind {}", change.kind))?;
    let name: Name = change.name.as_str().into();
    Ok(match &change.body {
        Some(body) => Change::Upsert(poplarspan_objects::Record { kind, name, body: body.clone() }),
        None => Change::Remove { kind, name },
    })
}

/// Converts a change for a peer.
pub(crate) fn write_change(change: &Change) -> peer::Change {
    match change {
        Change::Upsert(record) => peer::Change {
            kind: record.kind.to_string(),
            name: record.name.to_string(),
            body: Some(record.body.clone()),
        },
        Change::Remove { kind, name } => {
            peer::Change { kind: kind.to_string(), name: name.to_string(), body: None }
        }
    }
}
