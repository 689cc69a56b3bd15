//! Registered instances. An incarnation that was declared gone cannot register again.

use std::collections::BTreeMap;

use poplarspan_proto::ledger::{
    GoneInstance, InstanceGone, InstanceRemoved, RegisterInstance, Registered, StaleIncarnation,
    catalog_answer::Answer,
};

/// How long a gone incarnation is remembered. No message from it can still be in flight after that
/// time.
const GONE_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// The registered instances at one epoch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceView {
    /// Version of the list; rises with each change.
    pub epoch: u64,
    /// Sorted by name.
    pub instances: Vec<RegisterInstance>,
}

#[derive(Debug, Default)]
pub(super) struct Instances {
    pub(super) epoch: u64,
    /// Registered instances by name.
    pub(super) live: BTreeMap<String, RegisterInstance>,
    /// Highest incarnation that was declared gone, by instance name.
    pub(super) gone: BTreeMap<String, GoneInstance>,
}

impl Instances {
    pub(super) fn register(&mut self, register: RegisterInstance) -> Answer {
        let lowest_after_gone =
            self.gone.get(&register.instance).map(|g| g.incarnation.saturating_add(1));
        let live = self.live.get(&register.instance);
        let lowest = lowest_after_gone.max(live.map(|l| l.incarnation)).unwrap_or(0);
        if register.incarnation < lowest {
            return Answer::StaleIncarnation(StaleIncarnation { lowest_incarnation: lowest });
        }
        if live != Some(&register) {
            self.live.insert(register.instance.clone(), register);
            self.epoch += 1;
        }
        Answer::Registered(Registered { epoch: self.epoch })
    }

    pub(super) fn remove(&mut self, gone: InstanceGone, now_ms: u64) -> Answer {
        self.gone.retain(|_, g| now_ms.saturating_sub(g.at_ms) < GONE_RETENTION_MS);
        let InstanceGone { instance, incarnation } = gone;
        if self.live.get(&instance).is_some_and(|live| live.incarnation <= incarnation) {
            self.live.remove(&instance);
            self.epoch += 1;
        }
        let known = self.gone.get(&instance).map_or(0, |g| g.incarnation);
        let latest = GoneInstance {
            instance: instance.clone(),
            incarnation: incarnation.max(known),
            at_ms: now_ms,
            gone: true,
        };
        self.gone.insert(instance, latest);
        Answer::InstanceRemoved(InstanceRemoved { epoch: self.epoch })
    }

    pub(super) fn view(&self) -> InstanceView {
        InstanceView { epoch: self.epoch, instances: self.live.values().cloned().collect() }
    }
}
