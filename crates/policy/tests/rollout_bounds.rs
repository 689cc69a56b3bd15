//! Properties of rollouts for any sequence of evidence.

mod common;

use common::{fixed_seed, ms};
use poplarspan_policy::{
    Name,
    rollout::{Decision, Evidence, FleetState, FrontReport, Rollout, RolloutConfig},
};
use proptest::prelude::*;

const OVER_MS: u64 = 12_000;
const SHIFT_MS: u64 = 5_000;
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: u32 = 50;

/// What a front reports next: calls since its last report, results by kind, and whether it applies
/// the newest share.
type Step = (usize, u64, u64, u64, bool, bool);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step =
        (0usize..4, 1u64..250, 0u64..20, 0u64..5, any::<bool>(), proptest::bool::weighted(0.02));
    proptest::collection::vec(step, 50..300)
}

fn row(endpoint: Option<&str>, answered: u64, failed: u64) -> Evidence {
    let endpoint = endpoint.map(Name::from);
    Evidence { route: "a".into(), endpoint, answered, duration: ms(300 * answered), failed }
}

proptest! {
    #![proptest_config(fixed_seed(96, 20_261_206))]

    /// Once reverted, no evidence raises the share. Before the shift, the calls to the target stay
    /// within the exposure limit, whatever fronts report and however many calls a share lets
    /// through by the time it is replaced.
    #[test]
    fn bounded_exposure(steps in steps()) {
        let (exposure_share, exposure_slack) = (EXPOSURE_SHARE, EXPOSURE_SLACK);
        let cfg = RolloutConfig { exposure_share, exposure_slack, over: ms(OVER_MS) };
        let mut rollout = Rollout::new(cfg, ms(0));
        let mut fronts = vec![FrontReport::default(); 4];
        let mut results = [[0u64; 4]; 4];
        let (mut now, mut end) = (0, None);
        for (at, pause, calls, failed, applies, is_partial) in steps {
            now += pause;
            let front = &mut fronts[at];
            // A front sends at most its share, rounded up.
            let of_target = (calls as f64 * front.share).ceil() as u64;
            front.sent += calls;
            front.sent_target += of_target;
            let counts = &mut results[at];
            counts[0] += calls - of_target;
            counts[1 + at % 2] += failed.min(of_target);
            counts[3] += of_target - failed.min(of_target);
            front.evidence = vec![
                row(None, counts[0], 0),
                row(Some("x"), counts[3], counts[1]),
                row(Some("y"), 0, counts[2]),
            ];
            rollout.report(&Name::from(format!("f{at}")), front.clone(), ms(now));
            let fleet = FleetState {
                is_view_full: !is_partial,
                target_slots: 8,
                old_slots: 8,
                old_versions_left: true,
            };
            let decision = rollout.decide(&fleet, ms(now));
            if let Some(end) = &end {
                prop_assert_eq!(end, &decision);
                continue;
            }
            let share = match decision {
                Decision::Share(next) => {
                    if now < OVER_MS - SHIFT_MS {
                        prop_assert!(next <= 0.5 * EXPOSURE_SHARE, "share {next} at {now} ms");
                    }
                    next
                }
                ref ended => {
                    let share = if *ended == Decision::Complete { 1.0 } else { 0.0 };
                    end = Some(decision);
                    share
                }
            };
            if applies {
                fronts[at].share = share;
            }
            if now < OVER_MS - SHIFT_MS {
                let sent: u64 = fronts.iter().map(|f| f.sent).sum();
                let sent_target: u64 = fronts.iter().map(|f| f.sent_target).sum();
                let limit = EXPOSURE_SHARE * sent as f64 + f64::from(EXPOSURE_SLACK);
                prop_assert!(sent_target as f64 <= limit, "{sent_target} of {sent} calls");
            }
        }
    }
}
