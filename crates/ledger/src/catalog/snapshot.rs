//! Conversion of the catalog from and to its snapshot message.

use std::{collections::BTreeMap, sync::OnceLock};

use poplarspan_proto::ledger::{CatalogSnapshot, ObjectChange};

use super::{
    Catalog,
    instances::Instances,
    publish::{PublicationResults, RecentPublications},
};
use crate::error::{MAX_COUNTER, RestoreError, SNAPSHOT_FORMAT};

impl Catalog {
    pub(super) fn to_message(&self) -> CatalogSnapshot {
        let objects = self.objects.iter().map(|((kind, name), body)| ObjectChange {
            kind: kind.to_string(),
            name: name.to_string(),
            body: Some(body.clone()),
        });
        CatalogSnapshot {
            format: SNAPSHOT_FORMAT,
            index: self.index,
            now_ms: self.now_ms,
            generation: self.generation,
            objects: objects.collect(),
            recent: self.recent.list.iter().cloned().collect(),
            results: self.results.list.iter().cloned().collect(),
            instances: self.instances.live.values().cloned().collect(),
            epoch: self.instances.epoch,
            groups: self.groups,
            gone: self.instances.gone.values().cloned().collect(),
        }
    }

    pub(super) fn from_message(message: CatalogSnapshot) -> Result<Self, RestoreError> {
        if message.format != SNAPSHOT_FORMAT {
            return Err(RestoreError::Format(message.format));
        }
        if message.generation >= MAX_COUNTER || message.epoch >= MAX_COUNTER {
            return Err(RestoreError::Inconsistent("generation or epoch is out of bounds"));
        }
        let mut recent = RecentPublications::default();
        let count = message.recent.len() as u64;
        for (n, publication) in message.recent.into_iter().enumerate() {
            // The publications must have contiguous generations that end with the current one.
            if publication.generation.checked_add(count - 1 - n as u64) != Some(message.generation)
            {
                return Err(RestoreError::Inconsistent("recent publications are not contiguous"));
            }
            recent.add(publication);
        }
        let mut results = PublicationResults::default();
        for result in message.results {
            if !results.add(result) {
                return Err(RestoreError::Inconsistent("duplicate request id"));
            }
        }
        let mut objects = BTreeMap::new();
        for object in message.objects {
            let body = object.body.ok_or(RestoreError::Inconsistent("object has no body"))?;
            objects.insert((object.kind.into(), object.name.into()), body);
        }
        let instances = Instances {
            epoch: message.epoch,
            live: message.instances.into_iter().map(|i| (i.instance.clone(), i)).collect(),
            gone: message.gone.into_iter().map(|g| (g.instance.clone(), g)).collect(),
        };
        Ok(Self {
            index: message.index,
            now_ms: message.now_ms,
            generation: message.generation,
            objects,
            full_set: OnceLock::new(),
            recent,
            results,
            instances,
            groups: message.groups,
        })
    }
}
