//! Guards against calls under a withdrawn key, and against stale status replies, when an instance
//! resumes after a suspension (SIGSTOP) longer than its lease.

mod support;

use std::time::Duration;

use support::{Fleet, eventually, process::Process, traffic::send_call};
use tokio::{task::JoinSet, time::sleep};

const ENTRY: usize = 3;
const SERVICE: usize = 1;
/// Longer than a lease of 2 s.
const FREEZE_TIME: Duration = Duration::from_millis(3500);
const CALLS: usize = 24;

fn process(fleet: &Fleet, i: usize) -> &Process {
    fleet.members[i].process.as_ref().expect("instance is not running")
}

/// Calls that an instance had accepted before the suspension, or receives when it resumes, must not
/// run if the key was withdrawn in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_meanwhile() {
    let mut fleet = Fleet::prepare(3, 1).await;
    fleet.add_mock_endpoint("engine-1", "engine", &[]);
    fleet.add_mock_endpoint("orders-1", "service", &["--delay", "300ms"]);
    fleet.objects.capacity = 8;
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    check_frozen(&mut fleet, ENTRY).await;
}

/// The same for the leader of group 0, which must not continue to act as leader either.
#[tokio::test(flavor = "multi_thread")]
async fn leader_frozen() {
    let mut fleet = Fleet::prepare(3, 0).await;
    fleet.add_mock_endpoint("engine-1", "engine", &[]);
    fleet.add_mock_endpoint("orders-1", "service", &["--delay", "300ms"]);
    fleet.objects.capacity = 8;
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    let leader = fleet.wait_group_leader(0, 0).await;
    check_frozen(&mut fleet, leader).await;
}

async fn check_frozen(fleet: &mut Fleet, frozen: usize) {
    let mut calls = JoinSet::new();
    let send = |fleet: &Fleet, calls: &mut JoinSet<_>, when: &str| {
        for n in 0..CALLS {
            calls.spawn(send_call(fleet.order(frozen, &format!("{when}-{n}"), "{}")));
        }
    };
    // More calls than the service accepts at once, so that some are queued in the instance.
    send(fleet, &mut calls, "before");
    eventually("the first executions", async || !fleet.all_executions(SERVICE).await.is_empty())
        .await;
    process(fleet, frozen).freeze();
    send(fleet, &mut calls, "meanwhile");
    fleet.objects.withdrawn = true;
    let through = (0..3).find(|i| *i != frozen).expect("no other replica");
    let generation = fleet.generation();
    // Returns once the withdrawal is in force, after the end of the lease.
    fleet.publish(through, generation, "withdrawal").success();
    fleet.set_published_generation(generation + 1);
    sleep(FREEZE_TIME).await;
    let ran = fleet.all_executions(SERVICE).await;
    process(fleet, frozen).resume();
    if frozen != ENTRY {
        for _ in 0..3 {
            let status = fleet.operator().with_timeout("1s").status(frozen);
            assert!(status.is_null() || status["generation"] == generation + 1, "{status}");
        }
    }
    send(fleet, &mut calls, "after");
    let mut answered = 0;
    while let Some(answer) = calls.join_next().await {
        answered += usize::from(answer.expect("task panicked").status == 200);
    }
    assert!(answered <= ran.len(), "{answered} answers, {ran:?}");
    assert_eq!(fleet.all_executions(SERVICE).await, ran, "calls that ran after the withdrawal");
    fleet.wait_ready(frozen).await;
    fleet.wait_generation(frozen, generation + 1).await;
    let url = format!("http://{}/v1/models", fleet.members[frozen].entry);
    let models = |key: &str| send_call(fleet.client.get(&url).bearer_auth(key));
    assert!(models(fleet.objects.team_key()).await.is("unauthorized", "no"));
    assert_eq!(models(fleet.objects.second_key()).await.status, 200, "other keys must be accepted");
}
