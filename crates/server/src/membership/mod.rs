//! An instance's view of the fleet: the objects in force, the live instances, and its own lease.
//!
//! The heartbeat task is the only writer; all other tasks read consistent snapshots. After a
//! restart an instance has no lease and fetches the current state with its first heartbeats.

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

/// Duration of the lease that the leader of group 0 grants with each heartbeat.
pub(crate) const LEASE: Duration = Duration::from_secs(2);
/// Interval between heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A live instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) incarnation: u64,
    pub(crate) zone: Name,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) draining: bool,
}

/// The live instances in one epoch.
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

/// A consistent copy of the membership state.
#[derive(Clone)]
pub(crate) struct Snapshot {
    pub(crate) objects: Arc<ObjectSet>,
    pub(crate) generation: u64,
    pub(crate) view: Arc<View>,
    lease_expires_at: Option<Instant>,
}

impl Snapshot {
    /// Whether the lease is valid now. Calls that need a key require a valid lease.
    pub(crate) fn lease_valid(&self) -> bool {
        self.lease_expires_at.is_some_and(|expires_at| Instant::now() < expires_at)
    }
}

/// Shared membership state.
pub(crate) struct Membership {
    snapshot: ArcSwap<Snapshot>,
    /// Incremented when the objects or the view change.
    changes: watch::Sender<u64>,
}

impl Membership {
    /// Creates the state from the objects saved by an earlier run, if any, without a lease.
    pub(crate) fn new(generation: u64, objects: ObjectSet) -> Self {
        let snapshot = Snapshot {
            objects: Arc::new(objects),
            generation,
            view: Arc::new(View::default()),
            lease_expires_at: None,
        };
        Self { snapshot: ArcSwap::from_pointee(snapshot), changes: watch::Sender::new(0) }
    }

    /// Returns a receiver that is notified of each change of the objects or the view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn load(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Drops the lease, so that no further call with a key starts.
    pub(crate) fn drop_lease(&self) {
        let mut snapshot = Snapshot::clone(&self.snapshot.load());
        snapshot.lease_expires_at = None;
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Returns the snapshot that results from applying a grant to the current one. The lease runs
    /// from `sent`, when the heartbeat was sent.
    ///
    /// Fails if the grant is malformed or its generation is older than the current one.
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
                "the leader granted generation {}, older than generation {} in force",
                grant.generation,
                snapshot.generation
            );
        }
        if grant.generation > snapshot.generation {
            let changes =
                grant.changes.iter().map(decode_change).collect::<anyhow::Result<Vec<_>>>()?;
            let base = if grant.full { ObjectSet::default() } else { (*snapshot.objects).clone() };
            // The changes of several generations are merged. An object that was added and removed
            // in between appears as a removal of an object that does not exist here.
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

    /// Installs a snapshot and notifies subscribers if the objects or the view have changed.
    ///
    /// Only the heartbeat task applies grants, so no lock is needed.
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
                address: m.peer_address.parse().context("invalid peer address of a member")?,
                name: m.instance.into(),
                incarnation: m.incarnation,
                zone: m.zone.into(),
                draining: m.draining,
            })
        })
        .collect::<anyhow::Result<Vec<_>>>()?;
    Ok(View { epoch: view.epoch, members, program_groups: view.program_groups })
}

/// Decodes a change received from a peer.
pub(crate) fn decode_change(change: &peer::Change) -> anyhow::Result<Change> {
    let kind = change.kind.parse().map_err(|_| anyhow::anyhow!("unknown kind {}", change.kind))?;
    let name: Name = change.name.as_str().into();
    Ok(match &change.body {
        Some(body) => Change::Upsert(poplarspan_objects::Record { kind, name, body: body.clone() }),
        None => Change::Remove { kind, name },
    })
}

/// Encodes a change for a peer.
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
