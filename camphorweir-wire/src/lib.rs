//! Messages between camphorweir's processes, its targets and operators, and the records in the log.
#![forbid(unsafe_code)]

pub mod claim;
pub mod code;
pub mod codec;
pub mod crash;
pub mod demand;
pub mod detour;
pub mod digest;
pub mod engine;
pub mod ids;
pub mod lease;
pub mod limit;
pub mod list;
pub mod log;
mod map_serde;
pub mod outcome;
pub mod peer;
pub mod prefix;
pub mod replication;
pub mod status;
mod step_serde;
pub mod suspect;
