//! Random interleavings of events and faults.

use std::time::Duration;

use poplarspan_agreement::{CoreConfig, Input, MembershipChange, ReplicaId};
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::seq::IndexedRandom;

use super::{Cluster, MAX_REPLICAS, ms};

/// Random actions on a cluster.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Delivers one message; older ones are more likely.
    Deliver,
    /// Completes all writes and delivers all messages in flight.
    DeliverAll,
    AdvanceTime,
    Sync,
    Propose,
    Read,
    Crash,
    Start,
    CutOff,
    Heal,
    Freeze,
    JumpClock,
    ChangeMembers,
    Transfer,
    Compact,
    /// Isolates a leader until another one is elected.
    Depose,
    LoseDisk,
    /// Makes the next step to replace a voter whose disk is lost.
    ReplaceLost,
}

use Action::*;

const ACTIONS: [Action; 18] = [
    Deliver,
    DeliverAll,
    AdvanceTime,
    Sync,
    Propose,
    Read,
    Crash,
    Start,
    CutOff,
    Heal,
    Freeze,
    JumpClock,
    ChangeMembers,
    Transfer,
    Compact,
    Depose,
    LoseDisk,
    ReplaceLost,
];

/// Weights of the actions, in the order of `ACTIONS`.
pub type Mix = [u32; ACTIONS.len()];

/// All faults at moderate rates.
pub const MIXED: Mix = [400, 40, 140, 120, 80, 50, 16, 40, 14, 10, 6, 6, 16, 6, 24, 1, 0, 0];
/// Crashes during unsynced writes.
pub const CRASHES: Mix = [400, 20, 240, 60, 40, 0, 60, 140, 30, 20, 0, 20, 0, 10, 8, 1, 0, 0];
/// Leaders that are isolated before their first entries reach a quorum.
pub const ELECTIONS: Mix = [200, 100, 100, 120, 40, 0, 20, 100, 20, 20, 0, 0, 0, 0, 0, 20, 0, 0];
/// Leaders that are isolated while reads arrive.
pub const READS: Mix = [400, 40, 140, 160, 80, 120, 4, 20, 30, 12, 8, 0, 0, 12, 0, 4, 0, 0];
/// Membership changes while replicas are isolated.
pub const CHANGES: Mix = [400, 40, 140, 120, 60, 20, 8, 40, 24, 12, 0, 0, 60, 8, 24, 1, 0, 0];

/// Lost disks, replaced in one step, while replicas crash and are isolated.
pub const LOSSES: Mix = [400, 150, 140, 120, 80, 20, 6, 60, 14, 30, 4, 0, 0, 4, 12, 3, 20, 200];

/// Derives a configuration with small limits from a seed, so that short runs reach the limits.
fn small_limits(seed: u64) -> impl Fn(&mut CoreConfig) {
    move |cfg| {
        cfg.max_append_bytes = [1, 64, 4096][(seed % 3) as usize];
        cfg.max_inflight_appends = 1 + (seed / 3 % 4) as usize;
        cfg.snapshot_chunk_bytes = 7;
        cfg.trailing_entries = seed / 5 % 3;
        cfg.promote_lag = seed / 7 % 3;
        if seed.is_multiple_of(4) {
            cfg.drift_margin = cfg.election_timeout_min;
        }
    }
}

/// Runs one random interleaving. A leader is first elected without faults, so that the random steps
/// act on a working group.
pub fn run(seed: u64, mix: Mix, steps: usize) {
    let voters = [3, 3, 5, 2, 4, 5, 3, 1][(seed % 8) as usize];
    let mut c = Cluster::new(seed, voters, small_limits(seed / 8));
    c.clock_jumps = (seed / 8).is_multiple_of(4);
    c.run_without_faults(ms(300));
    while c.leaders().is_empty() && c.now < ms(2000) {
        c.run_without_faults(ms(50));
    }
    (c.loss_permille, c.duplicate_permille) =
        (c.rng.random_range(0..60), c.rng.random_range(0..60));
    if c.rng.random_ratio(1, 2) {
        c.append_loss_permille = c.rng.random_range(0..950);
    }
    let weights = WeightedIndex::new(mix).expect("weights are valid");
    for _ in 0..steps {
        let k = weights.sample(&mut c.rng);
        apply_action(&mut c, ACTIONS[k]);
    }
    if seed.is_multiple_of(8) {
        c.heal();
    }
    assert!(
        c.statuses().iter().all(|s| s.violations == 0),
        "the core reported a violated invariant"
    );
}

fn apply_action(c: &mut Cluster, action: Action) {
    let i = c.rng.random_range(0..MAX_REPLICAS);
    match action {
        Deliver if !c.net.is_empty() => {
            let k = c.rng.random_range(0..c.net.len());
            let k = c.rng.random_range(0..=k);
            c.deliver(k);
        }
        Deliver => {}
        DeliverAll => {
            c.deliver_all();
            c.deliver_all();
        }
        AdvanceTime => advance_time(c),
        Sync => {
            let waiting: Vec<_> =
                (0..MAX_REPLICAS).filter(|&i| c.replicas[i].pending.is_some()).collect();
            if let Some(&i) = waiting.choose(&mut c.rng) {
                c.sync(i);
            }
        }
        Propose => {
            let i = pick_leader(c).unwrap_or(i);
            c.propose(i);
        }
        Read => {
            let i = pick_leader(c).unwrap_or(i);
            c.read(i);
        }
        Crash => crash(c, i),
        Start => c.start(i),
        CutOff => cut_off(c),
        Heal => c.blocked_links.clear(),
        Freeze => c.replicas[i].frozen_until = c.now + ms(c.rng.random_range(50..800)),
        JumpClock if c.clock_jumps => {
            c.replicas[i].clock_offset += ms(c.rng.random_range(10..1000))
        }
        JumpClock => {}
        ChangeMembers => change_members(c),
        Transfer => {
            let to = ReplicaId(i as u64 + 1);
            if let Some(leader) = pick_leader(c) {
                c.step(leader, Input::TransferLeadership { to });
            }
        }
        Compact => c.compact(i),
        Depose => depose(c),
        LoseDisk => c.lose_disk(i),
        ReplaceLost => replace_lost(c),
    }
}

/// Kills a replica. With probability 1/2 it is one with an unsynced write, which then restarts
/// immediately with probability 1/2.
fn crash(c: &mut Cluster, i: usize) {
    let unsynced: Vec<_> = (0..MAX_REPLICAS).filter(|&i| c.replicas[i].pending.is_some()).collect();
    match unsynced.choose(&mut c.rng) {
        Some(&i) if c.rng.random_ratio(1, 2) => {
            c.crash(i);
            if c.rng.random_ratio(1, 2) {
                c.start(i);
            }
        }
        _ => c.crash(i),
    }
}

/// Advances the time, usually by up to 30 ms, and ticks most replicas.
fn advance_time(c: &mut Cluster) {
    let most = if c.rng.random_ratio(1, 4) { 300 } else { 30 };
    c.now += Duration::from_millis(c.rng.random_range(1..=most));
    for i in 0..MAX_REPLICAS {
        if c.rng.random_ratio(3, 4) {
            c.step(i, Input::Tick);
        }
    }
}

/// Picks a replica that considers itself leader; a deposed one is as likely as the current one.
fn pick_leader(c: &mut Cluster) -> Option<usize> {
    c.leaders().choose(&mut c.rng).copied()
}

/// Blocks the links of one or two replicas, often of the leader, in one or both directions.
fn cut_off(c: &mut Cluster) {
    let one = match pick_leader(c) {
        Some(leader) if c.rng.random_ratio(1, 2) => leader,
        _ => c.rng.random_range(0..MAX_REPLICAS),
    };
    let mut side = vec![one];
    if c.rng.random_ratio(1, 3) {
        side.push(c.rng.random_range(0..MAX_REPLICAS));
    }
    let (inwards, outwards) = *[(true, true), (true, true), (true, false), (false, true)]
        .choose(&mut c.rng)
        .expect("some");
    for i in 0..MAX_REPLICAS {
        for &j in side.iter().filter(|_| !side.contains(&i)) {
            let (a, b) = (ReplicaId(i as u64 + 1), ReplicaId(j as u64 + 1));
            if inwards {
                c.blocked_links.insert((a, b));
            }
            if outwards {
                c.blocked_links.insert((b, a));
            }
        }
    }
}

/// Isolates a leader until the others elect a new one. With probability 1/2 the old leader is also
/// slow: it is not ticked, and messages to it are delivered only after the election, with reads in
/// between.
fn depose(c: &mut Cluster) {
    let Some(old) = pick_leader(c) else { return };
    let id = c.replicas[old].id;
    c.blocked_links = c.replicas.iter().flat_map(|s| [(s.id, id), (id, s.id)]).collect();
    let slow = c.rng.random_ratio(1, 2);
    for _ in 0..c.rng.random_range(30..100) {
        c.now += ms(10);
        for i in (0..MAX_REPLICAS).filter(|&i| !slow || i != old) {
            c.step(i, Input::Tick);
        }
        deliver_all_except(c, slow.then_some(id));
        if c.leaders().iter().any(|&i| i != old) {
            break;
        }
    }
    if c.rng.random_ratio(1, 2) {
        c.blocked_links.clear();
    }
    if let Some(new) = c.leaders().into_iter().find(|&i| slow && i != old) {
        c.propose(new);
        (0..4).for_each(|_| deliver_all_except(c, Some(id)));
        c.read(old);
        while let Some(k) = c.net.iter().position(|m| m.1 == id) {
            c.deliver(k);
            c.read(old);
        }
    }
}

/// Completes all writes and delivers all messages except those to one replica.
fn deliver_all_except(c: &mut Cluster, id: Option<ReplicaId>) {
    let (late, net) = std::mem::take(&mut c.net).into_iter().partition(|m| Some(m.1) == id);
    c.net = net;
    c.deliver_all();
    c.net.splice(0..0, Vec::into_iter(late));
}

/// Requests from a leader to add a replica as a learner that was no member when a voter lost its disk,
/// or to put it in the place of that voter.
fn replace_lost(c: &mut Cluster) {
    let Some(leader) = pick_leader(c) else { return };
    let Some(core) = &c.replicas[leader].core else { return };
    let membership = core.status().membership;
    let lost = membership.voters.iter().map(|id| &c.replicas[id.0 as usize - 1]);
    let Some((old, lost)) = lost.filter_map(|sim| Some((sim.id, sim.lost.as_ref()?))).next() else {
        return;
    };
    let mut ids = (1..=MAX_REPLICAS as u64).map(ReplicaId);
    let is_new = |id: &ReplicaId| !lost.members.contains(id) && !c.is_lost(*id);
    let Some(new) = ids.find(is_new) else { return };
    let change = if membership.learners.contains(&new) {
        MembershipChange::ReplaceVoter { old, new }
    } else {
        MembershipChange::AddLearner(new)
    };
    let request_id = c.next_request_id();
    c.step(leader, Input::ChangeMembership { change, request_id });
}

/// Requests up to three membership changes from a leader at once.
fn change_members(c: &mut Cluster) {
    let Some(leader) = pick_leader(c) else { return };
    for _ in 0..c.rng.random_range(1..=3) {
        let id = ReplicaId(c.rng.random_range(1..=MAX_REPLICAS as u64));
        let change = match c.rng.random_range(0..3) {
            0 => MembershipChange::AddLearner(id),
            1 => MembershipChange::PromoteLearner(id),
            _ => MembershipChange::RemoveVoter(id),
        };
        let request_id = c.next_request_id();
        c.step(leader, Input::ChangeMembership { change, request_id });
    }
}
