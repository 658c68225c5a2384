//! The operators' library: builds, checks and prints configurations, and folds the stream of their
//! records.
//!
//! A program builds a document, reports all of its faults or prints it for `camphorweir publish`:
//!
//! ```
//! use camphorweir_config::{
//!     build::{Builder, key_hash},
//!     model::{Kind, Model, Priority},
//!     parse, print,
//! };
//! use std::net::SocketAddr;
//!
//! let mut builder = Builder::new();
//! let zone = builder.zone("southeast-a", "southeast");
//! let l40 = builder.kind("l40", Kind { prefill_rate: 1500.0, decode_layer_us: 60.0, batch: 32 });
//! let log = builder.model("log", Model { layers: 24, activation: 8192, end_token: None });
//! let at = |last| SocketAddr::from(([10, 0, 0, last], 8000));
//! builder.engine("log-a1", at(1), &zone, &l40, &log, 0..12);
//! builder.engine("log-a2", at(2), &zone, &l40, &log, 12..24);
//! let ledger = builder.service("ledger", true);
//! builder.server("ledger-a1", at(3), &zone, &ledger);
//! let notes = builder.pipeline("notes", &log, 4096, 512);
//!
//! let mut depot = builder.workspace("depot-7");
//! depot.key(key_hash("the bearer key of depot 7"));
//! depot.tokens("burn-notes", &notes).priority(Priority::Urgent);
//! depot.calls("seal", &ledger).never_repeat();
//!
//! let document = builder.finish().expect("no faults");
//! let text = print::text(&document)?;
//! assert_eq!(parse::checked(&text), Ok(document));
//! # Ok::<(), print::Error>(())
//! ```
//!
//! Readers of the configuration stream [fold](fold::Fold) its records into the version in force and
//! index that as a [view](view::View).
#![forbid(unsafe_code)]

pub mod build;
pub mod check;
pub mod check_layers;
pub mod check_workspace;
mod decode;
mod decode_variant;
pub mod describe;
mod describe_warn;
pub mod edit;
pub mod fault;
pub mod findings;
pub mod fold;
pub mod handle;
pub mod history;
pub mod model;
pub mod parse;
mod pending;
pub mod print;
pub mod record;
mod tree;
pub mod view;
