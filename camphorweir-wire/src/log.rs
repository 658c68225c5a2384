//! The platform's log service as its clients see it.
//!
//! `POST /streams/NAME` takes an [`Append`] and answers with an [`Appended`]. `GET
//! /streams/NAME?from=OFFSET&max=RECORDS&wait_ms=MS` answers with a [`Page`], at once when there are
//! records and after at most `wait_ms` when there are none. Bodies are MessagePack.

use {
    crate::ids::Offset,
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
};

/// Records that are appended together, side by side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Append {
    /// The records.
    pub records: Vec<ByteBuf>,
}

/// An append landed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record; the others follow it.
    pub first: Offset,
}

/// A part of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// The oldest offset that is retained.
    pub oldest: Offset,
    /// One past the newest offset of the stream.
    pub end: Offset,
    /// Records from the offset asked for, or from `oldest` where that is higher.
    pub records: Vec<Stored>,
}

/// A record in its stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stored {
    /// Its offset.
    pub offset: Offset,
    /// When it landed, in milliseconds since the Unix epoch by the service's clock.
    pub time_ms: u64,
    /// Its content.
    pub body: ByteBuf,
}
