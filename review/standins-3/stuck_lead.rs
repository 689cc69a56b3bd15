//! A store machine is killed twice, about five seconds apart, while little is kept. Do turns that
//! continue a kept one reach a server afterwards?

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    consumer::{Consumer, HOST, KEY, PROGRAM_MS},
    fleet::{FRONT_PORT, Fleet, Plan, SERVER_PORT, SMALL_BOUNDS},
    record::Record,
    servers::{self, Runs},
};

const STABLE_WINDOW: Duration = Duration::from_secs(3);
const CATCH_UP: Duration = Duration::from_secs(4);
/// How long the machine is down each time.
const DOWN: Duration = Duration::from_millis(2_300);
/// Times from the first end of the machine to the second one, for each trial.
const SECOND_KILL: [Duration; 4] = [
    Duration::from_millis(5_450),
    Duration::from_millis(5_500),
    Duration::from_millis(5_400),
    Duration::from_millis(5_550),
];
/// When a turn is kept between the two, after the first end.
const TURN_BETWEEN: Duration = Duration::from_millis(3_500);
/// Pause after a trial in which the turns went on.
const PAUSE: Duration = Duration::from_secs(3);
/// Time without a disruption before the first trial.
const CALM: Duration = Duration::from_secs(8);
const TRIES: usize = 5;
/// First turns of other programs after each try.
const FIRST_TURNS: usize = 4;

fn config() -> String {
    let route = |name: &str, retain: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"stream\",\
             \"timeoutMs\":4000,\"goalMs\":200,\"priority\":0,\"service\":\"assistant\",\
             \"attempts\":1,\"retain\":{retain},\"retainS\":60.0,\"public\":false,\"sticky\":true,\
             \"canResume\":false,\"gapTargetMs\":300}}"
        )
    };
    let routes = [route("talk", true), route("ask", false)].join(",");
    format!(
        "{{\"version\":1,\"routes\":[{routes}],\"services\":[{}],{},\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        servers::MODEL_SERVICE,
        servers::LIMITS,
    )
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let plan = Plan {
        cores: vec!["pl-a", "pl-b", "pl-c"],
        stores: vec!["pl-a", "pl-b", "pl-c"],
        fronts: vec!["pl-a", "pl-b"],
        tolerated_machines: 1,
        bounds: SMALL_BOUNDS,
    };
    let mut fleet = Fleet::new(root, &plan);
    let runs = Runs::default();
    let server = format!("{}:{SERVER_PORT}", fleet.ip(2));
    servers::start(&server, "i-1", runs.clone(), record.clone());
    let entry = servers::entry("i-1", "assistant", &server, "pl-a");
    *fleet.list.lock().expect("list") = format!("{{\"instances\":[{entry}],\"nextToken\":null}}");
    fleet.start_all();
    let until = Instant::now() + Duration::from_secs(15);
    let first = fleet.order("PUT", "/-/config", &config(), 0, until, record);
    let is_ready = (0..2).all(|front| fleet.wait_ready(front, until));
    let fronts = fleet.fronts.iter().map(|f| format!("{}:{FRONT_PORT}", f.ip)).collect();
    let consumer = Arc::new(Consumer { fronts, record: record.clone() });
    let began = Instant::now();
    let mut last = None;
    while last.is_none() && Instant::now() < until {
        last = consumer.whole(0, "/talk/2f", "talk", None, began, b"hello");
    }
    let (true, Some(mut last)) = (is_ready && first.is_some_and(|(_, s, _)| s == 200), last) else {
        fleet.keep_logs();
        return Verdict::NotRun;
    };
    thread::sleep(CALM);

    let mut verdict = Verdict::Held;
    for (trial, second_kill) in SECOND_KILL.into_iter().enumerate() {
        let kill = |fleet: &mut Fleet| {
            if has_trouble {
                fleet.stores[0].kill();
                record.line(&format!("{} is killed", fleet.stores[0].name));
            }
        };
        let back = |fleet: &mut Fleet| {
            if has_trouble {
                fleet.stores[0].restart();
                record.line(&format!("{} starts again", fleet.stores[0].name));
            }
        };
        let killed = Instant::now();
        let wait = |after: Duration| thread::sleep(after.saturating_sub(killed.elapsed()));
        kill(&mut fleet);
        wait(DOWN);
        back(&mut fleet);
        wait(TURN_BETWEEN);
        let id = format!("between{trial}");
        let between = consumer.whole(0, "/talk/2f", &id, Some(&last.id), began, b"more");
        last = between.unwrap_or(last);
        wait(second_kill);
        kill(&mut fleet);
        wait(second_kill + DOWN);
        back(&mut fleet);
        // From here on no machine counts as lost and all are in touch.
        wait(second_kill + DOWN + CATCH_UP + STABLE_WINDOW);
        let (mut went_on, mut tries) = (None, 0);
        let (mut first_turns, mut arrived) = (0, 0);
        while went_on.is_none() && tries < TRIES {
            // Tries go to one front after the other.
            let front = tries % 2;
            let id = format!("go{trial}{tries}");
            consumer.turn(front, "/talk/2f", &id, Some(&last.id), began, b"more");
            if runs.contains(&id) {
                went_on = Some(id);
            }
            tries += 1;
            // Other programs begin on the other route.
            for _ in 0..FIRST_TURNS {
                let id = format!("ask{trial}x{first_turns}");
                consumer.turn(front, "/ask/2f", &id, None, Instant::now(), b"hello");
                first_turns += 1;
                arrived += usize::from(runs.contains(&id));
            }
        }
        let (age, aim) = (last.ended.elapsed().as_secs_f64(), PROGRAM_MS as f64 / 1000.0);
        let elapsed = began.elapsed().as_secs_f64();
        record.line(&format!(
            "trial {trial}: a turn that continues one answered whole {age:.0} s ago was sent {tries} \
             times and {}; the program has run for {elapsed:.0} of {aim:.0} s; {arrived} of \
             {first_turns} first turns reached a server meanwhile",
            if went_on.is_some() { "reached a server" } else { "never reached a server" },
        ));
        if went_on.is_none() {
            let is_judged = age < 60.0 && elapsed < aim && arrived * 10 >= first_turns * 9;
            verdict = if is_judged { Verdict::Broken } else { Verdict::NotRun };
            break;
        }
        last = consumer
            .whole(0, "/talk/2f", &format!("last{trial}"), Some(&last.id), began, b"more")
            .unwrap_or(last);
        thread::sleep(PAUSE);
    }
    let ends = fleet.ends();
    record.line(&format!("ended by themselves: {ends:?}; {:.0} s in all", record.seconds()));
    fleet.keep_logs();
    verdict
}
