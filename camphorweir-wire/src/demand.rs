//! What entries tell each other once a second of the work that callers ask for, where priorities are
//! ordered.

use {
    crate::map_serde::serialize_as_map,
    serde::{Deserialize, Serialize},
};

/// Demand at one entry, for the aggregator of its zone, or at all entries of a zone, from it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Demand {
    /// The sender's name.
    pub entry: String,
    /// Whether this is the sum of a zone.
    #[serde(default)]
    pub is_sum: bool,
    /// Work by class and workspace, the largest first.
    #[serde(default)]
    pub works: Vec<Work>,
    /// Tags of the fingerprints of requests that were refused lately and told when to return, the newest
    /// first.
    #[serde(default)]
    pub refused: Vec<u32>,
}

serialize_as_map!(Demand {
    entry,
    is_sum,
    works,
    refused,
});

/// Work of a workspace in a class, in tokens a second as work is weighed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Tag of the service and the rank.
    pub class: u16,
    /// Tag of the workspace.
    pub workspace: u32,
    /// Work of the requests that arrived.
    pub offered: u32,
    /// Work of those that were sent to targets and not rejected there.
    pub admitted: u32,
}
