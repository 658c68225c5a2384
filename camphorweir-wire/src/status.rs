//! An entry's status for operators, as JSON on the administration listener.

use {
    crate::ids::EntryId,
    camphorweir_config::model::{Priority, TargetId, Version, WorkspaceId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// HTTP path that returns the [`Status`] of the entry.
pub const STATUS_PATH: &str = "/v1/status";
/// HTTP path that returns the list of [`Target`].
pub const TARGETS_PATH: &str = "/v1/targets";
/// HTTP path that returns the other entries, as a list of [`Member`].
pub const MEMBERS_PATH: &str = "/v1/members";
/// HTTP path that returns the list of [`Claim`] with an unknown outcome.
pub const UNRESOLVED_PATH: &str = "/v1/unresolved";
/// HTTP path that returns the list of [`Quarantined`].
pub const QUARANTINE_PATH: &str = "/v1/quarantine";
/// HTTP path that returns the [`Configuration`] in force.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Snapshot of the state of one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The entry's name.
    pub entry: EntryId,
    /// The entry's availability zone.
    pub zone: ZoneId,
    /// The entry's incarnation, 16 hexadecimal digits; a restarted entry has another.
    pub incarnation: String,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the entry is shutting down.
    pub stopping: bool,
    /// The configuration in force.
    pub configuration: Configuration,
    /// The log service as seen by this entry.
    pub log: Log,
    /// The other entries, by name.
    pub members: Vec<Member>,
    /// The targets of the configuration in force, by name, and removed ones that still process
    /// requests of this entry.
    pub targets: Vec<Target>,
    /// Waiting requests by class.
    pub queues: Vec<Queue>,
    /// Requests that this entry has accepted and not completed.
    pub in_flight: u64,
    /// Number of keys without a recorded outcome, claimed by any entry.
    pub open_claims: u64,
    /// Open claims whose outcome no entry knows; operators settle them.
    pub unresolved: u64,
    /// Requests in quarantine.
    pub quarantined: Vec<Quarantined>,
}

/// The configuration in force at an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// The version; `None` before the first publication.
    pub version: Option<Version>,
    /// Format of the first configuration record that this release can't read and at which it
    /// stopped; `None` if there is none.
    pub stopped_at_format: Option<u16>,
}

/// The log service as seen from an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Whether all claim streams were recently read to their ends.
    pub reachable: bool,
    /// Records that have to be appended and are not yet.
    pub waiting: u64,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// The entry's name.
    pub entry: EntryId,
    /// The zone that the entry reports; empty before its first heartbeat.
    pub zone: ZoneId,
    /// The address of its listener for peers, from the platform's instance list.
    pub address: String,
    /// The entry's state.
    pub state: MemberState,
    /// Time since the last heartbeat, in milliseconds; `None` before the first one.
    pub age_ms: Option<u64>,
    /// The configuration version in force there, from the last heartbeat.
    pub version: Version,
}

/// The state of another entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Sent a heartbeat recently.
    Live,
    /// Shutting down, as reported by the entry or by the platform's instance list.
    Leaving,
    /// Sent no heartbeat recently.
    Silent,
}

/// A target as one entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// The target's name.
    pub target: TargetId,
    /// The target's availability zone.
    pub zone: ZoneId,
    /// The target's address.
    pub address: String,
    /// What the target serves: a service's name, or a model with a range of layers.
    pub serves: String,
    /// The target's state.
    pub state: TargetState,
    /// Human-readable reason for the state; empty where the state needs none.
    pub why: String,
    /// Open attempts and exchanges of this entry on the target.
    pub open: u32,
}

/// The state of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// In use.
    Usable,
    /// In use with a reduced share of work, for example after it has just joined.
    SlowStart,
    /// Temporarily out of use after a failure.
    Ejected,
    /// Out of use: the engine can't be reached.
    Down,
    /// Out of use: the engine is loading layers.
    Loading,
    /// Gets no new work: the target is shutting down.
    Leaving,
    /// Gets no new work: operators are draining it.
    Drained,
    /// Gets no new work: the target is not in the configuration in force.
    Removed,
}

impl TargetState {
    /// All states, in the order in which they are listed.
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

    /// The value in JSON, metrics and listings.
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
    /// Number of waiting requests.
    pub waiting: u64,
}

/// A claimed never-repeat key whose outcome no entry knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The `Idempotency-Key`, a UUID.
    pub key: String,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The entry that ran the request, or may have.
    pub owner: EntryId,
    /// Time of the claim, in milliseconds since the Unix epoch by the log service's clock.
    pub claimed_ms: u64,
    /// Human-readable reason why the outcome is not known.
    pub why: String,
}

/// A request that is refused because identical requests have crashed targets.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Quarantined {
    /// Hash over workspace and request, 16 hexadecimal digits.
    pub fingerprint: String,
    /// Crashes that this entry knows of.
    pub crashes: u32,
}
