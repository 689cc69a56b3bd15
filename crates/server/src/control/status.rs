//! Fleet status for operators.

use poplarspan_objects::{ObjectSet, ZoneState};
use poplarspan_proto::{ledger::RegisterInstance, peer};
use tokio::time::Instant;

use super::Control;

impl Control {
    /// Returns the status of instances, replicas and endpoints, as known to the leader of group 0.
    pub(crate) async fn status(&self, key: &str) -> Result<peer::StatusReply, peer::Failure> {
        self.leader_read_barrier().await?;
        self.operator(key)?;
        let (generation, objects) = self.current_objects()?;
        let view = self.catalog().view();
        let in_force = self.leases().in_force(generation);
        // Confirms the leadership again: a replica that was suspended and has lost it must not
        // report from its lease table.
        let barrier = self.catalog_log.read_barrier().await;
        barrier.map_err(|e| self.propose_failure(&*self.catalog_log, e))?;
        let instances = self.instance_status(view.instances);
        let replicas = self.replica_status(&instances).await;
        Ok(peer::StatusReply {
            leader: self.catalog_log.leadership().leader.map(|r| r.to_string()).unwrap_or_default(),
            generation,
            epoch: view.epoch,
            in_force,
            warnings: warnings(&replicas),
            instances,
            replicas,
            endpoints: endpoints(&objects),
        })
    }

    fn instance_status(&self, instances: Vec<RegisterInstance>) -> Vec<peer::InstanceStatus> {
        let leases = self.leases();
        let now = Instant::now();
        instances
            .into_iter()
            .map(|i| {
                let lease = leases.get(&i.instance);
                let left = lease.map(|l| l.expires_at.saturating_duration_since(now));
                peer::InstanceStatus {
                    generation: lease.map_or(0, |l| l.generation),
                    lease_remaining_ms: left.map_or(0, |d| d.as_millis() as u64),
                    member: Some(peer::Member {
                        instance: i.instance,
                        incarnation: i.incarnation,
                        zone: i.zone,
                        peer_address: i.address,
                        draining: lease.is_some_and(|l| l.draining),
                    }),
                }
            })
            .collect()
    }

    async fn replica_status(&self, instances: &[peer::InstanceStatus]) -> Vec<peer::ReplicaStatus> {
        let addresses = self.replicas.list();
        let zone_of = |replica: u64| {
            let i = addresses.binary_search_by_key(&replica, |(r, _)| *r).ok()?;
            let address = addresses[i].1.to_string();
            let member = instances.iter().filter_map(|i| i.member.as_ref());
            member.clone().find(|m| m.peer_address == address).map(|m| m.zone.clone())
        };
        let logs = std::iter::once(&self.catalog_log).chain(self.programs.iter().map(|p| &p.log));
        let mut all = Vec::new();
        for (group, log) in logs.enumerate() {
            let leadership = log.leadership();
            for state in log.replicas().await {
                let role = match (leadership.leader == Some(state.replica), state.voter) {
                    (true, _) => "leader",
                    (false, true) => "follower",
                    (false, false) => "learner",
                };
                all.push(peer::ReplicaStatus {
                    replica: state.replica,
                    group: group as u32,
                    role: role.to_owned(),
                    zone: zone_of(state.replica).unwrap_or_default(),
                    term: leadership.term,
                    commit_index: state.commit_index,
                    voter: state.voter,
                });
            }
        }
        all
    }
}

/// Returns a warning for each zone that holds half of the voters of group 0 or more, since its loss
/// leaves no majority.
fn warnings(replicas: &[peer::ReplicaStatus]) -> Vec<String> {
    let voters: Vec<_> = replicas.iter().filter(|r| r.group == 0 && r.voter).collect();
    let mut zones: Vec<&str> = voters.iter().map(|r| r.zone.as_str()).collect();
    zones.sort_unstable();
    zones
        .chunk_by(|a, b| a == b)
        .filter(|zone| zone.len() * 2 > voters.len() || zone.len() * 2 == voters.len())
        .map(|zone| {
            format!(
                "zone {} holds {} of {} voters: its loss stops publications and program calls",
                if zone[0].is_empty() { "(unknown)" } else { zone[0] },
                zone.len(),
                voters.len()
            )
        })
        .collect()
}

fn endpoints(objects: &ObjectSet) -> Vec<peer::EndpointStatus> {
    let state = |e: &poplarspan_objects::Endpoint| {
        let zone_out = objects.zone(&e.zone).is_some_and(|z| z.state == ZoneState::Out);
        match (e.leaving, zone_out) {
            (true, _) => "leaving",
            (false, true) => "zone out",
            (false, false) => "in use",
        }
    };
    objects
        .endpoints()
        .iter()
        .map(|e| peer::EndpointStatus {
            endpoint: e.name.to_string(),
            zone: e.zone.to_string(),
            state: state(e).to_owned(),
            in_flight: 0,
        })
        .collect()
}
