//! Decides whether a store has room for another kept turn.
//!
//! Counted are the bytes of the segments and the estimated bytes of the state in memory, for each
//! group of this store. The log in memory, snapshots and histories that are read are bounded by
//! constants, which are subtracted from the machine's limits. The store decides for the groups that
//! it leads; because the other voters of a group may hold more groups than it does, it also limits
//! each group to an equal part of the space.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::{MachineLimits, TurnUsage};

/// When a caller may try again after a refusal. Turns are kept for about a minute, so room appears
/// at the rate at which they expire, not at once.
pub(crate) const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Memory of a store without turns: measured 25 MiB resident, with a margin for open calls and the
/// histories that they read.
const BASE_MEMORY_BYTES: u64 = 40 << 20;
/// Memory of a group besides its state: 4 MiB of log until a snapshot, 8 MiB of older entries while
/// one is sent, 1 MiB of an encoded snapshot.
const GROUP_MEMORY_BYTES: u64 = 13 << 20;
/// Share of the memory limit that the state gets at least, so that a store with many groups still
/// keeps turns: not all groups send a snapshot at the same time.
const MIN_STATE_SHARE: u64 = 8;
/// Disk for the log of all groups, its segments that are not yet removed, and snapshots. At most
/// half of the limit on small disks.
const LOG_DISK_BYTES: u64 = 64 << 20;
/// Percentage of the room up to which turns that begin a conversation are accepted. The rest is for
/// turns that continue one, so that programs in progress can finish.
const FIRST_TURN_PERCENT: u64 = 85;

/// Time between two commands that only let turns expire. Commits cost each voter a sync.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Memory and disk of a store's kept turns, and the limits of its machine.
pub(crate) struct Budget {
    limits: MachineLimits,
    /// Indexed by group.
    groups: Mutex<Vec<Arc<TurnUsage>>>,
    is_full: AtomicBool,
    /// When each group was last asked to remove its expired turns.
    expired_at: Mutex<Vec<(u32, Instant)>>,
}

/// Bytes in memory and on the disk.
#[derive(Clone, Copy, Debug, Default)]
struct Bytes {
    memory: u64,
    disk: u64,
}

impl Bytes {
    fn is_within(self, room: Self, percent: u64) -> bool {
        let is_below = |used: u64, room: u64| used < room / 100 * percent;
        is_below(self.memory, room.memory) && is_below(self.disk, room.disk)
    }
}

impl Budget {
    pub(crate) fn new(limits: MachineLimits) -> Self {
        Self {
            limits,
            groups: Mutex::default(),
            is_full: AtomicBool::new(false),
            expired_at: Mutex::default(),
        }
    }

    pub(crate) fn set_groups(&self, groups: Vec<Arc<TurnUsage>>) {
        *self.groups.lock().expect("no panic while locked") = groups;
    }

    /// Bytes that the state of all groups may take.
    fn room(&self, groups: u64) -> Bytes {
        let memory = self.limits.memory_bytes.map_or(u64::MAX, |limit| {
            let fixed = BASE_MEMORY_BYTES + groups * GROUP_MEMORY_BYTES;
            limit.saturating_sub(fixed).max(limit / MIN_STATE_SHARE)
        });
        let disk = self
            .limits
            .disk_bytes
            .map_or(u64::MAX, |limit| limit.saturating_sub(LOG_DISK_BYTES).max(limit / 2));
        Bytes { memory, disk }
    }

    /// Returns whether a turn of `group` may be kept. `groups_per_store` is the number of groups
    /// that a store of the fleet has on average, rounded up.
    pub(crate) fn has_room(&self, group: u32, continues: bool, groups_per_store: u64) -> bool {
        let groups = self.groups.lock().expect("no panic while locked").clone();
        let Some(own) = groups.get(group as usize) else { return true };
        let used = |usage: &TurnUsage| Bytes { memory: usage.memory(), disk: usage.disk() };
        let total = groups.iter().fold(Bytes::default(), |sum, usage| Bytes {
            memory: sum.memory + usage.memory(),
            disk: sum.disk + usage.disk(),
        });
        let held = groups.iter().filter(|u| u.memory() + u.disk() > 0).count() as u64;
        let parts = groups_per_store.max(held).max(1);
        let room = self.room(parts);
        let part = Bytes { memory: room.memory / parts, disk: room.disk / parts };
        let percent = if continues { 100 } else { FIRST_TURN_PERCENT };
        let has_room = total.is_within(room, percent) && used(own).is_within(part, percent);
        if !has_room {
            metrics::counter!("poplarspan_relay_store_no_room_total").increment(1);
        }
        if !continues && self.is_full.swap(!has_room, Ordering::Relaxed) == has_room {
            let (memory, disk) = (total.memory, total.disk);
            if has_room {
                log::info!(group, memory, disk; "there is room for kept turns again");
            } else {
                log::warn!(group, memory, disk; "no room for kept turns; new ones are refused");
            }
        }
        has_room
    }

    /// Returns whether it is time to remove a group's expired turns again.
    pub(crate) fn may_expire(&self, group: u32) -> bool {
        let mut expired_at = self.expired_at.lock().expect("no panic while locked");
        let now = Instant::now();
        if expired_at.iter().any(|(g, at)| *g == group && now < *at + EXPIRY_INTERVAL) {
            return false;
        }
        expired_at.retain(|(g, _)| *g != group);
        expired_at.push((group, now));
        true
    }

    /// Exports the bytes in use.
    pub(crate) fn report(&self) {
        let groups = self.groups.lock().expect("no panic while locked");
        let memory: u64 = groups.iter().map(|u| u.memory()).sum();
        let disk: u64 = groups.iter().map(|u| u.disk()).sum();
        metrics::gauge!("poplarspan_relay_store_turn_memory_bytes").set(memory as f64);
        metrics::gauge!("poplarspan_relay_store_turn_disk_bytes").set(disk as f64);
    }
}
