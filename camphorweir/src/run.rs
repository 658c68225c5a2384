//! Runs what a command awaits.

use {
    crate::{exit::Exit, report::Report},
    std::future::Future,
    tokio::runtime,
};

/// Runs to the end on this thread.
pub(crate) fn block_on(json: bool, work: impl Future<Output = Report>) -> Report {
    match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => Report::failure(Exit::Internal, json, "internal", error.to_string()),
    }
}
