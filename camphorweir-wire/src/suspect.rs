//! The records of the stream of quarantined requests.

use serde::{Deserialize, Serialize};

/// The stream's name.
pub const STREAM: &str = "suspects";
/// The format that this release writes and the newest that it reads.
pub const FORMAT: u16 = 1;

/// One record of the stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader passes over one that it does not know.
    pub format: u16,
    /// Hash over the workspace and the request.
    pub fingerprint: u64,
    /// What it says.
    pub body: Body,
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// The request has crashed targets and runs nowhere.
    Quarantine,
    /// An operator lets it run again.
    Release {
        /// Who says so.
        operator: String,
    },
}
