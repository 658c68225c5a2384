//! Records of the lease stream, which decide which entry may assign layers to engines.
//!
//! The fencing number of a lease is the offset of the record that acquired it. All times are the
//! log service's, so that every reader comes to the same result.

use {
    crate::{
        claim::Owner,
        ids::{Fence, Nonce},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Name of the stream.
pub const STREAM: &str = "lease";
/// The format that this release writes and the newest that it reads.
pub const FORMAT: u16 = 1;
/// Time without renewal, by the log service's clock, after which another entry may take the lease.
pub const TERM: Duration = Duration::from_secs(10);

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// Distinguishes the record from others of the same entry.
    pub nonce: Nonce,
    /// The process that appended the record.
    pub owner: Owner,
    /// The content.
    pub body: Body,
}

/// Content of a lease record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Acquires the lease, if it is free or was not renewed for [`TERM`].
    Take,
    /// Renews the lease with this fencing number.
    Renew(Fence),
    /// Releases the lease with this fencing number, at a planned stop.
    Release(Fence),
}
