//! Identifiers, and the time type of all decisions.

use std::{sync::Arc, time::Duration};

/// Name of a service.
pub type ServiceName = Arc<str>;
/// Name of an availability zone.
pub type Zone = Arc<str>;
/// Identifier of a target; may stay the same after a restart.
pub type TargetId = Arc<str>;
/// Identifier of one attempt of a caller, as received.
pub type RequestId = Arc<str>;
/// Hash of a request's content, the same for every attempt of the same caller with it; or the identifier
/// of a part of a prompt.
pub type Fingerprint = u64;
/// Name of a workspace.
pub type Workspace = Arc<str>;
/// Index of a layer of a model.
pub type Layer = u16;
/// Monotonic time since a fixed point; includes time while the machine is suspended.
pub type Time = Duration;

/// A short stable tag of an identifier, for messages between instances.
///
/// Two targets with the same tag share the load that peers report, and nothing else.
pub fn ids_tag(id: &str) -> u32 {
    ids_hash(id.as_bytes())
}

/// FNV-1a hash.
pub fn ids_hash(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}
