//! Stand-ins for the platform's services and the targets, run in-process or as processes.
#![forbid(unsafe_code)]

mod attempt;
mod cache;
pub mod engine;
pub mod fleet;
pub mod http1;
pub mod list;
pub mod log;
pub mod metadata;
pub mod platform_target;
mod rate_limit;
pub mod reference_model;
pub mod server;
pub mod service;
pub mod settings;
mod state;
mod stream;
mod tasks;
pub mod weights;
