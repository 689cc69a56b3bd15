//! What a server says of its departure in an answer binds the front that passed the answer on.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, KEY, World, config, eventually};

/// Calls after the answer; with three servers some would go to the one that leaves.
const CALLS: usize = 30;

async fn check_spared(world: &World, left: usize, what: &str) {
    for n in 0..CALLS {
        let id = format!("{what}-{n}");
        assert_eq!(world.call(0, "/safe/x", &id, Call::default()).await.status, 200, "{id}");
        let runs = world.servers.runs_of(&id);
        assert!(runs.iter().all(|run| run.server != left), "{id} reached the server that leaves");
    }
}

/// The list goes on naming the server as ready, and the front is cut off from control for a while.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_answer() {
    let mut world = World::start(&config(3, &[KEY])).await;
    for core in &mut world.cores {
        core.kill();
    }
    let answer = world.call(0, "/safe/leaving", "last", Call::default()).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let left = world.servers.runs_of("last")[0].server;
    check_spared(&world, left, "cut-off").await;

    for core in &mut world.cores {
        core.restart();
    }
    let served = async || world.call(0, "/safe/x", "back", Call::default()).await.status == 200;
    eventually("control is back", served).await;
    check_spared(&world, left, "in-touch").await;
}

/// Another server at the address of one that was listed speaks for itself only.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_another() {
    let world = World::start(&config(3, &[KEY])).await;
    let answer = world.call(0, "/once/misdirected", "other", Call::default()).await;
    assert_eq!(answer.status, 503, "nothing has run");
    let served = async || world.call(0, "/safe/x", "own", Call::default()).await.status == 200;
    eventually("the listed servers are used", served).await;
}
