//! Opaque forwarding: callers' requests pass unchanged to the targets that the platform's store
//! lists.

pub mod answer;
pub mod body;
pub mod client;
pub mod clock;
pub mod connections;
pub mod cut;
pub mod deadline;
pub mod demand;
pub mod elsewhere;
pub mod exchange;
pub mod feed;
pub mod follow;
pub mod gossip;
pub mod idle;
pub mod instances;
pub mod listen;
pub mod metrics;
pub mod permits;
pub mod placement;
pub mod pool;
pub mod probe;
pub mod reload;
pub mod request;
pub mod requests;
pub mod response;
pub mod run;
pub mod send;
pub mod stall;
pub mod start;
pub mod state;
pub mod store;
pub mod stream;
pub mod suspects;
pub mod waiting;
pub mod watch;
