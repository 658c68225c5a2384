//! Block hashes that identify common prefixes of prompts.

use crate::{engine::BLOCK_POSITIONS, ids::Token};

/// One hash for every whole block of a prompt, each over all tokens up to the block's end.
///
/// Linear in the prompt's length: the hasher's state is carried from block to block.
pub fn block_hashes(prompt: &[Token]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_POSITIONS as usize)
        .map(|block| {
            for token in block {
                hasher.update(&token.to_le_bytes());
            }
            low_u64(hasher.finalize().as_bytes())
        })
        .collect()
}

fn low_u64(bytes: &[u8; 32]) -> u64 {
    bytes[..8]
        .iter()
        .rev()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}
