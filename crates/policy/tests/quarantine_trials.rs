//! Guards against requests that end one endpoint after another, and against the refusal of others.

mod common;

use std::time::Duration;

use common::{fixed_seed, ms};
use poplarspan_policy::Name;
use poplarspan_policy::containment::Fingerprint;
use poplarspan_policy::quarantine::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TRIAL_LIMIT: Duration = Duration::from_secs(3);

fn request(n: usize) -> Fingerprint {
    Fingerprint::new("/v1", &n.to_le_bytes())
}

fn endpoint(n: usize) -> Name {
    Name::from(format!("e{n}"))
}

/// A suspect of two ends, at the time of the second.
fn suspect(quarantine: &mut Quarantine, request: Fingerprint) {
    assert!(!quarantine.record_failure(request, &endpoint(0), ms(0)));
    assert!(quarantine.record_failure(request, &endpoint(1), ms(1)));
}

/// What becomes of the requests of one simulated fleet.
#[derive(Default)]
struct Outcome {
    /// Endpoints that have ended under the first request.
    ended: usize,
    condemned: Vec<usize>,
}

/// Plays a fleet in steps of 10 ms: request 0 ends each endpoint 20 ms after it has begun there, and
/// comes back; the others run for `work` steps and come back when they have lost their endpoint.
fn simulate_fleet(seed: u64, endpoints: usize, others: usize, work: u64) -> Outcome {
    const STEPS: u64 = 2_000;
    const BACK_AFTER: u64 = 200;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut outcome = Outcome::default();
    let mut down_until = vec![0; endpoints];
    // Endpoint and end of the run of each request, or the step at which it comes back.
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
                    if quarantine.is_on_trial(request(n), &endpoint(host)) {
                        outcome.condemned.push(n);
                        quarantine.condemn(request(n), ms(STEPS * 10), now);
                    } else {
                        quarantine.record_failure(request(n), &endpoint(host), now);
                    }
                }
            }
            let is_idle = running[n].is_none() && step >= back_at[n];
            let host = rng.random_range(0..endpoints);
            if is_idle && step >= down_until[host] {
                let ruling = quarantine.admit(request(n), &endpoint(host), now + TRIAL_LIMIT, now);
                if matches!(ruling, Ruling::Free | Ruling::OnTrial) {
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
    fn ends_three_and_spares_others(
        seed in any::<u64>(),
        endpoints in 3..12_usize,
        others in 0..120_usize,
        work in 1..100_u64,
    ) {
        let outcome = simulate_fleet(seed, endpoints, others, work);
        prop_assert_eq!(outcome.ended, SUSPECT_FAILURES + 1);
        prop_assert_eq!(outcome.condemned, vec![0]);
    }
}

/// Copies that run at once at many endpoints, all of which end together, go on trial, and an answer
/// clears them.
#[test]
fn answer_clears() {
    let mut quarantine = Quarantine::default();
    for n in 0..20 {
        quarantine.record_failure(request(7), &endpoint(n), ms(5));
    }
    assert_eq!(quarantine.admit(request(7), &endpoint(30), TRIAL_LIMIT, ms(10)), Ruling::OnTrial);
    assert_eq!(quarantine.admit(request(7), &endpoint(31), TRIAL_LIMIT, ms(11)), Ruling::Busy);
    assert!(quarantine.remove(request(7)));
    assert_eq!(quarantine.admit(request(7), &endpoint(31), TRIAL_LIMIT, ms(12)), Ruling::Free);
}

/// Several calls that are lost with one endpoint tell of one end; an endpoint that ends again under
/// its name tells of another.
#[test]
fn one_end_counts_once() {
    let mut quarantine = Quarantine::default();
    for n in 0..500 {
        assert!(!quarantine.record_failure(request(1), &endpoint(0), ms(n)));
    }
    assert!(quarantine.record_failure(request(1), &endpoint(0), ms(5_000)));
}

#[test]
fn one_trial_a_place() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    suspect(&mut quarantine, request(2));
    assert_eq!(quarantine.admit(request(1), &endpoint(5), TRIAL_LIMIT, ms(9)), Ruling::OnTrial);
    assert_eq!(
        quarantine.admit(request(2), &endpoint(5), TRIAL_LIMIT, ms(9)),
        Ruling::EndpointTaken
    );
    assert_eq!(quarantine.admit(request(2), &endpoint(6), TRIAL_LIMIT, ms(9)), Ruling::OnTrial);
    assert!(!quarantine.is_on_trial(request(1), "e6"));
}

/// A trial whose instance is gone, or that has shown nothing, makes room for the next one.
#[test]
fn trials_end() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    assert_eq!(quarantine.admit(request(1), &endpoint(5), TRIAL_LIMIT, ms(9)), Ruling::OnTrial);
    let late = TRIAL_LIMIT + ms(1);
    assert_eq!(
        quarantine.admit(request(1), &endpoint(6), late + TRIAL_LIMIT, late),
        Ruling::OnTrial
    );
    quarantine.end_trial(request(1), "e5");
    assert_eq!(quarantine.admit(request(1), &endpoint(7), late + TRIAL_LIMIT, late), Ruling::Busy);
    quarantine.end_trial(request(1), "e6");
    assert_eq!(
        quarantine.admit(request(1), &endpoint(7), late + TRIAL_LIMIT, late),
        Ruling::OnTrial
    );
}

/// A condemned request does not run while its condemnation is on the way to durable state.
#[test]
fn refused_before_durable() {
    let mut quarantine = Quarantine::default();
    suspect(&mut quarantine, request(1));
    assert_eq!(quarantine.admit(request(1), &endpoint(5), TRIAL_LIMIT, ms(9)), Ruling::OnTrial);
    assert!(quarantine.condemn(request(1), ms(500), ms(20)));
    assert!(!quarantine.condemn(request(1), ms(520), ms(30)), "told again");
    quarantine.end_trial(request(1), "e5");
    assert_eq!(quarantine.admit(request(1), &endpoint(6), TRIAL_LIMIT, ms(40)), Ruling::Refused);
    assert_eq!(quarantine.condemned(ms(40)).collect::<Vec<_>>(), [request(1)]);
    assert_eq!(quarantine.admit(request(1), &endpoint(6), TRIAL_LIMIT, ms(520)), Ruling::OnTrial);
}

#[test]
fn successor_adopts() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.adopt_suspect(request(1), ms(0)));
    assert!(!quarantine.adopt_suspect(request(1), ms(0)));
    assert_eq!(quarantine.suspects().collect::<Vec<_>>(), [request(1)]);
    assert_eq!(quarantine.admit(request(1), &endpoint(0), TRIAL_LIMIT, ms(1)), Ruling::OnTrial);
}

/// The table stays within its bound, and suspects stay in it.
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
