//! A front: serves callers.
//!
//! A call is decoded by [`crate::Protocol`], admitted by [`handler`] (route, key, rate, token
//! budget), assigned to an endpoint by [`schedule`] and sent by [`attempt`]. Its response is
//! returned complete by [`handler`] or relayed by [`stream`].

pub(crate) mod admission;
mod answered;
mod attempt;
mod body;
mod call;
pub(crate) mod detours;
pub(crate) mod endpoints;
pub(crate) mod events;
mod handler;
pub(crate) mod links;
pub(crate) mod listener;
pub(crate) mod memory;
mod placement;
pub(crate) mod programs;
pub(crate) mod quarantine;
pub(crate) mod rates;
mod recording;
mod refusal;
mod rollouts;
pub(crate) mod schedule;
mod shared_parts;
mod stream;
mod turn;

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use poplarspan_agreement::Clock;
use poplarspan_node::{
    Readiness,
    dial::{Dial, DirectDial},
    pool::{Pool, PoolConfig},
};
use poplarspan_proto::peer;

use crate::{
    Protocol,
    fleet_client::{FleetClient, HeartbeatReport},
};
use admission::ProgramAdmission;
use links::Links;
use memory::BodyMemory;
use programs::{Programs, origins::Origins};
use quarantine::Quarantine;
use rates::Rates;
use schedule::{Claim, Schedule};

/// Connection attempts to endpoints are aborted after this time; a round trip takes a few
/// milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections to endpoints are closed after this time, which is long because reconnecting is
/// costly.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// Opens connections to endpoints. One that acknowledges no data for this long counts as
/// unreachable; a sound one may be silent for a second or so.
pub(crate) const DIRECT: DirectDial = DirectDial { tcp_user_timeout: Duration::from_secs(2) };

/// State shared by the calls of a front.
pub(crate) struct Front {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) fleet: Arc<FleetClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) schedule: Arc<Schedule>,
    pub(crate) admission: Arc<ProgramAdmission>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) programs: Arc<Programs>,
    pub(crate) origins: Arc<Origins>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) links: Arc<Links>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) memory: BodyMemory,
}

impl Front {
    /// Creates the connection pool for endpoints.
    pub(crate) fn pool(protocol: &dyn Protocol, dial: Arc<dyn Dial>) -> Arc<Pool> {
        Pool::new(PoolConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: MAX_IDLE,
            dial,
            ..PoolConfig::new(protocol.request_id_header())
        })
    }

    /// Whether a call may still be sent to its chosen endpoint. Checked right before the first byte
    /// is sent.
    pub(crate) fn may_send(&self, claim: &Claim) -> bool {
        self.fleet.lease_left().is_some() && self.schedule.may_receive(claim)
    }

    /// Closes idle connections and updates gauges until the task is cancelled.
    pub(crate) async fn run_sweep(self: Arc<Self>) -> anyhow::Result<()> {
        const INTERVAL: Duration = Duration::from_secs(1);
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.pool.close_expired();
            metrics::gauge!("poplarspan_relay_waiting_calls").set(self.schedule.waiting() as f64);
            let lease = self.fleet.lease_left().unwrap_or_default();
            metrics::gauge!("poplarspan_relay_lease_seconds").set(lease.as_secs_f64());
        }
    }
}

impl Readiness for Front {
    fn not_ready(&self) -> Option<&'static str> {
        if self.fleet.is_draining() {
            return Some("the instance is shutting down");
        }
        if self.fleet.lease_left().is_none() {
            return Some("the instance holds no lease");
        }
        let view = self.fleet.view();
        if self.links.is_cut() && view.detours.is_empty() {
            return Some("the instance reaches no endpoint");
        }
        if view.publication.is_none() {
            return Some("nothing has been published yet");
        }
        (view.directory.number == 0).then_some("the list of endpoints is not known yet")
    }
}

impl HeartbeatReport for Front {
    fn fill<'a>(&'a self, beat: &'a mut peer::Beat) -> BoxFuture<'a, ()> {
        beat.demand = self.rates.demand();
        beat.failures = self.schedule.take_failures();
        beat.limits = self.schedule.take_limits();
        beat.rollouts = self.schedule.rollout_reports();
        beat.paced = self.schedule.take_paced();
        beat.work = self.schedule.take_work();
        beat.sends_calls = self.schedule.take_sends_calls();
        beat.links_cut = self.links.is_cut();
        beat.programs = self.admission.take_load();
        Box::pin(std::future::ready(()))
    }

    fn apply_shares(&self, shares: &[peer::TeamShare]) {
        self.rates.set_shares(shares);
    }

    fn apply_programs(&self, allowance: Option<&peer::ProgramAllowance>) {
        self.admission.apply(allowance);
    }
}
