//! Answers of the front's own.

use std::{borrow::Cow, time::Duration};

use http::StatusCode;

/// Why a call gets an answer of the front's own.
///
/// The status tells the caller what may have happened: after 429 and 503 the call has not run and
/// never will; after 502 and 504 nobody knows.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Stable name, for logs and metrics.
    pub(crate) code: &'static str,
    pub(crate) message: Cow<'static, str>,
    /// When the caller may come back.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self { status, code, message: message.into(), retry_after: None }
    }

    /// The call has not run and never will; it may be sent again after a while.
    pub(crate) fn retry_later(
        code: &'static str,
        message: impl Into<Cow<'static, str>>,
        retry_after: Duration,
    ) -> Self {
        let retry_after = Some(retry_after);
        Self { retry_after, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message) }
    }

    /// Whether it says that the call has not run.
    pub(crate) fn guarantees_not_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        )
    }
}
