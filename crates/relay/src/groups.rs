//! How programs are spread over groups, and groups over stores.
//!
//! It answers a fleet whose stores are many and small: the leader of one group could not begin and
//! end the turns of all programs. Each group keeps the programs whose names map to it, and the first
//! voters of one group lead it while those of another only follow there.

use std::net::Ipv4Addr;

use poplarspan_agreement::ReplicaId;

use crate::replica::membership::{TARGET_VOTERS, machine};

/// Stores for each group. Each group costs its members heartbeats, and each commit costs each voter
/// a message, so there are fewer groups than stores.
const STORES_PER_GROUP: usize = 2;
/// Most groups of a fleet.
const MAX_GROUPS: usize = 16;

/// Groups of a fleet that starts with so many stores.
pub fn group_count(stores: usize) -> u32 {
    (stores / STORES_PER_GROUP).clamp(1, MAX_GROUPS) as u32
}

/// The group that keeps a program. `groups` is at least 1.
pub fn group_of(team: &str, program: &str, groups: u32) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes()).update(team.as_bytes());
    hasher.update(program.as_bytes());
    let digest = hasher.finalize();
    let number = u32::from_le_bytes(*digest.as_bytes().first_chunk().expect("32 bytes"));
    number % groups.max(1)
}

/// First voters of a group. `ring` are the stores with which the fleet starts, ordered so that
/// neighbours are in different zones; groups begin at different places of it.
pub fn initial_voters(ring: &[ReplicaId], group: u32) -> Vec<ReplicaId> {
    let first = STORES_PER_GROUP * group as usize;
    let voters = TARGET_VOTERS.min(ring.len());
    ring.iter().cycle().skip(first % ring.len().max(1)).take(voters).copied().collect()
}

/// The machine whose replica should lead a group, as long as it votes there.
pub fn preferred_leader(ring: &[ReplicaId], group: u32) -> Option<Ipv4Addr> {
    initial_voters(ring, group).first().map(|id| machine(*id))
}
