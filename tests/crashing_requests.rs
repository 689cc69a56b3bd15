//! A request that ends each server that runs it comes back under new ids, at any front.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use futures::future::join_all;
use platform::{Call, DOWN, KEY, World, config, eventually};

/// Servers that such a request may end before it is known.
const MOST_ENDED: usize = 3;
/// Further runs of copies that come in parallel, later than [`SETTLED`] after the third.
const MOST_RETRIES: usize = 3;
const SETTLED: Duration = Duration::from_secs(3);
const RESENDS: usize = 6;

async fn check_served(world: &World, id: &str) {
    let served = async || world.call(0, "/safe/x", id, Call::default()).await.status == 200;
    eventually("others are served", served).await;
}

/// Sends the same request again and again, to both fronts in turn, each time when all servers are
/// back; returns what the last answer was.
async fn resend(world: &World, path: &str, what: &str) -> u16 {
    let mut status = 0;
    for n in 0..RESENDS {
        let id = format!("{what}-{n}");
        status = world.call((n % 2) as u8, path, &id, Call::default()).await.status;
        tokio::time::sleep(DOWN * 3 / 2).await;
    }
    status
}

/// Guards against a request that is sent on after three servers have ended under it.
#[tokio::test(flavor = "multi_thread")]
async fn ends_three_servers_only() {
    let world = World::start(&config(3, &[KEY])).await;
    for kind in ["safe", "once"] {
        let path = format!("/{kind}/crash");
        let status = resend(&world, &path, kind).await;
        let ended = world.servers.runs_of_path(&path).len();
        assert!(ended <= MOST_ENDED, "{kind}: {ended} servers have ended");
        assert_eq!(status, 422, "{kind}");
        check_served(&world, kind).await;
    }
}

/// Guards against copies of such a request that come to all fronts at once.
#[tokio::test(flavor = "multi_thread")]
async fn copies_in_parallel() {
    let world = World::start(&config(3, &[KEY])).await;
    for round in 0..RESENDS {
        let copy = async |n: usize| {
            let id = format!("copy-{round}-{n}");
            world.call((n % 2) as u8, "/once/crash", &id, Call::default()).await.status
        };
        join_all((0..4).map(copy)).await;
        tokio::time::sleep(DOWN * 3 / 2).await;
    }
    let runs = world.servers.runs_of_path("/once/crash");
    let third = runs[MOST_ENDED - 1].at;
    let late = runs.iter().filter(|run| run.at > third + SETTLED).count();
    assert!(late <= MOST_RETRIES, "{late} runs after the third");
    check_served(&world, "after").await;
}
