//! The messages of e39a49a, with its rules for reading and writing them.

use {
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
};

#[derive(Deserialize, Serialize)]
pub(crate) struct Addresses {
    pub(crate) digest: String,
    pub(crate) follow: String,
    pub(crate) zone: String,
    #[serde(default)]
    pub(crate) link_mbps: u32,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Digest {
    pub(crate) entry: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) loads: Vec<Load>,
    pub(crate) failing: Vec<Failing>,
    pub(crate) store_read_ms: Option<u32>,
    pub(crate) store_failed_ms: Option<u32>,
    pub(crate) store_era: Option<u64>,
    pub(crate) configuration_version: u64,
}

#[derive(Deserialize, Serialize)]
pub(crate) enum Datagram {
    Digest(Digest),
    Summary(Summary),
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Summary {
    pub(crate) entry: String,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) scope: Scope,
    pub(crate) part: u32,
    pub(crate) parts: u32,
    pub(crate) link_mbps: u32,
    pub(crate) entries: u32,
    pub(crate) included_sequence: Option<u64>,
    pub(crate) loads: Vec<Load>,
    pub(crate) failing: Vec<Failing>,
    pub(crate) readers: Vec<String>,
    pub(crate) source: Option<Source>,
    pub(crate) newest: Option<Newest>,
    pub(crate) store_era: Option<u64>,
}

#[derive(Deserialize, Serialize)]
pub(crate) enum Scope {
    EntriesOf(String),
    TargetsOf(String),
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Source {
    pub(crate) entry: String,
    pub(crate) follow: String,
    pub(crate) read_ms: u32,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Newest {
    pub(crate) version: u64,
    pub(crate) follow: String,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Load {
    pub(crate) target: u32,
    pub(crate) streams: u16,
    pub(crate) first_stage: u16,
    pub(crate) memory: u32,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Failing {
    pub(crate) target: u32,
    pub(crate) excluded_ms: u16,
    pub(crate) unresponsive: bool,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Request {
    pub(crate) version: u64,
    pub(crate) feed_incarnation: u64,
    pub(crate) next_sequence: u64,
    pub(crate) wait_ms: u32,
    pub(crate) known: Option<Vec<Fingerprint>>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Fingerprint {
    pub(crate) list: List,
    pub(crate) key: u32,
    pub(crate) value: u32,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Change {
    pub(crate) list: List,
    pub(crate) key: String,
    pub(crate) value: Option<ByteBuf>,
}

#[derive(Deserialize, Serialize)]
pub(crate) enum List {
    Targets,
    Entries,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct Response {
    pub(crate) age_ms: u64,
    pub(crate) targets_age_ms: u64,
    pub(crate) recovered_ms: Option<u64>,
    pub(crate) version: u64,
    pub(crate) configuration: Option<ByteBuf>,
    pub(crate) feed_incarnation: u64,
    pub(crate) next_sequence: u64,
    pub(crate) is_snapshot: bool,
    pub(crate) changes: Vec<Change>,
    pub(crate) removed: Vec<Fingerprint>,
}

/// The datagram of 63c8192 that this release writes otherwise.
#[derive(Debug, Deserialize)]
pub(crate) enum SuspectsOf63c8192 {
    Suspects(Vec<SuspectOf63c8192>),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct SuspectOf63c8192 {
    pub(crate) fingerprint: u64,
    pub(crate) crashes: Vec<CrashOf63c8192>,
    pub(crate) cleared: Vec<u32>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CrashOf63c8192 {
    pub(crate) ran_ms: u64,
}

/// The permits that an entry of 350e1b6 gave.
#[derive(Deserialize)]
pub(crate) struct AccountOf350e1b6 {
    pub(crate) entry: String,
    pub(crate) target: u32,
    pub(crate) started_ms: u64,
    pub(crate) ends: Vec<(u16, u16)>,
}

#[derive(Deserialize)]
pub(crate) enum DatagramOf350e1b6 {
    Account(AccountOf350e1b6),
}
