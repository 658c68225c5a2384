//! The bounded prefix cache of an engine.

use {
    camphorweir_wire::engine::Layers,
    std::{
        collections::{BTreeMap, HashMap},
        mem,
        sync::Arc,
    },
};

/// The states of an attempt's layers at the end of a block.
pub(crate) type States = Arc<[u64]>;
type Key = (u64, Layers);

/// Blocks by prefix hash and layers; the least recently used is evicted first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Each block with the number of its last use.
    blocks: HashMap<Key, (u64, States)>,
    by_last_use: BTreeMap<u64, Key>,
    /// Number of the last use of any block.
    last_use: u64,
    added: Vec<u64>,
    removed: Vec<u64>,
}

impl Cache {
    /// An empty cache for at most `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// The states of the longest prefix whose blocks are all cached.
    pub(crate) fn longest_prefix(&mut self, prefix: &[u64], layers: Layers) -> Vec<States> {
        let states = prefix.iter().map_while(|hash| self.get((*hash, layers)));
        states.collect()
    }

    fn get(&mut self, key: Key) -> Option<States> {
        let (block_use, states) = self.blocks.get_mut(&key)?;
        self.last_use += 1;
        self.by_last_use.remove(block_use);
        self.by_last_use.insert(self.last_use, key);
        *block_use = self.last_use;
        Some(states.clone())
    }

    /// Inserts a block; evicts at most one other.
    pub(crate) fn insert(&mut self, hash: u64, layers: Layers, states: &[u64]) {
        let key = (hash, layers);
        if self.capacity == 0 || self.get(key).is_some() {
            return;
        }
        if self.blocks.len() >= self.capacity {
            self.evict();
        }
        self.last_use += 1;
        self.by_last_use.insert(self.last_use, key);
        self.blocks.insert(key, (self.last_use, states.into()));
        self.added.push(hash);
    }

    fn evict(&mut self) {
        if let Some((_, key)) = self.by_last_use.pop_first() {
            self.blocks.remove(&key);
            self.removed.push(key.0);
        }
    }

    /// Evicts all blocks; the next call of [`Cache::take_changes`] reports them.
    pub(crate) fn clear(&mut self) {
        while !self.blocks.is_empty() {
            self.evict();
        }
    }

    /// Hashes added and evicted since the last call.
    pub(crate) fn take_changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        (mem::take(&mut self.added), mem::take(&mut self.removed))
    }

    /// Hashes of all cached blocks.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.blocks.keys().map(|key| key.0).collect()
    }
}
