//! The operators' command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let report = match camphorweir::args::parse() {
        Ok(command) => camphorweir::run(command),
        Err(report) => report,
    };
    report.print()
}
