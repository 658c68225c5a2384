//! The operators' command line of camphorweir as a library. Each command returns a
//! [`report::Report`].
//!
//! ```
//! use camphorweir::{args, exit::Exit};
//!
//! let command = args::command().run_inner(&["explain", "5003"]).expect("a command");
//! let report = camphorweir::run(command);
//! assert_eq!(report.exit, Exit::Done);
//! assert!(report.text.starts_with("5003 PublishConflict"));
//! ```
#![forbid(unsafe_code)]

mod admin;
pub mod args;
mod check;
mod diff;
mod drain;
pub mod exit;
mod explain;
mod file;
pub mod log;
mod publish;
mod quarantine;
pub mod report;
mod resolve;
mod run;
mod status;
mod stream;
mod unresolved;
mod versions;

use {
    args::{Command, Quarantine},
    report::Report,
};

/// Runs a command.
pub fn run(command: Command) -> Report {
    match command {
        Command::Check(options) => check::check(&options),
        Command::Diff { json, old, new } => diff::diff(&old, &new, json),
        Command::Drain(options) => drain::set(&options, true),
        Command::Explain { markdown: true, .. } => explain::markdown(),
        Command::Explain { json, code, .. } => explain::explain(code, json),
        Command::Print { file } => file::print(&file),
        Command::Publish(options) => publish::publish(&options),
        Command::Quarantine(Quarantine::List(options)) => quarantine::list(&options),
        Command::Quarantine(Quarantine::Release(options)) => quarantine::release(&options),
        Command::Resolve(options) => resolve::resolve(&options),
        Command::Status(options) => status::status(&options),
        Command::Undrain(options) => drain::set(&options, false),
        Command::Unresolved(options) => unresolved::unresolved(&options),
    }
}
