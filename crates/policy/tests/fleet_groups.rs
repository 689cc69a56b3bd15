//! Group membership of a fleet whose endpoints change one by one.

use std::collections::BTreeMap;

use poplarspan_policy::route::{EndpointSpec, Fleet};
use proptest::prelude::*;

fn spec(name: &str, groups: &[u8]) -> EndpointSpec {
    EndpointSpec {
        name: name.into(),
        zone: "a".into(),
        groups: groups.iter().map(|g| format!("g{g}").into()).collect(),
        capacity: 4,
        prefill_per_second: f64::INFINITY,
        service_s: 0.1,
        leaving: false,
    }
}

proptest! {
    /// Guards against an endpoint that stays in a group which it has left, is missing in one that it
    /// has joined, or is found out of order, after any series of changes.
    #[test]
    fn members_follow_changes(
        changes in prop::collection::vec((0..12_u8, prop::collection::vec(0..4_u8, 0..3)), 1..80),
    ) {
        let mut fleet = Fleet::new();
        let mut model: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for (endpoint, groups) in changes {
            let name = format!("e{endpoint:02}");
            // An endpoint without groups stands for one that is removed.
            if groups.is_empty() {
                let known = model.remove(&name).is_some();
                prop_assert_eq!(fleet.remove(&name).is_some(), known);
            } else {
                fleet.upsert(spec(&name, &groups));
                model.insert(name, groups);
            }
            for group in 0..4_u8 {
                let expected: Vec<&str> =
                    model.iter().filter(|(_, g)| g.contains(&group)).map(|(n, _)| &**n).collect();
                let members = fleet.members(&format!("g{group}")).unwrap_or(&[]);
                let names: Vec<&str> = members.iter().map(|id| &*fleet.spec(*id).name).collect();
                prop_assert_eq!(names, expected);
            }
            for name in model.keys() {
                let id = fleet.id(name);
                prop_assert!(id.is_some_and(|id| *fleet.spec(id).name == **name));
            }
        }
    }
}
