//! The operators' library: builds, checks, prints and folds the configuration.
#![forbid(unsafe_code)]

pub mod model;
pub mod record;
