//! Heartbeats to the control leader.
//!
//! When an answer is late, other instances are asked as well, but the heartbeat stays open: a slow
//! leader is still the only one that can grant a lease.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use poplarspan_node::CallError;
use poplarspan_proto::peer::{self, request, response};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{FleetClient, HeartbeatReport};
use crate::control_state::write_fingerprint;

/// Time between two heartbeats. An instance learns of a change within this time plus the network
/// delay.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before the next candidates are asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which other instances are asked as well, and the leader on a new connection. An
/// answer that arrives later still counts.
const LATE_AFTER: Duration = Duration::from_millis(300);
/// Time after which no answer to a heartbeat is expected any more. Longer than a handshake in which
/// the first datagram is lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The answer to a heartbeat, or why there is none.
struct HeartbeatAnswer {
    address: SocketAddr,
    asked_at: Duration,
    /// Number of the round in which the heartbeat was sent.
    round: u64,
    answer: Result<response::Body, CallError>,
}

/// Heartbeats that are not answered yet.
#[derive(Default)]
struct OpenHeartbeats {
    answers: FuturesUnordered<BoxFuture<'static, HeartbeatAnswer>>,
    round: u64,
}

impl FleetClient {
    /// Sends heartbeats until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>, report: Arc<dyn HeartbeatReport>) -> Result<()> {
        let mut open = OpenHeartbeats::default();
        loop {
            let started = Instant::now();
            let is_answered = self.send_heartbeat(&*report, &mut open).await;
            let pause = if is_answered { HEARTBEAT_INTERVAL } else { RETRY_PAUSE };
            let rest = pause.saturating_sub(started.elapsed()).max(RETRY_PAUSE);
            // A timeout only means that the next heartbeat is due.
            let _ = timeout(rest, self.wake_heartbeat.notified()).await;
            if !is_answered {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends one heartbeat, and waits for its answer or that of an earlier one. Returns whether
    /// the leader answered.
    async fn send_heartbeat(
        &self,
        report: &dyn HeartbeatReport,
        open: &mut OpenHeartbeats,
    ) -> bool {
        let candidates = self.candidates();
        let beat = self.heartbeat(report, &candidates).await;
        open.round += 1;
        for address in &candidates {
            open.answers.push(self.ask(*address, beat.clone(), open.round));
        }
        let mut unanswered = candidates.clone();
        let late_at = Instant::now() + LATE_AFTER;
        // Without candidates, only earlier heartbeats can still be answered.
        while candidates.is_empty() || !unanswered.is_empty() {
            match timeout_at(late_at, open.answers.next()).await {
                Ok(Some(answer)) => {
                    let is_newest = answer.round == open.round;
                    if is_newest {
                        unanswered.retain(|address| *address != answer.address);
                    }
                    if self.handle_answer(answer, is_newest, report) {
                        open.answers.clear();
                        return true;
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.ask_again(&unanswered, &beat, open);
                    break;
                }
            }
        }
        false
    }

    /// Records that instances have not answered a heartbeat yet, and asks the leader once more, if
    /// it is among them. It may have restarted and not know the connection any more.
    fn ask_again(&self, unanswered: &[SocketAddr], beat: &peer::Beat, open: &mut OpenHeartbeats) {
        for address in unanswered {
            if self.note_late(*address) {
                self.client.forget(*address);
                open.answers.push(self.ask(*address, beat.clone(), open.round));
            }
        }
    }

    /// The contents of a heartbeat to these instances.
    async fn heartbeat(
        &self,
        report: &dyn HeartbeatReport,
        candidates: &[SocketAddr],
    ) -> peer::Beat {
        let view = self.view();
        let suspects = match self.asks_other_instances(candidates) {
            true => view.quarantine_list.all().map(write_fingerprint).collect(),
            false => Vec::new(),
        };
        let mut beat = peer::Beat {
            instance: self.settings.instance.to_string(),
            incarnation: self.incarnation,
            zone: self.settings.zone.to_string(),
            peer_address: self.settings.peer_address().to_string(),
            duty: self.duty.into(),
            version: view.publication.as_ref().map_or(0, |p| p.version),
            directory: view.directory.number,
            demand: Vec::new(),
            draining: self.is_draining(),
            store: None,
            quarantine: view.quarantine_list.number,
            suspects,
            failures: Vec::new(),
            limits: Vec::new(),
            links_cut: false,
            rollouts: Vec::new(),
            paced: Vec::new(),
            programs: None,
            work: Vec::new(),
            sends_calls: false,
        };
        report.fill(&mut beat).await;
        beat
    }

    fn ask(
        &self,
        address: SocketAddr,
        beat: peer::Beat,
        round: u64,
    ) -> BoxFuture<'static, HeartbeatAnswer> {
        let (client, asked_at) = (self.client.clone(), self.clock.now());
        Box::pin(async move {
            let answer = client.call(address, request::Body::Beat(beat), HEARTBEAT_TIMEOUT).await;
            HeartbeatAnswer { address, asked_at, round, answer }
        })
    }

    /// Records that an instance has not answered a heartbeat yet. Returns whether it was considered
    /// the leader.
    fn note_late(&self, address: SocketAddr) -> bool {
        let was_leader = self.leader() == Some(address);
        let asked_at = self.clock.now().saturating_sub(LATE_AFTER);
        self.heartbeat_failed(address, asked_at, "late", "no answer yet");
        self.leader_lost(address, None, false);
        was_leader
    }

    /// Handles the answer to a heartbeat. Returns whether it came from the leader.
    fn handle_answer(
        &self,
        answer: HeartbeatAnswer,
        is_newest: bool,
        report: &dyn HeartbeatReport,
    ) -> bool {
        let HeartbeatAnswer { address, asked_at, answer, .. } = answer;
        match answer {
            Ok(response::Body::Beat(answer)) => {
                let took = self.clock.now().saturating_sub(asked_at);
                metrics::counter!("poplarspan_relay_heartbeats_total", "outcome" => "answered")
                    .increment(1);
                metrics::histogram!("poplarspan_relay_heartbeat_seconds")
                    .record(took.as_secs_f64());
                // A later heartbeat has told the leader that the instance does not hold the shares
                // of an earlier answer.
                if is_newest {
                    report.apply_shares(&answer.shares);
                }
                report.apply_programs(answer.programs.as_ref());
                self.leader_found(address);
                self.apply(answer, asked_at);
                true
            }
            Err(CallError::Failed(failure)) => {
                let hint = failure.leader_address.parse().ok();
                self.heartbeat_failed(address, asked_at, "refused", &failure.message);
                self.leader_lost(address, hint, true);
                false
            }
            Ok(_) => {
                let cause = "the answer is of another kind";
                self.heartbeat_failed(address, asked_at, "invalid", cause);
                self.leader_lost(address, None, false);
                false
            }
            Err(e) => {
                self.heartbeat_failed(address, asked_at, "unanswered", &e.to_string());
                self.leader_lost(address, None, false);
                false
            }
        }
    }

    /// Counts a failed heartbeat, and logs it if it went to the leader.
    fn heartbeat_failed(
        &self,
        address: SocketAddr,
        asked_at: Duration,
        outcome: &'static str,
        cause: &str,
    ) {
        metrics::counter!("poplarspan_relay_heartbeats_total", "outcome" => outcome).increment(1);
        if self.leader() == Some(address) {
            let took_ms = self.clock.now().saturating_sub(asked_at).as_millis() as u64;
            let lease_left_ms = self.lease_left().unwrap_or_default().as_millis() as u64;
            let leader = address.to_string();
            log::warn!(
                leader = leader.as_str(), outcome, cause, took_ms, lease_left_ms;
                "heartbeat to the control leader failed"
            );
        }
    }
}
