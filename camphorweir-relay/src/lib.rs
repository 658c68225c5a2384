//! Decisions for opaque forwarding: routes, keys, targets, layer paths, placement and retries.
//!
//! Nothing here does I/O or reads a clock; the caller passes the time and acts on the result.
#![forbid(unsafe_code)]

pub mod access;
pub mod admission;
pub mod answer;
pub mod balance;
pub mod budget;
pub mod changes;
pub mod configuration;
pub mod contact;
mod crashes;
pub mod detour;
pub mod eviction;
pub mod fairness;
pub mod features;
pub mod fleet;
pub mod flow;
mod givers;
pub mod head;
pub mod ids;
mod isolation;
pub mod keepers;
pub mod lease;
pub mod limit;
pub mod lists;
pub mod memory;
pub mod path;
pub mod peers;
pub mod permit;
pub mod placement;
pub mod progress;
pub mod projection;
pub mod replacement;
mod reports;
pub mod retry;
pub mod revision;
pub mod roles;
pub mod router;
mod selection;
pub mod senders;
pub mod settings;
pub mod shutdown;
pub mod span;
pub mod sse;
pub mod store;
pub mod summary;
pub mod suspects;
pub mod suspicion;
pub mod tracker;
pub mod utilization;
pub mod waiting;
