//! The datagrams by which entries share, many times a second, their load on targets and which
//! targets fail.
//!
//! Each entry sends digests to the aggregator of its zone, which sends sums back, and to the
//! aggregators of the other zones.

use {
    crate::{
        crash::Suspect,
        demand::Demand,
        limit::{Account, Ask, Grant, News},
        map_serde::{serialize_as_map, serialize_with_added},
    },
    serde::{Deserialize, Serialize},
};

/// Revision of the messages between entries and of their records in the store, for operators to see
/// which releases run; nothing depends on it. It rises with each release that changes one of them.
pub const FORMATS: u32 = 4;
/// First revision that asks for permits to send to limited targets.
pub const PERMIT_FORMATS: u32 = 3;
/// Unit of [`Load::memory`]: tokens times layers.
pub const MEMORY_UNIT_TOKEN_LAYERS: f64 = 1024.0;

/// Addresses at which peers reach an entry; the entry's record in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Addresses {
    /// Address that receives digests, as `IP:PORT`.
    pub digest: String,
    /// Address for entries that read the store through this one, as `IP:PORT`.
    pub follow: String,
    /// Availability zone.
    pub zone: String,
    /// Bandwidth of the entry's link in Mbit/s; absent in records of earlier releases.
    #[serde(default)]
    pub link_mbps: u32,
    /// [`FORMATS`] of the entry's release; 0 in records of earlier releases.
    #[serde(default)]
    pub formats: u32,
}

serialize_as_map!(Addresses {
    digest,
    follow,
    zone,
    link_mbps,
    formats,
});

/// The load of one entry; it fits in one datagram.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Digest {
    /// The sender's name.
    pub entry: String,
    /// The sender's incarnation, random at each start.
    pub incarnation: u64,
    /// Sequence number, rising with each digest of an incarnation.
    pub sequence: u64,
    /// Load by target.
    #[serde(default)]
    pub loads: Vec<Load>,
    /// Targets that are failing now.
    #[serde(default)]
    pub failing: Vec<Failing>,
    /// Time since the sender last read the store successfully, in ms; `None` for never.
    #[serde(default)]
    pub store_read_ms: Option<u32>,
    /// Time since a read of the store last failed at the sender, in ms; `None` for never.
    #[serde(default)]
    pub store_failed_ms: Option<u32>,
    /// Highest era of the store that the sender has heard of; `None` for none.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// Version of the configuration in force at the sender; 0 before any.
    #[serde(default)]
    pub configuration_version: u64,
    /// Tags of the fingerprints of requests that the sender refused and told when to return, the newest
    /// first.
    #[serde(default)]
    pub refused: Vec<u32>,
}

serialize_with_added!(
    Digest {
        entry,
        incarnation,
        sequence,
        loads,
        failing,
        store_read_ms,
        store_failed_ms,
        store_era,
        configuration_version,
    },
    refused
);

/// Any datagram between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// The load of the sender alone.
    Digest(Digest),
    /// The load of many entries.
    Summary(Summary),
    /// Contents and parts of prompts under which targets ended.
    Suspects(Vec<Suspect>),
    /// Limits that targets name; an empty list asks the recipient for those that it knows.
    Limits(Vec<News>),
    /// A question for a permit to send to a limited target.
    Ask(Ask),
    /// The answer to it.
    Grant(Grant),
    /// Permits that the sender gave.
    Account(Account),
    /// Work that callers ask for.
    Demand(Demand),
}

/// The load of many entries on some targets; it fits in one datagram.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Summary {
    /// The sender's name.
    pub entry: String,
    /// The sender's incarnation, random at each start.
    pub incarnation: u64,
    /// Sequence number, rising with each round of summaries of an incarnation.
    pub sequence: u64,
    /// Which entries and targets the summary covers.
    pub scope: Scope,
    /// Which part of the scope this is: the targets whose tag modulo `parts` is `part`.
    #[serde(default)]
    pub part: u32,
    /// Number of parts of the scope, at least 1.
    #[serde(default)]
    pub parts: u32,
    /// Bandwidth of the sender's link in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
    /// Number of entries whose load is included.
    #[serde(default)]
    pub entries: u32,
    /// Sequence number of the recipient's own digest that is included; `None` for none.
    #[serde(default)]
    pub included_sequence: Option<u64>,
    /// Load by target.
    #[serde(default)]
    pub loads: Vec<Load>,
    /// Targets that are failing now for any of the entries.
    #[serde(default)]
    pub failing: Vec<Failing>,
    /// The entries of the zone that read the store; only in summaries for the own zone.
    #[serde(default)]
    pub readers: Vec<String>,
    /// The entry that the others of the zone follow; only in summaries for the own zone.
    #[serde(default)]
    pub source: Option<Source>,
    /// The newest configuration in the zone; only in summaries for the own zone.
    #[serde(default)]
    pub newest: Option<Newest>,
    /// Highest era of the store that the sender has heard of; `None` for none.
    #[serde(default)]
    pub store_era: Option<u64>,
    /// Tags of the fingerprints of requests that the entries of the zone refused and told when to return,
    /// the newest first; only in summaries for the own zone.
    #[serde(default)]
    pub refused: Vec<u32>,
}

serialize_with_added!(
    Summary {
        entry,
        incarnation,
        sequence,
        scope,
        part,
        parts,
        link_mbps,
        entries,
        included_sequence,
        loads,
        failing,
        readers,
        source,
        newest,
        store_era,
    },
    refused
);

/// What a summary covers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Scope {
    /// The load of the entries of this zone on all targets; sent to other zones.
    EntriesOf(String),
    /// The load of all entries on the targets of this zone; sent inside the sender's zone.
    TargetsOf(String),
}

impl Default for Scope {
    fn default() -> Self {
        Self::TargetsOf(String::new())
    }
}

/// The entry of a zone that the others follow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Source {
    /// Name of the entry.
    pub entry: String,
    /// Address at which it is followed, as `IP:PORT`.
    pub follow: String,
    /// Time since its last successful read of the store, in ms.
    pub read_ms: u32,
}

/// The newest configuration that any entry of a zone has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Newest {
    /// Version of the configuration.
    pub version: u64,
    /// Address at which an entry that has it is followed, as `IP:PORT`.
    pub follow: String,
}

/// Load of an entry on one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Streams that pass through the target.
    pub streams: u16,
    /// Streams for which the target is the first of the chain.
    pub first_stage: u16,
    /// Memory that the streams occupy on the target, in [`MEMORY_UNIT_TOKEN_LAYERS`], rounded up.
    pub memory: u32,
}

/// A target that failed requests of the sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failing {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Remaining time in which the sender does not use the target, in ms.
    pub excluded_ms: u16,
    /// Whether the target does not respond at all, so that its layers are unavailable.
    pub unresponsive: bool,
}
