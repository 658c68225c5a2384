//! The settings file of a stand-in process.

use {
    crate::{engine, list, log, server::Error, service, weights},
    serde::Deserialize,
    std::net::SocketAddr,
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

/// A running stand-in of any role.
#[derive(Debug)]
pub enum Handle {
    /// A log service.
    Log(log::Handle),
    /// An instance list.
    List(list::Handle),
    /// A weight store.
    Weights(weights::Handle),
    /// A layer-range engine.
    Engine(engine::Handle),
    /// A plain service.
    Service(service::Handle),
}

/// Starts the stand-in that the settings describe.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    Ok(match settings {
        Settings::Log(settings) => Handle::Log(log::spawn(settings).await?),
        Settings::List(settings) => Handle::List(list::spawn(settings).await?),
        Settings::Weights(settings) => Handle::Weights(weights::spawn(settings).await?),
        Settings::Engine(settings) => Handle::Engine(engine::spawn(settings).await?),
        Settings::Service(settings) => Handle::Service(service::spawn(settings).await?),
    })
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

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Log(handle) => handle.address(),
            Self::List(handle) => handle.address(),
            Self::Weights(handle) => handle.address(),
            Self::Engine(handle) => handle.address(),
            Self::Service(handle) => handle.address(),
        }
    }

    /// Stops with nothing cut.
    pub async fn stop(self) {
        match self {
            Self::Log(handle) => handle.stop().await,
            Self::List(handle) => handle.stop().await,
            Self::Weights(handle) => handle.stop().await,
            Self::Engine(handle) => handle.stop().await,
            Self::Service(handle) => handle.stop().await,
        }
    }
}
