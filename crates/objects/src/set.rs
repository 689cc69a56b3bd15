//! The checked object set and its lookups.

use subtle::ConstantTimeEq;

use crate::finding::Findings;
use crate::index::{Index, indexes_of, trim_final_slash};
use crate::kind::Kind;
use crate::object::{
    Budget, Endpoint, Key, Model, Object, Objects, Operator, Rate, Route, RouteKind, Team, Zone,
    for_each_kind,
};
use crate::object_rules::MAX_PATH_BYTES;
use crate::record::{Change, Record, encode};
use crate::secret::Digest;
use crate::{apply, record};

/// A set of objects that satisfies all rules. Immutable and cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectSet {
    objects: Objects,
    index: Index,
}

macro_rules! accessors {
    ($($ty:ident $one:ident $all:ident $what:literal),* $(,)?) => {$(
        #[doc = concat!("The ", $what, " with this name.")]
        pub fn $one(&self, name: &str) -> Option<&$ty> {
            self.objects.find(name)
        }

        #[doc = concat!("All ", $what, " objects, sorted by name.")]
        pub fn $all(&self) -> &[$ty] {
            &self.objects.$all
        }
    )*};
}

impl ObjectSet {
    accessors!(
        Team team teams "team",
        Key key keys "key",
        Rate rate rates "rate",
        Route route routes "route",
        Endpoint endpoint endpoints "endpoint",
        Model model models "model",
        Zone zone zones "zone",
        Budget budget budgets "budget",
        Operator operator operators "operator",
    );

    pub(crate) fn new(objects: Objects, index: Index) -> Self {
        Self { objects, index }
    }

    pub(crate) fn objects(&self) -> &Objects {
        &self.objects
    }

    pub(crate) fn index(&self) -> &Index {
        &self.index
    }

    /// The key with this digest.
    ///
    /// A binary search finds the only candidate, which is then compared in constant time. The
    /// timing of the search depends on the digest of what the caller presented. Neither a stored
    /// digest nor a secret can be derived from it.
    pub fn key_by_digest(&self, digest: &Digest) -> Option<&Key> {
        find_digest(&self.index.key_digests, digest).map(|i| &self.objects.keys[i])
    }

    /// The operator with this digest; see [`Self::key_by_digest`].
    pub fn operator_by_digest(&self, digest: &Digest) -> Option<&Operator> {
        find_digest(&self.index.operator_digests, digest).map(|i| &self.objects.operators[i])
    }

    /// The route for the path of a request, without its query.
    ///
    /// A chat route matches its exact path. A service route matches its path and all paths below
    /// it, by whole segments: `/orders` matches `/orders/7`, but not `/orders-old`. The route with
    /// the longest matching path is returned.
    pub fn route_for(&self, path: &str) -> Option<&Route> {
        let paths = &self.index.route_paths;
        let mut candidate = trim_final_slash(path);
        loop {
            if candidate.len() <= MAX_PATH_BYTES
                && let Ok(i) = paths.binary_search_by(|(p, _)| p.as_ref().cmp(candidate))
            {
                let route = &self.objects.routes[paths[i].1 as usize];
                if route.kind == RouteKind::Service || route.path.as_ref() == path {
                    return Some(route);
                }
            }
            candidate = &candidate[..candidate.rfind('/')?];
        }
    }

    /// The model with this name or alias.
    pub fn resolve_model(&self, name: &str) -> Option<&Model> {
        self.model(name).or_else(|| {
            let i = indexes_of(&self.index.model_aliases, name).next()?;
            Some(&self.objects.models[i])
        })
    }

    /// The endpoints that serve the model with this name or alias, sorted by name.
    ///
    /// Includes endpoints that are leaving or in a zone that is out.
    pub fn endpoints_for_model(&self, model: &str) -> impl ExactSizeIterator<Item = &Endpoint> {
        let name = self.resolve_model(model).map_or(model, |m| m.name.as_ref());
        indexes_of(&self.index.endpoint_models, name).map(|i| &self.objects.endpoints[i])
    }

    /// The endpoints that serve the service with this name, sorted by name.
    ///
    /// Includes endpoints that are leaving or in a zone that is out.
    pub fn endpoints_for_service(&self, service: &str) -> impl ExactSizeIterator<Item = &Endpoint> {
        indexes_of(&self.index.endpoint_services, service).map(|i| &self.objects.endpoints[i])
    }

    /// Number of objects of all kinds.
    pub fn len(&self) -> usize {
        fn add<T: Object>(objects: &Objects, len: &mut usize) {
            *len += T::list(objects).len();
        }
        let mut len = 0;
        for_each_kind!(add(&self.objects, &mut len));
        len
    }

    /// Whether the set has no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All objects as records, sorted by kind and name.
    pub fn records(&self) -> Vec<Record> {
        fn add<T: Object>(objects: &Objects, records: &mut Vec<Record>) {
            records.extend(T::list(objects).iter().map(encode));
        }
        let mut records = Vec::with_capacity(self.len());
        for_each_kind!(add(&self.objects, &mut records));
        records
    }

    /// The record of the object with this kind and name.
    pub fn record(&self, kind: Kind, name: &str) -> Option<Record> {
        fn get<T: Object>(objects: &Objects, kind: Kind, name: &str, found: &mut Option<Record>) {
            if T::KIND == kind {
                *found = objects.find::<T>(name).map(encode);
            }
        }
        let mut found = None;
        for_each_kind!(get(&self.objects, kind, name, &mut found));
        found
    }

    /// Builds a set from records in any order and checks it with the same rules as files.
    ///
    /// # Errors
    ///
    /// Returns all findings. Their `file` is `kind/name` of the object.
    pub fn from_records(records: &[Record]) -> Result<Self, Findings> {
        apply::from_records(records)
    }

    /// Returns the changes that turn this set into `newer`, sorted by kind and name.
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        apply::diff(&self.objects, &newer.objects)
    }

    /// Returns the set after `changes`, which are applied in order.
    ///
    /// The cost is linear in the number of objects of the kinds that change, and of the kinds that
    /// may refer to a removed object or a replaced endpoint. All other kinds are shared with this
    /// set and not checked again.
    ///
    /// # Errors
    ///
    /// Returns all findings, including removals of objects that do not exist. Their `file` is
    /// `kind/name` of the object.
    pub fn apply(&self, changes: &[Change]) -> Result<Self, Findings> {
        apply::apply(self, changes)
    }

    /// BLAKE3 digest of all records. Equal sets have equal digests on every instance.
    pub fn content_digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for record in self.records() {
            record::hash(&record, &mut hasher);
        }
        *hasher.finalize().as_bytes()
    }
}

/// Index of the object with this digest.
fn find_digest(table: &[(Digest, u32)], digest: &Digest) -> Option<usize> {
    let i = table.partition_point(|(d, _)| d < digest);
    let (found, index) = table.get(i)?;
    bool::from(found.as_bytes().ct_eq(digest.as_bytes())).then_some(*index as usize)
}
