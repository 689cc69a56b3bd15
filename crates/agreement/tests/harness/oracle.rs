//! The global history of a group and the invariants over it.

use std::collections::{BTreeMap, BTreeSet};

use poplarspan_agreement::{Core, Entry, Payload, PersistRequest, ReplicaId};

use super::disk::Disk;

#[derive(Default)]
pub struct Oracle {
    /// Leader of each term, with the incarnation of its process.
    leaders: BTreeMap<u64, (ReplicaId, u64)>,
    /// Applied entries by index, each with the digest of the state after it.
    history: Vec<(Entry, u64)>,
    /// Payload and predecessor's term of each synced entry, by index and term.
    synced: BTreeMap<(u64, u64), (Payload, u64)>,
    /// Request ids of commands that were reported as never applied.
    not_applied: BTreeSet<u64>,
    /// Request ids of the commands in the history.
    applied_requests: BTreeSet<u64>,
    /// Highest index whose result a proposer received.
    acked: Option<u64>,
    /// Lowest index at which new reads may be answered.
    pub read_floor: u64,
}

impl Oracle {
    /// Checks election safety (one leader per term) and leader completeness (a new leader has all
    /// applied entries).
    pub fn elected(&mut self, core: &Core, term: u64, id: ReplicaId, incarnation: u64) {
        let leader = *self.leaders.entry(term).or_insert((id, incarnation));
        assert_eq!(leader, (id, incarnation), "two leaders in term {term}");
        let last = core.status().last.index;
        assert!(last > self.len(), "leader of term {term} lacks committed entries");
        for e in core.entries_from(core.status().snapshot.index + 1) {
            if let Some((applied, _)) = self.history.get(e.position.index as usize - 1) {
                assert_eq!(
                    &e, applied,
                    "log of the leader of term {term} differs from a committed entry"
                );
            }
        }
    }

    /// Checks state machine safety: all replicas apply the same entry at an index. Returns the
    /// digest after the entry.
    pub fn applied(&mut self, e: &Entry, digest: u64) -> u64 {
        let i = e.position.index as usize - 1;
        if let Some((first, after)) = self.history.get(i) {
            assert_eq!(e, first, "different entries were applied at one index");
            return *after;
        }
        assert_eq!(self.history.len(), i, "the history has a gap");
        let mut value = e.position.term;
        if let Payload::Command(data) = &e.payload {
            let request_id = u64::from_be_bytes(data[..].try_into().expect("request id"));
            assert!(
                !self.not_applied.contains(&request_id),
                "command {request_id} was applied although reported as never applied"
            );
            assert!(
                self.applied_requests.insert(request_id),
                "command {request_id} was applied twice"
            );
            value = value.wrapping_add(request_id << 32);
        }
        let after = (digest ^ value).wrapping_mul(0x0100_0000_01b3).wrapping_add(1);
        self.history.push((e.clone(), after));
        after
    }

    pub fn installed(&self, index: u64, digest: u64) {
        let after = self.history.get(index as usize - 1).map(|h| h.1);
        assert_eq!(after, Some(digest), "snapshot at {index} differs from the history");
    }

    pub fn not_applied(&mut self, request_id: u64) {
        assert!(
            !self.applied_requests.contains(&request_id),
            "command {request_id} was reported as never applied although applied"
        );
        self.not_applied.insert(request_id);
    }

    pub fn acknowledged(&mut self, e: &Entry, request_id: u64) {
        if let Payload::Command(data) = &e.payload {
            assert_eq!(data[..], request_id.to_be_bytes(), "the entry is not the proposed one");
        }
        self.acked = self.acked.max(Some(e.position.index));
        self.read_floor = self.read_floor.max(e.position.index);
    }

    /// Checks log matching: index and term identify an entry and its predecessor's term.
    pub fn synced(&mut self, disk: &Disk, p: &PersistRequest) {
        for e in &p.entries {
            let at = (e.position.index, e.position.term);
            let before = disk.term_before(e.position.index).expect("the log on disk has no gap");
            let first = self.synced.entry(at).or_insert_with(|| (e.payload.clone(), before));
            assert_eq!(first, &(e.payload.clone(), before), "logs differ at {at:?}");
        }
    }

    pub fn acked_index(&self) -> Option<u64> {
        self.acked
    }

    pub fn len(&self) -> u64 {
        self.history.len() as u64
    }
}
