//! The settings file of a stand-in process.

use {
    crate::{engine, list, log, service, weights},
    serde::Deserialize,
};

/// Settings of a stand-in, by role.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Settings {
    /// The log service.
    Log(log::Settings),
    /// The instance list.
    List(list::Settings),
    /// The weight store.
    Weights(weights::Settings),
    /// A layer-range engine.
    Engine(engine::Settings),
    /// A plain service.
    Service(service::Settings),
}

impl Settings {
    /// Makes an injected crash end the process.
    pub fn exit_on_crash(&mut self) {
        match self {
            Self::Engine(settings) => settings.exit_on_crash = true,
            Self::Service(settings) => settings.exit_on_crash = true,
            Self::Log(_) | Self::List(_) | Self::Weights(_) => {}
        }
    }
}
