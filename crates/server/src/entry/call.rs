//! Call headers: program, turn, deadline and idempotency key.

use std::time::Duration;

use http::{HeaderMap, Method};
use poplarspan_objects::Name;
use tokio::time::Instant;

use super::refusal::{Code, Refusal};

const PROGRAM_HEADER: &str = "x-poplarspan-program";
const PARENT_HEADER: &str = "x-poplarspan-parent";
const TURN_HEADER: &str = "x-poplarspan-turn";
const DEADLINE_HEADER: &str = "x-poplarspan-deadline";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Maximum number of parts of a program path, from the root to the sub-agent.
const MAX_PROGRAM_DEPTH: usize = 8;
const MAX_PART_BYTES: usize = 64;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Program and turn of a call.
#[derive(Clone, Debug)]
pub(crate) struct ProgramCall {
    /// Path from the root program, parts separated by `/`.
    pub(crate) program: Name,
    /// Turn that the caller expects to be next, if given.
    pub(crate) turn: Option<u32>,
}

/// Parsed headers of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    pub(crate) method: Method,
    pub(crate) program: Option<ProgramCall>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) deadline: Instant,
}

impl CallHead {
    /// Parses the headers of a call. Without a deadline header, `timeout` of the route applies.
    pub(crate) fn read(
        method: &Method,
        headers: &HeaderMap,
        timeout: Duration,
    ) -> Result<Self, Refusal> {
        let wait = match header_text(headers, DEADLINE_HEADER)? {
            Some(value) => {
                Duration::from_millis(parse_number(DEADLINE_HEADER, value)?).min(MAX_DEADLINE)
            }
            None => timeout,
        };
        Ok(Self {
            method: method.clone(),
            program: program(headers)?,
            idempotency_key: idempotency_key(headers)?,
            deadline: Instant::now() + wait,
        })
    }
}

fn program(headers: &HeaderMap) -> Result<Option<ProgramCall>, Refusal> {
    let Some(program) = header_text(headers, PROGRAM_HEADER)? else {
        if headers.contains_key(TURN_HEADER) || headers.contains_key(PARENT_HEADER) {
            return Err(bad_header(PROGRAM_HEADER, "is missing"));
        }
        return Ok(None);
    };
    let path = match header_text(headers, PARENT_HEADER)? {
        Some(parent) => format!("{parent}/{program}"),
        None => program.to_owned(),
    };
    check_program(&path)?;
    let turn = match header_text(headers, TURN_HEADER)? {
        Some(value) => Some(
            u32::try_from(parse_number(TURN_HEADER, value)?)
                .map_err(|_| bad_header(TURN_HEADER, "is out of range"))?,
        ),
        None => None,
    };
    Ok(Some(ProgramCall { program: path.into(), turn }))
}

/// Validates a program path: at most 8 parts of 1 to 64 bytes.
pub(crate) fn check_program(path: &str) -> Result<(), Refusal> {
    let parts = path.split('/');
    if parts.clone().count() > MAX_PROGRAM_DEPTH {
        return Err(bad_header(PROGRAM_HEADER, "has more than 8 levels"));
    }
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    for part in parts {
        if part.is_empty() || part.len() > MAX_PART_BYTES || !part.bytes().all(allowed) {
            return Err(bad_header(
                PROGRAM_HEADER,
                "needs parts of 1 to 64 letters, digits, '-', '_', '.' or ':'",
            ));
        }
    }
    Ok(())
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(key) = header_text(headers, IDEMPOTENCY_HEADER)? else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad_header(IDEMPOTENCY_HEADER, "must have 1 to 255 characters"));
    }
    Ok(Some(key.to_owned()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_header(name, "occurs more than once"));
    }
    value.to_str().map(Some).map_err(|_| bad_header(name, "must be plain ASCII"))
}

fn parse_number(name: &'static str, value: &str) -> Result<u64, Refusal> {
    value.parse().map_err(|_| bad_header(name, "must be a whole number"))
}

fn bad_header(name: &str, problem: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, format!("header {name} {problem}"))
}
