//! Tests of the routing decisions, without a network.

mod access;
mod board;
mod budget;
mod desk;
mod fleet;
mod lease;
mod path;
mod peers;
mod reader;
mod repeat;
mod sse;
