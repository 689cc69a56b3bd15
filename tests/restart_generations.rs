//! Guards against a return to an older generation, in particular when all processes restart after
//! many publications.

mod support;

use support::{Fleet, publisher::marker, watch::GenerationMonitor};

const PUBLICATIONS: u64 = 200;
const MEMBERS: usize = 4;

/// After 200 publications and a restart of every process the last generation must be in force at
/// every instance, also at those without a data folder.
#[tokio::test(flavor = "multi_thread")]
async fn all_restart() {
    let mut fleet = Fleet::start(3, 1).await;
    let monitor = GenerationMonitor::start(&fleet);
    let operator = fleet.operator();
    let text = fleet.objects.text();
    let first = fleet.generation();
    let last = first + PUBLICATIONS;
    let publish_all = move || {
        for generation in first..last {
            let text = format!("{text}{}", marker(generation + 1));
            let request = format!("many-{generation}");
            let i = generation as usize % MEMBERS;
            operator.publish(i, &text, generation, &request, &["--no-wait"]).success();
        }
    };
    tokio::task::spawn_blocking(publish_all).await.expect("publication failed");
    for i in 0..MEMBERS {
        fleet.kill(i);
    }
    fleet.start_all().await;
    for i in 0..MEMBERS {
        fleet.wait_generation(i, last).await;
        fleet.wait_ready(i).await;
        let answer = fleet.chat(i, "after the restart").send().await.expect("no response");
        assert_eq!(answer.status(), 200, "instance {i}");
    }
    assert_eq!(monitor.stop().await, [last; MEMBERS]);
    let objects = fleet.operate(MEMBERS - 1, &["get"]).success().stdout;
    assert!(objects.contains(&format!("\"marker-{last}\"")), "the last objects are not in force");
    fleet.set_published_generation(last);
    fleet.publish_and_wait().await;
}
