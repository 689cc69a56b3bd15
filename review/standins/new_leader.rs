//! The servers of a service are released: new ones come, which are cold, and the old ones leave. Meanwhile
//! the process of the leading core machine is killed.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    desk::{Consumers, Desk, Load, most_in_window},
    fleet::{Fleet, Listed, Size, ZONES},
    record,
    servers::{self, Runs},
};

const WARM: usize = 1;
const SERVERS: usize = 2;
const SLOTS: u32 = 32;
const WORK: Duration = Duration::from_millis(26);
const FRONTS: [usize; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
const COLD: Duration = Duration::from_secs(6);
const COLD_PER_S: f64 = 26.0;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(1);
/// The leader is killed this long after the release began.
const KILL_AFTER: Duration = Duration::from_millis(2_500);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"calls.example","prefix":"/desk/","kind":"unsafe","timeoutMs":800,"goalMs":150,"priority":2,"service":"desk","attempts":1,"retain":false,"retainS":60.0,"public":false,"sticky":false,"canResume":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,"coldStartS":6.0,"coldPerS":26.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":0,"burst":0}]}"#;

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Fleet::new(Size { cores: 3, stores: 3, fronts: FRONTS.len() as u8 });
    let runs = Runs::default();
    let desk = Arc::new(Desk::new(SERVERS, WORK, SLOTS, COLD_PER_S));
    let listed: Vec<Listed> = (0..SERVERS)
        .map(|n| {
            let (id, address) = (format!("i-{n}"), fleet.server_address(n));
            servers::serve(n, id.clone(), address, runs.clone(), desk.clone());
            let zone = ZONES[n % ZONES.len()];
            Listed {
                id,
                service: "desk",
                address,
                zone,
                slots: SLOTS,
                cold_until: Duration::ZERO,
                is_leaving: false,
            }
        })
        .collect();
    fleet.list.set(listed[..WARM].to_vec());
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(110));
    let fleet = Arc::new(fleet);
    let consumers = Consumers {
        per_front: 48,
        pause: Duration::from_millis(800),
        time_limit: Duration::from_millis(800),
    };
    let load = Load::start(&fleet, &FRONTS, &consumers);
    thread::sleep(Duration::from_secs(4));
    let cold_from = record::now();
    let cold_until = cold_from + COLD;
    let released = listed.iter().enumerate().map(|(n, e)| match n < WARM {
        true => Listed { is_leaving: true, ..e.clone() },
        false => Listed { cold_until, ..e.clone() },
    });
    (WARM..SERVERS).for_each(|n| desk.set_cold(n, cold_until));
    fleet.list.set(released.collect());
    record::line(&format!(
        "servers are released, the new ones are cold until {:.3}",
        cold_until.as_secs_f64()
    ));
    thread::sleep(KILL_AFTER);
    let leader = fleet.leader();
    if trouble {
        fleet.terminate("core", leader);
        thread::sleep(Duration::from_millis(1_500));
        fleet.restart("core", leader);
    }
    thread::sleep((cold_until + Duration::from_secs(1)).saturating_sub(record::now()));
    let sent = load.end();

    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    record::say(&format!("{served} of {} requests were served", sent.len()));
    if served * 8 < sent.len() {
        record::fail("the fleet does not serve the load");
    }
    let begun: std::collections::HashSet<String> = runs.all().into_iter().map(|r| r.id).collect();
    let lost = sent.iter().filter(|(id, _, status)| *status != 200 && begun.contains(id)).count();
    record::say(&format!(
        "{} crashes; {lost} requests were begun and not answered",
        desk.crashes()
    ));
    let allowed = (COLD_PER_S * COLD_EXCESS + COLD_SLACK) as usize;
    let mut broken = Vec::new();
    for server in WARM..SERVERS {
        let (most, at) = most_in_window(&runs, &sent, server, WINDOW, (cold_from, cold_until));
        record::say(&format!(
            "server {server} got {most} requests in 1 s from {:.3} on",
            at.as_secs_f64()
        ));
        if most > allowed {
            broken.push(format!(
                "cold server {server} got {most} requests in 1 s, {allowed} allowed"
            ));
        }
    }
    broken
}
