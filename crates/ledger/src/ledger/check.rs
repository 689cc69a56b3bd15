//! Validation of commands that needs no state.

use poplarspan_proto::ledger::{
    Begin, CallId, CallKind, Claimant, Dispatch, ledger_command::Command,
};

use crate::names::{is_name, is_path};

/// Length of a body digest, which is a BLAKE3 hash.
pub(super) const DIGEST_BYTES: usize = 32;

pub(super) fn check_command(command: &Command) -> Result<(), &'static str> {
    match command {
        Command::Begin(begin) => check_begin(begin),
        Command::Dispatch(Dispatch { call, endpoint, .. }) => {
            check_call(call.as_ref())?;
            require(is_name(endpoint), "endpoint is empty or too long")
        }
        Command::End(end) => {
            check_call(end.call.as_ref())?;
            require(end.outcome.is_some(), "outcome is missing or unknown")
        }
        Command::Finish(finish) => {
            require(is_name(&finish.team), "team is empty or too long")?;
            require(is_path(&finish.program), "program is no valid path")
        }
        Command::InstanceGone(gone) => {
            require(is_name(&gone.instance), "instance is empty or too long")
        }
        Command::EndpointGone(gone) => {
            require(is_name(&gone.endpoint), "endpoint is empty or too long")
        }
        Command::Expire(_) | Command::ReleaseAcknowledged(_) | Command::Configure(_) => Ok(()),
    }
}

fn check_begin(begin: &Begin) -> Result<(), &'static str> {
    require(is_name(&begin.team), "team is empty or too long")?;
    require(is_name(&begin.idempotency_key), "idempotency key is empty or too long")?;
    require(begin.body_digest.len() == DIGEST_BYTES, "body digest is not 32 bytes long")?;
    let kind = CallKind::try_from(begin.kind).unwrap_or_default();
    require(kind != CallKind::Unspecified, "kind is missing or unknown")?;
    check_claimant(begin.claimant.as_ref())?;
    require(begin.endpoint.is_empty() || is_name(&begin.endpoint), "endpoint is too long")?;
    match &begin.program {
        Some(program) => require(is_path(program), "program is no valid path")?,
        None => require(begin.turn.is_none(), "turn without a program")?,
    }
    require(begin.turn != Some(0), "turn is 0")
}

fn check_claimant(claimant: Option<&Claimant>) -> Result<(), &'static str> {
    let ok = claimant.is_some_and(|claimant| is_name(&claimant.instance));
    require(ok, "claimant is missing, empty or too long")
}

fn check_call(call: Option<&CallId>) -> Result<(), &'static str> {
    let call = call.ok_or("call is missing")?;
    require(is_name(&call.team), "team is empty or too long")?;
    match &call.program {
        Some(program) => {
            require(is_path(program), "program is no valid path")?;
            require(call.turn > 0, "turn is 0")
        }
        None => require(is_name(&call.idempotency_key), "idempotency key is empty or too long"),
    }
}

fn require(ok: bool, message: &'static str) -> Result<(), &'static str> {
    if ok { Ok(()) } else { Err(message) }
}
