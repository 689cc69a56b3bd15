//! Call metrics.

use std::{sync::Mutex, time::Duration};

use http::StatusCode;
use poplarspan_objects::Name;

/// Number of teams with a label of their own. All other teams share one label: 30,000 teams would
/// otherwise create 30,000 time series on every instance.
const MAX_TEAM_LABELS: usize = 256;

/// Records the duration of a request by status class.
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

pub(crate) fn record_refusal(code: &'static str) {
    metrics::counter!("poplarspan_refusals_total", "code" => code).increment(1);
}

/// Records the events and the duration of a streamed response.
pub(crate) fn record_stream(team: Option<&Name>, events: u64, elapsed: Duration) {
    let team = team_label(team);
    metrics::counter!("poplarspan_stream_events_total", "team" => team.clone()).increment(events);
    metrics::histogram!("poplarspan_stream_seconds", "team" => team).record(elapsed.as_secs_f64());
}

/// Records how long a call waited for a slot at an endpoint.
pub(crate) fn record_queue_time(team: Option<&Name>, elapsed: Duration) {
    metrics::histogram!("poplarspan_queue_seconds", "team" => team_label(team))
        .record(elapsed.as_secs_f64());
}

/// Returns the metric label of a team: its name for the first [`MAX_TEAM_LABELS`] teams, `other`
/// for later ones, and `none` without a team.
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
