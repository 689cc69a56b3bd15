//! Assigns programs to groups, and groups to stores.
//!
//! A single group would have one leader handling the turns of all programs, which is too much for
//! one store in a fleet of many small ones. Programs are therefore hashed to groups, and the groups
//! have their leaders on different stores.

use std::net::Ipv4Addr;

use poplarspan_agreement::ReplicaId;

use crate::replica::membership::{TARGET_VOTERS, machine};

/// Stores per group. Each group costs its members heartbeats and each commit costs each voter a
/// message, so there are fewer groups than stores.
const STORES_PER_GROUP: usize = 2;
const MAX_GROUPS: usize = 16;

/// Number of groups in a fleet that starts with `stores` stores.
pub fn group_count(stores: usize) -> u32 {
    (stores / STORES_PER_GROUP).clamp(1, MAX_GROUPS) as u32
}

/// Number of groups of which a store has a replica, on average and rounded up.
pub(crate) fn per_store(groups: usize, stores: usize) -> u64 {
    let voters = TARGET_VOTERS.min(stores.max(1));
    (groups * voters).div_ceil(stores.max(1)) as u64
}

/// The group that a program belongs to. `groups` must be at least 1.
pub fn group_of(team: &str, program: &str, groups: u32) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes()).update(team.as_bytes());
    hasher.update(program.as_bytes());
    let digest = hasher.finalize();
    let number = u32::from_le_bytes(*digest.as_bytes().first_chunk().expect("32 bytes"));
    number % groups.max(1)
}

/// Initial voters of a group. `ring` lists the stores that the fleet starts with, ordered so that
/// neighbors are in different zones. Each group starts at a different position of the ring.
pub fn initial_voters(ring: &[ReplicaId], group: u32) -> Vec<ReplicaId> {
    let first = STORES_PER_GROUP * group as usize;
    let voters = TARGET_VOTERS.min(ring.len());
    ring.iter().cycle().skip(first % ring.len().max(1)).take(voters).copied().collect()
}

/// The machine whose replica should lead a group while it is a voter.
pub fn preferred_leader(ring: &[ReplicaId], group: u32) -> Option<Ipv4Addr> {
    initial_voters(ring, group).first().map(|id| machine(*id))
}
