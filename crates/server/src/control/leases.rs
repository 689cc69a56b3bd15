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
    pub(crate) until: Instant,
    /// The instance is being declared gone and gets no further grant.
    pub(crate) ending: bool,
}

/// All leases, sorted by instance.
#[derive(Default)]
pub(crate) struct Leases {
    list: Vec<Lease>,
    /// Term and start of this replica's present leadership.
    leadership: Option<(u64, Instant)>,
}

impl Leases {
    /// Notes the term in which this replica leads, if it does. The table of an earlier leadership is
    /// worthless: another replica may have led in between, and have granted leases.
    pub(crate) fn set_leadership(&mut self, term: Option<u64>) {
        if self.leadership.map(|(term, _)| term) != term {
            self.list.clear();
            self.leadership = term.map(|term| (term, Instant::now()));
        }
    }

    /// Whether leases that a former leader granted may still run.
    pub(crate) fn former_leases_may_run(&self) -> bool {
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
        let until = Instant::now() + LEASE;
        let lease = Lease {
            instance: instance.clone(),
            incarnation,
            generation,
            draining,
            until,
            ending: false,
        };
        match self.position(instance) {
            Ok(i) => {
                let old = &mut self.list[i];
                if old.ending && old.incarnation == incarnation {
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
            Err(i) => self.list.insert(i, lease),
        }
        Some(LEASE)
    }

    /// Marks an instance as being declared gone.
    pub(crate) fn end(&mut self, instance: &str, incarnation: u64) {
        if let Ok(i) = self.position(instance)
            && self.list[i].incarnation == incarnation
        {
            self.list[i].ending = true;
        }
    }

    /// Forgets an instance that has been declared gone.
    pub(crate) fn remove(&mut self, instance: &str, incarnation: u64) {
        if let Ok(i) = self.position(instance)
            && self.list[i].incarnation == incarnation
        {
            self.list.remove(i);
        }
    }

    pub(crate) fn get(&self, instance: &str) -> Option<&Lease> {
        self.position(instance).ok().map(|i| &self.list[i])
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|l| (*l.instance).cmp(instance))
    }

    /// Registered instances whose lease has run out, or that never asked this leader for one.
    pub(crate) fn expired<'a>(&self, registered: &[(&'a str, u64)]) -> Vec<(&'a str, u64)> {
        if self.former_leases_may_run() {
            return Vec::new();
        }
        let now = Instant::now();
        let runs = |name: &str, incarnation: u64| {
            self.get(name).is_some_and(|l| l.incarnation == incarnation && l.until > now)
        };
        registered.iter().filter(|(name, inc)| !runs(name, *inc)).copied().collect()
    }

    /// Whether every instance either has the generation or holds no lease.
    pub(crate) fn in_force(&self, generation: u64) -> bool {
        let now = Instant::now();
        !self.former_leases_may_run()
            && self.list.iter().all(|l| l.generation >= generation || l.until <= now)
    }
}
