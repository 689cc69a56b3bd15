//! Replays callers that each run one program after the other, with turns shorter than a heartbeat.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    admission::{Allowance, FirstTurn, LoadReport, ProgramClass, ProgramGate, ProgramLimiter},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Step of the replay, in milliseconds.
const STEP: u64 = 5;
/// Time between two heartbeats of a front, in milliseconds.
const BEAT: u64 = 250;
/// Duration of a turn while no more than [`CROWD`] are open, in milliseconds.
const TURN: f64 = 45.0;
const CROWD: f64 = 8.0;
/// Turns of a program.
const TURNS: usize = 3;
/// Pause of a refused caller, in milliseconds.
const PAUSE: u64 = 200;

/// How many callers there are within a time, in milliseconds.
pub struct Phase {
    pub callers: usize,
    pub time: u64,
}

struct Caller {
    program: Name,
    front: usize,
    turns_left: usize,
    opened: u64,
    /// Work left in the open turn, in milliseconds; `None` between programs.
    left: Option<f64>,
    resumes: u64,
}

/// Returns the number of programs completed and refused in each phase.
pub fn replay_callers(fronts: usize, phases: &[Phase], seed: u64) -> Vec<(u32, u32)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gates = vec![ProgramGate::new(Duration::ZERO); fronts];
    let mut limiter = ProgramLimiter::new(Duration::from_secs(1), Duration::ZERO);
    let class = ProgramClass { team: "team".into(), route: "crowded".into() };
    let mut reports: Vec<(u64, usize, LoadReport)> = Vec::new();
    let mut answers: Vec<(u64, usize, Allowance)> = Vec::new();
    let (mut callers, mut results): (Vec<Caller>, Vec<(u32, u32)>) = (Vec::new(), Vec::new());
    let (mut ms, mut named) = (0, 0u32);
    for phase in phases {
        let (end, mut result) = (ms + phase.time, (0, 0));
        while ms < end {
            let now = Duration::from_millis(ms);
            for (n, gate) in gates.iter_mut().enumerate() {
                if (ms + n as u64 * 2 * STEP).is_multiple_of(BEAT) {
                    reports.push((ms + rng.random_range(1..20), n, gate.take_load(now)));
                }
            }
            for (_, n, report) in reports.extract_if(.., |(due, ..)| *due <= ms) {
                let allowed = limiter.report(&format!("front{n}").into(), &report, now);
                answers.extend(allowed.map(|a| (ms + rng.random_range(1..20), n, a)));
            }
            for (_, n, allowed) in answers.extract_if(.., |(due, ..)| *due <= ms) {
                gates[n].set_allowance(allowed, now);
            }
            // Callers above the number of the phase leave after their program.
            let idle = |c: &Caller| c.turns_left == 0;
            while callers.len() < phase.callers {
                let program = "".into();
                let front = rng.random_range(0..fronts);
                let resumes = ms + rng.random_range(0..PAUSE);
                let new = Caller { program, front, turns_left: 0, opened: 0, left: None, resumes };
                callers.push(new);
            }
            while callers.len() > phase.callers
                && let Some(at) = callers.iter().position(idle)
            {
                callers.swap_remove(at);
            }
            let open = callers.iter().filter(|c| c.left.is_some()).count() as f64;
            for caller in &mut callers {
                if let Some(left) = &mut caller.left {
                    *left -= STEP as f64 * CROWD / open.max(CROWD);
                    if *left > 0.0 {
                        continue;
                    }
                    let took = Some(Duration::from_millis(ms - caller.opened));
                    gates[caller.front].turn_closed(&class.route, 20.0, took, now);
                    caller.turns_left -= 1;
                    caller.left = None;
                    if caller.turns_left == 0 {
                        result.0 += 1;
                        caller.resumes = ms + STEP;
                        continue;
                    }
                } else if ms < caller.resumes {
                    continue;
                }
                caller.front = rng.random_range(0..fronts);
                let gate = &mut gates[caller.front];
                if caller.turns_left == 0 {
                    named += 1;
                    caller.program = format!("program{named}").into();
                    let turn =
                        FirstTurn { program: &caller.program, class: &class, time_left: None };
                    if gate.admit(turn, rng.random(), now).is_err() {
                        result.1 += 1;
                        caller.resumes = ms + PAUSE;
                        continue;
                    }
                    caller.turns_left = TURNS;
                }
                gate.turn_opened();
                (caller.left, caller.opened) = (Some(TURN * rng.random_range(1.0..1.1)), ms);
            }
            ms += STEP;
        }
        results.push(result);
    }
    results
}
