//! The front that forwards opaquely: callers' requests pass unchanged to targets that the
//! platform's store lists.

pub mod answer;
pub mod ask;
pub mod boot;
pub mod call;
pub mod duty;
pub mod exchange;
pub mod feed;
pub mod follow;
pub mod gossip;
pub mod listen;
pub mod meter;
pub mod pool;
pub mod reload;
pub mod run;
pub mod stall;
pub mod store;
pub mod stream;
pub mod watch;
pub mod world;
