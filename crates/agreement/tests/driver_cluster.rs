//! Guards against lost, duplicated or reordered commands when replicas stop, restart, change
//! leaders and are replaced.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::cluster::{Cluster, numbered, until_accepted};
use poplarspan_agreement::{GroupHandle, NodeConfig, ProposeError, ReadError, ReplicaId};

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn proposals_survive_restart() {
    let mut cluster = Cluster::start(3, NodeConfig::default()).await;
    let commands = numbered(100);
    for command in &commands[..10] {
        cluster.propose(command).await;
    }
    cluster.propose_all(&commands[10..]).await;
    let journal = cluster.journal_of(&commands).await;
    for id in cluster.running() {
        cluster.kill(id).await;
    }
    for id in 1..=3 {
        cluster.start_node(ReplicaId(id)).await;
    }
    assert!(cluster.journal().await == journal, "the commands or their order have changed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn single_replica_restarts_after_ten_thousand_entries() {
    let cfg = NodeConfig { snapshot_entries: 1_000_000, ..NodeConfig::default() };
    let mut cluster = Cluster::start(1, cfg).await;
    let commands = numbered(10_000);
    for chunk in commands.chunks(1000) {
        cluster.propose_all(chunk).await;
    }
    let journal = cluster.journal_of(&commands).await;
    cluster.kill(ReplicaId(1)).await;
    cluster.start_node(ReplicaId(1)).await;
    assert!(cluster.journal().await == journal, "the commands or their order have changed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn follower_with_old_log_catches_up_by_snapshot() {
    let cfg = NodeConfig { snapshot_entries: 50, trailing_entries: 10, ..NodeConfig::default() };
    let mut cluster = Cluster::start(3, cfg).await;
    let commands = numbered(2000);
    cluster.propose_all(&commands[..100]).await;
    let leader = cluster.leader().await;
    let lagging = cluster.running().into_iter().find(|id| *id != leader).expect("follower");
    cluster.kill(lagging).await;
    for chunk in commands[100..].chunks(100) {
        cluster.propose_all(chunk).await;
    }
    let journal = cluster.journal_of(&commands).await;
    let leader = cluster.leader().await;
    let status = cluster.group(leader).status().await.expect("running");
    assert!(status.core.snapshot.index > 500, "{status:?}");
    cluster.start_node(lagging).await;
    cluster.wait_applied(lagging, cluster.applied(leader).await).await;
    // To read the follower's own copy, make it the leader; read again after a restart.
    until_accepted(|| async {
        let leader = cluster.leader().await;
        cluster.group(leader).transfer_leadership(lagging).await.map_err(|e| match e {
            ProposeError::Unknown => ProposeError::NotLeader { leader: None },
            e => e,
        })
    })
    .await;
    assert!(cluster.journal().await == journal, "the commands or their order have changed");
    for id in cluster.running() {
        cluster.kill(id).await;
    }
    for id in 1..=3 {
        cluster.start_node(ReplicaId(id)).await;
    }
    assert!(cluster.journal().await == journal, "the commands or their order have changed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn voter_is_replaced() {
    let cfg = NodeConfig { snapshot_entries: 50, trailing_entries: 10, ..NodeConfig::default() };
    let mut cluster = Cluster::start(3, cfg).await;
    let commands = numbered(300);
    cluster.propose_all(&commands[..200]).await;
    let leader = cluster.leader().await;
    let old = cluster.running().into_iter().find(|id| *id != leader).expect("follower");
    let new = ReplicaId(4);
    cluster.kill(old).await;
    cluster.init(new, &[]).await;
    cluster.start_node(new).await;
    let leader = || async { cluster.group(cluster.leader().await) };
    let add = |group: GroupHandle| async move { group.add_learner(new).await };
    cluster.change_members(add, |m| m.learners.contains(&new)).await;
    let promote = |group: GroupHandle| async move { group.promote_learner(new).await };
    cluster.change_members(promote, |m| m.voters.contains(&new)).await;
    let remove = |group: GroupHandle| async move { group.remove_member(old).await };
    cluster.change_members(remove, |m| !m.voters.contains(&old)).await;
    cluster.propose_all(&commands[200..]).await;
    let journal = cluster.journal_of(&commands).await;
    let status = leader().await.status().await.expect("running");
    let mut voters: Vec<_> = (1..=4).map(ReplicaId).filter(|id| *id != old).collect();
    assert_eq!(status.core.membership.voters, voters);
    // With one of the original voters stopped, the group has a quorum only with the new voter.
    voters.retain(|id| *id != new);
    cluster.kill(voters[0]).await;
    assert!(cluster.journal().await == journal, "the commands or their order have changed");
    cluster.propose("last").await;
}

/// Proposes distinct commands until `stop` is set. Returns those that were acknowledged, those that
/// were refused and those with an unknown outcome.
async fn write(
    handles: Vec<poplarspan_agreement::GroupHandle>,
    writer: usize,
    stop: Arc<AtomicBool>,
) -> [Vec<String>; 3] {
    let mut outcomes = [const { Vec::new() }; 3];
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let command = format!("{writer} {i}");
        let handle = &handles[i % handles.len()];
        let outcome = match handle.propose(Bytes::from(command.clone())).await {
            Ok(_) => 0,
            Err(ProposeError::Unknown) => 2,
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(1)).await;
                1
            }
        };
        outcomes[outcome].push(command);
    }
    outcomes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn leader_changes_under_proposals() {
    let cfg = NodeConfig { snapshot_entries: 200, trailing_entries: 50, ..NodeConfig::default() };
    let mut cluster = Cluster::start(3, cfg).await;
    let (mut acknowledged, mut refused, mut unknown) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..6 {
        let stop = Arc::new(AtomicBool::new(false));
        let handles: Vec<_> = cluster.running().into_iter().map(|id| cluster.group(id)).collect();
        let writers: Vec<_> = (0..8)
            .map(|i| tokio::spawn(write(handles.clone(), 10 * round + i, Arc::clone(&stop))))
            .collect();
        let leader = cluster.leader().await;
        cluster.wait_applied(leader, cluster.applied(leader).await + 200).await;
        match round % 3 {
            0 => cluster.kill(leader).await,
            1 => cluster.shutdown(leader).await,
            _ => cluster.network.isolate(leader, true),
        }
        if round % 3 == 2 {
            let old = cluster.group(leader);
            while old.read_barrier().await != Err(ReadError::NotLeader { leader: None }) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let next = cluster.leader().await;
        cluster.wait_applied(next, cluster.applied(next).await + 100).await;
        cluster.network.isolate(leader, false);
        stop.store(true, Ordering::Relaxed);
        for writer in writers {
            let [ok, no, maybe] = writer.await.expect("no panic");
            acknowledged.extend(ok);
            refused.extend(no);
            unknown.extend(maybe);
        }
        if !cluster.running().contains(&leader) {
            cluster.start_node(leader).await;
        }
    }
    let mut journal = cluster.journal().await;
    journal.sort();
    let executed = journal.len();
    journal.dedup();
    assert_eq!(executed, journal.len(), "a command was executed twice");
    let was_executed = |command: &String| journal.binary_search(command).is_ok();
    assert!(acknowledged.iter().all(was_executed), "an acknowledged command is lost");
    assert!(!refused.iter().any(was_executed), "a refused command was executed");
    let total = acknowledged.len() + unknown.iter().filter(|c| was_executed(c)).count();
    assert_eq!(executed, total, "a command was executed that was not proposed");
    assert!(acknowledged.len() > 1000);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn shutdown_transfers_leadership() {
    let mut cluster = Cluster::start(3, NodeConfig::default()).await;
    let leader = cluster.leader().await;
    cluster.propose("before").await;
    let survivors: Vec<_> = cluster.running().into_iter().filter(|id| *id != leader).collect();
    let term = cluster.group(leader).watch().borrow().term;
    let old = cluster.group(leader);
    cluster.shutdown(leader).await;
    let views: Vec<_> = survivors.iter().map(|id| *cluster.group(*id).watch().borrow()).collect();
    assert!(views.iter().any(|v| v.term > term), "{views:?}");
    assert_eq!(old.propose(Bytes::new()).await, Err(ProposeError::Stopped));
    assert_eq!(old.read_barrier().await, Err(ReadError::Stopped));
    cluster.propose("after").await;
    assert_eq!(cluster.journal().await, ["before", "after"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn replica_with_lost_folder_is_refused() {
    let mut cluster = Cluster::start(3, NodeConfig::default()).await;
    cluster.propose("first").await;
    let leader = cluster.leader().await;
    let lost = cluster.running().into_iter().find(|id| *id != leader).expect("follower");
    // Each replica records a peer's folder when it first receives a message from that peer.
    for id in cluster.running() {
        cluster.wait_applied(id, cluster.applied(leader).await).await;
    }
    cluster.kill(lost).await;
    std::fs::remove_dir_all(cluster.path(lost)).expect("removed");
    let voters: Vec<_> = (1..=3).map(ReplicaId).collect();
    cluster.init(lost, &voters).await;
    cluster.start_node(lost).await;
    let third = cluster.running().into_iter().find(|id| *id != leader && *id != lost);
    // Without the third replica, the leader needs answers of the lost one, which it must drop.
    cluster.kill(third.expect("third replica")).await;
    let old = cluster.group(leader);
    while old.read_barrier().await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(matches!(
        old.propose(Bytes::new()).await,
        Err(ProposeError::NotLeader { .. } | ProposeError::Unknown)
    ));
}
