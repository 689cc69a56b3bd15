//! What operators see of the fleet.

use poplarspan_objects::{ObjectSet, ZoneState};
use poplarspan_proto::peer;
use tokio::time::Instant;

use super::Control;

impl Control {
    /// Describes instances, replicas and endpoints, as the leader of group 0 sees them.
    pub(crate) fn status(&self, key: &str) -> Result<peer::StatusReply, peer::Failure> {
        if !self.leads() {
            return Err(self.not_leader(&*self.catalog_log));
        }
        self.operator(key)?;
        let (generation, objects) = self.current_objects()?;
        let view = self.catalog().view();
        let leases = self.leases();
        let now = Instant::now();
        let instances: Vec<_> = view
            .instances
            .into_iter()
            .map(|i| {
                let lease = leases.get(&i.instance);
                let left = lease.map(|l| l.until.saturating_duration_since(now));
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
            .collect();
        let replicas = self.replica_status(&instances);
        Ok(peer::StatusReply {
            leader: self.catalog_log.leadership().leader.map(|r| r.to_string()).unwrap_or_default(),
            generation,
            epoch: view.epoch,
            in_force: leases.in_force(generation),
            warnings: warnings(&replicas),
            instances,
            replicas,
            endpoints: endpoints(&objects),
        })
    }

    fn replica_status(&self, instances: &[peer::InstanceStatus]) -> Vec<peer::ReplicaStatus> {
        let addresses = self.replicas.lock().expect("no panic while locked").clone();
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
            for (replica, voter) in log.replicas() {
                let role = match (leadership.leader == Some(replica), voter) {
                    (true, _) => "leader",
                    (false, true) => "follower",
                    (false, false) => "learner",
                };
                all.push(peer::ReplicaStatus {
                    replica,
                    group: group as u32,
                    role: role.to_owned(),
                    zone: zone_of(replica).unwrap_or_default(),
                    term: leadership.term,
                    commit_index: leadership.commit_index,
                    voter,
                });
            }
        }
        all
    }
}

/// Warns when the loss of one zone would take a majority of the voters of group 0.
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
