//! Prefix cache of limited memory. Programs hold the blocks of their prompts until released.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

/// A cached block.
#[derive(Debug, Default)]
struct Block {
    /// Time of the last use, as a count.
    last_used: u64,
    /// Programs that hold it.
    holders: Vec<Arc<str>>,
}

/// Order of eviction: blocks that no program holds first, then by last use.
type EvictionKey = (bool, u64, u64);

impl Block {
    fn eviction_key(&self, hash: u64) -> EvictionKey {
        (!self.holders.is_empty(), self.last_used, hash)
    }
}

/// What a program holds.
#[derive(Debug)]
struct ProgramBlocks {
    name: Arc<str>,
    blocks: HashSet<u64>,
}

/// Changes made by storing a prompt.
#[derive(Debug, Default)]
pub(super) struct CacheChange {
    pub(super) stored: Vec<u64>,
    pub(super) removed: Vec<u64>,
}

/// Cache of one run. Blocks are in hash and tree maps, as prompts have thousands of blocks and
/// insertion into a sorted vector takes linear time.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    clock: u64,
    blocks: HashMap<u64, Block>,
    eviction_order: BTreeSet<EvictionKey>,
    /// Sorted by name. A program stays here until it is released, also after all its blocks were
    /// evicted.
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

    /// Blocks in the cache.
    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Leading blocks of a prompt that are cached.
    pub(super) fn cached_prefix(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Stores the blocks of a prompt, and holds them for a program.
    pub(super) fn store(&mut self, chain: &[u64], program: Option<&Arc<str>>) -> CacheChange {
        let chain = &chain[..chain.len().min(self.max_blocks)];
        let mut change = CacheChange::default();
        if let Some(program) = program {
            self.program_entry(program);
        }
        // The last blocks are stored first, so that a chain is evicted from its end.
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

    /// Blocks that a program holds, or none if it is unknown. They are in the order of its last
    /// prompt, as that order is also the reverse order of their last uses.
    pub(super) fn held_blocks(&self, program: &str) -> Option<Vec<u64>> {
        let program = &self.programs[self.find(program).ok()?];
        let mut blocks: Vec<u64> = program.blocks.iter().copied().collect();
        blocks.sort_unstable_by_key(|hash| Reverse(self.blocks.get(hash).map(|b| b.last_used)));
        Some(blocks)
    }

    /// Programs that have not been released, sorted.
    pub(super) fn programs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.programs.iter().map(|p| &p.name)
    }

    /// Frees what the programs hold that a filter names. Their blocks stay cached until the
    /// memory is needed.
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

    /// Changes a block and its place in the order of eviction.
    fn update(&mut self, hash: u64, apply: impl FnOnce(&mut Block)) {
        let block = self.blocks.entry(hash).or_default();
        self.eviction_order.remove(&block.eviction_key(hash));
        apply(block);
        self.eviction_order.insert(block.eviction_key(hash));
    }

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
