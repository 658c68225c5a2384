//! What is known of an engine's prefix cache.

use camphorweir_wire::engine::{BLOCK, Cached};

/// Blocks that are remembered of one engine at most; 8 KB each, 18 MB for 2,200 engines.
const BLOCKS: usize = 2048;

/// Blocks that an engine probably holds.
///
/// A table of tags that newer blocks overwrite: its size is bounded, and an entry may be wrong. The
/// engine's own word at [`Opened`](camphorweir_wire::engine::Opened) corrects it.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// One tag for each place, 0 for none; empty until the first block.
    tags: Vec<u32>,
    /// The number of the last event.
    sequence: u64,
}

impl Known {
    fn place(hash: u64) -> (usize, u32) {
        (hash as usize % BLOCKS, (hash >> 32) as u32 | 1)
    }

    /// A block is held now.
    pub fn add(&mut self, hash: u64) {
        if self.tags.is_empty() {
            self.tags = vec![0; BLOCKS];
        }
        let (place, tag) = Self::place(hash);
        self.tags[place] = tag;
    }

    fn remove(&mut self, hash: u64) {
        let (place, tag) = Self::place(hash);
        if let Some(kept) = self.tags.get_mut(place).filter(|kept| **kept == tag) {
            *kept = 0;
        }
    }

    fn has(&self, hash: u64) -> bool {
        let (place, tag) = Self::place(hash);
        self.tags.get(place) == Some(&tag)
    }

    /// Positions of a prompt with these block hashes that are probably held; linear in the answer.
    pub fn held(&self, prefix: &[u64]) -> u32 {
        if self.tags.is_empty() {
            return 0;
        }
        prefix.iter().take_while(|hash| self.has(**hash)).count() as u32 * BLOCK
    }

    /// The engine says how much of a prompt it holds; blocks past that are not held.
    pub fn correct(&mut self, prefix: &[u64], held: u32) {
        let held = (held / BLOCK) as usize;
        for (number, hash) in prefix.iter().enumerate() {
            if number < held {
                self.add(*hash);
            } else {
                self.remove(*hash);
            }
        }
    }

    /// An event of the engine; one that comes late, or again, changes nothing.
    ///
    /// What lost events added is unknown and costs a prefill; what they removed is corrected at the
    /// next attempt.
    pub fn apply(&mut self, cached: &Cached) {
        if cached.sequence <= self.sequence {
            return;
        }
        self.sequence = cached.sequence;
        cached.added.iter().for_each(|hash| self.add(*hash));
        cached.removed.iter().for_each(|hash| self.remove(*hash));
    }
}
