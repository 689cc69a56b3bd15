//! Lookup tables for values other than names, derived from the objects.

use std::sync::Arc;

use crate::kind::Name;
use crate::object::{Objects, Serves};
use crate::secret::Digest;

/// Sorted pairs of a value and the index of its object in the vector of its kind.
type SortedPairs<T> = Arc<Vec<(T, u32)>>;

/// Lookup tables, each for binary search by value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    pub(crate) key_digests: SortedPairs<Digest>,
    pub(crate) operator_digests: SortedPairs<Digest>,
    /// Paths of routes without a final slash.
    pub(crate) route_paths: SortedPairs<Arc<str>>,
    pub(crate) model_aliases: SortedPairs<Name>,
    pub(crate) endpoint_models: SortedPairs<Name>,
    pub(crate) endpoint_services: SortedPairs<Name>,
}

impl Index {
    /// Builds all tables.
    pub(crate) fn build(objects: &Objects) -> Self {
        Self::default().update(&Objects::default(), objects)
    }

    /// Returns the tables for `new`. `self` must belong to `old`; the tables of kinds whose vector
    /// both share are reused.
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

/// Returns the path without a final slash, so that `/a` and `/a/` are the same path.
pub(crate) fn trim_final_slash(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}

/// Pairs the values of each object with the object's index, sorted by value, then index.
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

/// Indexes of the objects that are paired with `name`, in ascending order.
pub(crate) fn indexes_of<'a>(
    table: &'a [(Name, u32)],
    name: &str,
) -> impl ExactSizeIterator<Item = usize> + use<'a> {
    let start = table.partition_point(|(n, _)| n.as_ref() < name);
    let len = table[start..].partition_point(|(n, _)| n.as_ref() == name);
    table[start..start + len].iter().map(|(_, i)| *i as usize)
}
