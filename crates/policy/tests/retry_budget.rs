//! Guards against retries that multiply the load of a failing fleet.

mod common;

use common::fixed_seed;
use poplarspan_policy::Name;
use poplarspan_policy::retry::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed_seed(128, 14))]

    /// Guards against more retries than the reserve and the ratio of first attempts allow, per team
    /// and for the instance.
    #[test]
    fn retries_stay_within_budget(events in prop::collection::vec((0..3_usize, any::<bool>()), 0..2000)) {
        let cfg = RetryConfig { ratio: 0.2, team_reserve: 5.0, instance_reserve: 9.0 };
        let mut budget = RetryBudget::new(cfg);
        let teams: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
        let mut firsts = [0.0; 3];
        let mut retries = [0.0; 3];
        for (team, retry) in events {
            if !retry {
                budget.record_attempt(&teams[team]);
                firsts[team] += 1.0;
            } else if budget.try_retry(&teams[team]) {
                retries[team] += 1.0;
            }
            for t in 0..3 {
                prop_assert!(retries[t] <= 5.0 + 0.2 * firsts[t] + 1e-6);
            }
            let (firsts, retries): (f64, f64) = (firsts.iter().sum(), retries.iter().sum());
            prop_assert!(retries <= 9.0 + 0.2 * firsts + 1e-6);
        }
    }
}

/// Guards against a team that uses up the budget of the others.
#[test]
fn teams_have_their_own_budget() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let (a, b) = (Name::from("a"), Name::from("b"));
    assert_eq!((0..100).filter(|_| budget.try_retry(&a)).count(), 10);
    assert!(budget.try_retry(&b));
}
