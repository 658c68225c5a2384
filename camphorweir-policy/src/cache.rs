//! Estimate of an engine's prefix cache content.

use camphorweir_wire::engine::{BLOCK_POSITIONS, Cached};

/// Number of blocks remembered per engine; takes 8 KB per engine, 18 MB for 2,200 engines.
const SLOTS: usize = 2048;

/// The prompt blocks that an engine has probably cached.
///
/// A direct-mapped table of hash tags in which newer blocks overwrite older ones: its size is
/// bounded, and a slot may be wrong. The number of cached positions that the engine reports in
/// [`Opened`](camphorweir_wire::engine::Opened) corrects it.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// One tag per slot, 0 for none; empty until the first block is inserted.
    tags: Vec<u32>,
    /// Sequence number of the last event applied.
    sequence: u64,
}

impl Estimate {
    /// The slot and the tag of a block hash.
    fn locate(hash: u64) -> (usize, u32) {
        (hash as usize % SLOTS, (hash >> 32) as u32 | 1)
    }

    /// Records that a block is cached.
    pub fn insert(&mut self, hash: u64) {
        if self.tags.is_empty() {
            self.tags = vec![0; SLOTS];
        }
        let (slot, tag) = Self::locate(hash);
        self.tags[slot] = tag;
    }

    fn remove(&mut self, hash: u64) {
        let (slot, tag) = Self::locate(hash);
        if let Some(stored) = self.tags.get_mut(slot).filter(|stored| **stored == tag) {
            *stored = 0;
        }
    }

    fn contains(&self, hash: u64) -> bool {
        let (slot, tag) = Self::locate(hash);
        self.tags.get(slot) == Some(&tag)
    }

    /// Number of leading positions of a prompt with these block hashes that are probably cached;
    /// linear in the result.
    pub fn cached(&self, prefix: &[u64]) -> u32 {
        if self.tags.is_empty() {
            return 0;
        }
        prefix
            .iter()
            .take_while(|hash| self.contains(**hash))
            .count() as u32
            * BLOCK_POSITIONS
    }

    /// Records that exactly the first `cached` positions of a prompt are cached, as the engine
    /// reported.
    pub fn correct(&mut self, prefix: &[u64], cached: u32) {
        let cached = (cached / BLOCK_POSITIONS) as usize;
        for (number, hash) in prefix.iter().enumerate() {
            if number < cached {
                self.insert(*hash);
            } else {
                self.remove(*hash);
            }
        }
    }

    /// Applies a cache event of the engine; late and duplicate events are ignored.
    ///
    /// A block whose insertion event was lost may cost an avoidable prefill; one whose removal
    /// event was lost is corrected at the next attempt.
    pub fn apply(&mut self, cached: &Cached) {
        if cached.sequence <= self.sequence {
            return;
        }
        self.sequence = cached.sequence;
        cached.added.iter().for_each(|hash| self.insert(*hash));
        cached.removed.iter().for_each(|hash| self.remove(*hash));
    }
}
