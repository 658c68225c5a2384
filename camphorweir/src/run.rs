//! Runs the asynchronous part of a command.

use {
    crate::{exit::Exit, report::Report},
    std::future::Future,
    tokio::runtime,
};

/// Runs a future to completion on the current thread.
pub(crate) fn block_on(json: bool, future: impl Future<Output = Report>) -> Report {
    match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(future),
        Err(error) => Report::failure(Exit::Internal, json, "internal", error.to_string()),
    }
}
