//! Headers of a request that an entry sends to a peer because it reaches no target itself.

/// Set on a request from a peer: version of the configuration that the sender has in force. An
/// entry whose version is lower turns the request away.
pub const VERSION_HEADER: &str = "camphorweir-detour-version";
/// Set on a request from a peer: number of times that it has run or may have run so far.
pub const RUNS_HEADER: &str = "camphorweir-detour-runs";
/// Set on a response to a peer: the target that answered is about to shut down.
pub const LEAVING_TARGET_HEADER: &str = "camphorweir-detour-leaving-target";
/// Set on a response to a peer: the request was not even looked at, and another entry may serve it.
pub const TURNED_AWAY_HEADER: &str = "camphorweir-detour-turned-away";
