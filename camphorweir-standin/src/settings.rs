//! The settings file of a stand-in process.

use {
    crate::{engine, list, log, service, weights},
    serde::Deserialize,
};

/// Settings of any stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Settings {
    /// A log service.
    Log(log::Settings),
    /// An instance list.
    List(list::Settings),
    /// A weight store.
    Weights(weights::Settings),
    /// A layer-range engine.
    Engine(engine::Settings),
    /// A plain service.
    Service(service::Settings),
}

impl Settings {
    /// Makes a crash end the process, as befits one of its own.
    pub fn exit_on_crash(&mut self) {
        match self {
            Self::Engine(settings) => settings.exit_on_crash = true,
            Self::Service(settings) => settings.exit_on_crash = true,
            Self::Log(_) | Self::List(_) | Self::Weights(_) => {}
        }
    }
}
