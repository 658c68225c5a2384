//! What entries tell each other of targets that take a limited number of requests a second. All of it is
//! encoded with the names of its fields; unknown fields are passed over.

use serde::{Deserialize, Serialize};

/// What an entry knows of the limit of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct News {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Start of the target's incarnation, as a Unix time in ms.
    pub started_ms: u64,
    /// Requests a second; `None` if the target names no limit any more.
    pub per_second: Option<f64>,
    /// Time since the target first named a limit, in ms.
    pub since_ms: u32,
    /// Time since an answer last showed this, in ms.
    pub age_ms: u32,
}
