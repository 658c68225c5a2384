//! Client protocol of the platform's log service.
//!
//! `POST /streams/NAME` accepts an [`Append`] and returns an [`Appended`]. `GET
//! /streams/NAME?from=OFFSET&max=RECORDS&wait_ms=MS` returns a [`Page`], at once when there are
//! records and after at most `wait_ms` when there are none. Bodies are MessagePack.

use {
    crate::ids::Offset,
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
};

/// Records to append at consecutive offsets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Append {
    /// The records.
    pub records: Vec<ByteBuf>,
}

/// The result of a successful append.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record; the others have the offsets after it.
    pub first: Offset,
}

/// A range of records of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Page {
    /// The oldest offset still retained.
    pub oldest: Offset,
    /// One past the newest offset of the stream.
    pub end: Offset,
    /// Records from the requested offset, or from `oldest` if that is higher.
    pub records: Vec<Stored>,
}

/// A record as stored in a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stored {
    /// The record's offset.
    pub offset: Offset,
    /// Time of the append, in milliseconds since the Unix epoch by the service's clock.
    pub time_ms: u64,
    /// The record's content.
    pub body: ByteBuf,
}
