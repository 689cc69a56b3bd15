//! Prefix cache with a fixed number of blocks. Programs hold the blocks of their prompts until they
//! are released; blocks without a holder are evicted first.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

#[derive(Debug, Default)]
struct Block {
    /// Value of [`Cache::clock`] at the last use.
    last_used: u64,
    /// Programs that hold the block.
    holders: Vec<Arc<str>>,
}

/// Sort key of eviction: whether the block is held, its last use, and its hash. Blocks without a
/// holder come first, then the least recently used.
type EvictionKey = (bool, u64, u64);

impl Block {
    fn eviction_key(&self, hash: u64) -> EvictionKey {
        (!self.holders.is_empty(), self.last_used, hash)
    }
}

/// The blocks that a program holds.
#[derive(Debug)]
struct ProgramBlocks {
    name: Arc<str>,
    blocks: HashSet<u64>,
}

/// Blocks that storing a prompt added and evicted.
#[derive(Debug, Default)]
pub(super) struct CacheChange {
    pub(super) stored: Vec<u64>,
    pub(super) removed: Vec<u64>,
}

/// Prefix cache of one run.
///
/// Blocks are kept in a hash map and a tree set: prompts have thousands of blocks, and insertion
/// into a sorted vector takes linear time.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    /// Logical clock, incremented by each use of a block.
    clock: u64,
    blocks: HashMap<u64, Block>,
    eviction_order: BTreeSet<EvictionKey>,
    /// Sorted by name. A program stays listed until it is released, even after all its blocks have
    /// been evicted.
    programs: Vec<ProgramBlocks>,
}

impl Cache {
    pub(super) fn new(max_blocks: u32) -> Self {
        Self {
            max_blocks: max_blocks as usize,
            clock: 0,
            blocks: HashMap::new(),
            eviction_order: BTreeSet::new(),
            programs: Vec::new(),
        }
    }

    /// Returns the number of cached blocks.
    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the number of leading blocks of a prompt that are cached.
    pub(super) fn cached_prefix(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Stores the blocks of a prompt and, with a program, holds them for it. Blocks beyond the size
    /// of the cache are ignored.
    pub(super) fn store(&mut self, chain: &[u64], program: Option<&Arc<str>>) -> CacheChange {
        let chain = &chain[..chain.len().min(self.max_blocks)];
        let mut change = CacheChange::default();
        if let Some(program) = program {
            self.program_entry(program);
        }
        // Later blocks get an earlier last use, so that a prompt is evicted from its end.
        for hash in chain.iter().rev() {
            if !self.blocks.contains_key(hash) {
                self.evict(&mut change.removed);
                change.stored.push(*hash);
            }
            self.mark_used(*hash, program);
        }
        change.stored.reverse();
        change.stored.retain(|hash| self.blocks.contains_key(hash));
        change.removed.retain(|hash| !self.blocks.contains_key(hash));
        change
    }

    /// Returns the blocks that a program holds, or `None` if the program is unknown. The most
    /// recently used block comes first, which is the order of the last prompt, as `store` marks
    /// blocks as used from the end.
    pub(super) fn held_blocks(&self, program: &str) -> Option<Vec<u64>> {
        let program = &self.programs[self.find(program).ok()?];
        let mut blocks: Vec<u64> = program.blocks.iter().copied().collect();
        blocks.sort_unstable_by_key(|hash| Reverse(self.blocks.get(hash).map(|b| b.last_used)));
        Some(blocks)
    }

    /// Returns the programs that have not been released, sorted by name.
    pub(super) fn programs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.programs.iter().map(|p| &p.name)
    }

    /// Drops the holds of all programs that match. Their blocks stay cached until they are evicted.
    pub(super) fn release(&mut self, matches: impl Fn(&str) -> bool) {
        let (released, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.programs).into_iter().partition(|p| matches(&p.name));
        self.programs = kept;
        for program in released {
            for hash in program.blocks {
                self.update(hash, |block| block.holders.retain(|h| *h != program.name));
            }
        }
    }

    fn find(&self, program: &str) -> Result<usize, usize> {
        self.programs.binary_search_by(|p| (*p.name).cmp(program))
    }

    fn program_entry(&mut self, name: &Arc<str>) -> &mut ProgramBlocks {
        let i = self.find(name).unwrap_or_else(|i| {
            self.programs.insert(i, ProgramBlocks { name: name.clone(), blocks: HashSet::new() });
            i
        });
        &mut self.programs[i]
    }

    fn mark_used(&mut self, hash: u64, program: Option<&Arc<str>>) {
        let mut new_holder = None;
        if let Some(program) = program
            && self.program_entry(program).blocks.insert(hash)
        {
            new_holder = Some(program.clone());
        }
        self.clock += 1;
        let clock = self.clock;
        self.update(hash, |block| {
            block.last_used = clock;
            block.holders.extend(new_holder);
        });
    }

    /// Changes a block, which is added if missing, and its position in the eviction order.
    fn update(&mut self, hash: u64, apply: impl FnOnce(&mut Block)) {
        let block = self.blocks.entry(hash).or_default();
        self.eviction_order.remove(&block.eviction_key(hash));
        apply(block);
        self.eviction_order.insert(block.eviction_key(hash));
    }

    /// Evicts blocks until there is room for one more, and appends their hashes to `removed`.
    fn evict(&mut self, removed: &mut Vec<u64>) {
        while self.blocks.len() >= self.max_blocks {
            let Some((_, _, hash)) = self.eviction_order.pop_first() else { return };
            let block = self.blocks.remove(&hash).unwrap_or_default();
            for holder in &block.holders {
                self.program_entry(holder).blocks.remove(&hash);
            }
            removed.push(hash);
        }
    }
}
