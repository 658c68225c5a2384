//! The operators' library: builds, checks, prints and folds the configuration.
#![forbid(unsafe_code)]

pub mod check;
pub mod check_layers;
pub mod check_workspace;
mod decode;
pub mod describe;
mod describe_warn;
pub mod edit;
pub mod fault;
pub mod fold;
pub mod history;
pub mod model;
pub mod parse;
mod pending;
pub mod print;
pub mod record;
mod tree;
pub mod view;
