//! A program group: order of turns, budgets, claims, answers, history and release orders.
//!
//! The state follows from the replicated log of the group. When its leader fails, another voter
//! takes over with the same state, and open claims stay valid. When the instance that holds a claim
//! fails, its idempotent calls become claimable again, and its other calls have an unknown outcome.
//!
//! # Order of checks for a begin
//!
//! 1. A claimant that was declared gone, or whose instance has restarted since, is fenced.
//! 2. Programs on the path (the program and its ancestors) that are past their lifetime or idle
//!    limit are ended.
//! 3. A begin that refers to an existing call, by key or by turn, gets that call's answer: replay,
//!    running, unknown outcome, or body mismatch. This also applies to ended programs. Only a call
//!    whose claimant is gone can be claimed again.
//! 4. If the program or an ancestor has ended, no new call begins.
//! 5. A turn that is not the next one is refused as out of order.
//! 6. The answer must fit into the team's store, the turn into the turn limits, and the reservation
//!    into the budgets, of the program and of each of its ancestors.
//!
//! A begin that is refused reserves nothing and creates no program. The first call of a program
//! creates it together with its missing ancestors, all with the limits of that call.
//!
//! # Claims and release orders
//!
//! Claims and release orders take their numbers from one increasing sequence. A claim number is
//! therefore never reused, even after a turn or key was freed, and an endpoint that checks numbers
//! can refuse a call that arrives after the order that released it.
//!
//! A begin names the endpoint that the call is sent to, so a call normally costs two log entries:
//! its begin and its end. Each further endpoint costs one more entry, a dispatch, which is recorded
//! before the call is sent there. All endpoints are therefore known when the claimant fails.
//!
//! The run of a claimant that is gone may have cost up to its reservation, so the whole reservation
//! counts as spent. A repeated run makes a new reservation.

mod begin;
mod budget;
mod call;
mod check;
mod end;
mod program;
mod query;
mod snapshot;
mod sweep;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use poplarspan_proto::ledger::{
    Configure, Invalid, LedgerAnswer, LedgerCommand, ReleaseOrder, Swept, ledger_answer::Answer,
    ledger_command::Command,
};
use prost::Message;

use self::{call::Call, program::Program, sweep::KnownIncarnation};
use crate::{error::RestoreError, names::TeamKey};

const HOUR_MS: u64 = 60 * 60 * 1000;

/// Settings of a group. They are set by a log entry, so that all its replicas agree on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which answers are kept for retries: after the end of their program or, for calls
    /// without a program, after the end of the call.
    pub resend_window_ms: u64,
    /// Maximum bytes of calls and answers kept for one team.
    pub team_bytes: u64,
    /// Lifetime of a program whose first call sets no lifetime.
    pub lifetime_ms: u64,
    /// Maximum time without a call for a program whose first call sets no idle limit.
    pub idle_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            resend_window_ms: 24 * HOUR_MS,
            team_bytes: 1 << 30,
            lifetime_ms: 24 * HOUR_MS,
            idle_ms: HOUR_MS,
        }
    }
}

/// Where a call is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallLocation {
    /// A turn of this program.
    Turn(TeamKey),
    /// A call without a program, identified by its idempotency key.
    Keyed(TeamKey),
}

/// Entry of the index of open claims.
#[derive(Clone, Debug)]
struct OpenClaim {
    location: CallLocation,
    instance: Arc<str>,
    incarnation: u64,
    deadline_ms: u64,
}

/// The state machine of a program group.
#[derive(Debug, Default)]
pub struct Ledger {
    index: u64,
    now_ms: u64,
    /// Last number assigned to a claim or a release order.
    last_number: u64,
    settings: Settings,
    programs: BTreeMap<TeamKey, Program>,
    /// Calls without a program.
    calls: BTreeMap<TeamKey, Call>,
    orders: BTreeMap<u64, ReleaseOrder>,
    instances: BTreeMap<Arc<str>, KnownIncarnation>,
    overruns: u64,

    // Derived from the fields above and rebuilt when a snapshot is restored.
    /// Open claims by number.
    open: BTreeMap<u64, OpenClaim>,
    team_bytes: BTreeMap<Arc<str>, u64>,
    /// For each program, a time at or before the one at which it must be ended or dropped. After a
    /// restore the entries may differ between replicas, so their order must not affect any result.
    programs_due: BTreeSet<(u64, TeamKey)>,
    /// When to drop each call without a program that is not open.
    calls_due: BTreeSet<(u64, TeamKey)>,

    /// Invariant violations detected by this replica since it was created. Not part of snapshots.
    invariant_violations: u64,
}

impl Ledger {
    /// Creates an empty ledger with default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the log entry at `index`, an encoded [`LedgerCommand`], and returns an encoded
    /// [`LedgerAnswer`]. A malformed command is answered as invalid and changes only the index.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Bytes {
        self.index = index;
        let answer = match LedgerCommand::decode(data) {
            Ok(LedgerCommand { now_ms, command: Some(command) }) => {
                match check::check_command(&command) {
                    Ok(()) => self.execute(now_ms, command),
                    Err(message) => invalid(message),
                }
            }
            Ok(_) => invalid("command is missing or unknown"),
            Err(_) => invalid("command is not decodable"),
        };
        LedgerAnswer { answer: Some(answer) }.encode_to_vec().into()
    }

    fn execute(&mut self, now_ms: u64, command: Command) -> Answer {
        self.now_ms = self.now_ms.max(now_ms);
        match command {
            Command::Begin(begin) => self.begin(begin),
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::End(end) => self.end(end),
            Command::Finish(finish) => self.finish(&finish),
            Command::Expire(_) => Answer::Swept(self.expire()),
            Command::InstanceGone(gone) => Answer::Swept(self.instance_gone(&gone)),
            Command::ReleaseAcknowledged(ack) => {
                let removed = ack.numbers.iter().filter(|n| self.orders.remove(n).is_some());
                let orders_removed = removed.count() as u64;
                Answer::Swept(Swept { orders_removed, ..Swept::default() })
            }
            Command::EndpointGone(gone) => {
                let before = self.orders.len();
                self.orders.retain(|_, order| order.endpoint != gone.endpoint);
                let orders_removed = (before - self.orders.len()) as u64;
                Answer::Swept(Swept { orders_removed, ..Swept::default() })
            }
            Command::Configure(configure) => {
                self.settings.configure(&configure);
                Answer::Swept(Swept::default())
            }
        }
    }

    /// Encodes the whole state. [`Self::restore`] creates an equal state from it.
    pub fn snapshot(&self) -> Bytes {
        self.to_message().encode_to_vec().into()
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the state, if `snapshot` is not a valid snapshot.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        *self = Self::from_message(Message::decode(snapshot)?)?;
        Ok(())
    }

    /// Log index of the last entry applied; 0 before the first.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Number of calls whose cost exceeded their reservation.
    pub fn cost_overruns(&self) -> u64 {
        self.overruns
    }

    /// Number of invariant violations that this replica detected since it was created or restored.
    /// Anything but 0 is a bug in this crate.
    pub fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn used_bytes(&self, team: &str) -> u64 {
        self.team_bytes.get(team).copied().unwrap_or(0)
    }

    fn add_bytes(&mut self, team: &Arc<str>, bytes: u64) {
        let used = self.team_bytes.entry(team.clone()).or_default();
        *used = used.saturating_add(bytes);
    }

    fn remove_bytes(&mut self, team: &Arc<str>, bytes: u64) {
        if let Some(used) = self.team_bytes.get_mut(team) {
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.team_bytes.remove(team);
            }
        }
    }

    /// Reports an invariant violation: counts and logs it, and panics in debug builds.
    fn check_invariant(&mut self, holds: bool, invariant: &str, key: &TeamKey) {
        if !holds {
            self.invariant_violations += 1;
            log::error!("invariant violated for {}/{}: {invariant}", key.team, key.name);
        }
        debug_assert!(holds, "invariant violated for {}/{}: {invariant}", key.team, key.name);
    }
}

impl Settings {
    fn configure(&mut self, configure: &Configure) {
        let set = |value: &mut u64, new: Option<u64>| *value = new.unwrap_or(*value);
        set(&mut self.resend_window_ms, configure.resend_window_ms);
        set(&mut self.team_bytes, configure.team_bytes);
        set(&mut self.lifetime_ms, configure.lifetime_ms);
        set(&mut self.idle_ms, configure.idle_ms);
    }
}

impl PartialEq for Ledger {
    fn eq(&self, other: &Self) -> bool {
        self.to_message() == other.to_message()
    }
}

fn invalid(message: &str) -> Answer {
    Answer::Invalid(Invalid { message: message.into() })
}
