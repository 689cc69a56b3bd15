//! Checks on the records of callers and servers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::platform::KEY;

/// Kind of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Once,
    /// Crashes every server that runs it, under any request id.
    Crashing {
        path: &'static str,
    },
    /// A stream of `events` events that counts against the budget of its program.
    Budgeted {
        program: String,
        events: usize,
    },
    /// A kept turn. `input` is what the servers must receive: the previous turns and its own input.
    Kept {
        events: usize,
        input: String,
    },
}

/// A call and its response.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: Kind,
    pub key: &'static str,
    pub sent: Instant,
    /// 0 if there was no response.
    pub status: u16,
    pub seal: Option<String>,
    pub body: String,
    /// Whether the response was received to its end.
    pub is_complete: bool,
}

/// One execution of a request by a server.
#[derive(Clone, Debug)]
pub struct Execution {
    pub id: String,
    pub body: String,
    pub team: String,
    pub at: Instant,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: Vec<CallRecord>,
    pub executions: Vec<Execution>,
    /// Config versions in the order in which one reader received them.
    pub versions: Vec<u64>,
    /// A withdrawn key, with the time at which the operator received the acknowledgement.
    pub revoked: Option<(&'static str, Instant)>,
    /// Time at which all faults had ended.
    pub faults_ended: Option<Instant>,
    /// Unexpected exits, and what did not recover after the faults.
    pub failures: Vec<String>,
}

pub const TOKENS_PER_EVENT: u64 = 10;
/// Token budget of each program, and the maximum of one turn.
pub const BUDGET_TOKENS: u64 = 200;
pub const MAX_TURN_TOKENS: u64 = 50;
/// Rate limit of the team `blue`. In a window it may be exceeded by a fraction of
/// [`ALLOWED_EXCESS`] and by [`SLACK_CALLS`] calls.
pub const RATE_PER_S: f64 = 20.0;
pub const BURST: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const ALLOWED_EXCESS: f64 = 0.1;
const SLACK_CALLS: f64 = 20.0;
/// Time after which a withdrawn key must be refused.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Once a request has crashed [`MAX_CRASHES`] servers and [`RETRY_GRACE`] has passed, at most
/// [`MAX_RETRIES`] further executions are allowed.
const MAX_CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;
const RETRY_GRACE: Duration = Duration::from_secs(3);
/// Other requests may be refused as crashing: [`MAX_REFUSED`], plus
/// [`MAX_REFUSED_PER_THOUSAND`] per thousand calls.
const REFUSED_STATUS: u16 = 422;
const MAX_REFUSED: usize = 5;
const MAX_REFUSED_PER_THOUSAND: usize = 2;

impl History {
    /// Returns every violation found; empty if all checks pass.
    pub fn findings(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        for execution in &self.executions {
            runs.entry(&execution.id).or_default().push(execution);
        }
        let mut findings = self.failures.clone();
        for call in &self.calls {
            let runs = runs.get(&*call.id).map_or(&[][..], |r| r);
            findings
                .extend(check_call(call, runs).into_iter().map(|f| format!("{}: {f}", call.id)));
        }
        findings.extend(self.budgets());
        findings.extend(self.rate());
        findings.extend(self.revocation());
        findings.extend(self.crashing(&runs));
        findings.extend(self.unrelated_refusals());
        if let Some(at) = self.versions.windows(2).position(|w| w[0] > w[1]) {
            findings.push(format!("config versions decreased: {:?}", &self.versions[at..at + 2]));
        }
        findings
    }

    /// Summarizes calls, executions and versions in one line.
    pub fn summary(&self) -> String {
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        self.calls.iter().for_each(|s| *statuses.entry(s.status).or_default() += 1);
        let cut = self.calls.iter().filter(|s| s.status == 200 && !s.is_complete).count();
        let (executions, versions) = (self.executions.len(), self.versions.last());
        format!(
            "calls by status {statuses:?}, {cut} cut, {executions} executions, last version \
             {versions:?}"
        )
    }

    fn budgets(&self) -> Vec<String> {
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        for call in &self.calls {
            if let Kind::Budgeted { program, .. } = &call.kind {
                let events = call.body.matches("data: ").count() as u64;
                *used.entry(program).or_default() += TOKENS_PER_EVENT * events;
            }
        }
        let over = used.iter().filter(|(_, used)| **used > BUDGET_TOKENS + MAX_TURN_TOKENS);
        over.map(|(program, used)| {
            format!("{program}: used {used} tokens of a budget of {BUDGET_TOKENS}")
        })
        .collect()
    }

    fn rate(&self) -> Option<String> {
        let mut at: Vec<_> =
            self.executions.iter().filter(|r| r.team == "blue").map(|r| r.at).collect();
        at.sort_unstable();
        let limit =
            (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + ALLOWED_EXCESS) + SLACK_CALLS;
        let count =
            |from: &Instant| at.iter().filter(|t| *t >= from && **t < *from + WINDOW).count();
        let worst = at.iter().map(count).max()?;
        (worst as f64 > limit)
            .then(|| format!("{worst} calls of a team in one window, at most {limit} allowed"))
    }

    fn crashing(&self, runs: &BTreeMap<&str, Vec<&Execution>>) -> Vec<String> {
        let mut at: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for call in &self.calls {
            if let Kind::Crashing { path } = call.kind {
                let runs = runs.get(&*call.id).map_or(&[][..], |r| r);
                at.entry(path).or_default().extend(runs.iter().map(|r| r.at));
            }
        }
        let mut findings = Vec::new();
        for (path, mut at) in at {
            at.sort_unstable();
            let Some(third) = at.get(MAX_CRASHES - 1) else { continue };
            let from = self.faults_ended.map_or(*third, |faults_ended| faults_ended.max(*third))
                + RETRY_GRACE;
            let late = at.iter().filter(|at| **at > from).count();
            if late > MAX_RETRIES {
                findings.push(format!(
                    "{path}: {late} executions after {MAX_CRASHES} servers had crashed"
                ));
            }
        }
        findings
    }

    fn unrelated_refusals(&self) -> Option<String> {
        let is_other = |s: &&CallRecord| !matches!(s.kind, Kind::Crashing { .. });
        let calls = self.calls.iter().filter(is_other).count();
        let refused =
            self.calls.iter().filter(is_other).filter(|s| s.status == REFUSED_STATUS).count();
        let limit = MAX_REFUSED + calls * MAX_REFUSED_PER_THOUSAND / 1_000;
        (refused > limit)
            .then(|| format!("{refused} of {calls} other calls refused, at most {limit} allowed"))
    }

    fn revocation(&self) -> Vec<String> {
        let Some((key, at)) = self.revoked else { return Vec::new() };
        let late =
            |s: &&CallRecord| s.key == key && s.sent > at + REVOCATION_TIMEOUT && s.status == 200;
        let served = self.calls.iter().filter(late);
        served.map(|s| format!("{}: served with a withdrawn key", s.id)).collect()
    }
}

fn check_call(call: &CallRecord, runs: &[&Execution]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut report = |what: String| findings.push(what);
    if call.kind == Kind::Once && runs.len() > 1 {
        report(format!("ran {} times", runs.len()));
    }
    if matches!(call.status, 401 | 402 | 404 | 408 | 421 | 429 | 503) && !runs.is_empty() {
        report(format!("was executed although its status is {}", call.status));
    }
    if call.status == 404 {
        report("was answered with status 404".to_owned());
    }
    if call.status == 401 && call.key == KEY {
        report("refused with a valid key".to_owned());
    }
    if call.status == 200 && call.seal.as_deref() != Some(&*format!("seal-{}", call.id)) {
        report(format!("wrong seal {:?}", call.seal));
    }
    match &call.kind {
        Kind::Safe | Kind::Once => {
            if call.status == 200 && call.is_complete && call.body != expected_body(&call.id) {
                report(format!("wrong body {:?}", call.body));
            }
        }
        Kind::Crashing { .. } => {
            if call.status == 200 {
                report("succeeded although no server responded".to_owned());
            }
        }
        Kind::Budgeted { events, .. } | Kind::Kept { events, .. } => {
            let all = expected_stream(*events);
            if call.status == 200 && !all.starts_with(&call.body) {
                report(format!("wrong stream {:?}", call.body));
            }
            if call.status == 200 && call.is_complete && call.body != all {
                report(format!("incomplete stream without an error {:?}", call.body));
            }
        }
    }
    if let Kind::Kept { input, .. } = &call.kind {
        let wrong = runs.iter().filter(|r| r.body != *input);
        findings.extend(
            wrong.map(|r| format!("the server received {:?} instead of {input:?}", r.body)),
        );
    }
    findings
}

/// Body of a response that is not a stream.
pub fn expected_body(id: &str) -> String {
    format!("body of {id}")
}

fn expected_stream(events: usize) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: out{n}\n\n")).collect()
}
