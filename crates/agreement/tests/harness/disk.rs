//! A simulated disk that, after a crash, holds all synced data and any prefix of the unsynced
//! write.

use poplarspan_agreement::{
    Entry, HardState, InitialState, LogPosition, Membership, Payload, PersistRequest, ReplicaId,
    Snapshot,
};

pub struct Disk {
    first_membership: Membership,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Disk {
    pub fn new(voters: &[ReplicaId]) -> Self {
        Self {
            first_membership: Membership { voters: voters.to_vec(), learners: Vec::new() },
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// Memberships that the disk holds.
    pub fn memberships(&self) -> Vec<Membership> {
        let snapshot = self.snapshot.as_ref().map_or(&self.first_membership, |s| &s.membership);
        let entries = self.entries.iter().filter_map(|e| match &e.payload {
            Payload::Membership(m) => Some(m),
            _ => None,
        });
        entries.chain([snapshot]).cloned().collect()
    }

    /// Returns the number of parts of a request, which are written one after the other.
    pub fn parts(p: &PersistRequest) -> usize {
        usize::from(p.hard_state.is_some()) + usize::from(p.snapshot.is_some()) + p.entries.len()
    }

    /// Writes the first `parts` parts of a request.
    pub fn write(&mut self, p: &PersistRequest, mut parts: usize) {
        let mut next = || {
            parts = parts.wrapping_sub(1);
            parts != usize::MAX && parts < usize::MAX / 2
        };
        if let Some(h) = p.hard_state {
            if !next() {
                return;
            }
            self.hard_state = h;
        }
        if let Some(s) = &p.snapshot {
            if !next() {
                return;
            }
            self.write_snapshot(s);
        }
        for e in &p.entries {
            if !next() {
                return;
            }
            self.entries.retain(|old| old.position.index < e.position.index);
            assert_eq!(self.last().index + 1, e.position.index, "the log on disk has no gap");
            self.entries.push(e.clone());
        }
    }

    /// Writes a snapshot. Entries after it are kept only if the log has the entry at its position.
    fn write_snapshot(&mut self, s: &Snapshot) {
        if self.entries.iter().any(|e| e.position == s.last) {
            self.entries.retain(|e| e.position.index > s.last.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(s.clone());
    }

    fn start(&self) -> LogPosition {
        self.snapshot.as_ref().map_or_else(LogPosition::default, |s| s.last)
    }

    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.start(), |e| e.position)
    }

    /// Returns the term of the entry before `index`, if the disk holds it.
    pub fn term_before(&self, index: u64) -> Option<u64> {
        let before = |p: &LogPosition| p.index + 1 == index;
        let start = self.start();
        let mut positions = self.entries.iter().map(|e| e.position);
        positions.find(before).or(Some(start).filter(before)).map(|p| p.term)
    }

    pub fn initial_state(&self) -> InitialState {
        let membership = match &self.snapshot {
            Some(s) => s.membership.clone(),
            None => self.first_membership.clone(),
        };
        InitialState {
            hard_state: self.hard_state,
            snapshot: self.start(),
            membership,
            entries: self.entries.clone(),
        }
    }
}
