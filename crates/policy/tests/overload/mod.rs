//! Replays programs at many fronts whose turns slow each other down.

mod callers;

use std::time::Duration;

pub use callers::{Phase, replay_callers};
use poplarspan_policy::{
    Name,
    admission::{Allowance, FirstTurn, LoadReport, ProgramClass, ProgramGate, ProgramLimiter},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Step of the replay, in seconds.
const STEP: f64 = 0.01;
/// Steps between two heartbeats of a front.
const BEAT_STEPS: u32 = 25;
/// Open turns at which turns take 1.3 times their idle time.
const KNEE: f64 = 250.0;
/// Open turns that the fleet serves with turns slowed 1.5 times, per idle time: the most programs
/// that end in time.
const USABLE: f64 = 0.86 * KNEE;
/// Pause between two turns of a program, in seconds.
const PAUSE: f64 = 0.03;
/// Turns of a program of each kind, and the fraction of the programs.
const KINDS: [(&str, usize, f64); 2] = [("short", 4, 0.7), ("long", 11, 0.3)];
/// Idle time of a turn, in seconds.
const TURN: std::ops::Range<f64> = 0.2..0.45;
/// Fractions of the programs of the teams.
pub const TEAMS: [f64; 6] = [0.3, 0.25, 0.15, 0.15, 0.1, 0.05];

/// Programs per second that the fleet completes in time.
fn capacity() -> f64 {
    let turns: f64 = KINDS.iter().map(|(_, turns, part)| *turns as f64 * part).sum();
    USABLE / (turns * (TURN.start + TURN.end) / 2.0)
}

/// Arrivals relative to [`capacity`], by time in seconds, team and kind.
pub type Rate = fn(f64, usize, usize) -> f64;

/// A load of programs.
#[derive(Clone)]
pub struct Load {
    pub fronts: usize,
    pub seconds: f64,
    pub rate: Rate,
    /// Whether programs are admitted by the policy, or all.
    pub is_limited: bool,
    /// Whether refused callers come back.
    pub returns: bool,
    pub seed: u64,
}

/// Result of one program.
#[derive(Clone, Debug)]
pub struct Program {
    pub arrived: f64,
    pub team: usize,
    pub kind: usize,
    pub in_time: bool,
    pub is_refused: bool,
}

struct Running {
    name: Name,
    arrived: f64,
    team: usize,
    kind: usize,
    turns: Vec<f64>,
    next: usize,
    front: usize,
    /// Work left in the open turn, in seconds; `None` between turns.
    left: Option<f64>,
    opened: f64,
    /// When the next turn begins, or the caller comes back.
    resumes: f64,
    deadline: f64,
    is_admitted: bool,
}

struct Fleet {
    gates: Vec<ProgramGate>,
    limiter: ProgramLimiter,
    reports: Vec<(u32, usize, LoadReport)>,
    answers: Vec<(u32, usize, Allowance)>,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn class(team: usize, kind: usize) -> ProgramClass {
    ProgramClass { team: format!("team{team}").into(), route: KINDS[kind].0.into() }
}

impl Fleet {
    fn new(fronts: usize) -> Self {
        let mut limiter = ProgramLimiter::new(at(1.0), at(0.0));
        limiter.set_slots(704);
        let gates = vec![ProgramGate::new(at(0.0)); fronts];
        Self { gates, limiter, reports: Vec::new(), answers: Vec::new() }
    }

    /// Exchanges heartbeats. A report and its answer take up to an eighth of a second each.
    fn beat(&mut self, step: u32, rng: &mut StdRng) {
        let now = at(f64::from(step) * STEP);
        for (n, gate) in self.gates.iter_mut().enumerate() {
            if (step + n as u32 * 7).is_multiple_of(BEAT_STEPS) {
                self.reports.push((step + rng.random_range(1..13), n, gate.take_load(now)));
            }
        }
        let due = |list: &mut Vec<_>| -> Vec<(u32, usize, _)> {
            list.extract_if(.., |(due, ..): &mut (u32, usize, _)| *due <= step).collect()
        };
        for (_, n, report) in due(&mut self.reports) {
            let allowed = self.limiter.report(&format!("front{n}").into(), &report, now);
            self.answers.extend(allowed.map(|a| (step + rng.random_range(1..13), n, a)));
        }
        let answers: Vec<_> = self.answers.extract_if(.., |(due, ..)| *due <= step).collect();
        for (_, n, allowed) in answers {
            self.gates[n].set_allowance(allowed, now);
        }
    }
}

/// Replays a load; returns the programs in the order in which they ended.
pub fn replay(load: &Load) -> Vec<Program> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut fleet = Fleet::new(load.fronts);
    let (mut running, mut done): (Vec<Running>, Vec<Program>) = (Vec::new(), Vec::new());
    let mut named = 0u32;
    for step in 0..(load.seconds / STEP) as u32 {
        let now = f64::from(step) * STEP;
        for (team, of_team) in TEAMS.iter().enumerate() {
            for (kind, (_, _, of_kind)) in KINDS.iter().enumerate() {
                let rate = (load.rate)(now, team, kind) * capacity() * of_team * of_kind;
                if rng.random::<f64>() < rate * STEP {
                    named += 1;
                    running.push(arrival(named, now, team, kind, &mut rng));
                }
            }
        }
        if load.is_limited {
            fleet.beat(step, &mut rng);
        }
        let open = running.iter().filter(|p| p.left.is_some()).count() as f64;
        let slowdown = 1.0 + 0.3 * (open / KNEE).powi(2);
        running.retain_mut(|program| {
            let ended = advance(program, &mut fleet, load, now, slowdown, &mut rng);
            done.extend(ended.clone());
            ended.is_none()
        });
    }
    // Programs whose deadline lies behind the end of the replay are not judged.
    let late = running.iter().filter(|p| p.deadline < load.seconds);
    done.extend(late.map(|p| result(p, false, !p.is_admitted)));
    done
}

fn arrival(named: u32, now: f64, team: usize, kind: usize, rng: &mut StdRng) -> Running {
    let turns: Vec<f64> = (0..KINDS[kind].1).map(|_| rng.random_range(TURN)).collect();
    let idle = turns.iter().sum::<f64>() + turns.len() as f64 * PAUSE;
    Running {
        name: format!("program{named}").into(),
        arrived: now,
        team,
        kind,
        turns,
        next: 0,
        front: 0,
        left: None,
        opened: now,
        resumes: now,
        deadline: now + 1.7 * idle + 0.3,
        is_admitted: false,
    }
}

fn result(program: &Running, in_time: bool, is_refused: bool) -> Program {
    let Running { arrived, team, kind, .. } = *program;
    Program { arrived, team, kind, in_time, is_refused }
}

/// Advances a program by one step; returns its result once it has ended.
fn advance(
    program: &mut Running,
    fleet: &mut Fleet,
    load: &Load,
    now: f64,
    slowdown: f64,
    rng: &mut StdRng,
) -> Option<Program> {
    if let Some(left) = &mut program.left {
        *left -= STEP / slowdown;
        if *left > 0.0 {
            return None;
        }
        let work = program.turns[program.next] * 1000.0 * rng.random_range(0.8..1.2);
        let route: Name = KINDS[program.kind].0.into();
        let took = Some(at(now - program.opened));
        fleet.gates[program.front].turn_closed(&route, work, took, at(now));
        program.left = None;
        program.next += 1;
        program.resumes = now + PAUSE;
        let has_ended = program.next == program.turns.len();
        return has_ended.then(|| result(program, now <= program.deadline, false));
    }
    if now < program.resumes {
        return None;
    }
    program.front = rng.random_range(0..load.fronts);
    let gate = &mut fleet.gates[program.front];
    if !program.is_admitted && load.is_limited {
        let class = class(program.team, program.kind);
        let time_left = Some(at((program.deadline - now).max(0.0)));
        let turn = FirstTurn { program: &program.name, class: &class, time_left };
        if let Err(after) = gate.admit(turn, rng.random(), at(now)) {
            program.resumes = now + after.as_secs_f64();
            let needed: f64 = program.turns.iter().sum();
            let gives_up = !load.returns || program.resumes + needed > program.deadline;
            return gives_up.then(|| result(program, false, true));
        }
    }
    program.is_admitted = true;
    gate.turn_opened();
    (program.left, program.opened) = (Some(program.turns[program.next]), now);
    None
}
