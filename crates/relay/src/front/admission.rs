//! Admission of programs while their turns are slow.
//!
//! Refuses first turns above the leader's allowance, before their bodies are read. Turns of programs
//! under way are always admitted. Enabled by [`crate::Settings::admits_by_delay`].

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use poplarspan_agreement::Clock;
use poplarspan_policy::{
    Name,
    admission::{Allowance, FirstTurn, LoadReport, ProgramClass, ProgramGate},
};
use poplarspan_proto::peer;
use tokio::time::Instant;

use super::refusal::Refusal;
use crate::{CallHead, ProgramHead, Route, RouteKind, Team};

/// Number of prompt tokens whose processing takes as long as generating one token; most of a prompt
/// is usually cached.
const PROMPT_DISCOUNT: u32 = 16;
/// Part of a turn's duration that does not depend on its tokens, as a number of generated tokens.
const BASE_TOKENS: u32 = 16;
/// Parts per unit of a fraction in messages.
const MILLION: f64 = 1e6;

/// Admits programs at a front. `None` inside if programs are not admitted by measured delay.
pub(crate) struct ProgramAdmission {
    gate: Option<Mutex<ProgramGate>>,
    clock: Arc<dyn Clock>,
}

/// A turn that is open until this is dropped.
pub(crate) struct TurnTimer {
    admission: Arc<ProgramAdmission>,
    route: Name,
    work: f64,
    started: Instant,
    is_complete: bool,
}

impl TurnTimer {
    /// Records that the turn has a complete response, so that its duration counts.
    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for TurnTimer {
    fn drop(&mut self) {
        let took = self.is_complete.then(|| self.started.elapsed());
        if let Some(mut gate) = self.admission.gate() {
            gate.turn_closed(&self.route, self.work, took, self.admission.clock.now());
        }
    }
}

impl ProgramAdmission {
    pub(crate) fn new(is_enabled: bool, clock: Arc<dyn Clock>) -> Arc<Self> {
        let gate = is_enabled.then(|| Mutex::new(ProgramGate::new(clock.now())));
        Arc::new(Self { gate, clock })
    }

    /// Whether programs are admitted by measured delay.
    pub(crate) fn is_enabled(&self) -> bool {
        self.gate.is_some()
    }

    fn gate(&self) -> Option<MutexGuard<'_, ProgramGate>> {
        Some(self.gate.as_ref()?.lock().expect("no panic while locked"))
    }

    /// Admits a call. Returns a timer if it is a turn of a program. `own_parts` is the number of
    /// parts of the prompt after the shared ones.
    pub(crate) fn admit(
        self: &Arc<Self>,
        route: &Route,
        head: &CallHead,
        team: Option<&Team>,
        own_parts: impl FnOnce() -> usize,
    ) -> Result<Option<TurnTimer>, Refusal> {
        let Some(program) = &head.program else { return Ok(None) };
        let Some(mut gate) = self.gate() else { return Ok(None) };
        let now = self.clock.now();
        let is_turn = matches!(route.kind, RouteKind::Stream { .. });
        // A program that calls a tool is under way.
        let is_under_way = !is_turn
            || gate.knows(&program.id)
            || continues(program)
            || head.last_event.is_some()
            || own_parts() > 1;
        if is_under_way {
            gate.note_program(&program.id, now);
        } else {
            let team = team.map_or_else(|| "".into(), |t| t.name.clone());
            let class = ProgramClass { team, route: route.name.clone() };
            let turn =
                FirstTurn { program: &program.id, class: &class, time_left: program.time_left };
            gate.admit(turn, rand::random(), now).map_err(|after| refuse(&class, after))?;
        }
        if !is_turn {
            return Ok(None);
        }
        gate.turn_opened();
        Ok(Some(TurnTimer {
            admission: self.clone(),
            route: route.name.clone(),
            work: f64::from(
                BASE_TOKENS + head.prompt_tokens / PROMPT_DISCOUNT + head.max_output_tokens,
            ),
            started: Instant::now(),
            is_complete: false,
        }))
    }

    /// Takes the load since the last heartbeat; `None` if programs are not admitted by measured
    /// delay.
    pub(crate) fn take_load(&self) -> Option<peer::ProgramLoad> {
        let now = self.clock.now();
        let mut gate = self.gate()?;
        if let Some(per_second) = gate.per_second(now) {
            metrics::gauge!("poplarspan_relay_program_rate").set(per_second);
        }
        Some(write_load(gate.take_load(now)))
    }

    /// Applies the allowance in an answer. Without one, the last one stays in effect: a new leader
    /// sends none until it has heard from all fronts.
    pub(crate) fn apply(&self, allowance: Option<&peer::ProgramAllowance>) {
        let now = self.clock.now();
        if let (Some(allowance), Some(mut gate)) = (allowance, self.gate()) {
            gate.set_allowance(read_allowance(allowance), now);
        }
    }
}

/// Whether the head of a call names an earlier turn of its program.
fn continues(program: &ProgramHead) -> bool {
    program.previous_turn.is_some()
}

fn refuse(class: &ProgramClass, after: Duration) -> Refusal {
    let (team, route) = (class.team.to_string(), class.route.to_string());
    metrics::counter!("poplarspan_relay_program_refusals_total", "team" => team, "route" => route)
        .increment(1);
    let message = "the programs under way leave no room for another one that would be in time";
    Refusal::retry_later("overloaded", message, after)
}

fn write_load(load: LoadReport) -> peer::ProgramLoad {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let arrivals = load.arrivals.into_iter().map(|a| peer::ProgramClass {
        team: a.class.team.to_string(),
        route: a.class.route.to_string(),
        amount: a.arrived,
    });
    peer::ProgramLoad {
        active: load.active,
        begun: load.begun,
        refused: load.refused,
        turns: load.turns,
        duration_ms: millis(load.duration),
        idle_ms: millis(load.idle),
        arrivals: arrivals.collect(),
    }
}

fn read_allowance(allowance: &peer::ProgramAllowance) -> Allowance {
    let fraction = |c: &peer::ProgramClass| {
        let class = ProgramClass { team: (&*c.team).into(), route: (&*c.route).into() };
        (class, f64::from(c.amount) / MILLION)
    };
    let mut fractions: Vec<_> = allowance.fractions.iter().map(fraction).collect();
    fractions.sort_by(|(a, _), (b, _)| a.cmp(b));
    let per_second = allowance.per_second.map(f64::from).filter(|rate| rate.is_finite());
    let retry_after = Duration::from_millis(allowance.retry_after_ms.into());
    Allowance { per_second, retry_after, fractions }
}
