//! Hashes over several parts of a request.

/// A 64-bit hash over parts; the parts' lengths are hashed too, so that moving a byte from one part
/// to the next gives another hash.
pub(crate) fn word(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut word = [0; 8];
    word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(word)
}
