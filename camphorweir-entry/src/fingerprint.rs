//! Fingerprints by which requests with the same content are recognised.

/// Hash over the parts of a request's head and its body. The parts are length-prefixed, so that the
/// encoding is unambiguous.
pub fn fingerprint(parts: &[&str], body: &[u8]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    let mut bytes = [0; 8];
    hash.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
