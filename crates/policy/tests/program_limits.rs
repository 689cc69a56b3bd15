//! Guards against an overloaded fleet that begins more programs than it can complete in time.
//!
//! Each check replays the same load with today's policy, which admits all programs.

mod overload;

use std::time::Duration;

use poplarspan_policy::{
    Name,
    admission::{Allowance, FirstTurn, LoadReport, ProgramGate, ProgramLimiter},
};

use overload::{Load, Phase, Program, Rate, TEAMS, replay, replay_callers};

const FRONTS: [usize; 3] = [8, 57, 300];
/// Seconds of ordinary load in which the fronts learn the usual times.
const WARM: f64 = 20.0;
/// Burst of the checks, in seconds since the start.
const BURST: std::ops::Range<f64> = WARM..WARM + 6.0;
/// Load of an ordinary day, relative to the capacity.
const ORDINARY: f64 = 0.8;

fn load(fronts: usize, seconds: f64, rate: Rate) -> Load {
    Load { fronts, seconds, rate, is_limited: true, returns: true, seed: 7 }
}

/// Results with the policy and without it.
fn compare(fronts: usize, seconds: f64, rate: Rate) -> [Vec<Program>; 2] {
    let limited = load(fronts, seconds, rate);
    let all = Load { is_limited: false, ..limited.clone() };
    [replay(&limited), replay(&all)]
}

/// Programs that arrived within a time and satisfy a condition.
fn arrived(
    programs: &[Program],
    within: std::ops::Range<f64>,
    is: impl Fn(&Program) -> bool,
) -> Vec<&Program> {
    programs.iter().filter(|p| within.contains(&p.arrived) && is(p)).collect()
}

/// Fraction of programs in time.
fn in_time(programs: &[&Program]) -> f64 {
    let good = programs.iter().filter(|p| p.in_time).count();
    good as f64 / programs.len().max(1) as f64
}

fn ordinary_until_burst(now: f64, burst: f64) -> f64 {
    if now < BURST.start { ORDINARY } else { burst }
}

fn burst_of_kind(now: f64, _team: usize, kind: usize) -> f64 {
    if BURST.contains(&now) && kind == 0 { 3.0 * ORDINARY } else { ORDINARY }
}

fn hot_team(now: f64, team: usize, _kind: usize) -> f64 {
    if BURST.contains(&now) && team == 3 { 6.0 * ORDINARY } else { ORDINARY }
}

/// Goodput of a lasting load must not fall as the load grows, and must not be lower than today's
/// while the fleet has room. Measured noise of the replay is some 5 %.
#[test]
fn lasting_load() {
    const NOISE: f64 = 0.05;
    let rates: [Rate; 4] = [
        |now, _, _| ordinary_until_burst(now, 0.8),
        |now, _, _| ordinary_until_burst(now, 1.0),
        |now, _, _| ordinary_until_burst(now, 1.3),
        |now, _, _| ordinary_until_burst(now, 2.0),
    ];
    for fronts in FRONTS {
        let goodput = |programs: &[Program]| {
            let judged = arrived(programs, WARM + 5.0..50.0, |_| true);
            in_time(&judged) * judged.len() as f64 / (50.0 - WARM - 5.0)
        };
        let results = rates.map(|rate| compare(fronts, 60.0, rate));
        let [limited, all] = [0, 1].map(|n| results.each_ref().map(|r| goodput(&r[n])));
        println!("{fronts} fronts: in time per second {limited:.1?}; all admitted {all:.1?}");
        assert!(limited[0] >= (1.0 - NOISE) * all[0], "fewer in time at an ordinary load");
        for pair in limited.windows(2) {
            assert!(pair[1] >= (1.0 - NOISE) * pair[0], "{fronts} fronts: {limited:?}");
        }
    }
}

/// After a burst of one kind, new programs must be in time again within 2 s.
#[test]
fn burst_recovery() {
    for fronts in FRONTS {
        let results = compare(fronts, 50.0, burst_of_kind);
        let after = |programs: &[Program]| {
            in_time(&arrived(programs, BURST.end + 2.0..BURST.end + 5.0, |_| true))
        };
        let during = |programs: &[Program]| in_time(&arrived(programs, BURST, |_| true));
        let [limited, all] = results.each_ref().map(|r| (during(r), after(r)));
        println!("{fronts} fronts: in time (during, after) {limited:.2?}; all admitted {all:.2?}");
        assert!(limited.1 >= 0.95, "{fronts} fronts: {limited:?} of the programs in time");
        assert!(limited.0 >= 2.0 * all.0, "{fronts} fronts: {limited:?} with, {all:?} without");
    }
}

/// Two seconds after a burst, no program may be refused of a few callers whose turns are shorter than
/// a heartbeat: more of their programs end in a second than turns are open.
#[test]
fn short_turns_recovery() {
    let phases = [(4, 4_000), (80, 5_000), (0, 2_000), (4, 2_000)];
    let phases = phases.map(|(callers, time)| Phase { callers, time });
    for fronts in [2, 8] {
        for seed in 0..20 {
            let results = replay_callers(fronts, &phases, seed);
            println!("{fronts} fronts, seed {seed}: (completed, refused) {results:?}");
            assert_eq!(results[0].1, 0, "{fronts} fronts, seed {seed}: refused without load");
            assert!(
                results[1].1 > 20,
                "{fronts} fronts, seed {seed}: nothing refused in the burst"
            );
            assert_eq!(results[3].1, 0, "{fronts} fronts, seed {seed}: refused after the burst");
        }
    }
}

/// No kind may fall below a quarter of the fraction that the others have in time, in a burst of one
/// kind.
#[test]
fn worst_kind() {
    for fronts in FRONTS {
        let results = compare(fronts, 50.0, burst_of_kind);
        let kinds = |programs: &[Program]| {
            [0, 1].map(|kind| in_time(&arrived(programs, BURST, |p| p.kind == kind)))
        };
        let [limited, all] = results.each_ref().map(|r| kinds(r));
        println!("{fronts} fronts: short and long kind {limited:.2?}; all admitted {all:.2?}");
        assert!(limited[0] >= 0.25 * limited[1] && limited[1] >= 0.25 * limited[0], "{limited:?}");
    }
}

/// A team that sends several times as much as usual must bear the refusals itself.
#[test]
fn hot_team_surplus() {
    for fronts in FRONTS {
        let results = compare(fronts, 50.0, hot_team);
        let teams = |programs: &[Program]| {
            [0, 1, 2, 3, 4, 5].map(|team| in_time(&arrived(programs, BURST, |p| p.team == team)))
        };
        let [limited, all] = results.each_ref().map(|r| teams(r));
        println!("{fronts} fronts: teams {limited:.2?}; all admitted {all:.2?}");
        for team in (0..TEAMS.len()).filter(|team| *team != 3) {
            assert!(limited[team] > limited[3], "{fronts} fronts, team {team}: {limited:?}");
            assert!(limited[team] >= 0.75, "{fronts} fronts, team {team}: {limited:?}");
        }
    }
}

/// Programs that would have been in time must hardly ever be refused at an ordinary load.
#[test]
fn needless_refusals() {
    for fronts in FRONTS {
        let [limited, all] = compare(fronts, 60.0, |_, _, _| ORDINARY);
        let of = |programs: &[Program]| {
            let judged = arrived(programs, 5.0..50.0, |_| true);
            let refused = judged.iter().filter(|p| p.is_refused).count();
            (in_time(&judged), refused as f64 / judged.len() as f64)
        };
        let (limited, all) = (of(&limited), of(&all));
        println!("{fronts} fronts: (in time, refused) {limited:.3?}; all admitted {all:.3?}");
        assert!(limited.1 <= 0.02, "{fronts} fronts: {limited:?}");
    }
}

/// A front without answers of the leader must lower its rate, but never to zero, and must take the
/// next answer.
#[test]
fn silent_leader() {
    let class = overload::class(0, 0);
    let allowed = Allowance { per_second: Some(40.0), ..Allowance::default() };
    let mut gate = ProgramGate::new(Duration::ZERO);
    gate.set_allowance(allowed.clone(), Duration::ZERO);
    let mut admitted = [0; 4];
    for n in 0u32..400 {
        let now = Duration::from_millis(10) * n;
        let program: Name = format!("program{n}").into();
        let turn = FirstTurn { program: &program, class: &class, time_left: None };
        admitted[n as usize / 100] += u32::from(gate.admit(turn, 0.5, now).is_ok());
        if n % 25 == 0 {
            gate.take_load(now);
        }
    }
    println!("admitted in each second: {admitted:?}");
    assert!(admitted[0] >= 40 && admitted[1] < admitted[0] && admitted[3] <= 10, "{admitted:?}");
    assert!(admitted[3] > 0, "{admitted:?}");
    let now = Duration::from_secs(4);
    gate.set_allowance(allowed, now);
    assert_eq!(gate.per_second(now), Some(40.0));
}

/// A program that comes back too late after a refusal at another front must be refused, also where
/// the allowance admits all of its class at that moment, and must not lower the time that this front
/// expects. Once the refusals are over, no program may be refused for its short time.
#[test]
fn late_return() {
    let class = overload::class(0, 0);
    let mut gate = ProgramGate::new(Duration::ZERO);
    let admits = |gate: &mut ProgramGate, name: &str, left: u64, now: u64| {
        let program: Name = name.into();
        let time_left = Some(Duration::from_millis(left));
        let turn = FirstTurn { program: &program, class: &class, time_left };
        gate.admit(turn, 0.5, Duration::from_millis(now)).is_ok()
    };
    for n in 0..3 {
        assert!(admits(&mut gate, &format!("new{n}"), 3_000 + 10 * n, 100 * n), "{n}");
    }
    let all = Allowance { per_second: Some(100.0), ..Allowance::default() };
    let other = overload::class(1, 0);
    let refusing = Allowance { fractions: vec![(other, 0.5)], ..all.clone() };
    gate.set_allowance(refusing, Duration::from_secs(1));
    for n in 0..10 {
        assert!(!admits(&mut gate, &format!("late{n}"), 2_000, 1_000 + 10 * n), "{n}");
    }
    assert!(admits(&mut gate, "in time", 3_000, 1_200));
    gate.set_allowance(all, Duration::from_millis(1_250));
    assert!(!admits(&mut gate, "late", 2_000, 1_500));
    assert!(admits(&mut gate, "short", 2_000, 3_600));
}

/// A new leader must not lift the limit of its predecessor during an overload: it answers nothing
/// until all fronts have reported, and then begins with the open turns as its limit.
#[test]
fn new_leader() {
    let recovered_at = Duration::from_secs(1);
    let mut limiter = ProgramLimiter::new(recovered_at, Duration::ZERO);
    let report = LoadReport { active: 30, begun: 10, refused: 5, ..LoadReport::default() };
    for n in 0..8u32 {
        let now = Duration::from_millis(125) * n;
        let front: Name = format!("front{}", n % 2).into();
        assert_eq!(limiter.report(&front, &report, now), None);
    }
    let allowed = limiter.report(&"front0".into(), &report, recovered_at).expect("an allowance");
    assert!(allowed.per_second.is_some(), "the limit is lifted");
    assert_eq!(limiter.state().limit, Some(60.0));
}
