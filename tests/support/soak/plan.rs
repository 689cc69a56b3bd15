//! Fault schedule of one run, generated from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::platform::proxy::Mode;

/// Faults of machines begin before this time.
pub const LAST_FAULT_START: Duration = Duration::from_millis(7_000);
/// All faults are ended at this time.
pub const FAULTS_END: Duration = Duration::from_millis(11_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    Control,
    Store,
    Front,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Kill,
    /// SIGTERM.
    Terminate,
    /// Empties the data folder of a machine whose process is not running.
    Wipe,
    Start,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGHUP.
    Reload,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Machine(Group, usize, Action),
    /// Sets the mode of a link: 0 and 1 lead to the fronts, 2 to 4 to the servers.
    Link(usize, Mode),
    Reset(usize),
    /// Two operators publish at the same time.
    Publish,
    /// A key is withdrawn.
    Revoke,
}

/// Whether callers send requests that crash every server that runs them.
pub fn has_crashing_requests(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Generates the events of a run, sorted by time.
pub fn generate(seed: u64) -> Vec<(Duration, Event)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let ms = Duration::from_millis;
    machines(&mut rng, &mut events, Group::Control);
    machines(&mut rng, &mut events, Group::Store);
    for front in 0..2 {
        outages(&mut rng, &mut events, Group::Front, front, 2);
    }
    for _ in 0..rng.random_range(1..6) {
        let (link, from) = (rng.random_range(0..5), ms(rng.random_range(300..7_000)));
        if rng.random_bool(0.4) {
            events.push((from, Event::Reset(link)));
            continue;
        }
        let modes = [Mode::Delay, Mode::StallUpstream, Mode::StallDownstream, Mode::StallBoth];
        let mode = modes[rng.random_range(0..modes.len())];
        events.push((from, Event::Link(link, mode)));
        events.push((from + ms(rng.random_range(300..3_500)), Event::Link(link, Mode::Pass)));
    }
    for _ in 0..rng.random_range(1..5) {
        events.push((ms(rng.random_range(300..8_000)), Event::Publish));
    }
    if rng.random_bool(0.5) {
        events.push((ms(rng.random_range(500..2_500)), Event::Revoke));
    }
    // Resets to the servers, which lose responses.
    for _ in 0..rng.random_range(4..16) {
        let link = rng.random_range(2..5);
        events.push((ms(rng.random_range(300..9_000)), Event::Reset(link)));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Outages of a group whose machines have disks. Either one machine loses its disk while the others
/// keep running, or every machine may have an outage, also several at a time.
fn machines(rng: &mut SmallRng, events: &mut Vec<(Duration, Event)>, group: Group) {
    let ms = Duration::from_millis;
    let machine = rng.random_range(0..3);
    if rng.random_bool(0.5) {
        let at = ms(rng.random_range(500..6_000));
        let back = at + ms(rng.random_range(50..1_500));
        events.push((at, Event::Machine(group, machine, Action::Kill)));
        events.push((at, Event::Machine(group, machine, Action::Wipe)));
        events.push((back, Event::Machine(group, machine, Action::Start)));
        return;
    }
    for machine in 0..3 {
        outages(rng, events, group, machine, 1);
    }
}

/// Up to `max` outages of a machine, one after another.
fn outages(
    rng: &mut SmallRng,
    events: &mut Vec<(Duration, Event)>,
    group: Group,
    machine: usize,
    max: u32,
) {
    let ms = Duration::from_millis;
    let mut from = ms(rng.random_range(300..5_000));
    for _ in 0..rng.random_range(0..=max) {
        let to = from + ms(rng.random_range(200..3_000));
        let (begin, end) = match rng.random_range(0..4) {
            0 => (Action::Kill, Action::Start),
            1 => (Action::Terminate, Action::Start),
            2 => (Action::Pause, Action::Resume),
            _ => (Action::Reload, Action::Reload),
        };
        if from < LAST_FAULT_START {
            events.push((from, Event::Machine(group, machine, begin)));
            events.push((to, Event::Machine(group, machine, end)));
        }
        from = to + ms(rng.random_range(200..2_000));
    }
}
