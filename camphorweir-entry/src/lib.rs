//! The entry process of camphorweir: carries out what the decision core says and reports what
//! happened; it decides nothing.
//!
//! ```
//! use {camphorweir_entry::settings, std::path::Path};
//!
//! // A settings file is checked whole: every fault is named with its place.
//! let faults = settings::parse("entry: a1\nzome: a\n", Path::new(".")).unwrap_err();
//! assert!(faults.iter().any(|fault| fault.to_string().starts_with("2:1: 6101 BadSettings: zome")));
//! ```
#![forbid(unsafe_code)]

pub mod admin;
pub mod call;
pub mod clock;
pub mod conn;
pub mod core_task;
pub mod driver;
pub mod fetch;
pub mod forward;
pub mod front;
pub mod gate;
pub mod gauges;
pub mod inner;
pub mod lines;
pub mod link;
pub mod list;
pub mod openai;
pub mod peer;
pub mod place;
pub mod process;
pub mod refuse;
pub mod seal;
pub mod server;
pub mod settings;
pub mod sse;
pub mod streams;
pub mod supervise;
pub mod telemetry;
pub mod text;
pub mod times;
pub mod units;
pub mod yaml;
