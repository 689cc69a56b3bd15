//! Orders from control instances: releasing programs, loading models, setting roles.

use std::sync::Arc;

use http::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::{Engine, run::State};
use crate::{
    config::{Fencing, ModelVersion},
    server::{ResponseBody, error_response, json_response},
};

/// Body of `POST /orders`.
#[derive(Debug, Deserialize)]
struct Order {
    kind: OrderKind,
    fencing: u64,
    program: Option<Arc<str>>,
    claim: Option<u64>,
    model: Option<String>,
    role: Option<Arc<str>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum OrderKind {
    Release,
    Load,
    Unload,
    Role,
}

/// Highest fencing number seen for each subject, sorted by subject.
#[derive(Debug, Default)]
pub(super) struct FencingNumbers(Vec<(String, u64)>);

impl FencingNumbers {
    /// Records a number. Returns false if a higher one was seen before.
    fn accept(&mut self, subject: String, number: u64) -> bool {
        match self.0.binary_search_by(|(s, _)| s.cmp(&subject)) {
            Ok(i) if number < self.0[i].1 => false,
            Ok(i) => {
                self.0[i].1 = number;
                true
            }
            Err(i) => {
                self.0.insert(i, (subject, number));
                true
            }
        }
    }
}

impl Engine {
    /// Answers `POST /orders`.
    pub(super) fn order(&self, body: &[u8]) -> Response<ResponseBody> {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(e) => {
                return error_response(StatusCode::BAD_REQUEST, &format!("not an order: {e}"));
            }
        };
        let Some(subject) = order.subject() else {
            return error_response(StatusCode::BAD_REQUEST, "the order names no subject");
        };
        let run = self.run();
        let mut state = run.lock();
        let accepted = state.fencing_numbers.accept(subject, order.fencing);
        if !accepted && self.cfg.fencing == Fencing::Check {
            return error_response(StatusCode::CONFLICT, "a higher fencing number was seen");
        }
        order.apply(&mut state)
    }
}

impl Order {
    /// Returns the subject within which fencing numbers are compared, or `None` if the field that
    /// names it is missing or malformed.
    fn subject(&self) -> Option<String> {
        match self.kind {
            OrderKind::Release => self.program.as_ref().map(|p| format!("program {p}")),
            OrderKind::Load | OrderKind::Unload => {
                let model: ModelVersion = self.model.as_ref()?.parse().ok()?;
                Some(format!("model {}", model.model))
            }
            OrderKind::Role => self.role.as_ref().map(|_| "role".to_owned()),
        }
    }

    fn apply(&self, state: &mut State) -> Response<ResponseBody> {
        let now = Instant::now();
        let model = self.model.as_deref().and_then(|m| m.parse::<ModelVersion>().ok());
        match (self.kind, model) {
            (OrderKind::Release, _) => {
                state.release(self.program.as_deref().unwrap_or_default(), self.claim);
            }
            (OrderKind::Load, Some(model)) => {
                return json_response(StatusCode::ACCEPTED, &state.models.load(model, now));
            }
            (OrderKind::Unload, Some(model)) => state.models.unload(&model.model),
            (OrderKind::Load | OrderKind::Unload, None) => {}
            (OrderKind::Role, _) => state.role = self.role.clone(),
        }
        json_response(StatusCode::OK, &json!({"state": "done"}))
    }
}
