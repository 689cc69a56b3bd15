//! What an instance knows of the fleet: the objects in force, the live instances, and the lease
//! under which it may act on them.
//!
//! Owned by the heartbeat task of this instance; every other task reads a consistent copy. When the
//! instance restarts it starts without a lease and asks for everything again.

mod discovery;
mod heartbeat;
mod object_file;

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use arc_swap::ArcSwap;
use poplarspan_objects::{Change, Name, ObjectSet};
use poplarspan_proto::peer;
use tokio::{sync::watch, time::Instant};

pub(crate) use discovery::{Directory, discover};
pub(crate) use heartbeat::{HeartbeatTask, Identity, new_incarnation};
pub(crate) use object_file::ObjectFile;

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
pub(crate) struct Snapshot {
    pub(crate) objects: Arc<ObjectSet>,
    pub(crate) generation: u64,
    pub(crate) view: Arc<View>,
    lease_expires_at: Option<Instant>,
}

impl Snapshot {
    /// Whether calls that need a key may be served now.
    pub(crate) fn lease_valid(&self) -> bool {
        self.lease_expires_at.is_some_and(|expires_at| Instant::now() < expires_at)
    }
}

/// Shared access to what the instance knows.
pub(crate) struct Membership {
    snapshot: ArcSwap<Snapshot>,
    /// Counts changes of objects and view.
    changes: watch::Sender<u64>,
}

impl Membership {
    /// Starts from the objects that were saved by an earlier run, if any, and without a lease.
    pub(crate) fn new(generation: u64, objects: ObjectSet) -> Self {
        let snapshot = Snapshot {
            objects: Arc::new(objects),
            generation,
            view: Arc::new(View::default()),
            lease_expires_at: None,
        };
        Self { snapshot: ArcSwap::from_pointee(snapshot), changes: watch::Sender::new(0) }
    }

    /// Tells of each change of the objects or the view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn load(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Gives the lease up, so that no further keyed call starts.
    pub(crate) fn drop_lease(&self) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        snapshot.lease_expires_at = None;
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Reads a grant that answers the heartbeat sent at `sent`: what is known once it is accepted.
    pub(crate) fn with_grant(
        &self,
        sent: Instant,
        grant: peer::LeaseGrant,
    ) -> anyhow::Result<Snapshot> {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        if grant.generation < snapshot.generation {
            metrics::counter!("poplarspan_invariant_violations_total", "invariant" => "generation")
                .increment(1);
            anyhow::bail!(
                "the leader offers generation {} but {} is in force",
                grant.generation,
                snapshot.generation
            );
        }
        if grant.generation > snapshot.generation {
            let changes =
                grant.changes.iter().map(decode_change).collect::<anyhow::Result<Vec<_>>>()?;
            let base = if grant.full { ObjectSet::default() } else { (*snapshot.objects).clone() };
            // Changes of several generations are merged: an object that was added and removed in
            // between appears as removed, and was never here.
            let changes: Vec<_> = changes.into_iter().filter(|c| applies_to(c, &base)).collect();
            let objects = base.apply(&changes).map_err(|e| anyhow::anyhow!("{e}"))?;
            snapshot.objects = Arc::new(objects);
            snapshot.generation = grant.generation;
        }
        if let Some(view) = grant.view
            && view.epoch >= snapshot.view.epoch
        {
            snapshot.view = Arc::new(decode_view(view)?);
        }
        let expires_at = sent + Duration::from_millis(grant.duration_ms);
        snapshot.lease_expires_at =
            Some(snapshot.lease_expires_at.map_or(expires_at, |old| old.max(expires_at)));
        Ok(snapshot)
    }

    /// Takes over what was read from a grant.
    ///
    /// Only the heartbeat task reads and accepts grants, so that no lock is needed.
    pub(crate) fn install(&self, snapshot: Snapshot) {
        let old = self.snapshot.load();
        let changed =
            (old.generation, old.view.epoch) != (snapshot.generation, snapshot.view.epoch);
        self.snapshot.store(Arc::new(snapshot));
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

fn decode_view(view: peer::View) -> anyhow::Result<View> {
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
pub(crate) fn decode_change(change: &peer::Change) -> anyhow::Result<Change> {
    let kind = change.kind.parse().map_err(|_| anyhow::anyhow!("unknown kind {}", change.kind))?;
    let name: Name = change.name.as_str().into();
    Ok(match &change.body {
        Some(body) => Change::Upsert(poplarspan_objects::Record { kind, name, body: body.clone() }),
        None => Change::Remove { kind, name },
    })
}

/// Converts a change for a peer.
pub(crate) fn encode_change(change: &Change) -> peer::Change {
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
