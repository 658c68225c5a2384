//! Aliases of the identifiers that several modules share.

/// A request, drawn at random by the entry that took it in.
pub type RequestId = u64;
/// The number of an attempt of a request, from 0.
pub type AttemptId = u32;
/// One life of a process; a restarted process has another.
pub type Incarnation = u64;
/// Name of an entry instance.
pub type EntryId = String;
/// Index of a token in its request, the first prompt token being 0.
pub type Position = u32;
/// A token of a model's vocabulary.
pub type Token = u32;
/// A number drawn at random that tells one record from another.
pub type Nonce = u64;
/// The place of a record in its stream, from 0.
pub type Offset = u64;
/// A fencing number; a higher one supersedes all lower ones.
pub type Fence = u64;
