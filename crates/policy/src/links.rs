//! Whether an instance has lost its own network links to all endpoints.
//!
//! The load is a partition that cuts some instances off from every endpoint, while callers and the
//! other instances still reach them. A call that fails there looks like one that fails at a failing
//! endpoint. What tells them apart is that no other endpoint can be reached either, so on a
//! suspicion the instance opens connections to a few endpoints: if none accepts, the links are cut.
//!
//! The endpoints are chosen at random among those that took calls last, since endpoints that failed
//! before say nothing about the links. While the links are cut, a single endpoint that accepts shows
//! that they are back.
//!
//! Each instance judges its own links. The judgement is lost with it and made anew.

use std::time::Duration;

/// Number of endpoints that are tried in one round.
pub const ROUND_ENDPOINTS: usize = 3;
/// Pause between two rounds while the links are suspected to be cut, or are cut.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Calls that wait are a reason for suspicion if no endpoint has sent anything for this long.
pub const SILENCE: Duration = Duration::from_millis(300);

/// What a round has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// No endpoint can be reached any more.
    Cut,
    /// Endpoints can be reached again.
    Restored,
}

/// An instance's judgement of its links.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkMonitor {
    is_cut: bool,
}

impl LinkMonitor {
    /// Whether no endpoint can be reached.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Records a round in which connections to `tried` endpoints were opened and `reached` of them
    /// accepted. A round without endpoints changes nothing.
    pub fn record_round(&mut self, tried: usize, reached: usize) -> Option<LinkChange> {
        let is_cut = if tried == 0 { self.is_cut } else { reached == 0 };
        let was_cut = std::mem::replace(&mut self.is_cut, is_cut);
        match (was_cut, is_cut) {
            (false, true) => Some(LinkChange::Cut),
            (true, false) => Some(LinkChange::Restored),
            _ => None,
        }
    }
}
