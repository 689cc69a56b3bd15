//! Guards against new calls to zones that are out and to endpoints that are leaving.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use support::{
    Fleet, eventually,
    traffic::{CallOutcome, send_call},
};
use tokio::{task::JoinSet, time::sleep};

/// Indices of the mock services; the first is in zone-1.
const FIRST: usize = 0;
const OTHERS: [usize; 2] = [1, 2];
const CALLERS: usize = 24;
/// Time for calls that were already sent to finish.
const IN_FLIGHT_GRACE: Duration = Duration::from_secs(1);

/// Callers that keep the queues of both instances filled until they are stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Vec<CallOutcome>>,
}

impl Callers {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let mut tasks = JoinSet::new();
        for n in 0..CALLERS {
            let (stop, client) = (stop.clone(), fleet.client.clone());
            let url = format!("http://{}/orders", fleet.members[n % 2].entry);
            let key = fleet.objects.team_key().to_owned();
            tasks.spawn(async move {
                let mut refused = Vec::new();
                for call in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let request = client.get(&url).bearer_auth(&key);
                    let key = format!("call-{n}-{call}");
                    let outcome = send_call(request.header("idempotency-key", key)).await;
                    if outcome.status != 200 {
                        refused.push(outcome);
                    }
                }
                refused
            });
        }
        Self { stop, tasks }
    }

    async fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(refused) = self.tasks.join_next().await {
            assert_eq!(refused.expect("task panicked"), [], "some calls were refused");
        }
    }
}

async fn served(fleet: &Fleet, mock_endpoint: usize) -> usize {
    fleet.all_executions(mock_endpoint).await.len()
}

async fn served_by_others(fleet: &Fleet) -> usize {
    served(fleet, OTHERS[0]).await + served(fleet, OTHERS[1]).await
}

/// Publishes the object file and checks that the first endpoint gets no calls while the others do,
/// and that it gets calls again after `restore` is published.
async fn check_out_and_back(fleet: &mut Fleet, restore: impl FnOnce(&mut Fleet)) {
    fleet.publish_and_wait_in_force().await;
    sleep(IN_FLIGHT_GRACE).await;
    let (first, others) = (served(fleet, FIRST).await, served_by_others(fleet).await);
    eventually("calls at the other endpoints", async || {
        served_by_others(fleet).await > others + 100
    })
    .await;
    assert_eq!(served(fleet, FIRST).await, first, "the endpoint still gets calls");
    restore(fleet);
    fleet.publish_and_wait_in_force().await;
    eventually("calls at the endpoint again", async || served(fleet, FIRST).await > first).await;
}

/// A zone that is out, and then an endpoint that is leaving, must get no calls, not even queued
/// ones. Callers must be served by other endpoints without a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn zone_and_endpoint() {
    let mut fleet = Fleet::prepare(1, 1).await;
    for name in ["orders-1", "orders-2", "orders-3"] {
        fleet.add_mock_endpoint(name, "service", &["--delay", "50ms"]);
    }
    fleet.add_mock_endpoint("engine-1", "engine", &[]);
    fleet.objects.capacity = 6;
    fleet.objects.rate = (5000, 5000);
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    let callers = Callers::start(&fleet);
    eventually("calls at every endpoint", async || {
        served(&fleet, FIRST).await > 10 && served_by_others(&fleet).await > 20
    })
    .await;
    fleet.objects.zones_out = vec!["zone-1".to_owned()];
    check_out_and_back(&mut fleet, |f| f.objects.zones_out.clear()).await;
    fleet.objects.set_leaving("orders-1", true);
    check_out_and_back(&mut fleet, |f| f.objects.set_leaving("orders-1", false)).await;
    callers.stop().await;
}
