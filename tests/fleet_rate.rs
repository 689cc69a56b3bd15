//! Guards against a team that exceeds its rate by calling many instances.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::{
    Fleet,
    calls::{CallFleet, CallResponse},
};
use tokio::time::Instant;

const RATE: u32 = 40;
const BURST: u32 = 40;

async fn limited() -> CallFleet {
    let mock_endpoints: &[(&str, &str, &[&str])] = &[("orders-1", "service", &[])];
    Fleet::configured(3, mock_endpoints, |fleet| fleet.objects.rate = (RATE, BURST)).await
}

/// Sends calls of one team to one instance at a fixed interval; returns the responses.
async fn send(
    fleet: &Fleet,
    i: usize,
    key: &str,
    pace: Duration,
    until: Instant,
) -> Vec<CallResponse> {
    let mut calls = Vec::new();
    let url = format!("http://{}/orders", fleet.members[i].entry);
    while Instant::now() < until {
        let call = fleet.client.get(&url).bearer_auth(key).header("idempotency-key", key);
        let call = call.header("x-poplarspan-deadline", 3000).timeout(Duration::from_secs(30));
        calls.push(tokio::spawn(async move {
            let answer = call.send().await.ok()?;
            let (status, headers) = (answer.status(), answer.headers().clone());
            Some(CallResponse {
                status,
                headers,
                body: answer.text().await.map_err(|e| e.to_string()),
            })
        }));
        tokio::time::sleep(pace).await;
    }
    let answers = futures::future::join_all(calls).await;
    // Calls to a killed instance have no response.
    answers.into_iter().filter_map(|answer| answer.expect("task panicked")).collect()
}

/// Number of calls with this key that reached the service.
async fn reached(fleet: &Fleet, key: &str) -> u64 {
    let list: Value = fleet.try_query_mock_endpoint(0, "/executions").await.expect("not a list");
    let counted = list.as_array().expect("not a list").iter().find(|e| e["key"] == key);
    counted.map_or(0, |e| e["executions"].as_u64().expect("not a count"))
}

fn check_bound(reached: u64, started: Instant) {
    let limit = f64::from(BURST) + f64::from(RATE) * started.elapsed().as_secs_f64();
    assert!(
        reached as f64 <= limit,
        "{reached} calls reached the service; the rate allows {limit}"
    );
    assert!(reached > u64::from(RATE), "only {reached} calls reached the service");
}

/// The instances together must keep to the rate of a team, and must not refuse another team within
/// its rate.
#[tokio::test(flavor = "multi_thread")]
async fn greedy_team() {
    let fleet = limited().await;
    let (greedy, modest) = (fleet.objects.team_key(), fleet.objects.second_key());
    let started = Instant::now();
    let until = started + Duration::from_secs(5);
    let pace = Duration::from_millis(25);
    let (a, b, c, d, other) = tokio::join!(
        send(&fleet, 0, greedy, pace, until),
        send(&fleet, 1, greedy, pace, until),
        send(&fleet, 2, greedy, pace, until),
        send(&fleet, 3, greedy, pace, until),
        send(&fleet, 2, modest, pace, until),
    );
    check_bound(reached(&fleet, greedy).await, started);
    for refused in [a, b, c, d].iter().flatten().filter(|response| response.status != 200) {
        // A rate token that arrives just before the deadline leaves no time for the call.
        assert!(["rate_limited", "overloaded", "deadline"].contains(&refused.code().as_str()));
        assert!(refused.ran() == "no" || refused.code() == "deadline", "{refused:?}");
        assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    }
    assert!(other.iter().all(|response| response.status == 200), "{other:?}");
    assert_eq!(reached(&fleet, modest).await, other.len() as u64);
}

/// The new owner of a team's token bucket must not start with a full bucket while grants of the
/// previous owner are still in use.
#[tokio::test(flavor = "multi_thread")]
async fn lost_owner() {
    let mut fleet = limited().await;
    let greedy = fleet.objects.team_key().to_owned();
    let started = Instant::now();
    let pace = Duration::from_millis(25);
    // Any entry instance may own the bucket, so each is killed in turn.
    for killed in 1..4 {
        let until = Instant::now() + Duration::from_secs(4);
        let victim = fleet.members[killed].process.take().expect("instance is not running");
        let kill = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            victim.kill();
        };
        tokio::join!(
            send(&fleet, 0, &greedy, pace, until),
            send(&fleet, 1, &greedy, pace, until),
            send(&fleet, 2, &greedy, pace, until),
            send(&fleet, 3, &greedy, pace, until),
            kill,
        );
        check_bound(reached(&fleet, &greedy).await, started);
        fleet.start_member(killed);
        fleet.wait_ready(killed).await;
    }
    check_bound(reached(&fleet, &greedy).await, started);
}
