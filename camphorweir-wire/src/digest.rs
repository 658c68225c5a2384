//! The datagrams by which entries share, many times a second, their load on targets and which
//! targets fail.

use serde::{Deserialize, Serialize};

/// Unit of [`Load::memory`]: tokens times layers.
pub const MEMORY_UNIT_TOKEN_LAYERS: f64 = 1024.0;

/// Addresses at which peers reach an entry; the entry's record in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Addresses {
    /// Address that receives digests, as `IP:PORT`.
    pub digest: String,
    /// Address for entries that read the store through this one, as `IP:PORT`.
    pub follow: String,
    /// Availability zone.
    pub zone: String,
}

/// The load of one entry; it fits in one datagram.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's name.
    pub entry: String,
    /// The sender's incarnation, random at each start.
    pub incarnation: u64,
    /// Sequence number, rising with each digest of an incarnation.
    pub sequence: u64,
    /// Load by target.
    pub loads: Vec<Load>,
    /// Targets that are failing now.
    pub failing: Vec<Failing>,
}

/// Load of an entry on one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Streams that pass through the target.
    pub streams: u16,
    /// Streams for which the target is the first of the chain.
    pub first_stage: u16,
    /// Memory that the streams occupy on the target, in [`MEMORY_UNIT_TOKEN_LAYERS`], rounded up.
    pub memory: u32,
}

/// A target that failed requests of the sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failing {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Remaining time in which the sender does not use the target, in ms.
    pub excluded_ms: u16,
    /// Whether the target does not respond at all, so that its layers are unavailable.
    pub unresponsive: bool,
}
