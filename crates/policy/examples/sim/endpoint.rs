//! Simulated endpoints with slots, one prefill unit, a prefix cache with least recently used
//! eviction and a cold start.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// A call at an endpoint.
#[derive(Clone, Debug)]
pub struct Work {
    pub call: usize,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Duration of the call, for plain services.
    pub fixed_us: Option<u64>,
    /// Lower values start first; zero if the policy sends no priorities.
    pub priority: i64,
}

/// Prefix cache with least recently used eviction.
#[derive(Debug, Default)]
pub struct Cache {
    stamps: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    pub stored: Vec<u64>,
    pub removed: Vec<u64>,
}

impl Cache {
    fn depth(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.stamps.contains_key(b)).count()
    }

    pub fn store(&mut self, blocks: &[u64], capacity: usize) {
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.stamps.insert(*block, self.clock) {
                Some(old) => {
                    self.order.remove(&old);
                }
                None => self.stored.push(*block),
            }
            self.order.insert(self.clock, *block);
        }
        while self.stamps.len() > capacity {
            let (_, block) = self.order.pop_first().expect("as many stamps as blocks");
            self.stamps.remove(&block);
            self.removed.push(block);
        }
    }
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub zone: usize,
    pub capacity: u32,
    pub cold_capacity: u32,
    pub ramp_us: u64,
    pub cache_blocks: usize,
    pub prefill_per_s: f64,
    pub token_s: f64,
    pub run: u64,
    pub started_us: i64,
    pub running: u32,
    pub queue: VecDeque<Work>,
    pub cache: Cache,
    prefill_free_us: u64,
}

/// A call that an endpoint has started.
pub struct Started {
    pub call: usize,
    pub ends_us: u64,
    pub prefilled_blocks: Vec<u64>,
}

impl Endpoint {
    pub fn new(zone: usize, capacity: u32, prefill_per_s: f64, token_s: f64) -> Self {
        Self {
            zone,
            capacity,
            cold_capacity: (capacity / 4).max(1),
            ramp_us: 20_000_000,
            cache_blocks: 3000,
            prefill_per_s,
            token_s,
            run: 1,
            started_us: -1_000_000_000,
            running: 0,
            queue: VecDeque::new(),
            cache: Cache::default(),
            prefill_free_us: 0,
        }
    }

    pub fn uptime_us(&self, now: u64) -> u64 {
        (now as i64 - self.started_us).max(0) as u64
    }

    pub fn restart(&mut self, now: u64) {
        self.run += 1;
        self.started_us = now as i64;
        self.cache = Cache::default();
    }

    fn slots(&self, now: u64) -> u32 {
        let age = self.uptime_us(now).min(self.ramp_us);
        let grown =
            f64::from(self.capacity - self.cold_capacity) * age as f64 / self.ramp_us as f64;
        self.cold_capacity + grown as u32
    }

    /// Queues a call behind those with the same or a lower priority value.
    pub fn enqueue(&mut self, work: Work) {
        let at = self.queue.partition_point(|other| other.priority <= work.priority);
        self.queue.insert(at, work);
    }

    /// Starts the next queued call if a slot is free.
    pub fn start(&mut self, now: u64) -> Option<Started> {
        if self.running >= self.slots(now) {
            return None;
        }
        let work = self.queue.pop_front()?;
        self.running += 1;
        if let Some(fixed) = work.fixed_us {
            return Some(Started {
                call: work.call,
                ends_us: now + fixed,
                prefilled_blocks: vec![],
            });
        }
        let depth = self.cache.depth(&work.blocks);
        let cached = depth as u32 * super::workload::BLOCK_TOKENS;
        let uncached = work.prompt_tokens.saturating_sub(cached);
        let prefill_us = (f64::from(uncached) / self.prefill_per_s * 1e6) as u64;
        self.prefill_free_us = self.prefill_free_us.max(now) + prefill_us;
        let occupancy = f64::from(self.running) / f64::from(self.capacity);
        let decode_s = f64::from(work.output_tokens) * self.token_s * (1.0 + 0.5 * occupancy);
        self.cache.store(&work.blocks, self.cache_blocks);
        Some(Started {
            call: work.call,
            ends_us: self.prefill_free_us + (decode_s * 1e6) as u64,
            prefilled_blocks: work.blocks[depth..].to_vec(),
        })
    }
}
