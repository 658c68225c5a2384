//! Tests of the routing decisions, without a network.

mod access;
mod budget;
mod changes;
mod contact;
mod detour;
mod features;
mod fleet;
mod isolation;
mod keepers;
mod lease;
mod limit;
mod lists;
mod path;
mod peers;
mod permit;
mod permit_play;
mod progress;
mod retry;
mod roles;
mod router;
mod sse;
mod store;
mod storm;
mod suspects;
mod tracker;
mod waiting;
