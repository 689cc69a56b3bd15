//! Tests that a request that crashes endpoints is refused, and that other requests are not.

mod common;

use std::time::Duration;

use common::{fixed_seed, ms};
use poplarspan_policy::Name;
use poplarspan_policy::containment::Fingerprint;
use poplarspan_policy::quarantine::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const PROBATION_LIMIT: Duration = Duration::from_secs(3);

fn request(n: usize) -> Fingerprint {
    Fingerprint::new("/v1", &n.to_le_bytes())
}

fn endpoint(n: usize) -> Name {
    Name::from(format!("e{n}"))
}

/// Makes a request a suspect by two failures.
fn suspect(quarantine: &mut Quarantine, request: Fingerprint) {
    assert!(!quarantine.record_failure(request, &endpoint(0), ms(0)));
    assert!(quarantine.record_failure(request, &endpoint(1), ms(1)));
}

/// Result of a simulation.
#[derive(Default)]
struct Outcome {
    /// Number of endpoints that request 0 crashed.
    ended: usize,
    blocked: Vec<usize>,
}

/// Simulates a fleet in steps of 10 ms. Request 0 crashes each endpoint 20 ms after it starts
/// there, and is sent again; the others run for `work` steps and are sent again if their endpoint
/// fails.
fn simulate_fleet(seed: u64, endpoints: usize, others: usize, work: u64) -> Outcome {
    const STEPS: u64 = 2_000;
    const BACK_AFTER: u64 = 200;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut outcome = Outcome::default();
    let mut down_until = vec![0; endpoints];
    // Endpoint and end of the run of each request, or the step at which it is sent again.
    let mut running: Vec<Option<(usize, u64)>> = vec![None; others + 1];
    let mut back_at: Vec<u64> = (0..=others).map(|_| rng.random_range(0..100)).collect();
    for step in 0..STEPS {
        let now = ms(step * 10);
        for n in 0..=others {
            if let Some((host, until)) = running[n]
                && step >= until
            {
                running[n] = None;
                if n > 0 {
                    quarantine.remove(request(n));
                    back_at[n] = step + rng.random_range(0..50);
                    continue;
                }
                down_until[host] = step + BACK_AFTER;
                outcome.ended += 1;
                let is_on = |run: &Option<(usize, u64)>| run.is_some_and(|(at, _)| at == host);
                let mut lost: Vec<usize> = (1..=others).filter(|n| is_on(&running[*n])).collect();
                lost.push(0);
                for n in lost {
                    running[n] = None;
                    back_at[n] = step + rng.random_range(1..30);
                    if quarantine.is_on_probation(request(n), &endpoint(host)) {
                        outcome.blocked.push(n);
                        quarantine.block(request(n), ms(STEPS * 10), now);
                    } else {
                        quarantine.record_failure(request(n), &endpoint(host), now);
                    }
                }
            }
            let is_idle = running[n].is_none() && step >= back_at[n];
            let host = rng.random_range(0..endpoints);
            if is_idle && step >= down_until[host] {
                let decision =
                    quarantine.admit(request(n), &endpoint(host), now + PROBATION_LIMIT, now);
                if matches!(decision, Decision::Free | Decision::OnProbation) {
                    let takes = if n == 0 { 2 } else { work };
                    running[n] = Some((host, step + takes));
                }
            }
        }
    }
    outcome
}

proptest! {
    #![proptest_config(fixed_seed(64, 31))]

    #[test]
    fn crashes_three_endpoints_only(
        seed in any::<u64>(),
        endpoints in 3..12_usize,
        others in 0..120_usize,
        work in 1..100_u64,
    ) {
        let outcome = simulate_fleet(seed, endpoints, others, work);
        prop_assert_eq!(outcome.ended, SUSPECT_FAILURES + 1);
        prop_assert_eq!(outcome.blocked, vec![0]);
    }
}

/// A request whose copies were running at many endpoints that failed at the same time goes on
/// probation, and an answer clears it.
#[test]
fn answer_clears() {
    let mut quarantine = Quarantine::default();
    for n in 0..20 {
        quarantine.record_failure(request(7), &endpoint(n), ms(5));
    }
    assert_eq!(
        quarantine.admit(request(7), &endpoint(30), PROBATION_LIMIT, ms(10)),
        Decision::OnProbation
    );
    assert_eq!(
        quarantine.admit(request(7), &endpoint(31), PROBATION_LIMIT, ms(11)),
        Decision::Busy
    );
    assert!(quarantine.remove(request(7)));
    assert_eq!(
        quarantine.admit(request(7), &endpoint(31), PROBATION_LIMIT, ms(12)),
        Decision::Free
    );
}

/// Several reports about one failure of an endpoint count once; a later failure of an endpoint with
/// the same name counts again.
#[test]
fn one_failure_counts_once() {
    let mut quarantine = Quarantine::default();
    for n in 0..500 {
        assert!(!quarantine.record_failure(request(1), &endpoint(0), ms(n)));
    }
    assert!(quarantine.record_failure(request(1), &endpoint(0), ms(5_000)));
}

#[test]
fn one_probation_per_endpoint() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    suspect(&mut quarantine, request(2));
    assert_eq!(
        quarantine.admit(request(1), &endpoint(5), PROBATION_LIMIT, ms(9)),
        Decision::OnProbation
    );
    assert_eq!(
        quarantine.admit(request(2), &endpoint(5), PROBATION_LIMIT, ms(9)),
        Decision::EndpointTaken
    );
    assert_eq!(
        quarantine.admit(request(2), &endpoint(6), PROBATION_LIMIT, ms(9)),
        Decision::OnProbation
    );
    assert!(!quarantine.is_on_probation(request(1), "e6"));
}

/// A run on probation that has expired or ended without a result allows the next one.
#[test]
fn probation_end() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    assert_eq!(
        quarantine.admit(request(1), &endpoint(5), PROBATION_LIMIT, ms(9)),
        Decision::OnProbation
    );
    let late = PROBATION_LIMIT + ms(1);
    assert_eq!(
        quarantine.admit(request(1), &endpoint(6), late + PROBATION_LIMIT, late),
        Decision::OnProbation
    );
    quarantine.end_probation(request(1), "e5");
    assert_eq!(
        quarantine.admit(request(1), &endpoint(7), late + PROBATION_LIMIT, late),
        Decision::Busy
    );
    quarantine.end_probation(request(1), "e6");
    assert_eq!(
        quarantine.admit(request(1), &endpoint(7), late + PROBATION_LIMIT, late),
        Decision::OnProbation
    );
}

/// A blocked request is refused before its block is durable.
#[test]
fn refused_before_durable() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    assert_eq!(
        quarantine.admit(request(1), &endpoint(5), PROBATION_LIMIT, ms(9)),
        Decision::OnProbation
    );
    assert!(quarantine.block(request(1), ms(500), ms(20)));
    assert!(!quarantine.block(request(1), ms(520), ms(30)), "blocked before");
    quarantine.end_probation(request(1), "e5");
    assert_eq!(
        quarantine.admit(request(1), &endpoint(6), PROBATION_LIMIT, ms(40)),
        Decision::Refused
    );
    assert_eq!(quarantine.blocked(ms(40)).collect::<Vec<_>>(), [request(1)]);
    assert_eq!(
        quarantine.admit(request(1), &endpoint(6), PROBATION_LIMIT, ms(520)),
        Decision::OnProbation
    );
}

#[test]
fn successor_adopts() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.adopt_suspect(request(1), ms(0)));
    assert!(!quarantine.adopt_suspect(request(1), ms(0)));
    assert_eq!(quarantine.suspects().collect::<Vec<_>>(), [request(1)]);
    assert_eq!(
        quarantine.admit(request(1), &endpoint(0), PROBATION_LIMIT, ms(1)),
        Decision::OnProbation
    );
}

/// The table stays within its limit, and suspects are kept.
#[test]
fn bounded_table() {
    const BOUND: usize = 8_192;
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(0));
    for n in 1..BOUND + 500 {
        quarantine.record_failure(request(n), &endpoint(0), ms(10 + n as u64));
    }
    assert!(quarantine.len() <= BOUND);
    assert_eq!(quarantine.suspects().collect::<Vec<_>>(), [request(0)]);
}
