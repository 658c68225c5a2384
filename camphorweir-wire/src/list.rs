//! The platform's instance list: `GET /instances` answers with a JSON array of [`Instance`].

use {
    camphorweir_config::model::ZoneId,
    serde::{Deserialize, Serialize},
};

/// An instance as the platform lists it, some seconds late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Its name: that of a target in the configuration, or of an entry.
    pub name: String,
    /// What runs there.
    pub role: Role,
    /// `IP:PORT`; an entry's is that of its peers' listener.
    pub address: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it is leaving.
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
    /// Planned to stop; takes no new work.
    Leaving,
}
