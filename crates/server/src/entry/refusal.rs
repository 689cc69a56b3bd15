//! Refusals: a stable code, whether the call ran, and when the caller may come back.

use std::{borrow::Cow, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use super::body::{self, ResponseBody};

/// When a caller may come back, where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether any part of the refused call was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Executed {
    /// Not a byte of it has left for an endpoint, and none will.
    No,
    /// It ran, but its answer is lost or not whole.
    Yes,
    /// It may have run.
    Unknown,
}

/// Stable codes of refusals, part of the callers' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Code {
    Unauthorized,
    NotFound,
    BadRequest,
    TooLarge,
    Conflict,
    OutOfOrder,
    BudgetExceeded,
    ProgramEnded,
    RateLimited,
    Overloaded,
    NoLease,
    Unavailable,
    Deadline,
    OutcomeUnknown,
    EndpointFailed,
    RequestCrashesEndpoints,
    ShuttingDown,
}

impl Code {
    fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Conflict | Self::OutOfOrder | Self::ProgramEnded => StatusCode::CONFLICT,
            Self::BudgetExceeded => StatusCode::PAYMENT_REQUIRED,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::NoLease | Self::Unavailable | Self::ShuttingDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown | Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::RequestCrashesEndpoints => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    /// Whether the cause passes without a change of the call.
    fn is_transient(self) -> bool {
        matches!(
            self,
            Self::RateLimited
                | Self::Overloaded
                | Self::NoLease
                | Self::Unavailable
                | Self::Deadline
                | Self::EndpointFailed
                | Self::ShuttingDown
        )
    }

    /// The code as it stands in answers and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::Conflict => "conflict",
            Self::OutOfOrder => "out_of_order",
            Self::BudgetExceeded => "budget_exceeded",
            Self::ProgramEnded => "program_ended",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::NoLease => "no_lease",
            Self::Unavailable => "unavailable",
            Self::Deadline => "deadline",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::EndpointFailed => "endpoint_failed",
            Self::RequestCrashesEndpoints => "request_crashes_endpoints",
            Self::ShuttingDown => "shutting_down",
        }
    }
}

/// Why a call is not answered by an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) message: Cow<'static, str>,
    pub(crate) ran: Executed,
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: Code,
    message: &'a str,
    ran: Executed,
}

impl Refusal {
    /// A refusal of a call that did not run.
    pub(crate) fn not_run(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into(), ran: Executed::No, retry_after: None }
    }

    /// A refusal of a call that may have run, or did run.
    pub(crate) fn with_ran(
        code: Code,
        ran: Executed,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self { code, message: message.into(), ran, retry_after: None }
    }

    /// Tells the caller when to come back.
    pub(crate) fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The refusal as JSON.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let detail = Detail { code: self.code, message: &self.message, ran: self.ran };
        serde_json::to_vec(&Document { error: detail }).expect("plain strings serialize")
    }

    /// The answer to the caller.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(body::full(self.to_json()));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let may_return = self.ran == Executed::No && self.code.is_transient();
        if let Some(wait) = self.retry_after.or_else(|| may_return.then_some(DEFAULT_RETRY_AFTER)) {
            // The header has whole seconds: rounded up, so that nobody comes back too early.
            let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
