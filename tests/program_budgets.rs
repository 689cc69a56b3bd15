//! Guards against programs that exceed their budget, alone or with their sub-agents.

mod support;

use futures::future::join_all;
use serde_json::json;
use support::{
    Fleet,
    calls::{CallFleet, CallResponse},
    eventually,
};

const BUDGET: u64 = 1000;

async fn limited() -> CallFleet {
    let flags: &[&str] = &["--token-interval", "5ms"];
    let engine = [("engine-1", "engine", flags)];
    Fleet::configured(1, &engine, |fleet| fleet.objects.budget_tokens = BUDGET).await
}

/// Tokens that programs have used, summed over their histories.
async fn used(fleet: &Fleet, programs: &[String]) -> u64 {
    let mut sum = 0;
    for program in programs {
        let url = format!("http://{}/v1/programs/{program}/history", fleet.members[0].entry);
        let history = fleet.client.get(url).bearer_auth(fleet.objects.team_key());
        let history: serde_json::Value =
            history.send().await.expect("no response").json().await.expect("not valid JSON");
        let Some(turns) = history["turns"].as_array() else { continue };
        sum += turns.iter().filter_map(|t| t["cost_tokens"].as_u64()).sum::<u64>();
    }
    sum
}

/// Sub-agents that run in parallel at several instances must share one budget.
#[tokio::test(flavor = "multi_thread")]
async fn parallel_agents() {
    let fleet = limited().await;
    let calls = (0..20).map(|n| {
        let call = fleet.chat_with(n % 2, &format!("question {n}"), json!({"max_tokens": 100}));
        let call = call.header("x-poplarspan-program", format!("agent-{n}"));
        CallResponse::fetch(call.header("x-poplarspan-parent", "trip"))
    });
    let answers = join_all(calls).await;
    let done = answers.iter().filter(|response| response.status == 200).count();
    let refused: Vec<_> = answers.iter().filter(|response| response.status != 200).collect();
    assert!((1..=9).contains(&done), "{done} calls of more than 100 tokens each");
    for response in refused {
        assert_eq!(
            response.refusal(),
            ("budget_exceeded".to_owned(), "no".to_owned()),
            "{response:?}"
        );
    }
    let programs: Vec<String> = (0..20).map(|n| format!("trip/agent-{n}")).collect();
    let used = used(&fleet, &programs).await;
    assert!(used <= BUDGET && used >= 100 * done as u64, "{used} tokens of {BUDGET}");
    let more = fleet.chat_with(0, "one more", json!({"max_tokens": 900}));
    let more = CallResponse::fetch(more.header("x-poplarspan-program", "trip")).await;
    assert_eq!(more.code(), "budget_exceeded", "{more:?}");
}

/// A stream that its caller cancels must be charged for the tokens it used: neither for its maximum
/// nor for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_stream() {
    let fleet = limited().await;
    let call = fleet.chat_with(1, "question", json!({"stream": true, "max_tokens": 900}));
    let mut answer =
        call.header("x-poplarspan-program", "trip").send().await.expect("no response head");
    assert_eq!(answer.status(), 200);
    for _ in 0..20 {
        answer.chunk().await.expect("failed to read an event").expect("failed to read an event");
    }
    let early = fleet.chat_with(1, "beside", json!({"max_tokens": 300}));
    let early = early.header("x-poplarspan-program", "aside").header("x-poplarspan-parent", "trip");
    assert_eq!(
        CallResponse::fetch(early).await.code(),
        "budget_exceeded",
        "an open stream must reserve its maximum"
    );
    drop(answer);
    let call = |tokens: u64, i: usize| {
        let call = fleet.chat_with(i, &format!("{tokens} more"), json!({"max_tokens": tokens}));
        CallResponse::fetch(call.header("x-poplarspan-program", "trip"))
    };
    eventually("the reservation of the stream to be released", async || {
        call(300, 0).await.status == 200
    })
    .await;
    let over_budget = call(975, 1).await;
    assert_eq!(
        over_budget.code(),
        "budget_exceeded",
        "the tokens of the stream were not charged: {over_budget:?}"
    );
}

/// A program must not exceed its number of turns.
#[tokio::test(flavor = "multi_thread")]
async fn turn_limit() {
    let engine: &[(&str, &str, &[&str])] = &[("engine-1", "engine", &["--token-interval", "1ms"])];
    let fleet = Fleet::with_mock_endpoints(1, engine).await;
    let call = |n: usize| {
        let call = fleet.chat(n % 2, &format!("question {n}"));
        CallResponse::fetch(call.header("x-poplarspan-program", "loop"))
    };
    for n in 0..64 {
        let response = call(n).await;
        assert_eq!(response.status, 200, "{n}: {response:?}");
    }
    let response = call(64).await;
    assert_eq!(response.refusal(), ("budget_exceeded".to_owned(), "no".to_owned()), "{response:?}");
}

/// The history must not store the earlier messages of a conversation again in every turn.
#[tokio::test(flavor = "multi_thread")]
async fn history_size() {
    let engine: &[(&str, &str, &[&str])] = &[("engine-1", "engine", &["--token-interval", "1ms"])];
    let fleet = Fleet::with_mock_endpoints(1, engine).await;
    let mut messages = vec![json!({"role": "user", "content": "first question"})];
    for n in 1..=4 {
        let call = fleet.chat_with(n % 2, "", json!({"messages": messages}));
        let response = CallResponse::fetch(call.header("x-poplarspan-program", "talk")).await;
        assert_eq!(response.status, 200, "{response:?}");
        messages.push(json!({"role": "assistant", "content": format!("answer {n}")}));
        messages.push(json!({"role": "user", "content": format!("question after {n}")}));
    }
    let url = format!("http://{}/v1/programs/talk/history", fleet.members[0].entry);
    let history = fleet.client.get(url).bearer_auth(fleet.objects.team_key());
    let history = CallResponse::fetch(history).await.body.expect("no history");
    for message in ["first question", "question after 1", "question after 3"] {
        assert_eq!(history.matches(message).count(), 1, "{message}: {history}");
    }
    assert!(!history.contains("question after 4") && !history.contains("answer 1"), "{history}");
}
