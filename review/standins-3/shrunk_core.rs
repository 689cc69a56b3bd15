//! One of five core machines freezes for six seconds. Meanwhile a config is acknowledged, and two of
//! the other four lose their disks, as many as `faultTolerance` allows. Is the config still there
//! once all machines are back?

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    consumer::{HOST, KEY},
    fleet::{CONTROL_PORT, FRONT_PORT, Fleet, Plan, SERVER_PORT},
    http,
    record::Record,
    servers::{self, Runs},
};

/// The bounds of the grown installations.
const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\nstableWindowMs = 4000\nackMs = 5000\ncatchupS = 6\n\
    drainMs = 4000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\n\
    maxSkewMs = 6000\nrevokeStrict = true\nrevokeMs = 5000\nquotaWindowS = 5\nquotaExcess = 0.1\n\
    quotaSlack = 20\ncoldExcess = 1.5\ncoldSlack = 5\nevacMs = 5000\nrecoverS = 15\n\
    deliverySlackMs = 200\nretryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n";
const RECOVER: Duration = Duration::from_secs(15);
const STABLE_WINDOW: Duration = Duration::from_secs(4);
const CATCH_UP: Duration = Duration::from_secs(6);
const FREEZE: Duration = Duration::from_secs(6);
/// When the config is sent and the disks are lost, after the freeze has begun.
const LOSS_AFTER: Duration = Duration::from_millis(4_700);
const DOWN: Duration = Duration::from_secs(1);
/// The machine that freezes.
const FROZEN: usize = 4;

fn config(version: u32, timeout_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/look/\",\
         \"kind\":\"safe\",\"timeoutMs\":{timeout_ms},\"goalMs\":150,\"priority\":2,\
         \"service\":\"agenda\",\"attempts\":2,\"retain\":false,\"retainS\":60.0,\"public\":false,\
         \"sticky\":false,\"canResume\":false}}],\"services\":[{{\"name\":\"agenda\",\
         \"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}

/// Sends one request through the front. Returns whether it was served.
fn is_served(fleet: &Fleet, record: &Record, id: &str) -> bool {
    let address = format!("{}:{FRONT_PORT}", fleet.fronts[0].ip);
    let headers = [("Request-Id", id), ("Deadline-Ms", "1200"), ("Api-Key", KEY)];
    let timeout = Duration::from_millis(1_300);
    let answer = http::call(&address, "GET", "/look/2f", HOST, &headers, b"", timeout);
    match answer {
        Ok(answer) => {
            record.line(&format!("request {id}: {}", answer.status));
            answer.status == 200 && answer.is_whole && answer.header("Server-Seal").is_some()
        }
        Err(e) => {
            record.line(&format!("request {id}: no answer ({e})"));
            false
        }
    }
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        // As in the grown installations: five core machines in four zones.
        cores: vec!["cusco", "puno", "arequipa", "ayacucho", "cusco"],
        stores: vec![],
        fronts: vec!["cusco"],
        tolerated_machines: 2,
        bounds: BOUNDS,
    };
    let mut fleet = Fleet::new(root, &plan);
    let runs = Runs::default();
    let server = format!("{}:{SERVER_PORT}", fleet.ip(2));
    servers::start(&server, "i-1", runs, record.clone());
    let entry = servers::entry("i-1", "agenda", &server, "cusco");
    *fleet.list.lock().expect("list") = format!("{{\"instances\":[{entry}],\"nextToken\":null}}");
    fleet.start_all();
    let until = Instant::now() + Duration::from_secs(15);
    let first = fleet.order("PUT", "/-/config", &config(1, 1200), 0, until, record);
    if !first.is_some_and(|(_, status, _)| status == 200) || !fleet.wait_ready(0, until) {
        fleet.keep_logs();
        return Verdict::NotRun;
    }
    // Machines count as lost until catchupS after their start; the traffic of the installations
    // begins 14 s after it.
    thread::sleep(CATCH_UP + Duration::from_secs(2));
    let served_before = (0..20).filter(|n| is_served(&fleet, record, &format!("a{n}"))).count();

    let began = Instant::now();
    if has_trouble {
        fleet.cores[FROZEN].signal("-STOP");
        record.line(&format!("{} freezes", fleet.cores[FROZEN].name));
    }
    thread::sleep(LOSS_AFTER.saturating_sub(began.elapsed()));
    let until = Instant::now() + Duration::from_secs(5);
    let acked = fleet.order("PUT", "/-/config", &config(2, 1300), 0, until, record);
    let Some((acked_by, 200, _)) = acked else {
        // While one is frozen, four are a majority of five.
        record.line("the config was not acknowledged");
        fleet.keep_logs();
        return Verdict::NotRun;
    };
    record.line(&format!("version 2 was acknowledged by {}", fleet.cores[acked_by].name));
    if has_trouble {
        let lost = [acked_by, (acked_by + 1) % FROZEN];
        for at in lost {
            fleet.cores[at].kill();
            fleet.cores[at].wipe();
            let name = &fleet.cores[at].name;
            record.line(&format!("{name} loses its disk"));
        }
        thread::sleep(DOWN);
        for at in lost {
            fleet.cores[at].restart();
            let name = &fleet.cores[at].name;
            record.line(&format!("{name} is back with an empty disk"));
        }
        thread::sleep(FREEZE.saturating_sub(began.elapsed()));
        fleet.cores[FROZEN].signal("-CONT");
        record.line(&format!("{} goes on", fleet.cores[FROZEN].name));
    }
    record.line("all machines are back");
    thread::sleep(RECOVER);

    // The operator reads the config back repeatedly, at any machine, and consumers go on.
    let until = Instant::now() + STABLE_WINDOW + Duration::from_secs(4);
    let (mut newest, mut read, mut served_after, mut sent) = (0, 0, 0, 0);
    while Instant::now() < until {
        for core in &fleet.cores {
            let address = format!("{}:{CONTROL_PORT}", core.ip);
            let answer = http::call(
                &address,
                "GET",
                "/-/config",
                &core.ip,
                &[],
                b"",
                Duration::from_secs(1),
            );
            let text = match answer {
                Ok(answer) if answer.status == 200 => {
                    read += 1;
                    let is_new = answer.text() == config(2, 1300);
                    newest += usize::from(is_new);
                    if is_new { "200, version 2" } else { "200, another config" }.to_owned()
                }
                Ok(answer) => answer.status.to_string(),
                Err(e) => format!("no answer ({e})"),
            };
            record.line(&format!("read of the config at {}: {text}", core.name));
        }
        sent += 1;
        served_after += usize::from(is_served(&fleet, record, &format!("b{sent}")));
        thread::sleep(Duration::from_millis(300));
    }
    let ends = fleet.ends();
    record.line(&format!(
        "requests served: {served_before} of 20 before, {served_after} of {sent} after; reads with \
         a config: {read}, with version 2: {newest}; ended by themselves: {ends:?}"
    ));
    fleet.keep_logs();
    if newest == 0 || newest < read { Verdict::Broken } else { Verdict::Held }
}
