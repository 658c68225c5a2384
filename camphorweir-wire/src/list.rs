//! The platform's instance list: `GET /instances` returns a JSON array of [`Instance`].

use {
    camphorweir_config::model::ZoneId,
    serde::{Deserialize, Serialize},
};

/// An instance as the platform lists it, with a delay of some seconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The name of the target in the configuration, or of the entry.
    pub name: String,
    /// What runs on the instance.
    pub role: Role,
    /// `IP:PORT`; for an entry, the listener for peers.
    pub address: String,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// Whether the instance is shutting down.
    pub state: State,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry of camphorweir.
    Entry,
    /// A target.
    Target,
}

/// The state of a listed instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Scheduled to stop; accepts no new work.
    Leaving,
}
