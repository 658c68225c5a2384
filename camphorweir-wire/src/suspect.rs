//! Records of the stream of quarantined requests.

use serde::{Deserialize, Serialize};

/// The stream's name.
pub const STREAM: &str = "suspects";
/// The format that this release writes and the newest that it reads.
pub const FORMAT: u16 = 1;

/// One record of the stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader skips a record with an unknown one.
    pub format: u16,
    /// Hash over the workspace and the request.
    pub fingerprint: u64,
    /// The content.
    pub body: Body,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// The request has crashed targets, and every entry refuses it.
    Quarantine,
    /// An operator allows the request again.
    Release {
        /// The operator's name.
        operator: String,
    },
}
