//! Built-in paths: the model list, and the end and history of programs.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use poplarspan_ledger::group_of_program;
use poplarspan_objects::Name;
use poplarspan_proto::ledger::{
    self, LedgerQuery, LedgerQueryAnswer, ledger_answer, ledger_command, ledger_query,
    ledger_query_answer,
};
use prost::Message;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    attempt::check_lease,
    auth::Credential,
    body::{self, ResponseBody},
    call::check_program,
    handler::EntryHandler,
    program::{refusal_for, unavailable},
    refusal::{Code, Refusal},
};

const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);
const HISTORY_PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// Paths that are served by the instance itself.
pub(crate) enum BuiltinPath {
    /// `GET /v1/models`
    Models,
    /// `POST /v1/programs/{id}/finish`
    Finish(String),
    /// `GET /v1/programs/{id}/history`
    History(String),
}

impl BuiltinPath {
    /// Parses a path. Returns `None` if it is not built in.
    pub(crate) fn find(path: &str) -> Option<Self> {
        if path == "/v1/models" {
            return Some(Self::Models);
        }
        let rest = path.strip_prefix("/v1/programs/")?;
        if let Some(program) = rest.strip_suffix("/finish") {
            return Some(Self::Finish(program.to_owned()));
        }
        rest.strip_suffix("/history").map(|program| Self::History(program.to_owned()))
    }
}

impl EntryHandler {
    /// Serves a request to a built-in path.
    pub(crate) async fn respond_builtin(
        &self,
        path: BuiltinPath,
        request: &Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let snapshot = self.membership.load();
        check_lease(&snapshot)?;
        let credential = Credential::from_headers(request.headers(), &snapshot.objects)?;
        match path {
            BuiltinPath::Models => json(&Models::new(&snapshot.objects)),
            BuiltinPath::Finish(program) if request.method() == Method::POST => {
                check_program(&program)?;
                self.finish(&credential.team, &program).await
            }
            BuiltinPath::History(program) if request.method() == Method::GET => {
                check_program(&program)?;
                self.history(&credential.team, &program, request.uri().query()).await
            }
            _ => Err(Refusal::not_run(Code::BadRequest, "the path does not take this method")),
        }
    }

    async fn finish(&self, team: &Name, program: &str) -> Result<Response<ResponseBody>, Refusal> {
        let group = self.group(team, program)?;
        let finish = ledger::Finish { team: team.to_string(), program: program.to_owned() };
        let command = ledger_command::Command::Finish(finish);
        let deadline = Instant::now() + LEDGER_TIMEOUT;
        match self.ledger.command(group, command, deadline).await {
            Ok(ledger_answer::Answer::Finished(_)) => {
                json(&Finished { program, state: "finished" })
            }
            Ok(other) => Err(refusal_for(&other)),
            Err(e) => Err(unavailable(&e.to_string())),
        }
    }

    async fn history(
        &self,
        team: &Name,
        program: &str,
        query: Option<&str>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let from_turn = query
            .and_then(|q| q.split('&').find_map(|pair| pair.strip_prefix("from_turn=")))
            .map_or(Ok(1), str::parse)
            .map_err(|_| Refusal::not_run(Code::BadRequest, "from_turn must be a number"))?;
        let group = self.group(team, program)?;
        let query = LedgerQuery {
            query: Some(ledger_query::Query::History(ledger::HistoryQuery {
                team: team.to_string(),
                program: program.to_owned(),
                from_turn,
                max_bytes: HISTORY_PAGE_BYTES,
            })),
        };
        let deadline = Instant::now() + LEDGER_TIMEOUT;
        let answer = self.ledger.query(group, query.encode_to_vec().into(), deadline).await;
        let answer = answer.map_err(|e| unavailable(&e.to_string()))?;
        match LedgerQueryAnswer::decode(answer).ok().and_then(|a| a.answer) {
            Some(ledger_query_answer::Answer::History(page)) => json(&History::new(program, page)),
            Some(ledger_query_answer::Answer::NotFound(_)) => {
                Err(Refusal::not_run(Code::NotFound, "no such program"))
            }
            _ => Err(unavailable("unexpected answer of the ledger")),
        }
    }

    fn group(&self, team: &str, program: &str) -> Result<u32, Refusal> {
        match self.ledger.groups() {
            0 => Err(unavailable("the program groups are not known yet")),
            groups => Ok(group_of_program(team, program, groups)),
        }
    }
}

fn json<T: Serialize>(value: &T) -> Result<Response<ResponseBody>, Refusal> {
    let buf = serde_json::to_vec(value).map_err(|e| unavailable(&e.to_string()))?;
    let mut response = Response::new(body::full(buf));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    Ok(response)
}

#[derive(Serialize)]
struct Finished<'a> {
    program: &'a str,
    state: &'static str,
}

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: Name,
    object: &'static str,
}

impl Models {
    fn new(objects: &poplarspan_objects::ObjectSet) -> Self {
        let model = |m: &poplarspan_objects::Model| Model { id: m.name.clone(), object: "model" };
        Self { object: "list", data: objects.models().iter().map(model).collect() }
    }
}

#[derive(Serialize)]
struct History<'a> {
    program: &'a str,
    turns: Vec<Turn>,
    /// First turn of the next page; null on the last page.
    next_turn: Option<u32>,
}

#[derive(Serialize)]
struct Turn {
    turn: u32,
    request: String,
    status: Option<u32>,
    answer: Option<String>,
    cost_tokens: Option<u64>,
}

impl<'a> History<'a> {
    fn new(program: &'a str, page: ledger::HistoryPage) -> Self {
        let text = |buf: &Bytes| String::from_utf8_lossy(buf).into_owned();
        let turn = |record: &ledger::HistoryRecord| Turn {
            turn: record.turn,
            request: text(&record.request),
            status: record.answer.as_ref().map(|a| a.status),
            answer: record.answer.as_ref().map(|a| text(&a.body)),
            cost_tokens: record.answer.as_ref().map(|a| a.cost_tokens),
        };
        let turns = page.records.iter().map(turn).collect();
        let next_turn = (page.next_turn != 0).then_some(page.next_turn);
        Self { program, turns, next_turn }
    }
}
