//! Guards against servers that are so crowded that no program ends in time.

#[path = "support/platform.rs"]
mod platform;

use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;
use platform::{Call, KEY, RelayFleet, config, eventually};
use tokio::time::sleep;

const TURNS: usize = 3;
/// Callers that the servers serve without delay, and callers of a burst.
const FEW: usize = 4;
const MANY: usize = 80;
const WARM_TIME: Duration = Duration::from_secs(4);
const BURST_TIME: Duration = Duration::from_secs(5);
/// Pause of a caller that was refused. Shorter than `Retry-After`, so that the load lasts.
const PAUSE: Duration = Duration::from_millis(200);
/// A refusal at the first turn takes no longer, also on a busy machine. A turn of the burst waits
/// longer than this for a server.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// What callers saw.
#[derive(Default)]
struct Seen {
    completed: usize,
    /// Refused first turns: how long each took, and its `Retry-After` in seconds.
    refused: Vec<(Duration, f64)>,
    /// Statuses of later turns that were not served.
    broken: Vec<u16>,
}

/// Runs programs one after the other until `until`. The turns alternate between the fronts.
async fn run_programs(fleet: &RelayFleet, name: &str, until: Instant) -> Seen {
    let mut seen = Seen::default();
    'programs: for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let program = format!("{name}-{n}");
        for turn in 0..TURNS {
            let id = format!("{program}-{turn}");
            let previous = format!("{program}-{}", turn.saturating_sub(1));
            let mut headers = vec![("program-id", program.as_str()), ("token-count", "10,10")];
            headers.extend((turn > 0).then_some(("previous-turn", previous.as_str())));
            let call = Call { headers: &headers, ..Call::default() };
            let started = Instant::now();
            let front = ((n + turn) % 2) as u8;
            let answer = fleet.call(front, "/stream/crowded/events/1", &id, call).await;
            if answer.status == 200 {
                continue;
            }
            if turn > 0 {
                seen.broken.push(answer.status);
                continue 'programs;
            }
            let after = answer.headers.get("retry-after").expect("a refusal without Retry-After");
            let after = after.to_str().expect("not text").parse().expect("not a number");
            assert_eq!(answer.status, 503, "{id}: {}", answer.text());
            seen.refused.push((started.elapsed(), after));
            sleep(PAUSE).await;
            continue 'programs;
        }
        seen.completed += 1;
    }
    seen
}

async fn load(fleet: &RelayFleet, name: &str, callers: usize, time: Duration) -> Seen {
    let until = Instant::now() + time;
    let name = |n: usize| format!("{name}-{n}");
    let results = join_all((0..callers).map(async |n| run_programs(fleet, &name(n), until).await));
    results.await.into_iter().fold(Seen::default(), |mut all, seen| {
        all.completed += seen.completed;
        all.refused.extend(seen.refused);
        all.broken.extend(seen.broken);
        all
    })
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// A burst above what the servers serve must be refused at once, with a time to come back that
/// differs between callers; programs under way must not be refused, and new ones must be admitted
/// again soon after the burst.
#[tokio::test(flavor = "multi_thread")]
async fn refused_burst() {
    let fleet = RelayFleet::start_measured(&config(3, &[KEY])).await;
    let calm = load(&fleet, "warm", FEW, WARM_TIME).await;
    assert!(calm.refused.is_empty(), "{} programs refused without load", calm.refused.len());
    let burst = load(&fleet, "burst", MANY, BURST_TIME).await;
    println!("burst: {} completed, {} refused", burst.completed, burst.refused.len());
    assert!(burst.broken.is_empty(), "turns of programs under way refused: {:?}", burst.broken);
    assert!(burst.refused.len() > MANY / 4, "{} programs refused", burst.refused.len());
    let took = median(burst.refused.iter().map(|(took, _)| *took).collect());
    assert!(took < REFUSAL_TIME, "refusals take {took:?}");
    let mut after: Vec<_> = burst.refused.iter().map(|(_, after)| *after).collect();
    after.sort_by(f64::total_cmp);
    assert!(after[0] > 0.0 && after[after.len() - 1] > 1.2 * after[0], "{after:?}");
    sleep(Duration::from_secs(2)).await;
    let calm = load(&fleet, "calm", FEW, Duration::from_secs(2)).await;
    assert!(calm.refused.is_empty(), "{} programs refused after the burst", calm.refused.len());
}

/// Where the platform states the limits of servers, programs must not be refused by measured delay.
#[tokio::test(flavor = "multi_thread")]
async fn stated_limits() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    load(&fleet, "warm", FEW, WARM_TIME).await;
    let burst = load(&fleet, "burst", MANY, BURST_TIME).await;
    assert!(burst.refused.is_empty(), "{} programs refused", burst.refused.len());
    assert!(burst.broken.is_empty(), "{:?}", burst.broken);
}

/// Fronts that no control replica answers must go on by their last allowance, neither admitting all
/// programs nor none, and must admit all again once the leader is back and the load is over.
#[tokio::test(flavor = "multi_thread")]
async fn lost_leader() {
    let fleet = RelayFleet::start_measured(&config(3, &[KEY])).await;
    load(&fleet, "warm", FEW, WARM_TIME).await;
    let stop = async {
        sleep(Duration::from_secs(3)).await;
        fleet.control_replicas.iter().for_each(|r| r.signal(Signal::SIGSTOP));
        // Shorter than a lease, after which fronts refuse all calls.
        let cut = load(&fleet, "cut", 20, Duration::from_millis(1_500)).await;
        fleet.control_replicas.iter().for_each(|r| r.signal(Signal::SIGCONT));
        cut
    };
    let (burst, cut) = tokio::join!(load(&fleet, "burst", MANY, BURST_TIME), stop);
    println!("cut off: {} completed, {} refused", cut.completed, cut.refused.len());
    assert!(!cut.refused.is_empty(), "no program refused while the leader is lost");
    assert!(cut.completed > 0, "no program begun while the leader is lost");
    assert!(burst.broken.is_empty() && cut.broken.is_empty(), "{:?}", burst.broken);
    eventually("all programs are admitted again", async || {
        load(&fleet, "calm", FEW, Duration::from_secs(1)).await.refused.is_empty()
    })
    .await;
}

/// Turns of programs whose time is over must not delay those that can still be in time, but only
/// where programs are admitted by measured delay.
#[tokio::test(flavor = "multi_thread")]
async fn late_programs() {
    let config = config(3, &[KEY]);
    let measuring = RelayFleet::start_measured(&config).await;
    let stated = RelayFleet::start(&config).await;
    let priority = async |fleet: &RelayFleet, left: &str| {
        let id = format!("left-{left}");
        let headers = [("program-id", &*id), ("program-deadline-ms", left)];
        let call = Call { headers: &headers, ..Call::default() };
        assert_eq!(fleet.call(0, "/stream/events/1", &id, call).await.status, 200);
        let priority = fleet.servers.runs_of(&id)[0].priority.clone();
        priority.expect("no priority").parse::<u8>().expect("not a number")
    };
    for late in ["0", "-350"] {
        assert!(priority(&measuring, late).await > priority(&measuring, "5000").await, "{late}");
        assert_eq!(priority(&stated, late).await, priority(&stated, "5000").await, "{late}");
    }
}
