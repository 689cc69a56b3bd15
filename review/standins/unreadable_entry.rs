//! An entry of the list of servers that comes from another writer and holds bytes that cannot be read,
//! and a final fault: all processes are killed and started again.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    desk::{Consumers, Desk, Load},
    fleet::{Fleet, Listed, Size, ZONES},
    record,
    servers::{self, Runs},
};

const SERVERS: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(26);
const FRONTS: [usize; 4] = [0, 1, 2, 3];
const DOWN: Duration = Duration::from_secs(1);
/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"calls.example","prefix":"/desk/","kind":"safe","timeoutMs":1200,"goalMs":150,"priority":2,"service":"desk","attempts":2,"retain":false,"retainS":60.0,"public":false,"sticky":false,"canResume":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"red","apiKeys":["key-of-red"],"priority":1,"ratePerS":0,"burst":0}]}"#;

/// The entry. Its fields are those of the other entries, but the bytes of its id cannot be read. With `ODD`
/// in the environment, it is another one: its id is not UTF-8, it is not JSON, or it is cut off.
fn foreign() -> Vec<u8> {
    match std::env::var("ODD").as_deref() {
        Ok("utf8") => {
            b"{\"id\":\"\xff\xfe\x9c\",\"service\":\"desk\",\"state\":\"ready\"}".to_vec()
        }
        Ok("nojson") => b"\xff\xfe\x9c\x01".to_vec(),
        Ok("cut") => b"{\"id\":\"i-9\",\"serv".to_vec(),
        _ => b"{\"id\":\"\x03\x9c\x1f\xfe\",\"service\":\"desk\",\"state\":\"ready\"}".to_vec(),
    }
}

pub fn run(trouble: bool) -> Vec<String> {
    let fleet = Fleet::new(Size { cores: 3, stores: 3, fronts: FRONTS.len() as u8 });
    let runs = Runs::default();
    let desk = Arc::new(Desk::new(SERVERS, WORK, SLOTS, 0.0));
    let listed: Vec<Listed> = (0..SERVERS)
        .map(|n| {
            let (id, address) = (format!("i-{n}"), fleet.server_address(n));
            servers::serve(n, id.clone(), address, runs.clone(), desk.clone());
            let (zone, cold_until) = (ZONES[n % ZONES.len()], Duration::ZERO);
            Listed {
                id,
                service: "desk",
                address,
                zone,
                slots: SLOTS,
                cold_until,
                is_leaving: false,
            }
        })
        .collect();
    fleet.list.set(listed);
    fleet.start(CONFIG);
    fleet.watch_time(Duration::from_secs(110));
    let fleet = Arc::new(fleet);
    let consumers = Consumers {
        per_front: 5,
        pause: Duration::from_millis(500),
        time_limit: Duration::from_millis(1200),
    };
    let load = Load::start(&fleet, &FRONTS, &consumers);
    thread::sleep(Duration::from_secs(4));
    if trouble {
        fleet.list.set_foreign(&foreign());
        record::line("an entry of another writer is in the list");
        thread::sleep(Duration::from_secs(3));
    }
    let fault = record::now();
    fleet.kill_all();
    thread::sleep(DOWN);
    fleet.restart_all();
    let back = record::now();
    thread::sleep(RECOVER + MEASURED);
    let sent = load.end();

    let share = |from: Duration, until: Duration| {
        let of = || sent.iter().filter(move |(_, at, _)| *at >= from && *at < until);
        let (served, all) = (of().filter(|(_, _, status)| *status == 200).count(), of().count());
        record::say(&format!("sent from {:.1} s on: {served} of {all} served", from.as_secs_f64()));
        served as f64 / all.max(1) as f64
    };
    let before = share(Duration::ZERO, fault - Duration::from_secs(2));
    let after = share(back + RECOVER, back + RECOVER + MEASURED);
    if before < 0.25 {
        record::fail("less than a quarter was served before the final fault");
    }
    let text = format!("{:.0}% are served, {:.0}% were before", after * 100.0, before * 100.0);
    if after < 0.25 { vec![text] } else { Vec::new() }
}
