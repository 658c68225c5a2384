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

/// Blocks by prefix hash and layers; the one used longest ago leaves first.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    room: usize,
    blocks: HashMap<Key, (u64, States)>,
    uses: BTreeMap<u64, Key>,
    used: u64,
    added: Vec<u64>,
    removed: Vec<u64>,
}

impl Cache {
    /// An empty cache with room for so many blocks.
    pub(crate) fn new(room: usize) -> Self {
        Self {
            room,
            ..Self::default()
        }
    }

    /// The states of the longest run of blocks from the first that is held whole.
    pub(crate) fn held(&mut self, prefix: &[u64], layers: Layers) -> Vec<States> {
        let held = prefix.iter().map_while(|hash| self.get((*hash, layers)));
        held.collect()
    }

    fn get(&mut self, key: Key) -> Option<States> {
        let (used, states) = self.blocks.get_mut(&key)?;
        self.used += 1;
        self.uses.remove(used);
        self.uses.insert(self.used, key);
        *used = self.used;
        Some(states.clone())
    }

    /// Keeps a block; each insertion removes at most one other.
    pub(crate) fn put(&mut self, hash: u64, layers: Layers, states: &[u64]) {
        let key = (hash, layers);
        if self.room == 0 || self.get(key).is_some() {
            return;
        }
        if self.blocks.len() >= self.room {
            self.evict();
        }
        self.used += 1;
        self.uses.insert(self.used, key);
        self.blocks.insert(key, (self.used, states.into()));
        self.added.push(hash);
    }

    fn evict(&mut self) {
        if let Some((_, key)) = self.uses.pop_first() {
            self.blocks.remove(&key);
            self.removed.push(key.0);
        }
    }

    /// Forgets everything and says so in the next changes.
    pub(crate) fn clear(&mut self) {
        while !self.blocks.is_empty() {
            self.evict();
        }
    }

    /// Hashes that entered and left since the last call.
    pub(crate) fn changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        (mem::take(&mut self.added), mem::take(&mut self.removed))
    }

    /// Hashes of all blocks held.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.blocks.keys().map(|key| key.0).collect()
    }
}
