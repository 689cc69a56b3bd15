//! Index of the prompt prefixes that endpoints have probably cached.
//!
//! The index maps the hash of each prompt block, chained over all blocks before it, to the
//! endpoints that hold it. It is updated by own dispatches and cache events. Engines evict blocks
//! in roughly least recently used order; the index approximates this with one counter of stored
//! blocks per endpoint: an entry counts as evicted once as many blocks as the cache holds have been
//! stored after its last use. Cache events arrive late and with gaps. A removal that is older than
//! the last dispatch of the block is ignored, and lost events count as stored blocks, which ages
//! all entries of the endpoint.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use super::EndpointId;

/// Maximum number of different prefix lengths that a lookup distinguishes.
const MAX_LEVELS: usize = 12;

/// Hashes block hashes with one multiplication. Ours are uniformly distributed, but an engine may
/// publish others, and those that differ only in their upper half would share few buckets.
#[derive(Clone, Copy, Debug, Default)]
struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, n: u64) {
        let product = u128::from(n) * 0x9e37_79b9_7f4a_7c15;
        self.0 = (product as u64) ^ (product >> 64) as u64;
    }
}

/// Hash chain over the blocks of a prompt, which can be extended as a history grows.
#[derive(Clone, Debug)]
pub struct PrefixChain {
    block_bytes: usize,
    last: [u8; 32],
    tail: Vec<u8>,
    blocks: Vec<u64>,
}

impl PrefixChain {
    /// Returns an empty chain. Prompts share a cache only within a `scope` (model and version).
    pub fn new(scope: &str, block_bytes: usize) -> Self {
        let last = *blake3::hash(scope.as_bytes()).as_bytes();
        Self { block_bytes: block_bytes.max(1), last, tail: Vec::new(), blocks: Vec::new() }
    }

    /// Appends text. Only complete blocks are added to the chain.
    pub fn extend(&mut self, mut text: &[u8]) {
        while !text.is_empty() {
            let (head, rest) = text.split_at(text.len().min(self.block_bytes - self.tail.len()));
            self.tail.extend_from_slice(head);
            text = rest;
            if self.tail.len() == self.block_bytes {
                let mut hasher = blake3::Hasher::new_keyed(&self.last);
                hasher.update(&self.tail);
                self.last = *hasher.finalize().as_bytes();
                let first = self.last.first_chunk().expect("a digest has 32 bytes");
                self.blocks.push(u64::from_le_bytes(*first));
                self.tail.clear();
            }
        }
    }

    /// Returns the hashes of the complete blocks.
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }
}

/// A change of an endpoint's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks were stored.
    Stored(Vec<u64>),
    /// These blocks were evicted.
    Removed(Vec<u64>),
    /// The cache was emptied, for example by a restart.
    Cleared,
}

/// Cache event of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, which increases by one; a gap means lost events.
    pub sequence: u64,
    /// Time of the event by the clock of this instance: the arrival minus the expected lag.
    pub occurred_at: Duration,
    /// The change.
    pub change: CacheChange,
}

#[derive(Clone, Copy, Debug)]
struct BlockHolder {
    endpoint: u32,
    /// Value of [`Cache::stored`] when the block was last used.
    last_used: u32,
    /// Time of the last dispatch, in milliseconds.
    used_ms: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cache {
    blocks: u32,
    /// Number of blocks stored so far; wraps around.
    stored: u32,
    sequence: Option<u64>,
    /// Average number of stored blocks per event, to estimate those of lost events.
    blocks_per_event: f32,
    generation_start: u32,
}

impl Cache {
    fn holds(&self, last_used: u32) -> bool {
        let age = self.stored.wrapping_sub(last_used);
        age < self.blocks && age < self.stored.wrapping_sub(self.generation_start)
    }
}

#[derive(Debug, Default)]
struct Block {
    holders: Vec<BlockHolder>,
    /// Whether the block was used since the eviction scan last passed it.
    referenced: bool,
}

/// Index of the prompt blocks that endpoints hold, with a maximum number of blocks.
#[derive(Debug)]
pub struct PrefixIndex {
    blocks: HashMap<u64, Block, BuildHasherDefault<BlockHasher>>,
    /// Blocks in the order in which the second-chance algorithm considers them for eviction.
    clock_queue: VecDeque<u64>,
    max_blocks: usize,
    caches: Vec<Cache>,
}

/// Number of cached leading blocks per endpoint, the result of [`PrefixIndex::lookup`]. Reused
/// between lookups.
#[derive(Debug, Default)]
pub struct CachedDepths {
    lookup_number: u32,
    found: Vec<(u32, u32)>,
}

impl CachedDepths {
    /// Returns the number of leading blocks that `id` has cached.
    pub fn get(&self, id: EndpointId) -> u32 {
        match self.found.get(id.0 as usize) {
            Some((lookup_number, depth)) if *lookup_number == self.lookup_number => *depth,
            _ => 0,
        }
    }

    fn start(&mut self, endpoints: usize) {
        self.lookup_number = self.lookup_number.wrapping_add(1);
        if self.lookup_number == 0 {
            self.found.clear();
            self.lookup_number = 1;
        }
        self.found.resize(endpoints.max(self.found.len()), (0, 0));
    }

    fn record(&mut self, endpoint: u32, depth: u32) {
        let found = &mut self.found[endpoint as usize];
        if found.0 != self.lookup_number {
            *found = (self.lookup_number, depth);
        }
    }
}

impl PrefixIndex {
    /// Returns an empty index of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            blocks: HashMap::default(),
            clock_queue: VecDeque::new(),
            max_blocks: max_blocks.max(1),
            caches: Vec::new(),
        }
    }

    /// Registers an endpoint whose cache holds `blocks` blocks. Drops its earlier entries.
    pub fn register(&mut self, id: EndpointId, blocks: u32) {
        let at = id.0 as usize;
        if self.caches.len() <= at {
            self.caches.resize(at + 1, Cache::default());
        }
        let stored = self.caches[at].stored.wrapping_add(1);
        self.caches[at] = Cache { blocks, stored, generation_start: stored, ..Cache::default() };
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that a prompt was dispatched to an endpoint, which caches all of its blocks.
    pub fn record_dispatch(&mut self, id: EndpointId, blocks: &[u64], now: Duration) {
        // The last blocks are stored first, so that an endpoint evicts a chain from its end.
        for hash in blocks.iter().rev() {
            self.store(id, *hash, now);
        }
    }

    /// Applies a cache event. Repeated and older events are ignored.
    pub fn apply_event(&mut self, id: EndpointId, event: &CacheEvent) {
        let Some(cache) = self.caches.get_mut(id.0 as usize) else { return };
        let next = cache.sequence.map_or(event.sequence, |last| last + 1);
        if event.sequence < next {
            return;
        }
        cache.sequence = Some(event.sequence);
        let lost = (event.sequence - next).min(u64::from(cache.blocks)) as f32;
        let aged = (lost * cache.blocks_per_event).min(cache.blocks as f32);
        cache.stored = cache.stored.wrapping_add(aged as u32);
        match &event.change {
            CacheChange::Stored(blocks) => {
                cache.blocks_per_event += 0.1 * (blocks.len() as f32 - cache.blocks_per_event);
                for hash in blocks.iter().rev() {
                    self.store(id, *hash, event.occurred_at);
                }
            }
            CacheChange::Removed(blocks) => {
                cache.blocks_per_event *= 0.9;
                for hash in blocks {
                    self.remove(id, *hash, event.occurred_at);
                }
            }
            CacheChange::Cleared => self.clear(id),
        }
    }

    /// Drops the entries of an endpoint, for example after a restart.
    pub fn clear(&mut self, id: EndpointId) {
        if let Some(cache) = self.caches.get_mut(id.0 as usize) {
            cache.stored = cache.stored.wrapping_add(1);
            cache.generation_start = cache.stored;
        }
    }

    /// Determines the number of leading blocks that each endpoint has cached. Exact for the
    /// `MAX_LEVELS` longest different prefixes; endpoints with shorter ones count as having none.
    pub fn lookup(&self, blocks: &[u64], depths: &mut CachedDepths) {
        depths.start(self.caches.len());
        let mut depth = self.deepest_held(blocks);
        for _ in 0..MAX_LEVELS {
            let Some(block) = depth.checked_sub(1).and_then(|at| self.blocks.get(&blocks[at]))
            else {
                return;
            };
            for holder in block.holders.iter().filter(|h| self.holds(h)) {
                depths.record(holder.endpoint, depth as u32);
            }
            // The holders of a block include those of the blocks after it, so the next endpoints
            // are at the deepest block with more holders.
            let known = block.holders.len();
            let more = |hash: &u64| self.blocks.get(hash).is_some_and(|b| b.holders.len() > known);
            if !more(&blocks[0]) {
                return;
            }
            depth = blocks[..depth].partition_point(more);
        }
    }

    /// Returns the number of leading blocks that any endpoint holds. This assumes that an endpoint
    /// that holds a block holds those before it; otherwise the result may be too low.
    fn deepest_held(&self, blocks: &[u64]) -> usize {
        blocks.partition_point(|hash| {
            self.blocks.get(hash).is_some_and(|b| b.holders.iter().any(|h| self.holds(h)))
        })
    }

    fn holds(&self, holder: &BlockHolder) -> bool {
        self.caches[holder.endpoint as usize].holds(holder.last_used)
    }

    fn store(&mut self, id: EndpointId, hash: u64, at: Duration) {
        if self.caches.len() <= id.0 as usize {
            return;
        }
        if !self.blocks.contains_key(&hash) {
            self.evict_blocks();
            self.clock_queue.push_back(hash);
        }
        let cache = &mut self.caches[id.0 as usize];
        let block = self.blocks.entry(hash).or_default();
        block.referenced = true;
        let used_ms = at.as_millis() as u32;
        match block.holders.iter_mut().find(|h| h.endpoint == id.0) {
            Some(holder) if cache.holds(holder.last_used) => {
                holder.last_used = cache.stored;
                holder.used_ms = holder.used_ms.max(used_ms);
            }
            Some(holder) => {
                cache.stored = cache.stored.wrapping_add(1);
                *holder = BlockHolder { endpoint: id.0, last_used: cache.stored, used_ms };
            }
            None => {
                cache.stored = cache.stored.wrapping_add(1);
                block.holders.push(BlockHolder {
                    endpoint: id.0,
                    last_used: cache.stored,
                    used_ms,
                });
            }
        }
    }

    fn remove(&mut self, id: EndpointId, hash: u64, occurred_at: Duration) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            let occurred_at_ms = occurred_at.as_millis() as u32;
            block.holders.retain(|h| h.endpoint != id.0 || h.used_ms > occurred_at_ms);
        }
    }

    fn evict_blocks(&mut self) {
        while self.blocks.len() >= self.max_blocks {
            let Some(hash) = self.clock_queue.pop_front() else { return };
            match self.blocks.get_mut(&hash) {
                Some(block) if block.referenced => {
                    block.referenced = false;
                    self.clock_queue.push_back(hash);
                }
                _ => {
                    self.blocks.remove(&hash);
                }
            }
        }
    }
}
