//! Replication from the entry that reads the store for a zone to the other entries of the zone.

use {
    crate::map_serde::serialize_as_map,
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
};

/// A follower's request for changes: its state, and how long the response may wait for new ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Request {
    /// Version of the follower's configuration.
    pub version: u64,
    /// Incarnation of the feed that `next_sequence` refers to; 0 for none.
    pub feed_incarnation: u64,
    /// Sequence number of the first change that the follower lacks.
    pub next_sequence: u64,
    /// Longest wait for a change, in ms.
    pub wait_ms: u32,
    /// The records that the follower has; sent to a feed that it has not followed before, which
    /// then answers with the differences instead of complete lists.
    pub known: Option<Vec<Fingerprint>>,
}

/// A record in short, to compare the lists of two entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// The list that the record belongs to.
    pub list: List,
    /// Hash of the record's key.
    pub key: u32,
    /// Hash of the record's value.
    pub value: u32,
}

/// A record as read from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The list that the record belongs to.
    pub list: List,
    /// The record's key.
    pub key: String,
    /// The record's value; `None` deletes the key.
    pub value: Option<ByteBuf>,
}

/// The lists that are replicated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum List {
    /// Targets.
    Targets,
    /// Entries.
    Entries,
}

/// The response: configuration and changes that the follower lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Response {
    /// Age of the newest confirmed read of the configuration when the request arrived, in ms; 0 if
    /// it was confirmed after that.
    pub age_ms: u64,
    /// Age of the newest read of the targets when the request arrived, in ms.
    pub targets_age_ms: u64,
    /// Time from when the store was last available again to when the request arrived, in ms; `None`
    /// while it was never away.
    pub recovered_ms: Option<u64>,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// The published configuration, if newer than the follower's.
    pub configuration: Option<ByteBuf>,
    /// Incarnation of the feed.
    pub feed_incarnation: u64,
    /// Sequence number of the next change.
    pub next_sequence: u64,
    /// Whether `changes` are the complete lists: keys missing from them no longer exist.
    pub is_snapshot: bool,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Records among the follower's [`Request::known`] whose keys do not exist.
    pub removed: Vec<Fingerprint>,
    /// Time from when the request arrived to the newest read of the targets, in ms, if that came after;
    /// 0 from earlier releases.
    #[serde(default)]
    pub targets_after_ms: u64,
}

serialize_as_map!(Response {
    age_ms,
    targets_age_ms,
    recovered_ms,
    version,
    configuration,
    feed_incarnation,
    next_sequence,
    is_snapshot,
    changes,
    removed,
    targets_after_ms,
});
