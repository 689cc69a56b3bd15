//! A relay fleet of separate processes on a simulated platform, tested through its callers, servers
//! and operators.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, KEY, RelayFleet, config, eventually};

const TURN: [(&str, &str); 3] =
    [("program-id", "p1"), ("token-count", "5,100"), ("token-budget", "250")];

#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;

    // A plain call: the caller gets the server's bytes and seal; the server gets the team's name
    // instead of its key.
    let answer = fleet.call(0, "/safe/x", "plain", Call { body: "hello", ..Call::default() }).await;
    assert_eq!((answer.status, answer.text()), (200, "hello"));
    assert_eq!(answer.headers["server-seal"], "seal-plain");
    let runs = fleet.servers.runs_of("plain");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].team.as_deref(), Some("red"));
    assert!(!runs[0].saw_key, "a key reached a server");

    // Invalid calls are refused and do not reach a server.
    let unknown = Call { key: Some("other"), ..Call::default() };
    assert_eq!(fleet.call(0, "/safe/x", "no-key", unknown).await.status, 401);
    assert_eq!(fleet.call(0, "/else/x", "no-route", Call::default()).await.status, 404);
    let large = "x".repeat(70_000);
    let large = Call { body: &large, ..Call::default() };
    assert_eq!(fleet.call(0, "/safe/x", "large", large).await.status, 413);
    for id in ["no-key", "no-route", "large"] {
        assert!(fleet.servers.runs_of(id).is_empty(), "{id} has run");
    }

    // A call that a full server has refused without running it is sent to another one.
    let full = fleet.call(0, "/once/full-at-first", "full", Call::default()).await;
    assert_eq!(full.status, 200);
    assert_eq!(fleet.servers.runs_of("full").len(), 1);

    // A call that must not be repeated runs once; its lost response is reported as an error.
    let lost = fleet.call(0, "/once/lost", "lost", Call::default()).await;
    assert_eq!(lost.status, 502);
    assert_eq!(fleet.servers.runs_of("lost").len(), 1);

    // An idempotent call is sent to a second server, but not to a third.
    let lost = fleet.call(0, "/safe/lost", "lost-safe", Call::default()).await;
    assert_eq!(lost.status, 502);
    assert_eq!(fleet.servers.runs_of("lost-safe").len(), 2);

    // A success without the server's seal is not passed on.
    assert_eq!(fleet.call(0, "/once/forged", "forged", Call::default()).await.status, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn budgets_and_turns() {
    let mut fleet = RelayFleet::start(&config(1, &[KEY])).await;
    let turn = |headers| Call { headers, ..Call::default() };

    // Turns reserve up to 100 tokens and use 50 each. The fourth still fits into the budget of 250;
    // then no turn of 100 fits at any front. Unused tokens are returned shortly after the end of a
    // turn, so until then a turn may be refused.
    for (n, front) in [(1, 0), (2, 1), (3, 0), (4, 1)] {
        let id = format!("turn-{n}");
        let granted = async || {
            let answer = fleet.call(front, "/stream/events/5", &id, turn(&TURN)).await;
            assert!(answer.status == 402 || answer.text().contains("out5"), "{id}");
            answer.status == 200
        };
        eventually("unused tokens are returned", granted).await;
        assert_eq!(fleet.servers.runs_of(&id).len(), 1, "a refused call has run");
    }
    for front in [0, 1] {
        let spent = fleet.call(front, "/stream/events/5", "spent", turn(&TURN)).await;
        assert_eq!(spent.status, 402);
    }
    assert!(fleet.servers.runs_of("spent").is_empty(), "a refused call has run");

    // A kept turn is continued at another front; the server gets the previous turn as well.
    let first = Call { body: "in1 ", ..Call::default() };
    let kept = [("program-id", "p2"), ("token-count", "5,100")];
    let first = fleet.call(0, "/kept/events/2", "kept-1", Call { headers: &kept, ..first }).await;
    assert_eq!(first.status, 200);
    first.text();
    let next = [("program-id", "p2"), ("token-count", "5,100"), ("previous-turn", "kept-1")];
    let second = Call { headers: &next, body: "in2", ..Call::default() };
    assert_eq!(fleet.call(1, "/kept/events/2", "kept-2", second).await.status, 200);
    let expected = "in1 out1\nout2\nin2";
    assert_eq!(fleet.servers.runs_of("kept-2")[0].body, expected);

    // One store loses its disk; kept turns and used budgets are preserved.
    fleet.stores[0].kill();
    fleet.stores[0].wipe();
    fleet.stores[0].restart();
    let again = fleet.call(1, "/kept/events/2", "kept-3", second).await;
    assert_eq!(again.status, 200);
    assert_eq!(fleet.servers.runs_of("kept-3")[0].body, expected);
    assert_eq!(fleet.call(0, "/stream/events/5", "turn-5", turn(&TURN)).await.status, 402);
    let unknown = [("program-id", "p3"), ("token-count", "5,100"), ("previous-turn", "nothing")];
    let unknown = Call { headers: &unknown, ..Call::default() };
    assert_eq!(fleet.call(0, "/kept/events/2", "kept-4", unknown).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_and_losses() {
    let mut fleet = RelayFleet::start(&config(5, &[KEY, "second-key"])).await;

    // Only a higher version takes effect; others are acknowledged and change nothing.
    assert_eq!(fleet.publish(&config(4, &["other"])).await, 200);
    assert_eq!(fleet.publish(&config(5, &["other"])).await, 200);
    let (status, held) = fleet.operator_request("GET", "/-/config", String::new()).await;
    assert_eq!((status, held), (200, config(5, &[KEY, "second-key"]).to_string()));

    // An invalid config is refused with all of its errors.
    let mut invalid = config(9, &[KEY]);
    invalid["routes"][0]["service"] = "nowhere".into();
    invalid["routes"][1]["timeoutMs"] = 0.into();
    let (status, text) = fleet.operator_request("PUT", "/-/config", invalid.to_string()).await;
    assert_eq!(status, 400);
    assert!(text.contains("nowhere") && text.contains("timeout"), "{text}");

    // A withdrawn key is refused; the other one stays valid.
    assert_eq!(fleet.publish(&config(8, &[KEY])).await, 200);
    let second = Call { key: Some("second-key"), ..Call::default() };
    let stopped = async || fleet.call(1, "/safe/x", "withdrawn", second).await.status == 401;
    eventually("the withdrawn key is refused", stopped).await;
    assert_eq!(fleet.call(1, "/safe/x", "held", Call::default()).await.status, 200);

    // A control replica that loses its disk rejoins under a new number; then another one may fail.
    fleet.control_replicas[0].kill();
    fleet.control_replicas[0].wipe();
    fleet.control_replicas[0].restart();
    assert_eq!(fleet.publish(&config(11, &[KEY])).await, 200);
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    fleet.control_replicas[1].kill();
    assert_eq!(fleet.publish(&config(13, &[KEY])).await, 200);
    let (_, held) = fleet.operator_request("GET", "/-/config", String::new()).await;
    assert_eq!(held, config(13, &[KEY]).to_string());

    // An evacuated zone gets no calls; callers get 503, which says that the call did not run.
    assert_eq!(fleet.operator_request("POST", "/-/evacuate/z1", String::new()).await.0, 200);
    assert_eq!(fleet.operator_request("POST", "/-/evacuate/nowhere", String::new()).await.0, 404);
    let refused = async || fleet.call(0, "/safe/x", "out", Call::default()).await.status == 503;
    eventually("calls are refused while the only zone is out", refused).await;
    assert_eq!(fleet.operator_request("DELETE", "/-/evacuate/z1", String::new()).await.0, 200);
    let served = async || fleet.call(0, "/safe/x", "in", Call::default()).await.status == 200;
    eventually("calls are served once the zone is back in", served).await;

    // Retiring a store is refused if too few stores would remain.
    let body = r#"{"overS":5}"#.to_owned();
    let (status, _) = fleet.operator_request("POST", "/-/retire/storage-20", body.clone()).await;
    assert_eq!(status, 409);
    assert_eq!(fleet.operator_request("POST", "/-/retire/nothing", body).await.0, 404);

    // A front that is terminated exits with success.
    assert!(fleet.fronts[0].terminate().await);
}

/// With several groups of stores, programs of any group can continue a turn that another group
/// keeps.
#[tokio::test(flavor = "multi_thread")]
async fn turns_across_groups() {
    let fleet = RelayFleet::start_stores(&config(1, &[KEY]), 4).await;
    let keep = async |id: &str, program: &str, previous: Option<&str>, body: &str| {
        let mut headers = vec![("program-id", program), ("token-count", "5,100")];
        headers.extend(previous.map(|p| ("previous-turn", p)));
        let call = Call { headers: &headers, body, ..Call::default() };
        let front = u8::from(previous.is_some());
        fleet.call(front, "/kept/events/1", id, call).await.status
    };
    assert_eq!(keep("first", "p", None, "in1 ").await, 200);
    for n in 0..8 {
        let (second, third) = (format!("second-{n}"), format!("third-{n}"));
        let program = format!("p{n}");
        assert_eq!(keep(&second, &program, Some("first"), "in2 ").await, 200);
        assert_eq!(fleet.servers.runs_of(&second)[0].body, "in1 out1\nin2 ");
        // Front 0 has none of these turns in memory.
        let headers = [("program-id", "p"), ("token-count", "5,100"), ("previous-turn", &*second)];
        let call = Call { headers: &headers, body: "in3", ..Call::default() };
        assert_eq!(fleet.call(0, "/kept/events/1", &third, call).await.status, 200);
        assert_eq!(fleet.servers.runs_of(&third)[0].body, "in1 out1\nin2 out1\nin3");
        assert_eq!(keep(&format!("no-{n}"), &program, Some("nothing"), "in").await, 404);
    }
}
