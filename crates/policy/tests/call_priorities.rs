//! Tests of the order that engines give to calls of different teams and instances.

use std::time::Duration;

use poplarspan_policy::Name;
use poplarspan_policy::fair::*;
use proptest::prelude::*;

const EPOCH: Duration = Duration::from_secs(1_700_000_000);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Dispatches one call of each team every 100 ms for 10 s. Returns the last priorities.
fn rounds(priorities: &mut Priorities, calls: &[(&str, u32, u64)]) -> Vec<i64> {
    let mut last = Vec::new();
    for round in 0..100 {
        let now = secs(0.1 * f64::from(round));
        let dispatch = |(team, weight, cost): &(&str, u32, u64)| {
            priorities.dispatch(&Name::from(*team), *weight, *cost, now, EPOCH + now)
        };
        last = calls.iter().map(dispatch).collect();
    }
    last
}

/// Guards against a team that uses more than its share and is served before the others, and against
/// weights that are ignored.
#[test]
fn excess_is_served_later() {
    let mut priorities = Priorities::default();
    let last = rounds(&mut priorities, &[("greedy", 1, 500), ("small", 1, 100), ("heavy", 5, 500)]);
    assert!(last[0] > last[1] + 1_000, "{last:?}");
    assert_eq!(last[1], last[2], "teams within their shares are not delayed");
    assert!((priorities.excess("greedy") - 500.0 / 1100.0 * 7.0).abs() < 0.1);
}

/// Guards against different priorities at two instances that see different amounts of the same mix
/// of calls, since instances do not exchange them.
#[test]
fn instances_agree() {
    let (mut one, mut other) = (Priorities::default(), Priorities::default());
    let few = rounds(&mut one, &[("a", 1, 400), ("b", 1, 100)]);
    let many = rounds(&mut other, &[("a", 1, 4_000), ("b", 1, 1_000)]);
    assert!(few.iter().zip(&many).all(|(f, m)| f.abs_diff(*m) <= 1), "{few:?} {many:?}");
}

/// Guards against a team that is delayed for service it used long ago, and against unbounded
/// memory.
#[test]
fn service_decays() {
    let mut priorities = Priorities::default();
    rounds(&mut priorities, &[("greedy", 1, 500), ("small", 1, 100)]);
    let now = secs(1_000.0);
    let alone = priorities.dispatch(&"small".into(), 1, 100, now, EPOCH + now);
    assert_eq!(priorities.active_teams(), 1);
    assert_eq!(u128::try_from(alone).unwrap(), (EPOCH + now).as_millis());
}

/// Guards against a team that is charged for estimates that its calls did not use.
#[test]
fn estimates_are_settled() {
    let mut priorities = Priorities::default();
    for team in ["a", "b"] {
        priorities.dispatch(&team.into(), 1, 1_000, secs(0.0), EPOCH);
    }
    assert_eq!(priorities.excess("a"), 1.0);
    priorities.settle("a", 1_000, 0);
    assert_eq!((priorities.excess("a"), priorities.excess("b")), (0.0, 2.0));
    priorities.settle("b", u64::MAX, 0);
    assert_eq!(priorities.excess("b"), 0.0);
}

/// Guards against teams within their shares that wait behind one that is held back.
#[test]
fn held_back_team_is_skipped() {
    let mut priorities = Priorities::default();
    rounds(&mut priorities, &[("greedy", 1, 500), ("small", 1, 100)]);
    let mut queue = FairQueue::new(QueueConfig::default(), Box::new(Fcfs));
    let mut limit = FixedLimit::new(10);
    for team in ["greedy", "small"] {
        let deadline = secs(60.0);
        let call =
            Call { team: team.into(), weight: 1, program: None, cost: 1, deadline, payload: () };
        queue.push(call, secs(0.0)).unwrap();
    }
    let within = |team: &Name| priorities.is_within_share(team);
    let taken = queue.pop_where(&mut limit, secs(0.0), within).unwrap();
    assert_eq!(&*taken.call.team, "small");
    assert!(queue.pop_where(&mut limit, secs(0.0), within).is_none());
    assert_eq!(&*queue.pop(&mut limit, secs(0.0)).unwrap().call.team, "greedy");
}

proptest! {
    /// Guards against starvation: no call is overtaken by one that is dispatched `max_delay` after
    /// it.
    #[test]
    fn delays_are_bounded(
        calls in prop::collection::vec((0..5_usize, 1..1000_u32, 0..1_000_000_u64, 0..10_000_u64), 1..200),
    ) {
        let cfg = PriorityConfig::default();
        let mut priorities = Priorities::new(cfg);
        let mut now = Duration::ZERO;
        for (team, weight, cost, after) in calls {
            now += Duration::from_millis(after);
            let team = Name::from(format!("t{team}"));
            let priority = priorities.dispatch(&team, weight, cost, now, EPOCH + now);
            let base = i64::try_from((EPOCH + now).as_millis()).unwrap();
            let most = i64::try_from(cfg.max_delay.as_millis()).unwrap();
            prop_assert!((base..=base + most).contains(&priority));
        }
    }
}
