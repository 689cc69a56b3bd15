//! Limits the programs that fronts begin, by the delay of their turns.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    admission::{ClassArrivals, LoadReport, MAX_CLASSES, ProgramClass, ProgramLimiter},
};
use poplarspan_proto::peer;

use crate::{ListedEndpoint, Publication};

/// Parts per unit of a fraction in messages.
const MILLION: f64 = 1e6;

/// The limiter of the current term.
pub(crate) struct ProgramLimits {
    limiter: ProgramLimiter,
    is_binding: bool,
}

impl ProgramLimits {
    /// By `recovered_at`, every live front has sent a heartbeat.
    pub(crate) fn new(recovered_at: Duration, now: Duration) -> Self {
        Self { limiter: ProgramLimiter::new(recovered_at, now), is_binding: false }
    }

    /// Processes the load in a heartbeat of a front. Returns `None` while the view is not complete:
    /// the front then keeps its last allowance.
    pub(crate) fn report(
        &mut self,
        front: &Name,
        load: &peer::ProgramLoad,
        publication: &Publication,
        endpoints: &[ListedEndpoint],
        now: Duration,
    ) -> Option<peer::ProgramAllowance> {
        let is_engine = |e: &&ListedEndpoint| {
            !e.leaving && publication.service(&e.service).is_some_and(|s| s.engine.is_some())
        };
        self.limiter.set_slots(endpoints.iter().filter(is_engine).map(|e| e.slots).sum());
        let allowance = self.limiter.report(front, &read_load(load, publication), now)?;
        self.note_state();
        let fraction = |(class, fraction): (ProgramClass, f64)| peer::ProgramClass {
            team: class.team.to_string(),
            route: class.route.to_string(),
            amount: (fraction * MILLION) as u32,
        };
        Some(peer::ProgramAllowance {
            per_second: allowance.per_second.map(|rate| rate as f32),
            retry_after_ms: allowance.retry_after.as_millis() as u32,
            fractions: allowance.fractions.into_iter().map(fraction).collect(),
        })
    }

    /// Updates metrics, and logs when the limit begins or ceases to bind.
    fn note_state(&mut self) {
        let state = self.limiter.state();
        metrics::gauge!("poplarspan_relay_program_limit").set(state.limit.unwrap_or(f64::INFINITY));
        metrics::gauge!("poplarspan_relay_open_turns").set(state.active);
        metrics::gauge!("poplarspan_relay_turn_slowdown").set(state.slowdown);
        if state.is_binding == self.is_binding {
            return;
        }
        self.is_binding = state.is_binding;
        let change = if state.is_binding {
            "the limit on programs binds: first turns are refused"
        } else {
            "the limit on programs does not bind any more"
        };
        log::info!(
            limit = state.limit,
            open_turns = state.active,
            slowdown = state.slowdown,
            per_second = state.per_second,
            arrivals = state.arrivals;
            "{change}"
        );
    }
}

fn read_load(load: &peer::ProgramLoad, publication: &Publication) -> LoadReport {
    let arrival = |c: &peer::ProgramClass| {
        let priority = publication.team(&c.team).and_then(|t| t.priority);
        let priority = priority.or_else(|| publication.route_priority(&c.route)).unwrap_or(0);
        let class = ProgramClass { team: (&*c.team).into(), route: (&*c.route).into() };
        ClassArrivals { class, priority, arrived: c.amount }
    };
    LoadReport {
        active: load.active,
        begun: load.begun,
        refused: load.refused,
        turns: load.turns,
        duration: Duration::from_millis(load.duration_ms),
        idle: Duration::from_millis(load.idle_ms),
        arrivals: load.arrivals.iter().take(MAX_CLASSES).map(arrival).collect(),
    }
}
