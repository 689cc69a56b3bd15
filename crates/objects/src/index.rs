//! Lookups other than by name, derived from the objects.

use std::sync::Arc;

use crate::kind::Name;
use crate::object::{Objects, Serves};
use crate::secret::Digest;

/// Pairs of a value and an index into the vector of a kind, sorted.
type SortedPairs<T> = Arc<Vec<(T, u32)>>;

/// Sorted lookup tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    pub(crate) key_digests: SortedPairs<Digest>,
    pub(crate) operator_digests: SortedPairs<Digest>,
    /// Paths without the final slash.
    pub(crate) route_paths: SortedPairs<Arc<str>>,
    pub(crate) model_aliases: SortedPairs<Name>,
    pub(crate) endpoint_models: SortedPairs<Name>,
    pub(crate) endpoint_services: SortedPairs<Name>,
}

impl Index {
    /// Builds the tables of all kinds.
    pub(crate) fn build(objects: &Objects) -> Self {
        Self::default().update(&Objects::default(), objects)
    }

    /// The tables after a change; tables of kinds that both sets share are kept.
    pub(crate) fn update(&self, old: &Objects, new: &Objects) -> Self {
        let mut index = self.clone();
        if !Arc::ptr_eq(&old.keys, &new.keys) {
            index.key_digests = sorted_pairs(new.keys.iter().map(|key| [key.digest]));
        }
        if !Arc::ptr_eq(&old.operators, &new.operators) {
            index.operator_digests = sorted_pairs(new.operators.iter().map(|o| [o.digest]));
        }
        if !Arc::ptr_eq(&old.routes, &new.routes) {
            index.route_paths =
                sorted_pairs(new.routes.iter().map(|r| [Arc::from(trim_final_slash(&r.path))]));
        }
        if !Arc::ptr_eq(&old.models, &new.models) {
            index.model_aliases =
                sorted_pairs(new.models.iter().map(|m| m.aliases.iter().cloned()));
        }
        if !Arc::ptr_eq(&old.endpoints, &new.endpoints) {
            index.endpoint_models = sorted_pairs(new.endpoints.iter().map(|e| match &e.serves {
                Serves::Models(models) => models.clone(),
                Serves::Service(_) => Vec::new(),
            }));
            index.endpoint_services = sorted_pairs(new.endpoints.iter().map(|e| match &e.serves {
                Serves::Models(_) => None,
                Serves::Service(service) => Some(service.clone()),
            }));
        }
        index
    }
}

/// The path without its final slash, so that `/a` and `/a/` are one path.
pub(crate) fn trim_final_slash(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}

/// Pairs the values of each object with the object's index, sorted by value and index.
fn sorted_pairs<T: Ord, V: IntoIterator<Item = T>>(
    values: impl Iterator<Item = V>,
) -> SortedPairs<T> {
    let mut pairs = Vec::new();
    for (i, values) in (0u32..).zip(values) {
        pairs.extend(values.into_iter().map(|value| (value, i)));
    }
    pairs.sort_unstable();
    Arc::new(pairs)
}

/// Indexes paired with names equal to `name`.
pub(crate) fn indexes_of<'a>(
    table: &'a [(Name, u32)],
    name: &str,
) -> impl ExactSizeIterator<Item = usize> + use<'a> {
    let start = table.partition_point(|(n, _)| n.as_ref() < name);
    let len = table[start..].partition_point(|(n, _)| n.as_ref() == name);
    table[start..start + len].iter().map(|(_, i)| *i as usize)
}
