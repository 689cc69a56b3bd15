//! Guards against two concurrent publications that both succeed, against an accepted publication
//! without its objects, and against a resend with a different outcome.

mod support;

use std::thread;

use poplarspan::objects::{Secret, generate_secret};
use support::{Fleet, eventually, process::CommandOutput, publisher::marker};

const OPERATORS: usize = 3;
const ROUNDS: u64 = 4;

/// Adds operators with their own keys to the object file.
fn add_operators(fleet: &mut Fleet) -> Vec<Secret> {
    let secrets: Vec<_> =
        (0..OPERATORS).map(|_| generate_secret().expect("failed to get random bytes")).collect();
    for (n, secret) in secrets.iter().enumerate() {
        let digest = secret.digest();
        fleet.objects.extra +=
            &format!("[[operator]]\nname = \"operator-{n}\"\ndigest = \"{digest}\"\n");
    }
    secrets
}

/// Runs a command for every operator concurrently.
fn race(count: usize, run: impl Fn(usize) -> CommandOutput + Sync) -> Vec<CommandOutput> {
    thread::scope(|scope| {
        let run = &run;
        let all: Vec<_> = (0..count).map(|n| scope.spawn(move || run(n))).collect();
        all.into_iter().map(|t| t.join().expect("task panicked")).collect()
    })
}

/// Of several publications with the same expected generation exactly one must succeed and take
/// effect. The other operators must be told who published, also when they resend after a change of
/// leader.
#[tokio::test(flavor = "multi_thread")]
async fn one_winner() {
    let mut fleet = Fleet::start(3, 1).await;
    let secrets = add_operators(&mut fleet);
    fleet.publish_and_wait().await;
    let text = fleet.objects.text();
    let mut generation = fleet.generation();
    let publish = |fleet: &Fleet, n: usize, i: usize, generation: u64| {
        let text = format!("{text}{}", marker(generation * 10 + n as u64));
        let request = format!("round-{generation}-{n}");
        let operator = fleet.operator().with_key(secrets[n].expose());
        operator.publish(i, &text, generation, &request, &["--no-wait"])
    };
    for round in 0..ROUNDS {
        let outcomes =
            race(OPERATORS, |n| publish(&fleet, n, (n + round as usize) % 4, generation));
        let winner = check_race(&outcomes, generation);
        let objects = fleet.operate(0, &["get"]).success().stdout;
        for n in 0..OPERATORS {
            let present = objects.contains(&format!("\"marker-{}\"", generation * 10 + n as u64));
            assert_eq!(present, n == winner, "objects of operator {n} while operator {winner} won");
        }
        generation += 1;
    }
    let leader = fleet.wait_group_leader(3, 0).await;
    fleet.kill(leader);
    let first = generation - 1;
    let again = race(OPERATORS, |n| publish(&fleet, n, 3, first));
    check_race(&again, first);
    let status = fleet.status(3);
    assert_eq!(status["generation"], generation, "a resend must not publish again");
}

/// Checks that one operator succeeded and that the others were told who it was. Returns its index.
fn check_race(outcomes: &[CommandOutput], expected: u64) -> usize {
    let winners: Vec<usize> =
        (0..outcomes.len()).filter(|n| outcomes[*n].status.success()).collect();
    let texts: Vec<_> = outcomes.iter().map(|o| (&o.stdout, &o.stderr)).collect();
    assert_eq!(winners.len(), 1, "{texts:?}");
    let expected_message =
        format!("generation {} was published by operator-{}", expected + 1, winners[0]);
    for (n, outcome) in outcomes.iter().enumerate() {
        assert!(n == winners[0] || outcome.stderr.contains(&expected_message), "{texts:?}");
    }
    winners[0]
}

/// Copies of one publication, sent through several instances while the leader is killed, must have
/// the same outcome.
#[tokio::test(flavor = "multi_thread")]
async fn resend_after_loss() {
    let mut fleet = Fleet::start(3, 1).await;
    let text = fleet.objects.text();
    for round in 0..2 {
        let generation = fleet.generation();
        let leader = fleet.wait_group_leader(3, 0).await;
        let through: Vec<usize> = (0..4).filter(|i| *i != leader).collect();
        let operator = fleet.operator();
        let text = format!("{text}{}", marker(generation));
        let request = format!("request-{round}-copies");
        let copies: Vec<_> = through
            .into_iter()
            .map(|i| {
                let (operator, text, request) = (operator.clone(), text.clone(), request.clone());
                let publish = move || {
                    operator
                        .publish(i, &text, generation, &request, &["--no-wait"])
                        .success()
                        .stdout
                };
                tokio::task::spawn_blocking(publish)
            })
            .collect();
        fleet.kill(leader);
        let expected_message = format!("published as generation {}\n", generation + 1);
        for copy in copies {
            assert_eq!(copy.await.expect("publication failed"), expected_message);
        }
        let late = operator.publish(3, &text, generation, &request, &["--no-wait"]);
        assert_eq!(
            late.success().stdout,
            expected_message,
            "a resend to the new leader has another outcome"
        );
        let objects = fleet.operate(3, &["get"]).success().stdout;
        assert!(objects.starts_with(&format!("generation {}\n", generation + 1)), "{objects}");
        assert!(objects.contains(&format!("\"marker-{generation}\"")), "{objects}");
        fleet.set_published_generation(generation + 1);
        fleet.start_member(leader);
        fleet.wait_ready(leader).await;
    }
}

/// A publication that expects a generation that does not exist yet must not be reported as in force
/// unless its objects are.
#[tokio::test(flavor = "multi_thread")]
async fn guessed_generation() {
    let fleet = Fleet::start(1, 0).await;
    let text = fleet.objects.text();
    let operator = fleet.operator();
    let mut generation = fleet.generation();
    for round in 0..12 {
        let outcomes = race(2, |n| {
            let expected = generation + n as u64;
            let text = format!("{text}{}", marker(expected * 10 + n as u64));
            operator.publish(0, &text, expected, &format!("guess-{round}-{n}"), &["--no-wait"])
        });
        let objects = operator.run(0, &["get"]).success().stdout;
        let last = usize::from(outcomes[1].status.success());
        let current = generation + last as u64;
        let kept = objects.contains(&format!("\"marker-{}\"", current * 10 + last as u64));
        assert!(kept, "the objects of generation {} are lost: {objects}", current + 1);
        generation = current + 1;
    }
    eventually("the last generation", async || fleet.generation_at(0).await == Some(generation))
        .await;
}
