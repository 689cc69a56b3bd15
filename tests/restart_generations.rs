//! Guards against a generation that goes back, in particular when everything restarts after many
//! publications.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use support::{Fleet, generation_of, publisher::marker};
use tokio::{
    task::JoinHandle,
    time::{Duration, sleep},
};

const PUBLICATIONS: u64 = 200;
const MEMBERS: usize = 4;
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Watches the generation in force at each instance; fails when one goes back. An instance without
/// a disk starts without objects, and with generation 0.
fn watch(fleet: &Fleet, stop: Arc<AtomicBool>) -> JoinHandle<Vec<u64>> {
    let client = fleet.client.clone();
    let members: Vec<_> = fleet.members.iter().map(|m| (m.probe, m.replica.is_some())).collect();
    tokio::spawn(async move {
        let mut highest = vec![0; members.len()];
        while !stop.load(Ordering::Relaxed) {
            for (i, (probe, has_disk)) in members.iter().enumerate() {
                let Some(generation) = generation_of(&client, *probe).await else { continue };
                let none_yet = generation == 0 && !has_disk;
                assert!(
                    none_yet || generation >= highest[i],
                    "instance {i} went back from generation {} to {generation}",
                    highest[i]
                );
                highest[i] = highest[i].max(generation);
            }
            sleep(WATCH_PAUSE).await;
        }
        highest
    })
}

/// After hundreds of publications and the death of every process, the last generation is in force
/// everywhere again, also where there is no disk.
#[tokio::test(flavor = "multi_thread")]
async fn all_restart() {
    let mut fleet = Fleet::start(3, 1).await;
    let stop = Arc::<AtomicBool>::default();
    let watched = watch(&fleet, stop.clone());
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
    tokio::task::spawn_blocking(publish_all).await.expect("all are accepted");
    for round in 0..2 {
        for i in 0..MEMBERS {
            fleet.kill(i);
        }
        fleet.start_all().await;
        for i in 0..MEMBERS {
            fleet.wait_generation(i, last).await;
            fleet.wait_ready(i).await;
            let answer = fleet.chat(i, &format!("round {round}")).send().await.expect("an answer");
            assert_eq!(answer.status(), 200, "instance {i}");
        }
    }
    stop.store(true, Ordering::Relaxed);
    assert_eq!(watched.await.expect("no generation went back"), vec![last; MEMBERS]);
    let objects = fleet.operate(MEMBERS - 1, &["get"]).success().stdout;
    assert!(objects.contains(&format!("\"marker-{last}\"")), "the last objects are in force");
    fleet.set_generation(last);
    fleet.publish_and_wait().await;
}
