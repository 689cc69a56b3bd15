//! Periodic tasks of leaders: expiry of instance leases and of programs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use poplarspan_proto::{
    ledger::{self, LedgerCommand, catalog_answer, catalog_command, ledger_command},
    peer::FailureCode,
};
use prost::Message;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Control, ProgramGroup, failed, now_ms};
use crate::programs::Ledger;

const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Periodic tasks of a control replica.
pub(crate) struct Sweeper {
    pub(crate) control: Arc<Control>,
    pub(crate) ledger: Arc<dyn Ledger>,
    /// Number of program groups to set in a new fleet.
    pub(crate) program_groups: u32,
}

impl Control {
    /// Adds the addresses of replicas that have joined since this process was configured. Any
    /// replica may become leader of a group and must be able to reach them.
    fn update_replica_addresses(&self, epoch: &mut u64) {
        let current = self.catalog().epoch();
        if std::mem::replace(epoch, current) == current {
            return;
        }
        for instance in self.catalog().view().instances {
            if let (Some(replica), Ok(address)) = (instance.replica, instance.address.parse()) {
                self.replicas.set_registered(replica, address);
            }
        }
    }
}

impl Sweeper {
    /// Expires instances and programs until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut expire_at = Instant::now() + EXPIRE_INTERVAL;
        let mut epoch = 0;
        loop {
            ticks.tick().await;
            self.control.update_replica_addresses(&mut epoch);
            if self.control.holds_leadership() {
                self.fix_group_count().await?;
                self.declare_expired().await?;
            }
            if Instant::now() >= expire_at {
                expire_at = Instant::now() + EXPIRE_INTERVAL;
                self.expire_programs().await;
            }
        }
    }

    /// Notifies the program groups of instances that were declared gone, until the task is
    /// cancelled. Runs as a separate task, so that a group without a leader does not delay
    /// [`Sweeper::run`].
    pub(crate) async fn run_group_notifications(self: Arc<Self>) -> anyhow::Result<()> {
        let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut notified = Vec::new();
        loop {
            ticks.tick().await;
            if self.control.holds_leadership() {
                self.notify_groups(&mut notified).await;
            } else {
                notified.clear();
            }
        }
    }

    async fn fix_group_count(&self) -> anyhow::Result<()> {
        if self.control.catalog().group_count() != 0 {
            return Ok(());
        }
        let fix = ledger::FixGroups { groups: self.program_groups };
        match self.control.commit(catalog_command::Command::FixGroups(fix)).await {
            Ok(catalog_answer::Answer::Groups(_)) => Ok(()),
            Ok(_) => anyhow::bail!("unexpected response from the catalog"),
            Err(e) => anyhow::bail!("cannot set the number of program groups: {}", e.message),
        }
    }

    async fn declare_expired(&self) -> anyhow::Result<()> {
        let view = self.control.catalog().view();
        let registered: Vec<(&str, u64)> =
            view.instances.iter().map(|i| (i.instance.as_str(), i.incarnation)).collect();
        let expired = self.control.leases().expired(&registered);
        for (instance, incarnation) in expired {
            log::warn!(instance, incarnation; "instance lease has expired");
            metrics::counter!("poplarspan_instances_gone_total").increment(1);
            if let Err(e) = self.control.declare_gone(instance, incarnation).await {
                anyhow::bail!("cannot declare {instance} gone: {}", e.message);
            }
        }
        Ok(())
    }

    /// Notifies every program group of the instances that were declared gone. A new leader of group
    /// 0 repeats all notifications, since the previous one may have failed before sending them. The
    /// command is idempotent.
    async fn notify_groups(&self, notified: &mut Vec<(String, u64)>) {
        let gone = self.control.catalog().gone_instances();
        for (instance, incarnation) in gone {
            let key = (instance, incarnation);
            if notified.contains(&key) {
                continue;
            }
            if self.notify_group_leaders(&key.0, key.1).await {
                notified.push(key);
            }
        }
    }

    async fn notify_group_leaders(&self, instance: &str, incarnation: u64) -> bool {
        let mut all_notified = true;
        for group in 1..=self.control.programs.len() as u32 {
            let gone = ledger::InstanceGone { instance: instance.to_owned(), incarnation };
            let command = ledger_command::Command::InstanceGone(gone);
            let deadline = Instant::now() + COMMAND_TIMEOUT;
            if let Err(e) = self.ledger.command(group, command, deadline).await {
                let error = e.to_string();
                log::warn!(
                    group, instance, error = error.as_str();
                    "cannot release the claims of an instance that was declared gone"
                );
                all_notified = false;
            }
        }
        all_notified
    }

    /// Ends the programs that have exceeded their limits, in the groups that this replica leads.
    async fn expire_programs(&self) {
        for group in &self.control.programs {
            let busy = group.state.lock().expect("no panic while locked").program_count() > 0;
            if group.log.leadership().is_leader
                && busy
                && let Err(e) =
                    commit(group, ledger_command::Command::Expire(ledger::Expire {})).await
            {
                log::warn!(error = e.message.as_str(); "cannot expire programs");
            }
        }
    }
}

/// Commits a command in a program group that this replica leads.
pub(super) async fn commit(
    group: &ProgramGroup,
    command: ledger_command::Command,
) -> Result<Bytes, poplarspan_proto::peer::Failure> {
    let command = LedgerCommand { now_ms: now_ms(), command: Some(command) };
    let answer = group.log.propose(Bytes::from(command.encode_to_vec())).await;
    answer.map_err(|e| failed(FailureCode::Unavailable, &e.to_string()))
}
