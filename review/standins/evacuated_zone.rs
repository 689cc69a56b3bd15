//! A zone is evacuated and taken back. Its servers have become cold shortly before they are taken back.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    desk::{Consumers, Desk, Load, most_in_window},
    fleet::{Fleet, Listed, Size, ZONES},
    record,
    servers::{self, Runs},
};

const SERVERS: usize = 3;
const SLOTS: u32 = 16;
const WORK: Duration = Duration::from_millis(26);
const FRONTS: [usize; 4] = [0, 1, 2, 3];
const ZONE: &str = "z-b";
const EVACUATED: Duration = Duration::from_millis(8_000);
/// The servers become cold this long before the evacuation is withdrawn.
const SHORTLY: Duration = Duration::from_millis(300);
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 26.0;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(1);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"calls.example","prefix":"/desk/","kind":"unsafe","timeoutMs":1200,"goalMs":150,"priority":2,"service":"desk","attempts":1,"retain":false,"retainS":60.0,"public":false,"sticky":false,"canResume":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":26.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":0,"burst":0}]}"#;

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
    fleet.list.set(listed.clone());
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(110));
    let fleet = Arc::new(fleet);
    let consumers = Consumers {
        per_front: 20,
        pause: Duration::from_millis(200),
        time_limit: Duration::from_millis(1200),
    };
    let load = Load::start(&fleet, &FRONTS, &consumers);
    thread::sleep(Duration::from_secs(5));

    let path = format!("/-/evacuate/{ZONE}");
    if !fleet.order("POST", &path, "") {
        record::fail("the evacuation is not acknowledged");
    }
    thread::sleep(EVACUATED - SHORTLY);
    let cold_from = record::now();
    let cold_until = cold_from + COLD;
    if trouble {
        let is_cold = |e: &Listed| e.zone == ZONE;
        let servers = (0..SERVERS).filter(|n| is_cold(&listed[*n]));
        servers.for_each(|n| desk.set_cold(n, cold_until));
        let now = |e: &Listed| Listed {
            cold_until: if is_cold(e) { cold_until } else { e.cold_until },
            ..e.clone()
        };
        fleet.list.set(listed.iter().map(now).collect());
        record::line(&format!(
            "the servers of {ZONE} are cold until {:.3}",
            cold_until.as_secs_f64()
        ));
    }
    thread::sleep(SHORTLY);
    if !fleet.order("DELETE", &path, "") {
        record::fail("the end of the evacuation is not acknowledged");
    }
    thread::sleep(COLD + Duration::from_secs(2));
    let sent = load.end();

    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    record::say(&format!("{served} of {} requests were served", sent.len()));
    if served * 2 < sent.len() {
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
    for server in (0..SERVERS).filter(|n| listed[*n].zone == ZONE) {
        let (most, at) = most_in_window(&runs, &sent, server, WINDOW, (cold_from, cold_until));
        record::say(&format!(
            "server {server} got {most} requests in 1 s from {:.3} on",
            at.as_secs_f64()
        ));
        if trouble && most > allowed {
            broken.push(format!(
                "cold server {server} got {most} requests in 1 s, {allowed} allowed"
            ));
        }
    }
    broken
}
