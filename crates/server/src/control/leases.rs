//! Instance leases granted by the leader of group 0.

use std::time::Duration;

use poplarspan_objects::Name;
use tokio::time::Instant;

use crate::membership::LEASE;

/// Lease and last reported state of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) instance: Name,
    pub(crate) incarnation: u64,
    /// Highest generation in force that the instance has reported.
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    /// Upper bound of the expiry. Counted from the time of the grant; the instance counts from the
    /// earlier time at which it sent the heartbeat.
    pub(crate) expires_at: Instant,
    /// Whether the instance is being declared gone. It then receives no further grants.
    pub(crate) revoked: bool,
}

/// Lease table of the leader, sorted by instance.
#[derive(Default)]
pub(crate) struct Leases {
    entries: Vec<Lease>,
    /// Term and start time of the current leadership of this replica.
    leadership: Option<(u64, Instant)>,
}

impl Leases {
    /// Sets the term in which this replica leads, or `None`. Clears the table when the term
    /// changes, since another leader may have granted leases in between.
    pub(crate) fn set_leadership(&mut self, term: Option<u64>) {
        if self.leadership.map(|(term, _)| term) != term {
            self.entries.clear();
            self.leadership = term.map(|term| (term, Instant::now()));
        }
    }

    /// Whether leases granted by an earlier leader may still be valid.
    pub(crate) fn prior_leases_may_be_valid(&self) -> bool {
        self.leadership.is_none_or(|(_, since)| since.elapsed() < LEASE)
    }

    /// Grants a lease and returns its duration, or `None` if the instance is being declared gone.
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
                // A delayed older heartbeat must not lower the reported generation.
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

    /// Marks an instance as being declared gone, so that it receives no further grants.
    pub(crate) fn revoke(&mut self, instance: &str, incarnation: u64) {
        if let Ok(i) = self.position(instance)
            && self.entries[i].incarnation == incarnation
        {
            self.entries[i].revoked = true;
        }
    }

    /// Removes an instance that has been declared gone.
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

    /// Returns the registered instances without a valid lease from this leader. Empty while leases
    /// of an earlier leader may still be valid.
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

    /// Whether every instance with a valid lease has reported the generation or a newer one.
    pub(crate) fn in_force(&self, generation: u64) -> bool {
        let now = Instant::now();
        !self.prior_leases_may_be_valid()
            && self.entries.iter().all(|l| l.generation >= generation || l.expires_at <= now)
    }
}
