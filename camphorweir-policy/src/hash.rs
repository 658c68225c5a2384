//! Hashes over several parts of a request.

/// A 64-bit hash over several parts, each hashed with its length, so that moving a byte from one
/// part to the next changes the hash.
pub(crate) fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
