//! The entry process of camphorweir: executes the actions of the decision core and reports events
//! to it; all decisions are made in the core.
//!
//! ```
//! use {camphorweir_entry::settings, std::path::Path};
//!
//! // Every fault of a settings file is reported, with its line and column.
//! let faults = settings::parse("entry: a1\nzome: a\n", Path::new(".")).unwrap_err();
//! assert!(faults.iter().any(|fault| fault.to_string().starts_with("2:1: 6101 BadSettings: zome")));
//! ```
#![forbid(unsafe_code)]

pub mod activity;
pub mod admin;
pub mod call;
pub mod clock;
pub mod conn;
pub mod core_task;
pub mod driver;
pub mod exit;
pub mod fetch;
pub mod fingerprint;
pub mod forward;
pub mod front;
pub mod gate;
pub mod gauges;
pub mod guarded;
pub mod histograms;
pub mod inner;
pub mod instance_list;
pub mod link;
pub mod listener;
pub mod log_writer;
pub mod memory;
pub mod monitor;
pub mod openai;
pub mod output;
pub mod peer;
pub mod process;
pub mod rate_limited_log;
pub mod refusal;
pub mod response_head;
pub mod routing;
pub mod seal;
pub mod server;
pub mod settings;
pub mod sse;
pub mod startup;
pub mod streams;
pub mod supervise;
pub mod telemetry;
pub mod text;
pub mod units;
pub mod yaml;
