//! What an entry tells operators of itself: JSON on its administration listener.

use {
    crate::ids::EntryId,
    camphorweir_config::model::{Priority, TargetId, Version, WorkspaceId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// Where an entry answers with its [`Status`].
pub const STATUS: &str = "/v1/status";
/// Where it answers with the list of [`Target`].
pub const TARGETS: &str = "/v1/targets";
/// Where it answers with the list of [`Member`].
pub const MEMBERS: &str = "/v1/members";
/// Where it answers with the list of [`Claim`] whose outcome nobody knows.
pub const UNRESOLVED: &str = "/v1/unresolved";
/// Where it answers with the [`Configuration`] in force.
pub const CONFIGURATION: &str = "/v1/configuration";

/// The state of one entry at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The entry's name.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its life, 16 hexadecimal digits; a restarted entry has another.
    pub incarnation: String,
    /// Since its process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it was told to stop and takes its leave.
    pub stopping: bool,
    /// The configuration in force.
    pub configuration: Configuration,
    /// The log service as seen from here.
    pub log: Log,
    /// The other entries, by name.
    pub members: Vec<Member>,
    /// The targets of the configuration in force, by name, and others that still work for this entry.
    pub targets: Vec<Target>,
    /// Waiting requests, one line for each class.
    pub queues: Vec<Queue>,
    /// Requests that this entry has taken in and not ended.
    pub in_flight: u64,
    /// Keys of all entries that are claimed and whose outcome is not recorded.
    pub open_claims: u64,
    /// Those of them whose outcome nobody knows; operators settle them.
    pub unresolved: u64,
    /// Requests in quarantine.
    pub quarantined: u64,
}

/// The configuration in force at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Its version; `None` before the first one.
    pub version: Option<Version>,
    /// The format of a record that this release can't read, at which it stopped reading.
    pub stopped_at_format: Option<u16>,
}

/// The log service as seen from an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Whether all claim streams were read lately and to their ends.
    pub reachable: bool,
    /// Records that must land and have not.
    pub waiting: u64,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub entry: EntryId,
    /// Its zone, by its own word; empty before its first heartbeat.
    pub zone: ZoneId,
    /// The address of its peers' listener, by the platform's list.
    pub address: String,
    /// Its state.
    pub state: MemberState,
    /// Since its last heartbeat, in milliseconds; `None` before the first one.
    pub age_ms: Option<u64>,
    /// The version in force there, by its last heartbeat.
    pub version: Version,
}

/// The state of another entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Heard lately.
    Live,
    /// Leaving, by its own word or the platform's list.
    Leaving,
    /// Not heard lately.
    Silent,
}

/// A target as one entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Its name.
    pub target: TargetId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address.
    pub address: String,
    /// What it serves: a service's name, or a model with a range of layers.
    pub serves: String,
    /// Its state.
    pub state: TargetState,
    /// Why it is in that state, for a person; empty where the state says it all.
    pub why: String,
    /// Attempts and exchanges of this entry on it.
    pub open: u32,
}

/// The state of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// In use.
    Usable,
    /// In use with a part of its share of work, as one that has just come.
    SlowStart,
    /// Out of use for a while after a failure.
    Ejected,
    /// Out of use: the engine can't be reached.
    Down,
    /// Out of use: the engine loads layers.
    Loading,
    /// Gets no new work: it is leaving.
    Leaving,
    /// Gets no new work: operators drain it.
    Drained,
    /// Gets no new work: the configuration in force lacks it.
    Removed,
}

impl TargetState {
    /// All states, in the order of their listing.
    pub const ALL: [Self; 8] = [
        Self::Usable,
        Self::SlowStart,
        Self::Ejected,
        Self::Down,
        Self::Loading,
        Self::Leaving,
        Self::Drained,
        Self::Removed,
    ];

    /// The word in JSON, metrics and listings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::SlowStart => "slow_start",
            Self::Ejected => "ejected",
            Self::Down => "down",
            Self::Loading => "loading",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
            Self::Removed => "removed",
        }
    }
}

/// The waiting requests of a class.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The class.
    pub class: Priority,
    /// Requests that wait.
    pub waiting: u64,
}

/// A never-repeat key whose outcome nobody knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The `Idempotency-Key`, a UUID.
    pub key: String,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The entry that ran it, or may have.
    pub owner: EntryId,
    /// When the claim landed, in milliseconds since the Unix epoch by the log service's clock.
    pub claimed_ms: u64,
    /// Why its outcome is not known, for a person.
    pub why: String,
}
