//! How long the steps take by which a replica gets its vote.

use tokio::time::Instant;

/// Times of the steps since the start of the replica.
#[derive(Debug)]
pub(super) struct JoinSteps {
    group: u32,
    started: Instant,
    /// When a leader first took a request to join.
    asked: Option<Instant>,
    /// When the replica first heard of a leader.
    heard: Option<Instant>,
    is_complete: bool,
}

impl JoinSteps {
    pub(super) fn new(group: u32) -> Self {
        let started = Instant::now();
        Self { group, started, asked: None, heard: None, is_complete: false }
    }

    pub(super) fn asked(&mut self) {
        self.asked.get_or_insert_with(Instant::now);
    }

    /// Logs the steps once the replica has its vote, if it had to ask for it.
    pub(super) fn check(&mut self, is_led: bool, is_voter: bool) {
        if is_led {
            self.heard.get_or_insert_with(Instant::now);
        }
        if self.is_complete || !is_voter {
            return;
        }
        self.is_complete = true;
        if self.asked.is_some() {
            let ms = |at: Instant| (at - self.started).as_millis() as u64;
            let (group, asked_ms) = (self.group, self.asked.map_or(0, ms));
            let (heard_ms, voter_ms) = (self.heard.map_or(0, ms), ms(Instant::now()));
            log::info!(group, asked_ms, heard_ms, voter_ms; "replica has its vote");
        }
    }
}
