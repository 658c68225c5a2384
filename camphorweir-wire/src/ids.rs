//! Aliases of the identifiers that several modules share.

/// A request; random, chosen by the entry that accepted it.
pub type RequestId = u64;
/// Index of an attempt of a request, from 0.
pub type AttemptId = u32;
/// One run of a process; a restarted process has another incarnation.
pub type Incarnation = u64;
/// Name of an entry instance.
pub type EntryId = String;
/// Index of a token in its request, the first prompt token being 0.
pub type Position = u32;
/// A token of a model's vocabulary.
pub type Token = u32;
/// A random number that tells one record from another.
pub type Nonce = u64;
/// The position of a record in its stream, from 0.
pub type Offset = u64;
/// A fencing number; a higher one supersedes all lower ones.
pub type Fence = u64;
