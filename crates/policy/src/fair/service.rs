//! Service that root programs have received.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::root_of;
use crate::Name;

/// Attained service per (team, root program), bounded in number and forgotten after a time.
#[derive(Debug)]
pub(super) struct Attained {
    programs: HashMap<(Name, Name), Program>,
    /// Candidates for removal, oldest first; a candidate seen since is queued again.
    oldest: VecDeque<(Name, Name)>,
    max_programs: usize,
    forget_after: Duration,
}

#[derive(Debug)]
struct Program {
    tokens: u64,
    seen: Duration,
    checked: Duration,
}

impl Attained {
    pub(super) fn new(max_programs: usize, forget_after: Duration) -> Self {
        Self {
            programs: HashMap::new(),
            oldest: VecDeque::new(),
            max_programs: max_programs.max(1),
            forget_after,
        }
    }

    pub(super) fn get(&self, team: &Name, program: &Name) -> u64 {
        self.programs.get(&key(team, program)).map_or(0, |p| p.tokens)
    }

    pub(super) fn add(&mut self, team: &Name, program: &Name, tokens: u64, now: Duration) {
        let key = key(team, program);
        if let Some(p) = self.programs.get_mut(&key) {
            p.tokens = p.tokens.saturating_add(tokens);
            p.seen = now;
            return;
        }
        self.make_room(now);
        self.oldest.push_back(key.clone());
        self.programs.insert(key, Program { tokens, seen: now, checked: now });
    }

    pub(super) fn sub(&mut self, team: &Name, program: &Name, tokens: u64) {
        if let Some(p) = self.programs.get_mut(&key(team, program)) {
            p.tokens = p.tokens.saturating_sub(tokens);
        }
    }

    /// Removes a few forgotten programs, and the oldest one if the table is full.
    fn make_room(&mut self, now: Duration) {
        for _ in 0..4 {
            let full = self.programs.len() >= self.max_programs;
            let Some(key) = self.oldest.pop_front() else { return };
            let p = self.programs.get_mut(&key).expect("each candidate is in the table");
            let idle = now.saturating_sub(p.seen) >= self.forget_after;
            let unchanged = p.seen <= p.checked;
            if idle || full && unchanged {
                self.programs.remove(&key);
            } else {
                p.checked = now.max(p.seen);
                self.oldest.push_back(key);
            }
        }
        while self.programs.len() >= self.max_programs {
            let Some(key) = self.oldest.pop_front() else { return };
            self.programs.remove(&key);
        }
    }
}

fn key(team: &Name, program: &Name) -> (Name, Name) {
    let root = root_of(program);
    let root = if root.len() == program.len() { program.clone() } else { Name::from(root) };
    (team.clone(), root)
}
