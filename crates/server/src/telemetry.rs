//! Metrics of calls.

use std::{sync::Mutex, time::Duration};

use http::StatusCode;
use poplarspan_objects::Name;

/// Teams that get histograms of their own; the others share one, so that 30,000 teams do not make
/// 30,000 series on every instance.
const MAX_TEAM_LABELS: usize = 256;

/// Counts an answer to a caller.
pub(crate) fn record_response(status: StatusCode, elapsed: Duration) {
    let class = match status.as_u16() {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    };
    metrics::histogram!("poplarspan_request_seconds", "class" => class)
        .record(elapsed.as_secs_f64());
}

/// Counts a refusal.
pub(crate) fn record_refusal(code: &'static str) {
    metrics::counter!("poplarspan_refusals_total", "code" => code).increment(1);
}

/// Counts a streamed answer.
pub(crate) fn record_stream(team: Option<&Name>, events: u64, elapsed: Duration) {
    let team = team_label(team);
    metrics::counter!("poplarspan_stream_events_total", "team" => team.clone()).increment(events);
    metrics::histogram!("poplarspan_stream_seconds", "team" => team).record(elapsed.as_secs_f64());
}

/// Notes how long a call of a team waited for its place at an endpoint.
pub(crate) fn record_queue_time(team: Option<&Name>, elapsed: Duration) {
    metrics::histogram!("poplarspan_queue_seconds", "team" => team_label(team))
        .record(elapsed.as_secs_f64());
}

/// The label of a team: its own name for the first ones seen, then `other`.
fn team_label(team: Option<&Name>) -> String {
    static LABELLED: Mutex<Vec<Name>> = Mutex::new(Vec::new());
    let Some(team) = team else { return "none".to_owned() };
    let mut labelled = LABELLED.lock().expect("no panic while locked");
    match labelled.binary_search(team) {
        Ok(_) => team.to_string(),
        Err(i) if labelled.len() < MAX_TEAM_LABELS => {
            labelled.insert(i, team.clone());
            team.to_string()
        }
        Err(_) => "other".to_owned(),
    }
}
