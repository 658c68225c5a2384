//! The promises with every part as a process of its own on loopback.
//!
//! Every test starts a deployment from the workspace's own binaries, on free ports, and ends only
//! the processes that it started.

mod bad_input;
mod caller;
mod child;
mod configuration;
mod deployment;
mod engines;
mod outage;
mod quickstart;
mod seals;
mod stops;
#[path = "../support/mod.rs"]
mod support;
mod whole_path;
mod zones;
