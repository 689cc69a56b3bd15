//! Guards protocol rules of the core that random interleavings rarely exercise. Each test drives a
//! single replica and plays the part of its peers.

use std::time::Duration;

use bytes::Bytes;
use poplarspan_agreement::{
    AppendResult, Core, CoreConfig, Entry, HardState, InitialState, Input, LogPosition, Membership,
    MembershipChange, MembershipChangeError, Message, Output, Payload, ProposalResult, ReadResult,
    ReplicaId, Role, Snapshot,
};

const A: ReplicaId = ReplicaId(2);
const B: ReplicaId = ReplicaId(3);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(index: u64, term: u64) -> LogPosition {
    LogPosition { index, term }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { position: position(index, term), payload: Payload::Command(Bytes::from_static(b"x")) }
}

/// Returns replica 1 of a group with voters `1..=voters`, in term `term` and with entries of the
/// given terms from index 1 on.
fn replica(voters: u64, term: u64, entry_terms: &[u64]) -> Core {
    let ids = (1..=voters).map(ReplicaId).collect();
    let entries = entry_terms.iter().zip(1..).map(|(&term, index)| entry(index, term));
    let initial = InitialState {
        hard_state: HardState { term, vote: None },
        membership: Membership { voters: ids, learners: Vec::new() },
        entries: entries.collect(),
        ..InitialState::default()
    };
    Core::new(CoreConfig::new(ReplicaId(1), 7), initial)
}

fn receive(core: &mut Core, now: u64, from: ReplicaId, message: Message) -> Output {
    core.step(ms(now), Input::Message { from, message })
}

fn append(term: u64, previous: LogPosition, entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append { term, previous, entries, commit }
}

/// Makes the replica the leader at 1 s with the votes of `A` and `B`, and syncs its writes. Returns
/// its term.
fn lead(core: &mut Core) -> u64 {
    core.step(ms(0), Input::Tick);
    core.step(ms(1000), Input::Tick);
    let term = core.status().role.term + 1;
    for from in [A, B] {
        receive(core, 1000, from, Message::PreVoteAnswer { term, granted: true });
    }
    (1..=2).for_each(|sequence| drop(core.step(ms(1000), Input::Synced { sequence })));
    for from in [A, B] {
        receive(core, 1000, from, Message::VoteAnswer { term, granted: true });
    }
    assert_eq!(core.status().role.role, Role::Leader);
    (2..=3).for_each(|sequence| drop(core.step(ms(1000), Input::Synced { sequence })));
    term
}

fn matched(core: &mut Core, now: u64, from: ReplicaId, term: u64, index: u64) -> Output {
    let result = AppendResult::Matched(index);
    receive(core, now, from, Message::AppendAnswer { term, result })
}

fn answers(out: &Output) -> Vec<&Message> {
    out.messages.iter().map(|(_, m)| m).collect()
}

/// Guards against committing an entry of an earlier term because a quorum has it: a later leader
/// may still replace it.
#[test]
fn earlier_terms_not_committed_directly() {
    let mut core = replica(5, 3, &[1, 2]);
    let term = lead(&mut core);
    matched(&mut core, 1000, A, term, 2);
    matched(&mut core, 1000, B, term, 2);
    assert_eq!(core.status().commit, 0);
    matched(&mut core, 1000, A, term, 3);
    let out = matched(&mut core, 1000, B, term, 3);
    assert_eq!(out.apply.len(), 3);
}

/// Guards against two membership changes in flight: until a leader has committed an entry of its
/// term, a change of an earlier leader may be pending.
#[test]
fn changes_refused_before_first_commit() {
    let mut core = replica(3, 1, &[1]);
    let term = lead(&mut core);
    let change = |core: &mut Core, id| {
        let change = MembershipChange::AddLearner(ReplicaId(id));
        core.step(ms(1001), Input::ChangeMembership { change, request_id: id }).proposals[0].1
    };
    let refused = ProposalResult::Refused(MembershipChangeError::TermNotCommitted);
    assert_eq!(change(&mut core, 4), refused);
    matched(&mut core, 1001, A, term, 2);
    assert_eq!(change(&mut core, 4), ProposalResult::Appended(position(3, term)));
    assert_eq!(change(&mut core, 5), ProposalResult::Refused(MembershipChangeError::Pending));
}

/// Guards against committing entries that an append has not verified: its commit index may lie
/// beyond them, where the follower's log may differ from the leader's.
#[test]
fn unchecked_entries_stay_uncommitted() {
    let mut core = replica(3, 1, &[1, 1, 1]);
    receive(&mut core, 0, A, append(2, position(1, 1), Vec::new(), 3));
    assert_eq!(core.status().commit, 1);
}

/// Guards against acknowledging an entry, or counting it as synced, that was replaced before its
/// write was complete.
#[test]
fn replaced_entries_unacknowledged() {
    let mut core = replica(3, 1, &[]);
    receive(&mut core, 0, A, append(1, position(0, 0), vec![entry(1, 1), entry(2, 1)], 0));
    receive(&mut core, 0, A, append(1, position(2, 1), vec![entry(3, 1)], 0));
    receive(&mut core, 0, B, append(2, position(1, 1), vec![entry(2, 2)], 0));
    let first = core.step(ms(0), Input::Synced { sequence: 1 });
    assert_eq!(answers(&first), [] as [&Message; 0]);
    assert_eq!(core.status().stable, 1);
    let second = core.step(ms(0), Input::Synced { sequence: 2 });
    let result = AppendResult::Matched(2);
    assert_eq!(answers(&second), [&Message::AppendAnswer { term: 2, result }]);
}

/// Guards against voting twice in a term: a vote sent before it is synced is lost in a crash. The
/// same holds for a candidate's vote for itself.
#[test]
fn votes_synced_first() {
    let mut core = replica(3, 1, &[]);
    core.step(ms(0), Input::Tick);
    let request = Message::Vote { term: 2, last: position(1, 1), transfer: false };
    let out = receive(&mut core, 301, A, request);
    assert_eq!((answers(&out).len(), out.persist.is_some()), (0, true));
    let out = core.step(ms(301), Input::Synced { sequence: 1 });
    assert_eq!(out.messages, [(A, Message::VoteAnswer { term: 2, granted: true })]);
    core.step(ms(1000), Input::Tick);
    let out = receive(&mut core, 1000, A, Message::PreVoteAnswer { term: 3, granted: true });
    assert_eq!((answers(&out).len(), out.persist.is_some()), (0, true));
    let out = core.step(ms(1000), Input::Synced { sequence: 2 });
    assert_eq!((answers(&out).len(), core.status().role.role), (2, Role::Candidate));
}

/// Guards against stale lease reads: a vote during a leader's lease lets another leader commit
/// while the old one still serves reads.
#[test]
fn votes_respect_leases() {
    let request = Message::Vote { term: 9, last: position(9, 9), transfer: false };
    let granted = |out: &Output| !out.messages.is_empty() || out.persist.is_some();
    let mut core = replica(3, 1, &[1]);
    core.step(ms(0), Input::Tick);
    // The replica may have acknowledged a heartbeat just before its restart.
    assert!(!granted(&receive(&mut core, 290, B, request.clone())));
    receive(&mut core, 291, A, Message::Heartbeat { term: 1, round: 1, commit: 0 });
    assert!(!granted(&receive(&mut core, 590, B, request.clone())));
    let pre_vote = Message::PreVote { term: 9, last: position(9, 9) };
    let refusal = Message::PreVoteAnswer { term: 1, granted: false };
    assert_eq!(answers(&receive(&mut core, 590, B, pre_vote)), [&refusal]);
    assert!(granted(&receive(&mut core, 592, B, request)));
}

/// Guards against reporting a proposal as lost because its entry was truncated here: another
/// replica may still have the entry and commit it.
#[test]
fn truncated_proposals_stay_undecided() {
    let mut core = replica(3, 1, &[]);
    let term = lead(&mut core);
    core.step(ms(1001), Input::Propose { data: Bytes::new(), request_id: 5 });
    let out =
        receive(&mut core, 1002, B, append(term + 1, position(1, term), vec![entry(2, 9)], 1));
    assert_eq!(out.proposals, []);
    let heartbeat = Message::Heartbeat { term: term + 1, round: 1, commit: 2 };
    let out = receive(&mut core, 1003, B, heartbeat);
    assert_eq!(out.proposals, [(5, ProposalResult::Overwritten)]);
}

/// The lease starts when the acknowledged round was sent, and ends permanently with a leadership
/// transfer.
#[test]
fn lease_limits() {
    let mut core = replica(3, 1, &[]);
    let term = lead(&mut core);
    matched(&mut core, 1000, A, term, 1);
    assert!(!core.lease_valid(ms(1000)));
    receive(&mut core, 1200, A, Message::HeartbeatAnswer { term, round: 1 });
    assert!(core.lease_valid(ms(1249)));
    assert!(!core.lease_valid(ms(1250)));
    let ready = core.step(ms(1249), Input::Read { request_id: 1 });
    assert_eq!(ready.reads, [(1, ReadResult::Ready { index: 1 })]);
    let out = core.step(ms(1249), Input::TransferLeadership { to: A });
    assert!(!orders_campaign(&out));
    assert!(core.lease_valid(ms(1249)));
    let out = receive(&mut core, 1249, A, Message::HeartbeatAnswer { term, round: 2 });
    assert_eq!(out.messages, [(A, Message::TimeoutNow { term })]);
    assert!(!core.lease_valid(ms(1249)));
    receive(&mut core, 1250, A, Message::HeartbeatAnswer { term, round: 2 });
    receive(&mut core, 1250, B, Message::HeartbeatAnswer { term, round: 2 });
    assert!(!core.lease_valid(ms(1250)));
}

/// An isolated leader steps down and fails its pending reads.
#[test]
fn leader_steps_down_without_quorum() {
    let mut core = replica(3, 1, &[]);
    let term = lead(&mut core);
    matched(&mut core, 1100, A, term, 1);
    core.step(ms(1390), Input::Read { request_id: 1 });
    assert_eq!(core.step(ms(1399), Input::Tick).role, None);
    let out = core.step(ms(1400), Input::Tick);
    assert_eq!(out.role.map(|r| r.role), Some(Role::Follower));
    assert_eq!(out.reads, [(1, ReadResult::NotLeader { leader: None })]);
}

/// A replica that is not a member must not disturb the group with elections.
#[test]
fn non_members_do_not_campaign() {
    let mut core = Core::new(CoreConfig::new(ReplicaId(9), 1), InitialState::default());
    for now in (0..10_000).step_by(100) {
        assert_eq!(core.step(ms(now), Input::Tick), Output::default());
    }
}

/// Guards against a group without a leader: a removed replica may be the only one with the entry
/// that removes it, and the others cannot win an election against its longer log. It has to lead
/// once to replicate the entry.
#[test]
fn removed_replica_replicates_its_removal() {
    let mut core = replica(2, 1, &[1]);
    let membership = Membership { voters: vec![A], learners: Vec::new() };
    let removal = Entry { position: position(2, 1), payload: Payload::Membership(membership) };
    receive(&mut core, 0, A, append(1, position(1, 1), vec![removal], 1));
    core.step(ms(0), Input::Synced { sequence: 1 });
    let term = lead(&mut core);
    assert_eq!(matched(&mut core, 1001, A, term, 3).apply.len(), 2);
    core.step(ms(1010), Input::Tick);
    assert_eq!(core.status().role.role, Role::Follower);
    for now in (2000..9000).step_by(100) {
        assert_eq!(core.step(ms(now), Input::Tick).messages, []);
    }
}

/// Guards against a removed replica that sends pre-vote requests forever because it never learned
/// that its removal is committed.
#[test]
fn removed_peers_informed() {
    let mut core = replica(3, 1, &[]);
    let term = lead(&mut core);
    matched(&mut core, 1000, A, term, 1);
    let change = MembershipChange::RemoveVoter(B);
    core.step(ms(1000), Input::ChangeMembership { change, request_id: 1 });
    matched(&mut core, 1001, B, term, 2);
    matched(&mut core, 1001, A, term, 2);
    core.step(ms(1001), Input::Synced { sequence: 3 });
    let out = core.step(ms(1050), Input::Tick);
    assert!(out.messages.contains(&(B, Message::Heartbeat { term, round: 2, commit: 2 })));
    receive(&mut core, 1060, B, Message::HeartbeatAnswer { term, round: 2 });
    assert_eq!(core.status().peers, [(A, 2)]);
}

/// One sync covers all proposals that arrived during the previous sync.
#[test]
fn group_commit() {
    let mut core = replica(1, 0, &[]);
    core.step(ms(0), Input::Tick);
    core.step(ms(1000), Input::Tick);
    let out = core.step(ms(1000), Input::Synced { sequence: 1 });
    assert_eq!(out.persist.map(|p| (p.sequence, p.entries.len())), Some((2, 1)));
    for request_id in 0..10 {
        let out = core.step(ms(1000), Input::Propose { data: Bytes::new(), request_id });
        assert_eq!((out.persist, out.apply), (None, Vec::new()));
    }
    let out = core.step(ms(1000), Input::Synced { sequence: 2 });
    assert_eq!(out.persist.map(|p| p.entries.len()), Some(10));
    assert_eq!(core.step(ms(1000), Input::Synced { sequence: 3 }).apply.len(), 10);
}

/// Unanswered appends to a peer stay within the configured count and size.
#[test]
fn appends_bounded() {
    let mut core = replica(3, 1, &[]);
    let term = lead(&mut core);
    matched(&mut core, 1000, A, term, 1);
    let data = Bytes::from(vec![0; 100 * 1024]);
    let mut sent = Vec::new();
    for request_id in 0..40 {
        let propose = Input::Propose { data: data.clone(), request_id };
        sent.extend(core.step(ms(1000), propose).messages);
    }
    assert_eq!(sent.iter().filter(|m| m.0 == A).count(), 16);
    let out = matched(&mut core, 1000, A, term, 17);
    let sizes: Vec<_> = answers(&out)
        .into_iter()
        .filter_map(|m| {
            if let Message::Append { entries, .. } = m { Some(entries.len()) } else { None }
        })
        .collect();
    assert!(!sizes.is_empty() && sizes.iter().all(|&n| n <= 2), "entries per append: {sizes:?}");
}

/// After a mismatch, the leader skips a whole term instead of a single entry.
#[test]
fn backs_off_by_terms() {
    let mut core = replica(3, 9, &[vec![1; 50], vec![5; 50]].concat());
    let term = lead(&mut core);
    let hint = position(100, 3);
    let result = AppendResult::Mismatch { rejected: 100, hint };
    let out = receive(&mut core, 1000, A, Message::AppendAnswer { term, result });
    let Some(Message::Append { previous, .. }) = answers(&out).first() else { panic!("{out:?}") };
    assert_eq!(*previous, position(50, 1));
}

/// After a restart, a leader has no snapshot in memory and must ask the driver for one.
#[test]
fn snapshot_wanted() {
    let initial = InitialState {
        snapshot: position(10, 1),
        membership: Membership { voters: vec![ReplicaId(1), A, B], learners: Vec::new() },
        hard_state: HardState { term: 1, vote: None },
        entries: Vec::new(),
    };
    let mut core = Core::new(CoreConfig::new(ReplicaId(1), 7), initial);
    let term = lead(&mut core);
    let result = AppendResult::Mismatch { rejected: 10, hint: position(2, 1) };
    let out = receive(&mut core, 1000, A, Message::AppendAnswer { term, result });
    assert!(out.snapshot_wanted);
    let snapshot =
        Snapshot { last: position(10, 0), membership: Membership::default(), data: Bytes::new() };
    let out = core.step(ms(1000), Input::Compact { snapshot });
    let chunk = answers(&out).into_iter().find_map(|m| match m {
        Message::SnapshotChunk { last, done, .. } => Some((*last, *done)),
        _ => None,
    });
    assert_eq!(chunk, Some((position(10, 1), true)));
}

/// Guards against a large entry that is sent again with each heartbeat, faster than a peer can take
/// it: probes contain small entries only.
#[test]
fn probes_stay_small() {
    let large = Bytes::from(vec![0; 1 << 20]);
    let initial = InitialState {
        hard_state: HardState { term: 1, vote: None },
        membership: Membership { voters: vec![ReplicaId(1), A, B], learners: Vec::new() },
        entries: vec![
            entry(1, 1),
            Entry { position: position(2, 1), payload: Payload::Command(large) },
        ],
        ..InitialState::default()
    };
    let mut core = Core::new(CoreConfig::new(ReplicaId(1), 7), initial);
    let term = lead(&mut core);
    let entries_to_a = |out: &Output| -> usize {
        let entries = out.messages.iter().map(|(to, m)| match m {
            Message::Append { entries, .. } if *to == A => entries.len(),
            _ => 0,
        });
        entries.sum()
    };
    let result = AppendResult::Mismatch { rejected: 2, hint: position(1, 1) };
    let out = receive(&mut core, 1000, A, Message::AppendAnswer { term, result });
    assert_eq!(entries_to_a(&out), 0, "a probe contains the large entry");
    for round in 1..=20 {
        let now = 1000 + 50 * round;
        core.step(ms(now), Input::Tick);
        let heartbeat = Message::HeartbeatAnswer { term, round };
        let out = receive(&mut core, now, A, heartbeat.clone());
        assert!(!out.messages.is_empty(), "a lost probe is not repeated");
        assert_eq!(entries_to_a(&out), 0, "a probe contains the large entry");
        receive(&mut core, now, B, heartbeat);
    }
    // Once the position is known, the large entry and the first one of the term are sent once.
    assert_eq!(entries_to_a(&matched(&mut core, 2000, A, term, 1)), 2);
    let heartbeat = Message::HeartbeatAnswer { term, round: 20 };
    assert_eq!(entries_to_a(&receive(&mut core, 2000, A, heartbeat)), 0);
}

/// Answers the last heartbeat round of a leader from `from`.
fn heartbeat_answered(core: &mut Core, now: u64, from: ReplicaId, out: &Output) -> Output {
    let round = out.messages.iter().find_map(|(to, message)| match message {
        Message::Heartbeat { term, round, .. } if *to == from => Some((*term, *round)),
        _ => None,
    });
    let (term, round) = round.expect("a heartbeat");
    receive(core, now, from, Message::HeartbeatAnswer { term, round })
}

fn orders_campaign(out: &Output) -> bool {
    answers(out).iter().any(|m| matches!(m, Message::TimeoutNow { .. }))
}

/// Guards against a leader that gives its lease up for a process that has ended: the target must
/// answer a heartbeat that was sent after the transfer began.
#[test]
fn successor_answers_first() {
    let mut core = replica(3, 1, &[1]);
    let term = lead(&mut core);
    matched(&mut core, 1001, A, term, 2);
    let out = core.step(ms(1002), Input::TransferLeadership { to: A });
    assert!(!orders_campaign(&out), "A has not answered since");
    let out = heartbeat_answered(&mut core, 1003, A, &out);
    assert!(orders_campaign(&out));
}

/// Guards against a leader that stays in its term without a lease, so that nobody serves, because
/// its successor ended after it had been told to campaign.
#[test]
fn lost_successor() {
    let mut core = replica(3, 1, &[1]);
    let term = lead(&mut core);
    matched(&mut core, 1001, A, term, 2);
    let out = core.step(ms(1002), Input::TransferLeadership { to: A });
    heartbeat_answered(&mut core, 1002, B, &out);
    assert!(orders_campaign(&heartbeat_answered(&mut core, 1003, A, &out)));
    let limit = 1002 + CoreConfig::new(A, 7).election_timeout_max.as_millis() as u64;
    for now in (1010..=limit).step_by(10) {
        let out = core.step(ms(now), Input::Tick);
        if answers(&out).iter().any(|m| matches!(m, Message::Heartbeat { .. })) {
            heartbeat_answered(&mut core, now, B, &out);
        }
        assert!(!core.lease_valid(ms(now)), "A may lead");
    }
    let mut out = core.step(ms(limit + 10), Input::Tick);
    assert_eq!(core.status().role.term, term + 1, "the leader goes on without a lease");
    while let Some(persist) = out.persist.take() {
        out = core.step(ms(limit + 10), Input::Synced { sequence: persist.sequence });
    }
    let asks = |m: &Message| matches!(m, Message::Vote { transfer: true, .. });
    assert!(answers(&out).iter().any(|m| asks(m)), "votes are asked for at once");
    let mut out =
        receive(&mut core, limit + 11, B, Message::VoteAnswer { term: term + 1, granted: true });
    assert_eq!(core.status().role.role, Role::Leader);
    while let Some(persist) = out.persist.take() {
        core.step(ms(limit + 11), Input::Synced { sequence: persist.sequence });
    }
    matched(&mut core, limit + 12, B, term + 1, 3);
    let out = core.step(ms(limit + 100), Input::Tick);
    heartbeat_answered(&mut core, limit + 101, B, &out);
    assert!(core.lease_valid(ms(limit + 102)));
}
