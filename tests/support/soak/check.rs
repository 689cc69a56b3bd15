//! What must hold of everything that callers and servers have seen.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::platform::KEY;

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Once,
    /// Ends each server that runs it, whichever id it has.
    Crashing {
        path: &'static str,
    },
    /// A stream of so many events that counts against the budget of its program.
    Budgeted {
        program: String,
        events: usize,
    },
    /// A kept turn with what the servers must get: all that was said before, and its own input.
    Kept {
        events: usize,
        input: String,
    },
}

/// What became of a call.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub key: &'static str,
    pub sent: Instant,
    /// 0 if there was no answer.
    pub status: u16,
    pub seal: Option<String>,
    pub body: String,
    /// Whether the answer ended in order.
    pub is_whole: bool,
}

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Ran {
    pub id: String,
    pub body: String,
    pub team: String,
    pub at: Instant,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub seen: Vec<Seen>,
    pub ran: Vec<Ran>,
    /// Versions in the order in which one reader got them.
    pub versions: Vec<u64>,
    /// When a key was taken away, by the operator's answer.
    pub revoked: Option<(&'static str, Instant)>,
    /// When all faults had ended.
    pub calm: Option<Instant>,
    /// What was not served once all faults had ended.
    pub unserved: Vec<String>,
}

pub const TOKENS_PER_EVENT: u64 = 10;
/// Budget of each program, and the most of one turn.
pub const BUDGET: u64 = 200;
pub const MOST: u64 = 50;
/// Rate and burst of the team `blue`, and how far they may be exceeded in a window.
pub const RATE: f64 = 20.0;
pub const BURST: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// A key that was taken away stops after this time at the latest.
const REVOKE: Duration = Duration::from_secs(5);
/// Runs of a request that come later than this after it has ended so many servers.
const MOST_ENDED: usize = 3;
const MOST_RETRIES: usize = 3;
const SETTLED: Duration = Duration::from_secs(3);
/// Refusals of other requests as such that end servers: a few, and so many in a thousand calls.
const REFUSED: u16 = 422;
const REFUSED_FEW: usize = 5;
const REFUSED_PER_THOUSAND: usize = 2;

impl History {
    /// All that is wrong; empty if nothing is.
    pub fn findings(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
        for ran in &self.ran {
            runs.entry(&ran.id).or_default().push(ran);
        }
        let mut findings = self.unserved.clone();
        for seen in &self.seen {
            let runs = runs.get(&*seen.id).map_or(&[][..], |r| r);
            findings
                .extend(check_call(seen, runs).into_iter().map(|f| format!("{}: {f}", seen.id)));
        }
        findings.extend(self.budgets());
        findings.extend(self.rate());
        findings.extend(self.revocation());
        findings.extend(self.crashing(&runs));
        findings.extend(self.bystanders());
        if let Some(at) = self.versions.windows(2).position(|w| w[0] > w[1]) {
            findings.push(format!("version {:?} went back", &self.versions[at..at + 2]));
        }
        findings
    }

    /// How much of what was seen.
    pub fn summary(&self) -> String {
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        self.seen.iter().for_each(|s| *statuses.entry(s.status).or_default() += 1);
        let cut = self.seen.iter().filter(|s| s.status == 200 && !s.is_whole).count();
        let (ran, versions) = (self.ran.len(), self.versions.last());
        format!("calls by status {statuses:?}, {cut} cut, {ran} runs, last version {versions:?}")
    }

    fn budgets(&self) -> Vec<String> {
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        for seen in &self.seen {
            if let Kind::Budgeted { program, .. } = &seen.kind {
                let events = seen.body.matches("data: ").count() as u64;
                *used.entry(program).or_default() += TOKENS_PER_EVENT * events;
            }
        }
        let over = used.iter().filter(|(_, used)| **used > BUDGET + MOST);
        over.map(|(program, used)| format!("{program}: {used} tokens of {BUDGET}")).collect()
    }

    fn rate(&self) -> Option<String> {
        let mut at: Vec<_> = self.ran.iter().filter(|r| r.team == "blue").map(|r| r.at).collect();
        at.sort_unstable();
        let most = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
        let count =
            |from: &Instant| at.iter().filter(|t| *t >= from && **t < *from + WINDOW).count();
        let worst = at.iter().map(count).max()?;
        (worst as f64 > most).then(|| format!("{worst} calls of a team in a window of {most}"))
    }

    fn crashing(&self, runs: &BTreeMap<&str, Vec<&Ran>>) -> Vec<String> {
        let mut at: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for seen in &self.seen {
            if let Kind::Crashing { path } = seen.kind {
                let runs = runs.get(&*seen.id).map_or(&[][..], |r| r);
                at.entry(path).or_default().extend(runs.iter().map(|r| r.at));
            }
        }
        let mut findings = Vec::new();
        for (path, mut at) in at {
            at.sort_unstable();
            let Some(third) = at.get(MOST_ENDED - 1) else { continue };
            let from = self.calm.map_or(*third, |calm| calm.max(*third)) + SETTLED;
            let late = at.iter().filter(|at| **at > from).count();
            if late > MOST_RETRIES {
                findings.push(format!("{path}: {late} runs after {MOST_ENDED} servers have ended"));
            }
        }
        findings
    }

    fn bystanders(&self) -> Option<String> {
        let is_other = |s: &&Seen| !matches!(s.kind, Kind::Crashing { .. });
        let calls = self.seen.iter().filter(is_other).count();
        let refused = self.seen.iter().filter(is_other).filter(|s| s.status == REFUSED).count();
        let most = REFUSED_FEW + calls * REFUSED_PER_THOUSAND / 1_000;
        (refused > most)
            .then(|| format!("{refused} of {calls} other calls refused, at most {most}"))
    }

    fn revocation(&self) -> Vec<String> {
        let Some((key, at)) = self.revoked else { return Vec::new() };
        let late = |s: &&Seen| s.key == key && s.sent > at + REVOKE && s.status == 200;
        let served = self.seen.iter().filter(late);
        served.map(|s| format!("{}: served with a key that was taken away", s.id)).collect()
    }
}

fn check_call(seen: &Seen, runs: &[&Ran]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut find = |what: String| findings.push(what);
    if seen.kind == Kind::Once && runs.len() > 1 {
        find(format!("ran {} times", runs.len()));
    }
    if matches!(seen.status, 401 | 402 | 404 | 408 | 421 | 429 | 503) && !runs.is_empty() {
        find(format!("has run, in spite of {}", seen.status));
    }
    if seen.status == 404 {
        find("is said not to exist".to_owned());
    }
    if seen.status == 401 && seen.key == KEY {
        find("refused with a key in force".to_owned());
    }
    if seen.status == 200 && seen.seal.as_deref() != Some(&*format!("seal-{}", seen.id)) {
        find(format!("answer with the seal {:?}", seen.seal));
    }
    match &seen.kind {
        Kind::Safe | Kind::Once => {
            if seen.status == 200 && seen.is_whole && seen.body != expected_body(&seen.id) {
                find(format!("wrong answer {:?}", seen.body));
            }
        }
        Kind::Crashing { .. } => {
            if seen.status == 200 {
                find("is answered, though no server has answered it".to_owned());
            }
        }
        Kind::Budgeted { events, .. } | Kind::Kept { events, .. } => {
            let all = expected_stream(*events);
            if seen.status == 200 && !all.starts_with(&seen.body) {
                find(format!("wrong stream {:?}", seen.body));
            }
            if seen.status == 200 && seen.is_whole && seen.body != all {
                find(format!("stream that ended early {:?}", seen.body));
            }
        }
    }
    if let Kind::Kept { input, .. } = &seen.kind {
        let wrong = runs.iter().filter(|r| r.body != *input);
        findings.extend(wrong.map(|r| format!("the server got {:?}, not {input:?}", r.body)));
    }
    findings
}

/// What a server answers to a call that is no stream.
pub fn expected_body(id: &str) -> String {
    format!("body of {id}")
}

fn expected_stream(events: usize) -> String {
    (1..=events).map(|n| format!("id: {n}\ndata: out{n}\n\n")).collect()
}
