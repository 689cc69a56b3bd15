//! Attained service of root programs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::root_program;
use crate::Name;

/// Attained service per (team, root program), bounded in number and dropped after a time.
#[derive(Debug)]
pub(super) struct AttainedService {
    programs: HashMap<(Name, Name), Program>,
    /// Candidates for eviction, oldest first; a candidate that was used since is queued again.
    eviction_order: VecDeque<(Name, Name)>,
    max_programs: usize,
    program_ttl: Duration,
}

#[derive(Debug)]
struct Program {
    tokens: u64,
    last_used: Duration,
    last_checked: Duration,
}

impl AttainedService {
    pub(super) fn new(max_programs: usize, program_ttl: Duration) -> Self {
        Self {
            programs: HashMap::new(),
            eviction_order: VecDeque::new(),
            max_programs: max_programs.max(1),
            program_ttl,
        }
    }

    pub(super) fn get(&self, team: &Name, program: &Name) -> u64 {
        self.programs.get(&key(team, program)).map_or(0, |p| p.tokens)
    }

    pub(super) fn add(&mut self, team: &Name, program: &Name, tokens: u64, now: Duration) {
        let key = key(team, program);
        if let Some(p) = self.programs.get_mut(&key) {
            p.tokens = p.tokens.saturating_add(tokens);
            p.last_used = now;
            return;
        }
        self.evict(now);
        self.eviction_order.push_back(key.clone());
        self.programs.insert(key, Program { tokens, last_used: now, last_checked: now });
    }

    pub(super) fn subtract(&mut self, team: &Name, program: &Name, tokens: u64) {
        if let Some(p) = self.programs.get_mut(&key(team, program)) {
            p.tokens = p.tokens.saturating_sub(tokens);
        }
    }

    /// Checks a few candidates and removes the idle ones; also removes the oldest ones while the
    /// table is full.
    fn evict(&mut self, now: Duration) {
        for _ in 0..4 {
            let full = self.programs.len() >= self.max_programs;
            let Some(key) = self.eviction_order.pop_front() else { return };
            let p = self.programs.get_mut(&key).expect("each candidate is in the table");
            let idle = now.saturating_sub(p.last_used) >= self.program_ttl;
            let unchanged = p.last_used <= p.last_checked;
            if idle || full && unchanged {
                self.programs.remove(&key);
            } else {
                p.last_checked = now.max(p.last_used);
                self.eviction_order.push_back(key);
            }
        }
        while self.programs.len() >= self.max_programs {
            let Some(key) = self.eviction_order.pop_front() else { return };
            self.programs.remove(&key);
        }
    }
}

fn key(team: &Name, program: &Name) -> (Name, Name) {
    let root = root_program(program);
    let root = if root.len() == program.len() { program.clone() } else { Name::from(root) };
    (team.clone(), root)
}
