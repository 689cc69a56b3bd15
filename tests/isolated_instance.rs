//! Guards against calls served, and stale replies given, by an instance that is cut off from the
//! fleet.

mod support;

use reqwest::RequestBuilder;
use support::{
    Fleet, eventually,
    traffic::{CallOutcome, send_call},
};

const ENTRY: usize = 3;

/// Adds a route that needs no key.
fn add_open_route(fleet: &mut Fleet) {
    fleet.objects.extra += "[[route]]\nname = \"open\"\npath = \"/open\"\nkind = \"service\"\n\
                            service = \"orders\"\nopen = true\n";
}

fn open_call(fleet: &Fleet, i: usize) -> RequestBuilder {
    fleet.client.get(format!("http://{}/open", fleet.members[i].entry))
}

fn no_lease() -> CallOutcome {
    CallOutcome { status: 503, code: "no_lease".to_owned(), ran: "no".to_owned() }
}

/// Checks that an instance without a lease refuses every call that needs a key and serves open
/// routes.
async fn check_without_lease(fleet: &Fleet, i: usize) {
    let name = format!("refused-{i}");
    eventually("the end of the lease", async || {
        send_call(fleet.chat(i, "cut off")).await == no_lease()
    })
    .await;
    for _ in 0..10 {
        assert_eq!(send_call(fleet.chat(i, "cut off")).await, no_lease());
        assert_eq!(send_call(fleet.order(i, &name, "{}")).await, no_lease());
        let url = format!("http://{}/v1/models", fleet.members[i].entry);
        let models = fleet.client.get(url).bearer_auth(fleet.objects.team_key());
        assert_eq!(send_call(models).await, no_lease());
        assert_eq!(
            send_call(open_call(fleet, i)).await.status,
            200,
            "open routes are served without a lease"
        );
    }
    assert_eq!(fleet.executions(1, &name).await, 0);
}

async fn check_serving(fleet: &Fleet, i: usize) {
    fleet.wait_ready(i).await;
    assert_eq!(send_call(fleet.chat(i, "back")).await.status, 200);
    assert_eq!(send_call(fleet.order(i, &format!("back-{i}"), "{}")).await.status, 200);
}

/// An entry instance that is cut off must refuse keyed calls once its lease has expired, must not
/// delay publications, and must serve again after the cut.
async fn check_entry_cut_off(cuts: &[&dyn Fn(&Fleet)]) {
    let mut fleet = Fleet::start(3, 1).await;
    add_open_route(&mut fleet);
    fleet.publish_and_wait().await;
    for (n, cut) in cuts.iter().enumerate() {
        cut(&fleet);
        let generation = fleet.generation();
        fleet.publish(0, generation, &format!("cut-{n}")).success();
        fleet.set_published_generation(generation + 1);
        check_without_lease(&fleet, ENTRY).await;
        assert_eq!(
            fleet.generation_at(ENTRY).await,
            Some(generation),
            "a publication reached the isolated instance"
        );
        fleet.network.heal();
        check_serving(&fleet, ENTRY).await;
        fleet.wait_generation(ENTRY, generation + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_cut_off() {
    check_entry_cut_off(&[&|f| f.network.isolate(ENTRY)]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_cut_one_way() {
    let replicas = 0..3;
    check_entry_cut_off(&[
        &|f| replicas.clone().for_each(|r| f.network.cut_one_way(ENTRY, r)),
        &|f| replicas.clone().for_each(|r| f.network.cut_one_way(r, ENTRY)),
    ])
    .await;
}

/// A leader that is cut off must step down: it must not grant itself a lease or give stale replies.
async fn check_leader_cut_off(cut: impl Fn(&Fleet, usize, &[usize])) {
    let mut fleet = Fleet::start(3, 0).await;
    add_open_route(&mut fleet);
    fleet.publish_and_wait().await;
    let old = fleet.wait_group_leader(0, 0).await;
    let rest: Vec<usize> = (0..3).filter(|i| *i != old).collect();
    cut(&fleet, old, &rest);
    let generation = fleet.generation();
    eventually("another leader", async || fleet.leader(rest[0], 0).is_some_and(|l| l != old)).await;
    fleet.publish(rest[0], generation, "request-of-the-rest").success();
    fleet.set_published_generation(generation + 1);
    for _ in 0..3 {
        check_no_stale_reply(&fleet, old, generation + 1);
    }
    check_without_lease(&fleet, old).await;
    fleet.network.heal();
    for i in 0..3 {
        check_serving(&fleet, i).await;
        fleet.wait_generation(i, generation + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_cut_off() {
    check_leader_cut_off(|f, old, _| f.network.isolate(old)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_cut_one_way() {
    check_leader_cut_off(|f, old, rest| rest.iter().for_each(|r| f.network.cut_one_way(*r, old)))
        .await;
}

/// The old leader may forward a query to the new leader if it can reach it.
fn check_no_stale_reply(fleet: &Fleet, old: usize, generation: u64) {
    let operator = fleet.operator().with_timeout("1s");
    let status = operator.status(old);
    assert!(status.is_null() || status["generation"] == generation, "{status}");
    let objects = operator.run(old, &["get"]);
    let current = objects.stdout.starts_with(&format!("generation {generation}\n"));
    assert!(!objects.status.success() || current, "{}", objects.stdout);
}
