//! Requests of instances and operators on the peer port.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_ledger::Changes;
use poplarspan_objects::Name;
use poplarspan_proto::{
    ledger::{self, LedgerCommand, catalog_answer, catalog_command},
    peer::{self, FailureCode, request, response},
};
use prost::Message;

use super::{Control, failed, now_ms};
use crate::{
    admission::RateOwner,
    crashes::CrashRegistry,
    membership::Directory,
    peer::{PeerClient, PeerService, Role},
};

/// Request handler of the peer port. `control` is set on control replicas only.
pub(crate) struct Service {
    pub(crate) control: Option<Arc<Control>>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) client: PeerClient,
    pub(crate) crashes: Arc<CrashRegistry>,
    pub(crate) rate_owner: Arc<dyn RateOwner>,
}

impl PeerService for Service {
    fn call(&self, role: Role, body: request::Body) -> BoxFuture<'_, response::Body> {
        Box::pin(
            async move { self.dispatch(role, body).await.unwrap_or_else(response::Body::Failure) },
        )
    }
}

impl Service {
    async fn dispatch(
        &self,
        role: Role,
        body: request::Body,
    ) -> Result<response::Body, peer::Failure> {
        use request::Body;
        let for_instances = matches!(
            body,
            Body::Heartbeat(_)
                | Body::Rate(_)
                | Body::Ledger(_)
                | Body::Leave(_)
                | Body::ChangeVoters(_)
                | Body::Crashes(_)
        );
        if for_instances && role != Role::Instance {
            return Err(failed(FailureCode::Unauthorized, "only instances may ask for this"));
        }
        match body {
            Body::Peers(_) => return Ok(response::Body::Peers(self.peers())),
            Body::Crashes(reports) => {
                return Ok(response::Body::Crashes(self.crashes.merge_reports(reports)));
            }
            Body::Rate(rate) => return self.rate_owner.request(rate).map(response::Body::Rate),
            _ => {}
        }
        let control = self.control()?;
        match body {
            Body::Heartbeat(heartbeat) => {
                control.heartbeat(heartbeat).await.map(response::Body::Lease)
            }
            Body::Publish(publish) => control.publish(publish).await.map(response::Body::Publish),
            Body::GetObjects(get) => {
                control.objects(&get.operator_key).await.map(response::Body::Objects)
            }
            Body::Status(status) => {
                control.status(&status.operator_key).await.map(response::Body::Status)
            }
            Body::Ledger(call) => control.ledger(call).await.map(response::Body::Ledger),
            Body::Leave(leave) => {
                control.leave(leave).await.map(|()| response::Body::Left(peer::Left {}))
            }
            Body::ReplaceVoter(replace) => {
                control.replace_voter(&self.client, replace).await?;
                Ok(response::Body::VoterReplaced(peer::VoterReplaced {}))
            }
            Body::ChangeVoters(change) => {
                control.change_voters(change).await?;
                Ok(response::Body::VoterReplaced(peer::VoterReplaced {}))
            }
            Body::Peers(_) | Body::Rate(_) | Body::Crashes(_) => {
                unreachable!("handled above")
            }
            Body::Beat(_)
            | Body::Join(_)
            | Body::Borrow(_)
            | Body::TurnBegin(_)
            | Body::TurnEnds(_)
            | Body::Suspects(_)
            | Body::StreamStarts(_)
            | Body::StreamLookup(_)
            | Body::HistoryRead(_)
            | Body::Tunnel(_) => {
                Err(failed(FailureCode::Invalid, "this instance is not part of a relay fleet"))
            }
        }
    }

    fn control(&self) -> Result<&Control, peer::Failure> {
        self.control.as_deref().ok_or_else(|| peer::Failure {
            code: FailureCode::NotLeader.into(),
            message: "this instance is no control replica".to_owned(),
            leader_address: self
                .directory
                .leader()
                .map(|address| address.to_string())
                .unwrap_or_default(),
        })
    }

    fn peers(&self) -> peer::PeersReply {
        match &self.control {
            Some(control) => control.peers(),
            None => peer::PeersReply {
                replicas: self
                    .directory
                    .candidates()
                    .iter()
                    .map(|a| peer::Replica { replica: 0, address: a.to_string() })
                    .collect(),
                leader: 0,
            },
        }
    }
}

impl Control {
    fn peers(&self) -> peer::PeersReply {
        let replicas = self
            .replicas
            .list()
            .iter()
            .map(|(replica, address)| peer::Replica {
                replica: *replica,
                address: address.to_string(),
            })
            .collect();
        let leader = self.catalog_log.leadership().leader.unwrap_or(0);
        peer::PeersReply { replicas, leader }
    }

    /// Grants a lease, together with the changes of objects and view since the reported versions.
    async fn heartbeat(
        &self,
        heartbeat: peer::Heartbeat,
    ) -> Result<peer::LeaseGrant, peer::Failure> {
        // The instance counts its lease from when it sent the heartbeat. It is therefore sufficient
        // that this replica was leader at any later time, since a new leader waits until the lease
        // has expired. The barrier precedes reading the changes, so that an instance without a data
        // folder never restarts with older objects than were in force.
        self.leader_read_barrier().await?;
        if self.catalog().group_count() == 0 {
            // The count is part of the view, which is sent again only when its epoch changes.
            let message = "the number of program groups is not fixed yet";
            return Err(failed(FailureCode::Unavailable, message));
        }
        self.register(&heartbeat).await?;
        // The lease is entered in the table before the changes are read, so that every later
        // publication takes it into account.
        let name: Name = heartbeat.instance.as_str().into();
        let granted = self.leases().grant(
            &name,
            heartbeat.incarnation,
            heartbeat.generation,
            heartbeat.draining,
        );
        let duration = granted
            .ok_or_else(|| failed(FailureCode::Fenced, "the instance is being declared gone"))?;
        let mut grant = self.grant_for(&heartbeat);
        grant.duration_ms = duration.as_millis() as u64;
        Ok(grant)
    }

    fn grant_for(&self, heartbeat: &peer::Heartbeat) -> peer::LeaseGrant {
        let catalog = self.catalog();
        let mut grant = peer::LeaseGrant::default();
        match catalog.changes_since(heartbeat.generation) {
            Changes::Deltas { generation, changes } => {
                grant.generation = generation;
                grant.changes = changes
                    .into_iter()
                    .map(|c| peer::Change { kind: c.kind, name: c.name, body: c.body })
                    .collect();
            }
            Changes::FullSet { generation, objects } => {
                grant.generation = generation;
                grant.full = true;
                grant.changes = objects
                    .iter()
                    .map(|o| peer::Change {
                        kind: o.kind.to_string(),
                        name: o.name.to_string(),
                        body: Some(o.body.clone()),
                    })
                    .collect();
            }
        }
        if catalog.epoch() != heartbeat.epoch {
            let view = catalog.view();
            let members = view.instances.into_iter().map(|i| peer::Member {
                instance: i.instance,
                incarnation: i.incarnation,
                zone: i.zone,
                peer_address: i.address,
                draining: false,
            });
            grant.view = Some(peer::View {
                epoch: view.epoch,
                members: members.collect(),
                program_groups: catalog.group_count(),
            });
        }
        grant
    }

    async fn register(&self, heartbeat: &peer::Heartbeat) -> Result<(), peer::Failure> {
        let register = ledger::RegisterInstance {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
            address: heartbeat.peer_address.clone(),
            zone: heartbeat.zone.clone(),
            replica: heartbeat.replica,
        };
        if let (Some(replica), Ok(address)) = (heartbeat.replica, heartbeat.peer_address.parse()) {
            self.replicas.set_reported(replica, address);
        }
        if self.catalog().instance(&heartbeat.instance) == Some(&register) {
            return Ok(());
        }
        match self.commit(catalog_command::Command::RegisterInstance(register)).await? {
            catalog_answer::Answer::Registered(_) => Ok(()),
            catalog_answer::Answer::StaleIncarnation(stale) => Err(failed(
                FailureCode::Fenced,
                &format!("the lowest incarnation allowed is {}", stale.lowest_incarnation),
            )),
            catalog_answer::Answer::Invalid(invalid) => {
                Err(failed(FailureCode::Invalid, &invalid.message))
            }
            _ => Err(failed(FailureCode::Invalid, "unexpected answer of the state machine")),
        }
    }

    async fn leave(&self, leave: peer::Leave) -> Result<(), peer::Failure> {
        if !self.holds_leadership() {
            return Err(self.not_leader(&*self.catalog_log));
        }
        self.declare_gone(&leave.instance, leave.incarnation).await
    }

    /// Declares an instance gone. The program groups then release its claims.
    pub(crate) async fn declare_gone(
        &self,
        instance: &str,
        incarnation: u64,
    ) -> Result<(), peer::Failure> {
        self.leases().revoke(instance, incarnation);
        let gone = ledger::InstanceGone { instance: instance.to_owned(), incarnation };
        self.commit(catalog_command::Command::InstanceGone(gone)).await?;
        self.leases().remove(instance, incarnation);
        log::info!(instance, incarnation; "instance declared gone");
        Ok(())
    }

    /// Executes a command or query of a program group.
    async fn ledger(&self, call: peer::LedgerCall) -> Result<peer::LedgerReply, peer::Failure> {
        let group = (call.group as usize).checked_sub(1).and_then(|i| self.programs.get(i));
        let group = group.ok_or_else(|| failed(FailureCode::Invalid, "no such program group"))?;
        if !group.log.leadership().is_leader {
            return Err(self.not_leader(&*group.log));
        }
        if call.query {
            let barrier = group.log.read_barrier().await;
            barrier.map_err(|e| self.propose_failure(&*group.log, e))?;
            let state = group.state.lock().expect("no panic while locked");
            return Ok(peer::LedgerReply { answer: state.query(&call.command) });
        }
        let mut command = LedgerCommand::decode(call.command)
            .map_err(|e| failed(FailureCode::Invalid, &e.to_string()))?;
        command.now_ms = now_ms();
        let answer = group.log.propose(Bytes::from(command.encode_to_vec())).await;
        let answer = answer.map_err(|e| self.propose_failure(&*group.log, e))?;
        Ok(peer::LedgerReply { answer })
    }
}
