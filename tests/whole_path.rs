//! Guards against failures anywhere between a caller and an endpoint, with separate processes.

mod support;

use support::Fleet;

/// Every instance must serve calls, and the turns of one program must stay in order across
/// instances.
#[tokio::test(flavor = "multi_thread")]
async fn turns_in_order() {
    let fleet = Fleet::start(3, 2).await;
    for i in 0..5 {
        let answer = fleet
            .chat(i, &format!("question {i}"))
            .header("x-poplarspan-program", "trip")
            .header("x-poplarspan-turn", i + 1)
            .send()
            .await
            .expect("no response");
        assert_eq!(answer.status(), 200, "{}", answer.text().await.unwrap_or_default());
    }
    let again = fleet
        .chat(2, "question 9")
        .header("x-poplarspan-program", "trip")
        .header("x-poplarspan-turn", 2)
        .send()
        .await
        .expect("no response");
    assert_eq!(again.status(), 409, "an earlier turn with another body");
    let url = format!("http://{}/v1/programs/trip/history", fleet.members[4].entry);
    let history = |key: &str| fleet.client.get(&url).bearer_auth(key).send();
    let own: serde_json::Value = history(fleet.objects.team_key())
        .await
        .expect("no response")
        .json()
        .await
        .expect("not valid JSON");
    let turns: Vec<u64> = own["turns"]
        .as_array()
        .expect("no list of turns")
        .iter()
        .map(|t| t["turn"].as_u64().expect("not a number"))
        .collect();
    assert_eq!(turns, [1, 2, 3, 4, 5]);
    let other = history(fleet.objects.second_key()).await.expect("no response");
    assert_eq!(other.status(), 404, "another team's program");
}

/// A resend at another instance must get the first response, and the order must run once.
#[tokio::test(flavor = "multi_thread")]
async fn order_runs_once() {
    let fleet = Fleet::start(3, 1).await;
    for i in 0..4 {
        let answer = fleet.order(i, "order-1", "{}").send().await.expect("no response");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers().contains_key("x-poplarspan-replay"), i > 0);
    }
    let other = fleet.order(0, "order-1", "[]").send().await.expect("no response");
    assert_eq!(other.status(), 409, "the same key with another body");
    assert_eq!(fleet.executions(1, "order-1").await, 1);
}
