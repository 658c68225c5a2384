//! The operators' library: builds, checks, prints and folds the configuration.
#![forbid(unsafe_code)]

pub mod check;
pub mod check_layers;
pub mod check_workspace;
pub mod edit;
pub mod fault;
pub mod fold;
pub mod history;
pub mod model;
mod pending;
pub mod record;
pub mod view;
