//! Queues calls of two teams with weights 2 and 1, one of which sends far more, and prints the
//! order in which they are served. Within a team, a program that has used little so far is served
//! before one that has used much.

use std::time::Duration;

use poplarspan_policy::fair::{
    Call, FairQueue, FixedLimit, InFlightLimit, LasDeadline, QueueConfig,
};

fn call(team: &str, weight: u32, program: &str) -> Call<String> {
    Call {
        team: team.into(),
        weight,
        program: Some(program.into()),
        cost: 100,
        deadline: Duration::from_secs(60),
        payload: format!("{team}/{program}"),
    }
}

fn main() {
    let mut queue = FairQueue::new(QueueConfig::default(), Box::<LasDeadline>::default());
    // At most two calls are in flight at the endpoints.
    let mut limit = FixedLimit::new(2);
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        queue.push(call("red", 1, "long"), now).expect("the queue has room");
    }
    for _ in 0..6 {
        queue.push(call("blue", 2, "report"), now).expect("the queue has room");
    }
    queue.push(call("red", 1, "short"), now).expect("the queue has room");

    let mut served = Vec::new();
    while served.len() < 12 {
        now += Duration::from_millis(50);
        let mut running = Vec::new();
        while let Some(entry) = queue.pop(&mut limit, now) {
            running.push(entry.call);
        }
        for call in running {
            limit.release(call.cost);
            // The answers were half as long as estimated.
            queue.settle(&call.team, call.program.as_ref(), call.cost, call.cost / 2, now);
            served.push(call.payload);
        }
    }
    println!("served: {}", served.join(" "));
    println!("waiting: red {}, blue {}", queue.team_len("red"), queue.team_len("blue"));
    let expired = queue.expire(Duration::from_secs(61));
    println!("expired at their deadline: {}", expired.len());
}
