//! The operators' command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = camphorweir::args::command().run();
    camphorweir::run(command).print()
}
