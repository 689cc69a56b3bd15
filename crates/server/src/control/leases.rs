//! Leases that the leader of group 0 has granted to instances.

use std::time::Duration;

use poplarspan_objects::Name;
use tokio::time::Instant;

use crate::membership::LEASE;

/// What the leader knows of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) instance: Name,
    pub(crate) incarnation: u64,
    /// Generation that the instance had in force when it last asked.
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    /// Upper bound of the lease: counted from when the grant was made, not from when it was asked.
    pub(crate) expires_at: Instant,
    /// The instance is being declared gone and gets no further grant.
    pub(crate) revoked: bool,
}

/// All leases, sorted by instance.
#[derive(Default)]
pub(crate) struct Leases {
    entries: Vec<Lease>,
    /// Term and start of this replica's present leadership.
    leadership: Option<(u64, Instant)>,
}

impl Leases {
    /// Notes the term in which this replica leads, if it does. The table of an earlier leadership is
    /// worthless: another replica may have led in between, and have granted leases.
    pub(crate) fn set_leadership(&mut self, term: Option<u64>) {
        if self.leadership.map(|(term, _)| term) != term {
            self.entries.clear();
            self.leadership = term.map(|term| (term, Instant::now()));
        }
    }

    /// Whether leases that a former leader granted may still run.
    pub(crate) fn prior_leases_may_be_valid(&self) -> bool {
        self.leadership.is_none_or(|(_, since)| since.elapsed() < LEASE)
    }

    /// Grants a lease, unless the instance is being declared gone.
    pub(crate) fn grant(
        &mut self,
        instance: &Name,
        incarnation: u64,
        generation: u64,
        draining: bool,
    ) -> Option<Duration> {
        let expires_at = Instant::now() + LEASE;
        let lease = Lease {
            instance: instance.clone(),
            incarnation,
            generation,
            draining,
            expires_at,
            revoked: false,
        };
        match self.position(instance) {
            Ok(i) => {
                let old = &mut self.entries[i];
                if old.revoked && old.incarnation == incarnation {
                    return None;
                }
                // A reordered older heartbeat must not lower the reported generation.
                let generation = generation.max(old.generation);
                *old = if old.incarnation == incarnation {
                    Lease { generation, ..lease }
                } else {
                    lease
                };
            }
            Err(i) => self.entries.insert(i, lease),
        }
        Some(LEASE)
    }

    /// Marks an instance as being declared gone.
    pub(crate) fn revoke(&mut self, instance: &str, incarnation: u64) {
        if let Ok(i) = self.position(instance)
            && self.entries[i].incarnation == incarnation
        {
            self.entries[i].revoked = true;
        }
    }

    /// Forgets an instance that has been declared gone.
    pub(crate) fn remove(&mut self, instance: &str, incarnation: u64) {
        if let Ok(i) = self.position(instance)
            && self.entries[i].incarnation == incarnation
        {
            self.entries.remove(i);
        }
    }

    pub(crate) fn get(&self, instance: &str) -> Option<&Lease> {
        self.position(instance).ok().map(|i| &self.entries[i])
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|l| (*l.instance).cmp(instance))
    }

    /// Registered instances whose lease has run out, or that never asked this leader for one.
    pub(crate) fn expired<'a>(&self, registered: &[(&'a str, u64)]) -> Vec<(&'a str, u64)> {
        if self.prior_leases_may_be_valid() {
            return Vec::new();
        }
        let now = Instant::now();
        let is_valid = |name: &str, incarnation: u64| {
            self.get(name).is_some_and(|l| l.incarnation == incarnation && l.expires_at > now)
        };
        registered.iter().filter(|(name, inc)| !is_valid(name, *inc)).copied().collect()
    }

    /// Whether every instance either has the generation or holds no lease.
    pub(crate) fn in_force(&self, generation: u64) -> bool {
        let now = Instant::now();
        !self.prior_leases_may_be_valid()
            && self.entries.iter().all(|l| l.generation >= generation || l.expires_at <= now)
    }
}
