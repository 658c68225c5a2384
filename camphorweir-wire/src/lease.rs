//! The records of the lease stream: who may give orders to engines.
//!
//! A lease's fencing number is the offset of the record that took it. All times are the log
//! service's, so that every reader judges alike.

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
/// A lease that was not renewed for this long, by the log service's clock, may be taken over.
pub const TERM: Duration = Duration::from_secs(10);

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// Tells the record from others of the same entry.
    pub nonce: Nonce,
    /// Who appends it.
    pub owner: Owner,
    /// What it says.
    pub body: Body,
}

/// What a lease record says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Takes the lease, if nobody holds it or its holder did not renew it for [`TERM`].
    Take,
    /// Renews the lease with this fencing number.
    Renew(Fence),
    /// Gives the lease with this fencing number back, at a planned stop.
    Release(Fence),
}
